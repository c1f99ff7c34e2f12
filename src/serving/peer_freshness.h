// Proves from peers' notes that this process's configuration was current at some moment.
//
// A process that is cut off from the store may go on accepting keys while a peer still reads the
// store and holds the same configuration version.  The moment at which the peer validated its
// configuration must be placed on the local clock, without relying on the peer's clock or on the
// speed of the network: a datagram may have waited in a buffer for seconds.  Each note therefore
// echoes the last note that its sender received from the receiver, and states how long the
// sender has held it:
//
//   This process sends its note number k at time t.  The peer receives it, and at a time h later
//   it writes: "version 7, validated a ago; your note k arrived h ago".
//
// The peer wrote its note no earlier than t + h.  At t + h - a on the local clock there was thus
// no newer version than 7, however long either datagram took.
//
//   PeerFreshness peers(incarnation);
//   peers.BeginRound(now);
//   FreshnessNote note = peers.NoteFor("box-2", own_version, own_validated_at, now);
//   std::optional<Time> validated_at =
//       peers.ReceiveNote("box-2", peer_incarnation, note, own_version, now);
//
// The times of the last kRoundsKept rounds are kept.  An echo of an older round proves nothing.

#ifndef GULLWARD_SERVING_PEER_FRESHNESS_H_
#define GULLWARD_SERVING_PEER_FRESHNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace gullward {

// What a process reports about its configuration to one peer.
struct FreshnessNote {
  // The sender's round.  Rounds are numbered from 1.
  uint64_t round = 0;
  uint64_t config_version = 0;
  // How long ago the sender validated that `config_version` is the newest version.
  Duration proved_ago{};
  // The last round that the sender received from the receiver, 0 if none, and how long ago its
  // note arrived.
  uint64_t echoed_round = 0;
  Duration echo_held{};
  // The receiver's incarnation whose round is echoed, since a restart resets the rounds.
  uint64_t echoed_incarnation = 0;
  // How long ago the sender was shown that nothing newer existed in the operator's topic than what
  // it has read; no value if it never was.  Unlike `proved_ago`, this covers all of the operator's
  // records.
  std::optional<Duration> topic_proved_ago = std::nullopt;
  // The same for the engine list.
  std::optional<Duration> engines_proved_ago = std::nullopt;

  bool operator==(const FreshnessNote&) const = default;
};

class PeerFreshness {
 public:
  // Rounds whose time is kept: several seconds of them, also when each validation of two topics
  // starts a round.
  static constexpr size_t kRoundsKept = 32;

  explicit PeerFreshness(uint64_t own_incarnation) : incarnation(own_incarnation) {}

  // Starts a round, in which each peer is sent a note.
  void BeginRound(Time now);

  // Returns this round's note for one peer.
  FreshnessNote NoteFor(const std::string& peer, uint64_t own_version, Time own_validated_at,
                        Time now) const;

  // Records a peer's note.  Returns a time on the local clock at which `own_version` was certainly
  // current; empty if the note does not prove one.
  std::optional<Time> ReceiveNote(const std::string& peer, uint64_t peer_incarnation,
                                  const FreshnessNote& note, uint64_t own_version, Time now);

  // Returns a time on the local clock that is no later than when the peer wrote the note; empty if
  // the note does not prove one.
  std::optional<Time> WrittenAfter(const FreshnessNote& note) const;

  // The highest configuration version that any peer has sent.
  uint64_t newest_peer_version() const { return this->newest_version; }

 private:
  struct Round {
    uint64_t number = 0;
    Time sent_at;
  };
  struct LastNote {
    uint64_t incarnation = 0;
    uint64_t round = 0;
    Time received_at;
  };

  uint64_t incarnation;
  uint64_t last_round = 0;
  std::deque<Round> rounds;
  std::map<std::string, LastNote> last_notes;
  uint64_t newest_version = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_FRESHNESS_H_

// What a peer can vouch for: that our configuration was current at some moment.
//
// A process that is cut off from the store need not stop accepting keys while a
// peer still reads the store and holds the same version.  The peer's word must be
// placed on our own clock without trusting anybody's clock or the network's speed:
// a datagram may have lain in a buffer for seconds.  So every note echoes the last
// note that its sender had from us, and for how long it has held it:
//
//   we send our note number k at t;  the peer gets it, and h later it writes:
//   "version 7, proved current a ms ago; your note k came h ms ago".
//
// The peer wrote that no earlier than t + h, so what it proves was true at
// t + h - a on our clock, however long either datagram took.
//
//   PeerFreshness peers(incarnation);
//   FreshnessNote note = peers.NoteFor("box-2", own, now);
//   std::optional<Time> proved = peers.Hear("box-2", note, own_version);
//
// Only the last few rounds are remembered; an echo of an older one proves nothing.

#ifndef GULLWARD_SERVING_PEER_FRESHNESS_H_
#define GULLWARD_SERVING_PEER_FRESHNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace gullward {

// What a process says of its configuration to one peer.
struct FreshnessNote {
  // The sender's round, which rises.
  uint64_t round = 0;
  uint64_t config_version = 0;
  // How long ago the sender's reading proved that version current.
  Duration proved_ago{};
  // The last round heard from the receiver, 0 for none, and how long ago it came.
  uint64_t echoed_round = 0;
  Duration echo_held{};
  // The receiver's life whose round is echoed: after a restart rounds begin anew.
  uint64_t echoed_incarnation = 0;

  bool operator==(const FreshnessNote&) const = default;
};

class PeerFreshness {
 public:
  // Rounds whose sending time is remembered.
  static constexpr size_t kRoundsKept = 8;

  explicit PeerFreshness(uint64_t own_incarnation) : incarnation(own_incarnation) {}

  // Begins a round of notes, one to each peer.
  void BeginRound(Time now);

  // The note of this round for one peer.
  FreshnessNote NoteFor(const std::string& peer, uint64_t own_version, Time own_proved,
                        Time now) const;

  // Takes a peer's note.  Returns when, on our clock, our version was certainly
  // current; nothing where the note proves nothing of it.
  std::optional<Time> ReceiveNote(const std::string& peer, uint64_t peer_incarnation,
                                  const FreshnessNote& note, uint64_t own_version, Time now);

  // The highest version that any peer has told.
  uint64_t newest_peer_version() const { return this->newest_version; }

 private:
  struct Round {
    uint64_t number = 0;
    Time sent;
  };
  struct LastNote {
    uint64_t incarnation = 0;
    uint64_t round = 0;
    Time at;
  };

  uint64_t incarnation;
  uint64_t last_round = 0;
  std::deque<Round> rounds;
  std::map<std::string, LastNote> heard;
  uint64_t newest_version = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_FRESHNESS_H_

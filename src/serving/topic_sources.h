// Chooses, for each read of a topic, whether to ask the store or a peer, and which peer.
//
// The place in the tree (reader_tree.h) names the peers in order of preference.
//
//   - A gateway that is not a root reads from the first peer that is neither failed nor stale.
//   - A peer counts as failed for kPeerPause after a read that was not answered.
//   - A peer counts as stale for kPeerPause after it turned out to lag: other gateways have read
//     further, what it has was last shown to be current too long ago, or the store has stopped
//     answering the gateway from which it comes.  A stale peer is read only
//     if there is no other peer and the store refuses this gateway.
//   - After either, the next read goes to the store, since a change may have been missed.
//   - Each answer also states over how many gateways it came.  An answer over more than kMaxHops
//     counts as a failure, so that gateways which take each other for the parent notice it after
//     a few reads.
//   - While the store refuses this gateway, it is asked after pauses that double up to
//     kMaxStorePause, and reads go to peers in between, also if this gateway is a root.
//
//   TopicSources sources;
//   sources.SetPlace(place);
//   std::optional<std::string> peer = sources.Next(now);      // no value: the store
//   sources.NotePeerFailed(*peer, now);

#ifndef GULLWARD_SERVING_TOPIC_SOURCES_H_
#define GULLWARD_SERVING_TOPIC_SOURCES_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "serving/reader_tree.h"

namespace gullward {

class TopicSources {
 public:
  // How long a peer that has failed or lagged is left out.
  static constexpr Duration kPeerPause = seconds(5);
  // Pauses between calls to a store that refuses this gateway, while peers can be read.
  static constexpr Duration kFirstStorePause = milliseconds(250);
  static constexpr Duration kMaxStorePause = seconds(2);
  // Larger than the depth of a tree of 100,000 gateways.
  static constexpr uint32_t kMaxHops = 10;

  void SetPlace(ReaderPlace new_place) { this->place = std::move(new_place); }
  const ReaderPlace& reader_place() const { return this->place; }

  // The peer to read from next; no value for the store.
  std::optional<std::string> Next(Time now) const {
    const std::string* fresh = this->FreshPeer(now);
    bool prefers_store = this->place.reads_store || this->must_ask_store || fresh == nullptr;
    if (prefers_store && now >= this->store_paused_until) return std::nullopt;
    const std::string* peer =
        fresh != nullptr ? fresh : this->FirstWithout(this->failed_until, now);
    return peer != nullptr ? std::optional<std::string>(*peer) : std::nullopt;
  }

  // Whether a peer can be read that is not stale.
  bool HasFreshPeer(Time now) const { return this->FreshPeer(now) != nullptr; }

  // Records that a peer could not be read, or answered what must not be used.
  void NotePeerFailed(const std::string& peer, Time now) {
    this->failed_until[peer] = now + kPeerPause;
    this->must_ask_store = true;
  }

  // Records that a peer lags.
  void NotePeerStale(const std::string& peer, Time now) {
    this->stale_until[peer] = now + kPeerPause;
    this->must_ask_store = true;
  }

  // A store that answers after failures was away for the peers as well: they are read again.
  void NoteStoreAnswered() {
    bool was_away = this->store_paused_until != Time{};
    if (was_away) this->stale_until.clear();
    this->must_ask_store = false;
    this->store_paused_until = Time{};
    this->store_pause = kFirstStorePause;
  }

  // Records that the store has answered another call of this process, so it may be asked at once.
  void EndStorePause(Time now) {
    this->store_paused_until = std::min(this->store_paused_until, now);
    this->store_pause = kFirstStorePause;
  }

  // How long the store will not be asked yet.
  Duration StorePauseLeft(Time now) const {
    return std::max(this->store_paused_until - now, Duration::zero());
  }

  void NoteStoreFailed(Time now) {
    this->store_paused_until = now + this->store_pause;
    this->store_pause = std::min(2 * this->store_pause, kMaxStorePause);
  }

 private:
  using Marks = std::map<std::string, Time>;

  static bool IsMarked(const Marks& marks, const std::string& peer, Time now) {
    auto found = marks.find(peer);
    return found != marks.end() && found->second > now;
  }

  const std::string* FirstWithout(const Marks& marks, Time now) const {
    for (const std::string& peer : this->place.sources) {
      if (!IsMarked(marks, peer, now)) return &peer;
    }
    return nullptr;
  }

  const std::string* FreshPeer(Time now) const {
    for (const std::string& peer : this->place.sources) {
      bool is_marked =
          IsMarked(this->failed_until, peer, now) || IsMarked(this->stale_until, peer, now);
      if (!is_marked) return &peer;
    }
    return nullptr;
  }

  ReaderPlace place;
  // The peers that have failed or lagged, and until when.  At most one entry for each gateway that
  // was ever a source.
  Marks failed_until;
  Marks stale_until;
  bool must_ask_store = false;
  Time store_paused_until{};
  Duration store_pause = kFirstStorePause;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_TOPIC_SOURCES_H_

// Sees to it that the store says which of its epochs is settled (serving/epoch_mark.h).
//
// A gateway that starts cannot know whether the store has just come back from an older copy,
// and waits before it vouches for anything.  With the mark of the present epoch it need not.
// Nobody is appointed to write it: each gateway that has seen the epoch for long enough draws
// a time, and leaves it where the mark is there by then.
//
//   EpochMarker marker(&loop, store, &recovery, seed);
//   marker.OnRecord(value);                        // the topic's word
//   marker.Tick(now);                              // a few times a second

#ifndef GULLWARD_GATEWAY_SETTLED_EPOCH_WRITER_H_
#define GULLWARD_GATEWAY_SETTLED_EPOCH_WRITER_H_

#include <optional>
#include <random>
#include <string>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"

namespace gullward {

class SettledEpochWriter {
 public:
  // Over which gateways spread.  The topic's news takes two seconds, so of 300 gateways some
  // twenty write, and one or two of thirty.
  static constexpr Duration kWriteSpread = seconds(30);

  SettledEpochWriter(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                     uint64_t seed)
      : client(event_loop, std::move(store), &store_recovery->returns()),
        recovery(store_recovery),
        random(seed) {}

  // What the topic says: a mark, or nothing that can be read.
  void OnRecord(const std::string& value);

  // Writes the mark when that is due.
  void Tick(Time now);

  uint64_t store_calls() const { return this->client.calls(); }

 private:
  void Write(uint64_t epoch);

  StoreClient client;
  StoreRecovery* recovery;
  std::mt19937_64 random;
  // The epoch that the topic's mark names.
  std::optional<uint64_t> stored_epoch;
  // Set while we would write.
  std::optional<Time> due;
  bool is_busy = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_SETTLED_EPOCH_WRITER_H_

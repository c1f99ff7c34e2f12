// Writes to the store which of its epochs is settled (serving/settled_epoch.h).
//
// A starting gateway cannot determine whether the store has just returned from an older copy, so it
// waits before it accepts keys.  An entry that names the current epoch as settled makes this
// wait unnecessary.  Any gateway may write the entry: each one that has observed the epoch for
// long enough waits for a random delay, and writes only if the entry is still missing.
//
//   SettledEpochWriter writer(&loop, store, &recovery, seed);
//   writer.OnRecord(value);                        // a record of the topic
//   writer.Tick(now);                              // a few times a second

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
  // The random delays are drawn from this range.  An entry takes two seconds to reach the other
  // gateways, so about twenty of 300 gateways write it, and one or two of thirty.
  static constexpr Duration kWriteSpread = seconds(30);

  SettledEpochWriter(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                     uint64_t seed)
      : client(event_loop, std::move(store), &store_recovery->returns()),
        recovery(store_recovery),
        random(seed) {}

  // Handles the topic's record.  A value that cannot be parsed counts as a missing entry.
  void OnRecord(const std::string& value);

  // Writes the entry if that is due.
  void Tick(Time now);

  uint64_t store_calls() const { return this->client.calls(); }

 private:
  void Write(uint64_t epoch);

  StoreClient client;
  StoreRecovery* recovery;
  std::mt19937_64 random;
  // The epoch that the topic's entry names.
  std::optional<uint64_t> stored_epoch;
  // When this gateway writes the entry; set while the entry is missing.
  std::optional<Time> due;
  bool is_busy = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_SETTLED_EPOCH_WRITER_H_

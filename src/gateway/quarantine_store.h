// Keeps the quarantine in the store, for gateways that start later.
//
// What a gateway remembers ends with its process, and all processes may end at the same
// moment.  So each content in quarantine has an entry in the topic by which gateways know each
// other, which every gateway reads at its start and follows.  Nobody is appointed to write it:
// each waits for a time of its own drawing and leaves it where the topic shows the entry by
// then.  Those who saw an engine end under the content draw a short time, the others a long
// one, in case no witness is left.  Entries that are over are removed in the same way.
//
//   QuarantineStore kept(&loop, store, &recovery, seed);
//   kept.Keep(content, entry, /*is_witness=*/true, now);
//   kept.OnRecord(content, value);                 // the topic's word
//   kept.Tick(now);                                // a few times a second
//
// A write costs one call, and each gateway one read; there are as many as contents are put
// into quarantine.  At most kMostKept entries are kept there; what is beyond stays with the
// gateways that run, and is counted.

#ifndef GULLWARD_GATEWAY_QUARANTINE_STORE_H_
#define GULLWARD_GATEWAY_QUARANTINE_STORE_H_

#include <map>
#include <optional>
#include <random>
#include <string>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "serving/quarantine_entry.h"

namespace gullward {

class QuarantineStore {
 public:
  // Over which witnesses spread: the topic's news takes up to two seconds, so five witnesses
  // write some two or three times, which does no harm.
  static constexpr Duration kWitnessSpread = seconds(2);
  // The others wait for longer than any witness and its news can take, and spread over this.
  static constexpr Duration kNonWitnessDelay = seconds(6);
  static constexpr Duration kNonWitnessSpread = seconds(30);
  // Over which the removal of an entry that is over is spread.
  static constexpr Duration kRemovalSpread = seconds(60);
  // 60 bytes each, which every gateway reads when it starts.
  static constexpr size_t kMaxEntries = 256;

  QuarantineStore(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                  uint64_t seed)
      : client(event_loop, std::move(store), &store_recovery->returns()),
        recovery(store_recovery),
        random(seed) {}

  // Sees to it that the entry is there.
  void Keep(ContentId content, const QuarantineEntry& entry, bool is_witness, Time now);
  // Sees to it that it is not.
  void Remove(ContentId content, bool is_witness, Time now);

  // What the topic says: an entry, or nothing where it was removed or cannot be read.  Whether
  // it counts: not an entry that was removed before, which the store's return has brought back.
  bool OnRecord(ContentId content, const std::optional<QuarantineEntry>& entry);

  // The store has returned without what was written lately: nothing is known of it now.
  void OnStoreReturn() { this->stored.clear(); }

  // Writes what is due.  `unix_ms` is the time of day.
  void Tick(Time now, int64_t unix_ms);

  uint64_t store_calls() const { return this->client.calls(); }
  // Entries that were not kept for want of room.
  uint64_t dropped_entries() const { return this->dropped_count; }

 private:
  struct PendingWrite {
    // Empty: that there be none.
    std::string value;
    Time due;
  };

  void ScheduleWriteByRole(ContentId content, std::string value, bool is_witness, Time now);
  void ScheduleWrite(ContentId content, std::string value, Duration wait, Duration spread,
                     Time now);
  void ScheduleExpiredRemovals(Time now, int64_t unix_ms);
  void Write(ContentId content, const std::string& value);

  StoreClient client;
  StoreRecovery* recovery;
  std::mt19937_64 random;
  // What the topic holds: until when, in Unix milliseconds.
  std::map<ContentId, int64_t> stored;
  std::map<ContentId, PendingWrite> pending;
  // Entries that were removed, by their end in Unix milliseconds; at most kMostKept.
  std::map<ContentId, int64_t> removed;
  bool is_busy = false;
  uint64_t dropped_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_QUARANTINE_STORE_H_

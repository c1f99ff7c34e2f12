// Keeps the quarantine in the store, for gateways that start later.
//
// A gateway's own records are lost when its process ends, and all processes may end at the same
// time.  Therefore each suspect in quarantine has an entry in the peers' topic, which
// every gateway reads when it starts and then follows.  Any gateway may write the entry: each
// one waits for a random delay and writes only if the topic still lacks the entry.  Witnesses,
// which saw an engine crash while it ran the suspect, use a short delay.  The other gateways
// use a long one, in case no witness is left.  Expired entries are removed in the same way.
//
//   QuarantineStore quarantine_store(&loop, store, &recovery, seed);
//   quarantine_store.Keep(suspect, entry, /*is_witness=*/true, now);
//   quarantine_store.OnRecord(suspect, entry);     // a record of the topic
//   quarantine_store.Tick(now, unix_ms);           // a few times a second
//
// Each quarantined suspect costs one call to write its entry and one read per gateway.  The
// topic holds at most kMaxEntries entries.  Further ones are counted and exist only in the
// running gateways.

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
  // The delays of witnesses are drawn from this range.  An entry takes up to two seconds to reach
  // the other gateways, so five witnesses write it two or three times, which is harmless.
  static constexpr Duration kWitnessSpread = seconds(2);
  // The other gateways wait longer than a witness and the propagation of its entry can take, and
  // then for a delay from the second range.
  static constexpr Duration kNonWitnessDelay = seconds(6);
  static constexpr Duration kNonWitnessSpread = seconds(30);
  // The delays before the removal of an expired entry are drawn from this range.
  static constexpr Duration kRemovalSpread = seconds(60);
  // An entry takes 60 bytes, and every gateway reads all entries when it starts.
  static constexpr size_t kMaxEntries = 256;

  QuarantineStore(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                  uint64_t seed)
      : client(event_loop, std::move(store), &store_recovery->returns()),
        recovery(store_recovery),
        random(seed) {}

  // Ensures that the topic has the entry.
  void Keep(const Suspect& suspect, const QuarantineEntry& entry, bool is_witness, Time now);
  // Ensures that the topic has no entry for the suspect.
  void Remove(const Suspect& suspect, bool is_witness, Time now);

  // Handles the topic's record: an entry, or nothing if it was removed or cannot be parsed.
  // Returns false for an entry that was removed earlier and that the store's return has
  // restored; the caller must ignore that entry.
  bool OnRecord(const Suspect& suspect, const std::optional<QuarantineEntry>& entry);

  // Handles the store's return from an older copy: the topic's content is unknown from now on.
  void OnStoreReturn() { this->stored.clear(); }

  // Sends a write that is due.  `unix_ms` is the time in Unix milliseconds.
  void Tick(Time now, int64_t unix_ms);

  uint64_t store_calls() const { return this->client.calls(); }
  // The number of entries that were not stored because the topic was full.
  uint64_t dropped_entries() const { return this->dropped_count; }

 private:
  struct PendingWrite {
    // The encoded entry, or empty to remove the entry.
    std::string value;
    Time due;
  };

  void ScheduleWriteByRole(const Suspect& suspect, std::string value, bool is_witness, Time now);
  void ScheduleWrite(const Suspect& suspect, std::string value, Duration wait, Duration spread,
                     Time now);
  void ScheduleExpiredRemovals(Time now, int64_t unix_ms);
  void Write(const Suspect& suspect, const std::string& value);

  StoreClient client;
  StoreRecovery* recovery;
  std::mt19937_64 random;
  // The entries of the topic, with the ends of their quarantines in Unix milliseconds.
  std::map<Suspect, int64_t> stored;
  std::map<Suspect, PendingWrite> pending;
  // Removed entries, with the ends of their quarantines in Unix milliseconds; at most
  // kMaxEntries.
  std::map<Suspect, int64_t> removed;
  bool is_busy = false;
  uint64_t dropped_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_QUARANTINE_STORE_H_

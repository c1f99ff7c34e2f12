// Keeps the crashes that a gateway knows in the store, for the process that follows it.
//
// A crash says little until more follow, and in a large fleet the peers remember it.  In a very
// small fleet all processes may end before a content has enough crashes to be refused.  Such a
// gateway therefore keeps the crashes that still count in one record of the peers' topic, under a
// key of its own, so no two gateways write the same record.
//
//   CrashStore crash_store(&loop, store, &recovery, "box-1");
//   crash_store.OnOwnRecord(history);               // read from the topic at the start
//   crash_store.Keep(history, now, unix_ms);        // after a crash, and a few times a second
//
// A new crash is written when kSettleTime has passed since it was known.  Any other change is
// written after kChangeDelay: a content was answered, put into quarantine, or has expired.  Keep
// with no crashes removes the record, and makes no call if there is none.

#ifndef GULLWARD_GATEWAY_CRASH_STORE_H_
#define GULLWARD_GATEWAY_CRASH_STORE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/quarantine_store.h"
#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "serving/crash_records.h"

namespace gullward {

class CrashStore {
 public:
  // The contents of one crashed engine are found in this time.  A record with a part of them would
  // accuse this part alone if the process ended before the next write.
  static constexpr Duration kSettleTime = Quarantine::kBurstWindow;
  // A quarantine is in the store before the crashes that led to it are removed.  Most contents of
  // a crashed engine are answered within this time, so one write serves several.
  static constexpr Duration kChangeDelay = QuarantineStore::kWitnessSpread + seconds(1);

  CrashStore(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
             std::string own_box)
      : client(event_loop, std::move(store), &store_recovery->returns()),
        recovery(store_recovery),
        box(std::move(own_box)) {}

  // Ensures that the topic has this history.  Keeps the latest kMaxStoredCrashes, and none with
  // more than kMaxContentsPerCrash contents: such a crash tells the contents apart least, and a
  // part of it would accuse those in it.  Keeps no crashes if more than kMaxStoredAnswered contents
  // were answered, since the others would be accused.
  void Keep(CrashHistory history, Time now, int64_t unix_ms);

  // Handles the record that an earlier process on this box has left; nullopt if it is invalid.
  void OnOwnRecord(const std::optional<CrashHistory>& history);

  // Handles the store's return from an older copy, which may have any record that was ever written.
  void OnStoreReturn();

  uint64_t store_calls() const { return this->client.calls(); }
  // The crashed engines in the record, as far as known.
  size_t stored_engines() const;

 private:
  // The times of crashes are left out, since they differ by the rounding of the record.
  struct Content {
    std::set<CrashReport> reports;
    std::vector<ContentId> answered;

    bool operator==(const Content&) const = default;
  };

  static Content ContentOf(const CrashHistory& history);
  static void Bound(CrashHistory* history, Time now);
  bool AddsCrash(const Content& content) const;
  void Write(std::string value, Content content);

  StoreClient client;
  StoreRecovery* recovery;
  std::string box;
  // What the record holds; nullopt if that is unknown.
  std::optional<Content> stored = Content();
  // Whether the topic may ever have had a record of this box.
  bool had_record = false;
  // When the record is to be written; empty if it is as it should be.
  std::optional<Time> due;
  bool is_busy = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CRASH_STORE_H_

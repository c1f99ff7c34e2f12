// Records which request holds which idempotency key, according to the log.
//
// All entries replay the same stream of claims.  The request whose claim has the lowest offset
// holds the key, and later claims of the key fail until the holder releases it.  A holder releases
// its key only if it is certain that the request was not run.  Any number of entries may claim a
// key at the same time, because all of them read the claims in the same order.
//
//   ClaimTable table(options);
//   table.Apply(batch, now);
//   std::optional<RequestId> holder = table.Holder(key_hash, now);
//
// A key is kept for `retention` after this process first read its claim.  `retention` is shorter
// than the retention of the log, so a process that starts now still reads every claim that is in
// force.  max_keys bounds the memory.  Once that many keys are held, IsFull() returns true and new
// requests with a key must be refused: if a key were dropped early, its request could run twice.

#ifndef GULLWARD_CLAIMS_CLAIM_TABLE_H_
#define GULLWARD_CLAIMS_CLAIM_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "wire/log_records.h"

namespace gullward {

struct ClaimTableOptions {
  // How long a key is kept after its claim was first read.
  Duration retention = std::chrono::hours(1);
  size_t max_keys = 1'000'000;
};

class ClaimTable {
 public:
  explicit ClaimTable(const ClaimTableOptions& options);

  // Applies the next batch of the log.  A batch that was applied before changes nothing; the log
  // holds a batch twice if its writer repeated an append whose answer was lost.
  void Apply(const ClaimBatch& batch, Time now);

  // Returns the request that holds the key, if any.
  std::optional<RequestId> Holder(uint64_t key_hash, Time now);

  // Whether max_keys keys are held.
  bool IsFull() const { return this->holders.size() >= this->options.max_keys; }

  size_t size() const { return this->holders.size(); }

 private:
  struct Entry {
    RequestId request;
    // When the claim was first read.
    Time read_at;
  };

  // Removes keys and batch numbers that are `retention` old.
  void Expire(Time now);

  ClaimTableOptions options;
  std::unordered_map<uint64_t, Entry> holders;
  // Keys with the time at which their claims were first read, oldest first, for expiry.
  std::deque<std::pair<Time, uint64_t>> order;
  // For each writer, the sequence number of the last batch and when it was applied.  Entries
  // expire like the keys.
  std::map<uint64_t, std::pair<uint64_t, Time>> last_batch;
};

}  // namespace gullward

#endif  // GULLWARD_CLAIMS_CLAIM_TABLE_H_

// Which request holds which idempotency key, as the log has it.
//
// Every entry replays the same stream of claims.  The claim at the lowest offset
// holds the key; later claims of it are lost, until its holder gives it back
// (which it does only when it is certain that nothing was run).  Any number of
// entries may race: they all read the same order.
//
//   ClaimTable table(options);
//   table.Apply(batch, now);
//   std::optional<RequestId> holder = table.Holder(key_hash, now);
//
// A key is remembered for `memory` after this process first read its claim.
// That is shorter than the log's retention, so a process that starts now reads
// every claim that still counts.  Memory is bounded by max_keys; once that many
// are held, IsFull() is true and new keyed requests have to be refused, since a
// key that is forgotten too early could be run twice.

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
  Duration memory = std::chrono::hours(1);
  size_t max_keys = 1'000'000;
};

class ClaimTable {
 public:
  explicit ClaimTable(const ClaimTableOptions& options);

  // Applies a batch, in log order.  A batch of a writer that was applied before
  // (an append repeated after its answer was lost) changes nothing.
  void Apply(const ClaimBatch& batch, Time now);

  // Whose the key is, if anybody's.
  std::optional<RequestId> Holder(uint64_t key_hash, Time now);

  // Whether no further key can be remembered.
  bool IsFull() const { return this->holders.size() >= this->options.max_keys; }

  size_t size() const { return this->holders.size(); }

 private:
  struct Entry {
    RequestId request;
    Time seen;
  };

  void Expire(Time now);

  ClaimTableOptions options;
  std::unordered_map<uint64_t, Entry> holders;
  // Keys in the order in which they were first seen, for expiry.
  std::deque<std::pair<Time, uint64_t>> order;
  // The last batch applied of each writer, with when; expires like the keys.
  std::map<uint64_t, std::pair<uint64_t, Time>> last_batch;
};

}  // namespace gullward

#endif  // GULLWARD_CLAIMS_CLAIM_TABLE_H_

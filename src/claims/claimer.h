// Claims idempotency keys for the requests of one entry in the platform's log.
//
// A request with a key may start only after its claim has been read back from the log as the first
// claim of the key.  The answer to the append is not used: an append can take effect although its
// answer is lost, so only the record itself, read in log order, shows the result.
//
//   claimer.Claim(key_hash, request, now);
//   std::optional<ClaimBatch> batch = claimer.Tick(now);   // append it, ignore the answer
//   claimer.OnRecord(record, now);       // for each record read from the claims stream
//   for (const ClaimOutcome& outcome : claimer.TakeOutcomes()) ...
//
// The log accepts about 100 appends per second from all writers together, so a process has at most
// one pending append and puts all waiting claims into the next one.  If an append has not been
// read back after `retry_period`, it is repeated with the same sequence number; readers ignore the
// second copy.
//
// A claim without an outcome after `timeout` ends as kUnavailable, and its request is not run.
// If the record of the claim is read later and holds the key, a release record frees the key, so
// that the caller can use it again.

#ifndef GULLWARD_CLAIMS_CLAIMER_H_
#define GULLWARD_CLAIMS_CLAIMER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "claims/claim_table.h"
#include "wire/log_records.h"

namespace gullward {

struct ClaimerOptions {
  // Identifies this process in the log.
  uint64_t writer = 0;
  // Minimum time between two appends of this process.
  Duration append_period = milliseconds(100);
  // Time after which an append that was not read back is repeated.
  Duration retry_period = seconds(2);
  // Time after which a claim without an outcome ends as kUnavailable.
  Duration timeout = seconds(5);
  // Upper bound of the records in one append.
  size_t max_batch = 512;
  // Upper bound of the claims without an outcome; further claims are refused at once.
  size_t max_waiting = 10'000;
  ClaimTableOptions table;
};

// The result of a claim.
struct ClaimOutcome {
  enum class Kind { kWon, kLost, kUnavailable };

  RequestId request;
  Kind kind = Kind::kUnavailable;
  // The request that holds the key, if the claim was lost.
  RequestId holder;

  bool operator==(const ClaimOutcome&) const = default;
};

class Claimer {
 public:
  explicit Claimer(const ClaimerOptions& options);

  // Starts to claim a key.  The outcome follows, possibly before this returns.
  void Claim(uint64_t key_hash, const RequestId& request, Time now);

  // Releases a key.  To be called only if its request was certainly not run.
  void Release(uint64_t key_hash, const RequestId& request);

  // Drops a claim whose caller has disconnected.  If the claim is won later, the key is released.
  void Abandon(const RequestId& request);

  // Applies the next record of the claims stream, of any writer.
  void OnRecord(const ClaimBatch& batch, Time now);

  // Handles timeouts and retries.  Returns the batch to be appended now, if any.
  std::optional<ClaimBatch> Tick(Time now);

  // Returns the outcomes since the last call.
  std::vector<ClaimOutcome> TakeOutcomes();

  size_t waiting() const { return this->pending.size(); }
  size_t keys() const { return this->table.size(); }

 private:
  struct Pending {
    uint64_t key_hash = 0;
    Time since;
  };

  // Produces the outcomes of the claims in an own batch that was read back.
  void ResolveClaims(const ClaimBatch& own, Time now);
  // Ends the claims that have exceeded `timeout`.
  void ExpireClaims(Time now);

  ClaimerOptions options;
  ClaimTable table;
  // Claims without an outcome.
  std::map<RequestId, Pending> pending;
  // Records that no batch contains yet.
  std::deque<ClaimRecord> queue;
  // The last batch, until it has been read back.
  std::optional<ClaimBatch> pending_batch;
  Time appended_at;
  uint64_t next_sequence = 1;
  std::vector<ClaimOutcome> outcomes;
};

}  // namespace gullward

#endif  // GULLWARD_CLAIMS_CLAIMER_H_

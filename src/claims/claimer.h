// Claims idempotency keys for one entry, through the platform's log.
//
// A keyed request may start only once its claim has been read back from the log
// as the first one.  Whether an append's own answer arrived does not matter: an
// append can take effect although its answer is lost, so the only proof is the
// record itself, read forward in order like every other record.
//
//   claimer.Claim(key_hash, request, now);
//   ...  AppendClaims action -> append to the log, whatever it answers
//   ...  OnRecord(batch, now) for each record read from the claims stream
//   for (const ClaimOutcome& outcome : claimer.TakeOutcomes()) ...
//
// The log takes about a hundred appends a second in all, so one process has at
// most one append under way and puts every claim that waits into the next one.
// An append that has not been read back after `retry` is made again with the
// same sequence number; readers ignore the second copy.
//
// A claim that is not settled within its patience is given up as kUnavailable:
// the request was not run.  Its record may still turn up; the key is then given
// back with a release record, so that the caller can use it again.

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
  uint64_t writer = 0;
  // Between two appends of one process.
  Duration append_period = milliseconds(100);
  // After which an append that was not read back is made again.
  Duration retry = seconds(2);
  // After which a claim is given up.
  Duration patience = seconds(5);
  size_t max_batch = 512;
  // Claims that may wait; more are refused at once.
  size_t max_waiting = 10'000;
  ClaimTableOptions table;
};

// What became of a claim.
struct ClaimOutcome {
  enum class Kind { kWon, kLost, kUnavailable };

  RequestId request;
  Kind kind = Kind::kUnavailable;
  // The request that holds the key, where the claim was lost.
  RequestId holder;

  bool operator==(const ClaimOutcome&) const = default;
};

class Claimer {
 public:
  explicit Claimer(const ClaimerOptions& options);

  // Begins to claim a key; an outcome follows, maybe at once.
  void Claim(uint64_t key_hash, const RequestId& request, Time now);

  // Gives a key back: its request was certainly not run.
  void Release(uint64_t key_hash, const RequestId& request);

  // Drops a claim whose caller has gone; the key is given back if it was won.
  void Abandon(const RequestId& request);

  // Takes a record of the claims stream, own or another's, in order.
  void OnRecord(const ClaimBatch& batch, Time now);

  // Patience, retries.  Returns the batch to be appended now, if any.
  std::optional<ClaimBatch> Tick(Time now);

  std::vector<ClaimOutcome> TakeOutcomes();

  size_t waiting() const { return this->pending.size(); }
  size_t keys() const { return this->table.size(); }

 private:
  struct Pending {
    uint64_t key_hash = 0;
    Time since;
  };

  void Settle(const ClaimBatch& own, Time now);
  void GiveUpLate(Time now);

  ClaimerOptions options;
  ClaimTable table;
  // Claims without an outcome.
  std::map<RequestId, Pending> pending;
  // Records that no append has taken yet.
  std::deque<ClaimRecord> queue;
  // The batch under way, until it has been read back.
  std::optional<ClaimBatch> under_way;
  Time appended_at;
  uint64_t next_sequence = 1;
  std::vector<ClaimOutcome> outcomes;
};

}  // namespace gullward

#endif  // GULLWARD_CLAIMS_CLAIMER_H_

// Enforces the limits of client accounts: the token rate and the number of requests in flight.
//
// An account has the limits of all [[limit]] objects whose selectors match the account's labels.
// Where several match, the smallest value of each kind applies.  A token bucket enforces
// the rate: the bucket fills at tokens_per_second up to burst_tokens, and an admitted request
// takes the tokens of its prompt and its answer from it.
//
// Entries divide a limit without communication: each of the N entries in the box list enforces
// 1/N of it.  If the load balancer spreads requests evenly, the sum is the limit.  In the worst
// case (the list lags after an entry was added) the account exceeds its limit by one share until
// the list is up to date.  An entry counts at least itself.
//
//   AccountLimits limits;
//   limits.SetEntries(2);
//   LimitResult result = limits.Admit("shop", limit, tokens, now);
//   limits.Finish("shop");

#ifndef GULLWARD_ADMISSION_ACCOUNT_LIMITS_H_
#define GULLWARD_ADMISSION_ACCOUNT_LIMITS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/result_code.h"
#include "config/config_state.h"

namespace gullward {

// The limits that apply to one account; 0 means no limit.
struct EffectiveLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;
  int64_t max_in_flight = 0;

  bool operator==(const EffectiveLimit&) const = default;
};

// Returns the smallest limits of the [[limit]] objects that match the account's labels.
EffectiveLimit LimitOf(const ConfigState& config, const AccountSpec& account);

// Whether a request is within the limits of its account.
struct LimitResult {
  // kOk, kRateLimited or kTooManyInFlight.
  ResultCode code = ResultCode::kOk;
  // After how long a retry may succeed, if the code is not kOk.
  Duration retry_after{};

  bool operator==(const LimitResult&) const = default;
};

class AccountLimits {
 public:
  // Sets the number of entries that divide the limits; 0 counts as 1.
  void SetEntries(size_t count);

  // Admits a request of `tokens` tokens and counts it as in flight, or returns the limit that it
  // exceeds.
  LimitResult Admit(const std::string& account, const EffectiveLimit& limit, uint64_t tokens,
                    Time now);

  // Ends a request that was admitted.
  void Finish(const std::string& account);

  // Removes accounts that have no request in flight and whose bucket is full again.
  void Prune(Time now);

  size_t accounts() const { return this->states.size(); }
  int64_t in_flight(const std::string& account) const;

 private:
  struct State {
    // Tokens in the bucket at `filled_at`; negative after a request larger than the bucket.
    double bucket = 0;
    // This entry's share of the rate, in tokens per second, and of the bucket's size.
    double rate = 0;
    double burst = 0;
    Time filled_at;
    int64_t in_flight = 0;
    // True until the bucket is first filled.
    bool is_new = true;
  };

  size_t entries = 1;
  std::unordered_map<std::string, State> states;
};

}  // namespace gullward

#endif  // GULLWARD_ADMISSION_ACCOUNT_LIMITS_H_

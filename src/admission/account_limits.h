// Limits per client account: token rate, requests in flight.
//
// The limits of an account are those of the [[limit]] objects whose selectors
// match its labels; where several match, the smallest of each kind counts.  A
// token bucket holds the rate: it fills at tokens_per_second up to burst_tokens
// and an admitted request takes its prompt and answer out of it.
//
// Entries share a limit without asking each other: each of the N entries that
// the box list names takes 1/N of it.  With the balancer spreading requests
// evenly that is the limit; in the worst case (the list lags after an entry was
// added) the account exceeds its limit by one share for as long as the list
// lags.  An entry counts at least itself.
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

// The limits that count for one account; 0 means none.
struct EffectiveLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;
  int64_t max_in_flight = 0;

  bool operator==(const EffectiveLimit&) const = default;
};

// Combines the [[limit]] objects that match the account's labels.
EffectiveLimit LimitOf(const ConfigState& config, const AccountSpec& account);

struct LimitResult {
  // kOk, kRateLimited or kTooManyInFlight.
  ResultCode code = ResultCode::kOk;
  // When it makes sense to come back, where the code is not kOk.
  Duration retry_after{};

  bool operator==(const LimitResult&) const = default;
};

class AccountLimits {
 public:
  // How many entries share the limits; at least 1.
  void SetEntries(size_t count);

  // Takes the tokens and a place in flight, or says why not.
  LimitResult Admit(const std::string& account, const EffectiveLimit& limit, uint64_t tokens,
                    Time now);

  // Gives the place in flight back.
  void Finish(const std::string& account);

  // Forgets accounts that are idle and whose bucket is full again.
  void Prune(Time now);

  size_t accounts() const { return this->states.size(); }
  int64_t in_flight(const std::string& account) const;

 private:
  struct State {
    double bucket = 0;
    double rate = 0;
    double burst = 0;
    Time filled_at;
    int64_t in_flight = 0;
    bool fresh = true;
  };

  size_t entries = 1;
  std::unordered_map<std::string, State> states;
};

}  // namespace gullward

#endif  // GULLWARD_ADMISSION_ACCOUNT_LIMITS_H_

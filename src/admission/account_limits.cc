// See account_limits.h for the limits and their division between entries.

#include "admission/account_limits.h"

#include <algorithm>
#include <cmath>

namespace gullward {
namespace {

// Retry-after of a request over the limit of requests in flight.
constexpr Duration kInFlightRetry = seconds(1);

// Returns the smaller of two limits, of which 0 means no limit.
template <typename T>
T SmallerLimit(T a, T b) {
  if (a == 0) return b;
  if (b == 0) return a;
  return std::min(a, b);
}

}  // namespace

EffectiveLimit LimitOf(const ConfigState& config, const AccountSpec& account) {
  EffectiveLimit limit;
  for (const ConfigObject* object : config.All("limit")) {
    const auto& spec = std::get<LimitSpec>(object->spec);
    if (!Matches(spec.accounts, account.labels)) continue;
    limit.tokens_per_second = SmallerLimit(limit.tokens_per_second, spec.tokens_per_second);
    limit.burst_tokens = SmallerLimit(limit.burst_tokens, spec.burst_tokens);
    limit.max_in_flight = SmallerLimit(limit.max_in_flight, spec.max_in_flight);
  }
  return limit;
}

void AccountLimits::SetEntries(size_t count) { this->entries = std::max<size_t>(count, 1); }

LimitResult AccountLimits::Admit(const std::string& account, const EffectiveLimit& limit,
                                 uint64_t tokens, Time now) {
  State& state = this->states[account];
  auto share = static_cast<double>(this->entries);
  if (limit.max_in_flight > 0) {
    auto own = static_cast<int64_t>(std::ceil(static_cast<double>(limit.max_in_flight) / share));
    if (state.in_flight >= own) return {ResultCode::kTooManyInFlight, kInFlightRetry};
  }
  if (limit.tokens_per_second > 0) {
    state.rate = limit.tokens_per_second / share;
    state.burst = std::max(limit.burst_tokens, limit.tokens_per_second) / share;
    if (state.is_new) state.bucket = state.burst;
    state.is_new = false;
    state.bucket += ToSeconds(now - state.filled_at) * state.rate;
    state.bucket = std::min(state.bucket, state.burst);
    state.filled_at = now;
    auto wanted = static_cast<double>(tokens);
    // A request larger than the bucket is admitted when the bucket is full and leaves a negative
    // balance.  Otherwise it could never be served.
    double needed = std::min(wanted, state.burst);
    if (state.bucket < needed) {
      return {ResultCode::kRateLimited, FromSeconds((needed - state.bucket) / state.rate)};
    }
    state.bucket -= wanted;
  }
  ++state.in_flight;
  return {};
}

void AccountLimits::Finish(const std::string& account) {
  auto found = this->states.find(account);
  if (found != this->states.end() && found->second.in_flight > 0) --found->second.in_flight;
}

void AccountLimits::Prune(Time now) {
  for (auto it = this->states.begin(); it != this->states.end();) {
    const State& state = it->second;
    double bucket = state.bucket + ToSeconds(now - state.filled_at) * state.rate;
    bool is_idle = state.in_flight == 0 && bucket >= state.burst;
    it = is_idle ? this->states.erase(it) : std::next(it);
  }
}

int64_t AccountLimits::in_flight(const std::string& account) const {
  auto found = this->states.find(account);
  return found == this->states.end() ? 0 : found->second.in_flight;
}

}  // namespace gullward

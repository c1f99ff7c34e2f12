// A linear model of the time that an engine takes to prefill a prompt.

#ifndef GULLWARD_BASE_PREFILL_SPEED_H_
#define GULLWARD_BASE_PREFILL_SPEED_H_

#include <cstdint>

namespace gullward {

// The parameters of the model: seconds for each token, and for each pair of tokens that
// attention compares.
struct PrefillSpeed {
  double seconds_per_token = 5e-5;
  double seconds_per_token_pair = 0;

  bool operator==(const PrefillSpeed&) const = default;
};

// Number of pairs of tokens that attention compares when the tokens [cached, prompt) are
// computed.  Each of these tokens is compared with all tokens before it, so the number is
// the area of a trapezoid.
inline double TokenPairs(uint64_t cached, uint64_t prompt) {
  if (prompt <= cached) return 0;
  auto c = static_cast<double>(cached);
  auto p = static_cast<double>(prompt);
  return (p - c) * (p + c) / 2;
}

// Seconds that it takes to prefill the tokens [cached, prompt), when the first `cached` tokens
// are in the engine's cache.
inline double Seconds(const PrefillSpeed& speed, uint64_t cached, uint64_t prompt) {
  if (prompt <= cached) return 0;
  return speed.seconds_per_token * static_cast<double>(prompt - cached) +
         speed.seconds_per_token_pair * TokenPairs(cached, prompt);
}

}  // namespace gullward

#endif  // GULLWARD_BASE_PREFILL_SPEED_H_

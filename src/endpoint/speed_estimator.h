// Estimates the prefill speed of one engine from the prefills that it has finished.
//
// If c tokens of a prompt are cached, prefilling the remaining tokens of a prompt of p tokens has
// two costs: work that is equal for every token, and attention, which compares each token with all
// tokens before it.  The attention cost is proportional to the area of a trapezoid,
// (p^2 - c^2) / 2.  The TTFT router of vllm-project/production-stack (PR #670) uses the attention
// cost alone and assumes that all engines are equally fast.  Here each engine has a coefficient of
// its own for each term:
//
//   seconds = a * (p - c) + b * (p^2 - c^2) / 2
//
// a and b are fitted by recursive least squares with exponential forgetting, so the estimate
// follows an engine that becomes slow within a few answers.
//
//   SpeedEstimator speed(PrefillSpeed{5e-5, 1e-10});
//   speed.Observe(cached, prompt, seconds);
//   double seconds = Seconds(speed.speed(), cached, prompt);

#ifndef GULLWARD_ENDPOINT_SPEED_ESTIMATOR_H_
#define GULLWARD_ENDPOINT_SPEED_ESTIMATOR_H_

#include <cstdint>

#include "base/prefill_speed.h"

namespace gullward {

class SpeedEstimator {
 public:
  // Starts from an initial estimate, which a few observations outweigh.
  explicit SpeedEstimator(const PrefillSpeed& initial);

  // Updates the estimate with one finished prefill.  Observations without computed tokens are
  // ignored.
  void Observe(uint64_t cached_tokens, uint64_t prompt_tokens, double seconds);

  const PrefillSpeed& speed() const { return this->estimate; }

 private:
  PrefillSpeed estimate;
  // The symmetric 2x2 matrix of recursive least squares, in scaled units: the inverse of the
  // weighted sum of the products of the features.
  double p00;
  double p01;
  double p11;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_SPEED_ESTIMATOR_H_

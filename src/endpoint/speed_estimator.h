// Learns how fast one engine prefills, from prefills that it has finished.
//
// Prefilling the tokens from c (cached) to p (all) costs two things: work that
// is the same for each token, and attention, where each token looks at all
// before it.  The second is the area of a trapezoid, (p^2 - c^2) / 2; this is
// the sum that the TTFT router of vllm-project/production-stack PR #670 uses
// alone, assuming that all engines are equally fast.  Here both terms have a
// coefficient of their own for each engine:
//
//   seconds = a * (p - c) + b * (p^2 - c^2) / 2
//
// a and b are fitted by recursive least squares with forgetting, so an engine
// that turns slow is known to be slow after a few answers.
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
  // Starts from a guess, which a few observations outweigh.
  explicit SpeedEstimator(const PrefillSpeed& guess);

  // Takes one finished prefill.  Observations of no tokens are ignored.
  void Observe(uint64_t cached_tokens, uint64_t prompt_tokens, double seconds);

  const PrefillSpeed& speed() const { return this->estimate; }

 private:
  PrefillSpeed estimate;
  // Inverse of the weighted sum of products, in scaled units.
  double p00;
  double p01;
  double p11;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_SPEED_ESTIMATOR_H_

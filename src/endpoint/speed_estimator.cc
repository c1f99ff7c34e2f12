// Recursive least squares with two unknowns; speed_estimator.h tells what for.

#include "endpoint/speed_estimator.h"

#include <algorithm>

namespace gullward {
namespace {

// Features are scaled to thousands of tokens and millions of pairs, so that
// both columns are of like size for the prompts that we see.
constexpr double kTokenScale = 1e3;
constexpr double kPairScale = 1e6;

// Weight that an observation keeps after each later one.
constexpr double kForgetting = 0.95;

// Uncertainty of the first guess, in scaled units: large, so that it yields.
constexpr double kInitialVariance = 1.0;

// Bounds the uncertainty, which forgetting would let grow without end while all
// prompts are alike.
constexpr double kMaxVariance = 100.0;

}  // namespace

SpeedEstimator::SpeedEstimator(const PrefillSpeed& guess)
    : estimate(guess), p00(kInitialVariance), p01(0), p11(kInitialVariance) {}

void SpeedEstimator::Observe(uint64_t cached, uint64_t prompt, double seconds) {
  if (prompt <= cached || !(seconds >= 0)) return;
  double x0 = static_cast<double>(prompt - cached) / kTokenScale;
  double x1 = TokenPairs(cached, prompt) / kPairScale;
  // Long prompts must not drown short ones: weigh by the relative error.
  double weight = 1.0 / (x0 * x0 + x1 * x1);
  double w0 = this->estimate.seconds_per_token * kTokenScale;
  double w1 = this->estimate.seconds_per_token_pair * kPairScale;

  double g0 = this->p00 * x0 + this->p01 * x1;
  double g1 = this->p01 * x0 + this->p11 * x1;
  double denominator = kForgetting / weight + x0 * g0 + x1 * g1;
  double k0 = g0 / denominator;
  double k1 = g1 / denominator;
  double error = seconds - (w0 * x0 + w1 * x1);
  w0 += k0 * error;
  w1 += k1 * error;
  this->p00 = std::min((this->p00 - k0 * g0) / kForgetting, kMaxVariance);
  this->p01 = (this->p01 - k0 * g1) / kForgetting;
  this->p11 = std::min((this->p11 - k1 * g1) / kForgetting, kMaxVariance);
  // A bounded diagonal needs a bounded corner, or the matrix loses its sense.
  this->p01 = std::clamp(this->p01, -kMaxVariance, kMaxVariance);

  this->estimate.seconds_per_token = std::max(w0 / kTokenScale, 1e-9);
  this->estimate.seconds_per_token_pair = std::max(w1 / kPairScale, 0.0);
}

}  // namespace gullward

// Recursive least squares with two unknowns; speed_estimator.h describes the model.

#include "endpoint/speed_estimator.h"

#include <algorithm>

namespace gullward {
namespace {

// Features are scaled to thousands of tokens and millions of pairs, so that both have a similar
// magnitude for usual prompts.
constexpr double kTokenScale = 1e3;
constexpr double kPairScale = 1e6;

// Factor by which each new observation reduces the weight of the earlier ones.
constexpr double kForgetting = 0.95;

// Variance of the initial estimate, in scaled units; large, so that observations soon outweigh it.
constexpr double kInitialVariance = 1.0;

// Upper bound of the variance.  Without it, forgetting would let the variance grow without limit
// while all prompts have similar lengths.
constexpr double kMaxVariance = 100.0;

}  // namespace

SpeedEstimator::SpeedEstimator(const PrefillSpeed& initial)
    : estimate(initial), p00(kInitialVariance), p01(0), p11(kInitialVariance) {}

void SpeedEstimator::Observe(uint64_t cached, uint64_t prompt, double seconds) {
  if (prompt <= cached || !(seconds >= 0)) return;
  double x0 = static_cast<double>(prompt - cached) / kTokenScale;
  double x1 = TokenPairs(cached, prompt) / kPairScale;
  // Weigh by the relative error; otherwise long prompts would outweigh short ones.
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
  // Since the diagonal is bounded, the off-diagonal element must be bounded too; otherwise the
  // matrix becomes meaningless.
  this->p01 = std::clamp(this->p01, -kMaxVariance, kMaxVariance);

  this->estimate.seconds_per_token = std::max(w0 / kTokenScale, 1e-9);
  this->estimate.seconds_per_token_pair = std::max(w1 / kPairScale, 0.0);
}

}  // namespace gullward

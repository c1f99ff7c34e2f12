// What this process believes of an engine from its own attempts.
//
// The platform's list says who should be there; only an answer shows who works.
// An engine that fails a few times in a row is set aside for a while that
// doubles with each further failure; then single requests try it again.  One
// that fails now and then gets a penalty that fades as answers come.
//
//   EngineHealth health;
//   health.AddFailure(now);
//   if (health.IsOut(now)) ...

#ifndef GULLWARD_SERVING_ENGINE_HEALTH_H_
#define GULLWARD_SERVING_ENGINE_HEALTH_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace gullward {

class EngineHealth {
 public:
  // Failures in a row after which an engine is set aside.
  static constexpr int kFailuresToSetAside = 2;
  static constexpr Duration kFirstPause = milliseconds(600);
  // Engines come back from crashes within seconds; waiting longer loses them.
  static constexpr Duration kMaxPause = seconds(5);
  // The pause doubles so many times at the most: from 0.6 s past the longest.
  static constexpr int kMostDoublings = 4;
  // In which the failure rate halves without any answer.
  static constexpr Duration kHalfLife = seconds(2);
  // How long a success of our own outweighs the others' word: about as long as
  // their word holds.
  static constexpr Duration kOwnWordLasts = milliseconds(700);
  // Weight of the newest answer in the failure rate.
  static constexpr double kNewestWeight = 0.1;

  void AddSuccess(Time now) {
    this->failures_in_row = 0;
    this->out_until = Time{};
    this->succeeded_at = now;
    this->failure_rate = (1 - kNewestWeight) * this->FailureRate(now);
    this->rated_at = now;
  }

  void AddFailure(Time now) {
    this->failures_in_row += 1;
    double rate = this->FailureRate(now);
    this->failure_rate = rate + kNewestWeight * (1 - rate);
    this->rated_at = now;
    if (this->failures_in_row < kFailuresToSetAside) return;
    int doublings = std::min(this->failures_in_row - kFailuresToSetAside, kMostDoublings);
    this->out_until = now + std::min(kFirstPause * (1 << doublings), kMaxPause);
  }

  // A failure that leaves no doubt, since the engine was never reached or others
  // have set it aside: it is set aside without a second try.
  void AddCertainFailure(Time now) {
    this->failures_in_row = std::max(this->failures_in_row, kFailuresToSetAside - 1);
    this->AddFailure(now);
  }

  bool IsSetAside(Time now) const { return now < this->out_until; }

  // Whether it has answered so lately that our own experience outweighs what
  // others say.
  bool SucceededLately(Time now) const { return now - this->succeeded_at < kOwnWordLasts; }

  // 0 (never) to 1 (always), of late.  It fades with time too: an engine that
  // gets no work because of it could never show that it is well again.
  double FailureRate(Time now) const {
    double half_lives = ToSeconds(now - this->rated_at) / ToSeconds(kHalfLife);
    return this->failure_rate * std::exp2(-half_lives);
  }

 private:
  int failures_in_row = 0;
  double failure_rate = 0;
  Time rated_at{};
  Time succeeded_at{};
  Time out_until{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_HEALTH_H_

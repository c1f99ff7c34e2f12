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

#include "base/clock.h"

namespace gullward {

class EngineHealth {
 public:
  // Failures in a row after which an engine is set aside.
  static constexpr int kFailuresToSetAside = 2;
  static constexpr Duration kFirstPause = milliseconds(600);
  // Engines come back from crashes within seconds; waiting longer loses them.
  static constexpr Duration kLongestPause = seconds(5);
  // Weight of the newest answer in the failure rate.
  static constexpr double kNewestWeight = 0.1;

  void AddSuccess() {
    this->failures_in_row = 0;
    this->out_until = Time{};
    this->failure_rate *= 1 - kNewestWeight;
  }

  void AddFailure(Time now) {
    this->failures_in_row += 1;
    this->failure_rate += kNewestWeight * (1 - this->failure_rate);
    if (this->failures_in_row < kFailuresToSetAside) return;
    int doublings = std::min(this->failures_in_row - kFailuresToSetAside, 4);
    this->out_until = now + std::min(kFirstPause * (1 << doublings), kLongestPause);
  }

  // The engine was never reached: it is set aside without a second try.
  void AddUnreachable(Time now) {
    this->failures_in_row = std::max(this->failures_in_row, kFailuresToSetAside - 1);
    this->AddFailure(now);
  }

  bool IsOut(Time now) const { return now < this->out_until; }

  // 0 (never) to 1 (always), of late.
  double FailureRate() const { return this->failure_rate; }

 private:
  int failures_in_row = 0;
  double failure_rate = 0;
  Time out_until{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_HEALTH_H_

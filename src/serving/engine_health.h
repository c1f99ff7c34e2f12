// Records the successes and failures of one engine, as seen by this gateway's own attempts.
//
// The platform's list states which engines should be running; only answers show which ones work.
// An engine that fails several times in a row is set aside: it gets no work for a pause, which
// doubles with each further failure.  After the pause, single requests try the engine again.  An
// engine that fails now and then has a failure rate, which raises its cost (engine_costs.h) and
// decays with successes and with time.
//
//   EngineHealth health;
//   health.AddFailure(now);
//   if (health.IsSetAside(now)) ...

#ifndef GULLWARD_SERVING_ENGINE_HEALTH_H_
#define GULLWARD_SERVING_ENGINE_HEALTH_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"
#include "base/half_life.h"

namespace gullward {

class EngineHealth {
 public:
  // Failures in a row after which an engine is set aside.
  static constexpr int kFailuresToSetAside = 2;
  // For how long an engine is set aside at first.
  static constexpr Duration kFirstPause = milliseconds(600);
  // Engines are back from crashes within seconds; a longer pause would leave them unused.
  static constexpr Duration kMaxPause = seconds(5);
  // Maximum number of times that the pause doubles: from 0.6 s to beyond kMaxPause.
  static constexpr int kMaxDoublings = 4;
  // Time in which the failure rate halves if no answers come.
  static constexpr Duration kHalfLife = seconds(2);
  // For how long after a success of this gateway the reports of peers against the engine are
  // ignored: about as long as such a report is valid.
  static constexpr Duration kOwnSuccessPrecedence = milliseconds(700);
  // Weight of the newest answer in the failure rate.
  static constexpr double kNewestWeight = 0.1;

  void AddSuccess(Time now) {
    this->failures_in_row = 0;
    this->set_aside_until = Time{};
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
    int doublings = std::min(this->failures_in_row - kFailuresToSetAside, kMaxDoublings);
    this->set_aside_until = now + std::min(kFirstPause * (1 << doublings), kMaxPause);
  }

  // Records a failure that sets the engine aside at once: the engine could not be reached, or
  // peers have set it aside already.
  void AddCertainFailure(Time now) {
    this->failures_in_row = std::max(this->failures_in_row, kFailuresToSetAside - 1);
    this->AddFailure(now);
  }

  bool IsSetAside(Time now) const { return now < this->set_aside_until; }

  // Whether the last success is so recent that it takes precedence over reports of peers.
  bool SucceededRecently(Time now) const {
    return now - this->succeeded_at < kOwnSuccessPrecedence;
  }

  // Recent failure rate, from 0 (no failures) to 1 (all attempts fail).  It decays with time as
  // well as with successes: otherwise an engine that gets no work because of its rate could never
  // show that it works again.
  double FailureRate(Time now) const {
    return this->failure_rate * HalfLifeDecay(now - this->rated_at, kHalfLife);
  }

 private:
  int failures_in_row = 0;
  // As of `rated_at`.
  double failure_rate = 0;
  Time rated_at{};
  Time succeeded_at{};
  Time set_aside_until{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_HEALTH_H_

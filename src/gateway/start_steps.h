// What a gateway that starts still waits for, and since when each step is done.
//
// A gateway can serve when it knows from whom it reads the topics, has read the configuration,
// holds a proof that the keys are current, and knows the list of engines.  The steps overlap, so
// each is counted from the start.  A step that was done once stays done: a proof that lapses
// later is no part of the start.
//
//   StartSteps start(now);
//   bool is_over_now = start.Note({.gateways = true, .config = true}, now);
//   if (start.IsCauseOf(ResultCode::kNotReady)) ...

#ifndef GULLWARD_GATEWAY_START_STEPS_H_
#define GULLWARD_GATEWAY_START_STEPS_H_

#include <array>
#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "base/result_code.h"

namespace gullward {

// Which conditions hold at a moment.
struct StartConditions {
  // The gateways are known, so reads of the topics have begun.
  bool gateways = false;
  bool config = false;
  // The keys of the configuration are proved to be current.
  bool keys = false;
  bool engines = false;

  bool operator==(const StartConditions&) const = default;
};

enum class StartStep : size_t { kGateways, kConfig, kKeys, kEngines };

// The steps and their names in the log and in the metrics.
struct StartStepName {
  StartStep step;
  const char* name;
  bool StartConditions::*condition;
};
inline constexpr std::array<StartStepName, 4> kStartSteps = {{
    {StartStep::kGateways, "gateways", &StartConditions::gateways},
    {StartStep::kConfig, "config", &StartConditions::config},
    {StartStep::kKeys, "keys", &StartConditions::keys},
    {StartStep::kEngines, "engines", &StartConditions::engines},
}};

class StartSteps {
 public:
  explicit StartSteps(Time process_started) : started(process_started) {}

  // Notes what holds at `now`.  Returns true once: when all conditions first hold together.
  bool Note(const StartConditions& conditions, Time now) {
    if (this->serving) return false;
    for (const StartStepName& step : kStartSteps) {
      std::optional<Duration>& took = this->times[static_cast<size_t>(step.step)];
      if (!took && conditions.*step.condition) took = now - this->started;
    }
    if (conditions != StartConditions{true, true, true, true}) return false;
    this->serving = now - this->started;
    return true;
  }

  // The time from the start until the step was done; empty before.
  std::optional<Duration> TimeOf(StartStep step) const {
    return this->times[static_cast<size_t>(step)];
  }

  // The time from the start until the gateway could first serve; empty before.
  std::optional<Duration> serving_after() const { return this->serving; }

  Duration SinceStart(Time now) const { return now - this->started; }

  // Whether a request is refused with this code because the start is not over.
  bool IsCauseOf(ResultCode code) const {
    if (this->serving) return false;
    if (code == ResultCode::kNotReady) return !this->TimeOf(StartStep::kConfig);
    if (code == ResultCode::kKeysNotVouched) return !this->TimeOf(StartStep::kKeys);
    if (code == ResultCode::kNoEndpoint) return !this->TimeOf(StartStep::kEngines);
    return false;
  }

 private:
  Time started;
  std::array<std::optional<Duration>, kStartSteps.size()> times;
  std::optional<Duration> serving;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_START_STEPS_H_

// Compares the value that a request would have with its cost to others.

#include "serving/refusal.h"

#include "serving/engine_costs.h"

namespace gullward {
namespace {

// A request that was refused before may cost others this many times its own value.
constexpr double kRefusedBeforeFactor = 1.2;
// Share of the objective from which an expected first event counts as late here.  It is higher than
// the share for long prompts in engine_costs.cc: a wrong estimate here loses the whole answer, but
// in a choice among placements only some engine time.
constexpr double kRefusalSafety = 0.6;
// The wait for a slot counts as the cause of a late answer if it exceeds this share of the
// objective.
constexpr double kMaxSlotWaitShare = 0.8;

}  // namespace

bool ShouldRefuse(const Placement& placement, const Demand& demand) {
  double lateness = Lateness(placement.first_event_ms, demand.objective_ms, kRefusalSafety);
  double value = RequestValue(demand.prompt_tokens) * (1 - kLateLoss * lateness);
  double engine_time_value = demand.refusal.value_per_engine_second * placement.engine_seconds;
  double cost =
      placement.cost_to_streams + placement.utilization * placement.utilization * engine_time_value;
  double factor = demand.refusal.value_factor;
  if (demand.was_refused_before) factor *= kRefusedBeforeFactor;
  if (cost > factor * value) return true;
  bool slot_wait_is_cause = placement.slot_wait_ms > kMaxSlotWaitShare * demand.objective_ms;
  return slot_wait_is_cause && placement.first_event_ms > demand.objective_ms;
}

}  // namespace gullward

// What a request would earn is held against what others would lose by it.

#include "serving/refusal.h"

#include "serving/engine_costs.h"

namespace gullward {
namespace {

// What a second of an engine earns when all are busy, over the kinds of requests that share
// them.
constexpr double kWorthPerEngineSecond = 8;
// A request that was refused before may cost others so many times what it earns.
constexpr double kComeBackShare = 1.2;
// A request is refused for being late only from this share of its aim on: here a wrong
// guess loses the whole answer, among placements only some engine time.
constexpr double kRefusalSafety = 0.6;
// A wait for a slot of this share of the objective counts as the cause of a late
// answer.
constexpr double kHopelessSlotShare = 0.8;

}  // namespace

bool ShouldRefuse(const Placement& placement, const Demand& demand) {
  double late = Lateness(placement.first_event_ms, demand.objective_ms, kRefusalSafety);
  double earned = RequestValue(demand.prompt_tokens) * (1 - kLateLoss * late);
  double taken = kWorthPerEngineSecond * placement.engine_seconds;
  double price = placement.cost_to_streams + placement.utilization * placement.utilization * taken;
  double share = demand.was_refused_before ? kComeBackShare : 1;
  if (price > share * earned) return true;
  bool slots_bind = placement.slot_wait_ms > kHopelessSlotShare * demand.objective_ms;
  return slots_bind && placement.first_event_ms > demand.objective_ms;
}

}  // namespace gullward

// Compares the value that a request would have with its cost to others.

#include "serving/refusal.h"

#include <algorithm>
#include <optional>

#include "overload/ranks.h"
#include "serving/engine_costs.h"

namespace gullward {
namespace {

// A request that was refused before may cost others this many times its own value.
constexpr double kRefusedBeforeFactor = 1.2;
// The same for a caller that returns when it was told to: another refusal would be its last.
constexpr double kPromisedFactor = 2;
// Share of the objective from which an expected first event counts as late here.  It is higher than
// the share for long prompts in engine_costs.cc: a wrong estimate here loses the whole answer, but
// in a choice among placements only some engine time.
constexpr double kRefusalSafety = 0.6;
// The wait for a slot counts as the cause of a late answer if it exceeds this share of the
// objective.
constexpr double kMaxSlotWaitShare = 0.8;

// The factor on engine time, which rises from 1 at kRoomyUtilization to
// RefusalTerms::engine_time_factor at full utilization.
double EngineTimeFactor(const Placement& placement, const RefusalTerms& terms) {
  double shortage = (placement.utilization - kRoomyUtilization) / (1 - kRoomyUtilization);
  return 1 + (terms.engine_time_factor - 1) * std::clamp(shortage, 0.0, 1.0);
}

// The mean utilization of the engines, with what is kept for others counted as used.
double UtilizationWithReserved(const Placement& placement, const RefusalTerms& terms) {
  double reserved = terms.reserved_seconds_per_engine * 1000 / kFullUseReadingMs;
  return reserved > 0 && !terms.is_promised ? std::min(placement.utilization + reserved, 1.0)
                                            : placement.utilization;
}

bool IsAfterCallerGivesUp(const Placement& placement, const RefusalTerms& terms) {
  return terms.time_left_ms > 0 && placement.first_event_ms > terms.time_left_ms;
}

}  // namespace

bool ShouldRefuse(const Placement& placement, const Demand& demand) {
  const RefusalTerms& terms = demand.refusal;
  if (terms.is_promised && IsAfterCallerGivesUp(placement, terms)) return true;
  double lateness = Lateness(placement.first_event_ms, demand.objective_ms, kRefusalSafety);
  double value = RequestValue(demand.prompt_tokens) * (1 - kLateLoss * lateness);
  double engine_time_value =
      terms.value_per_engine_second * placement.engine_seconds * EngineTimeFactor(placement, terms);
  double utilization = UtilizationWithReserved(placement, terms);
  double cost = placement.cost_to_streams + utilization * utilization * engine_time_value;
  double factor = terms.value_factor;
  if (terms.is_promised) {
    factor *= kPromisedFactor;
  } else if (demand.was_refused_before) {
    factor *= kRefusedBeforeFactor;
  }
  if (cost > factor * value) return true;
  bool slot_wait_is_cause = placement.slot_wait_ms > kMaxSlotWaitShare * demand.objective_ms;
  return slot_wait_is_cause && placement.first_event_ms > demand.objective_ms;
}

Placement ChooseByRank(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                       const Demand& demand, const PlacementOptions& options) {
  Placement chosen = Choose(candidates, speed, demand, options);
  if (demand.last_rank_steps == 0 || !ShouldRefuse(chosen, demand)) return chosen;
  auto admitted_as = [&](int rank_steps) -> std::optional<Placement> {
    Demand other = demand;
    other.rank_steps = rank_steps;
    Placement placement = Choose(candidates, speed, other, options);
    if (ShouldRefuse(placement, demand)) return std::nullopt;
    return placement;
  };
  if (chosen.utilization <= kRoomyUtilization) {
    if (std::optional<Placement> placement = admitted_as(0)) return *placement;
  }
  for (int steps = demand.rank_steps + 1; steps <= demand.last_rank_steps; ++steps) {
    std::optional<Placement> placement = admitted_as(steps);
    if (placement) return *placement;
  }
  return chosen;
}

}  // namespace gullward

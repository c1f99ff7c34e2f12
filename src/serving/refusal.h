// Decides which requests to refuse at once instead of running them.
//
//   Placement placement = ChooseByRank(candidates, speed, demand);
//   if (ShouldRefuse(placement, demand)) ...      // 503 with a Retry-After header

#ifndef GULLWARD_SERVING_REFUSAL_H_
#define GULLWARD_SERVING_REFUSAL_H_

#include <vector>

#include "serving/placement.h"

namespace gullward {

// Whether to refuse a request whose best placement is `placement`.  It is refused if
//
//   - its cost to others (longer pauses of their streams, and engine time while engines are busy)
//     exceeds the value that its answer would have, or
//   - all slots are in use and the wait for a slot alone makes its answer late.
//
// Idle engines never cause a refusal.  What is kept for others (RefusalTerms) counts as in use.
// A caller that returns at the time that it was told may cost others twice as much, and is refused
// if its first event is expected after it gives up.
bool ShouldRefuse(const Placement& placement, const Demand& demand);

// As Choose, but if the request would be refused, tries the placements that it would have with
// other ranks and returns the first with which it is not refused: as if ranks were equal unless
// engines are more than half utilized, and as each less urgent rank of the service.  A
// request is thus not refused where a less urgent one with the same need is not.
Placement ChooseByRank(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                       const Demand& demand, const PlacementOptions& options = {});

}  // namespace gullward

#endif  // GULLWARD_SERVING_REFUSAL_H_

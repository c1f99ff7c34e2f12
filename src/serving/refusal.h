// Decides which requests to refuse at once instead of running them.
//
//   Placement placement = Choose(candidates, speed, demand);
//   if (ShouldRefuse(placement, demand)) ...      // 503 with a Retry-After header

#ifndef GULLWARD_SERVING_REFUSAL_H_
#define GULLWARD_SERVING_REFUSAL_H_

#include "serving/placement.h"

namespace gullward {

// Whether to refuse a request whose best placement is `placement`.  It is refused if
//
//   - its cost to others (longer pauses of their streams, and engine time while engines are busy)
//     exceeds the value that its answer would have, or
//   - all slots are in use and the wait for a slot alone makes its answer late.
//
// Idle engines never cause a refusal.
bool ShouldRefuse(const Placement& placement, const Demand& demand);

}  // namespace gullward

#endif  // GULLWARD_SERVING_REFUSAL_H_

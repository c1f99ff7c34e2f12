// Which requests are better refused at once than run, by what the best placement would cost.
//
//   Placement placement = Choose(candidates, speed, demand);
//   if (ShouldRefuse(placement, demand)) ...      // 503, with when to come back

#ifndef GULLWARD_SERVING_REFUSAL_H_
#define GULLWARD_SERVING_REFUSAL_H_

#include "serving/placement.h"

namespace gullward {

// Whether a request is better refused at once and told when to come back: what it
// would cost others (pauses of their streams, and engine time that busy engines
// have not got) is more than it would earn, or every slot is taken and the wait for
// one alone makes its answer late.  Never on engines that are idle.
bool ShouldRefuse(const Placement& placement, const Demand& demand);

}  // namespace gullward

#endif  // GULLWARD_SERVING_REFUSAL_H_

// Decay of figures that halve in a fixed time.
//
//   value *= HalfLifeDecay(now - value_at, kHalfLife);

#ifndef GULLWARD_BASE_HALF_LIFE_H_
#define GULLWARD_BASE_HALF_LIFE_H_

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace gullward {

// The share that is left after `age`: 1/2 after each half-life, and 1 if `age` is negative.
inline double HalfLifeDecay(Duration age, Duration half_life) {
  return std::exp2(-std::max(ToSeconds(age), 0.0) / ToSeconds(half_life));
}

}  // namespace gullward

#endif  // GULLWARD_BASE_HALF_LIFE_H_

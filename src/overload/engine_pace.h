#ifndef GULLWARD_OVERLOAD_ENGINE_PACE_H_
#define GULLWARD_OVERLOAD_ENGINE_PACE_H_

namespace gullward {}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_ENGINE_PACE_H_

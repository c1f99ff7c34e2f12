#ifndef GULLWARD_OVERLOAD_RANKS_H_
#define GULLWARD_OVERLOAD_RANKS_H_

namespace gullward {}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_RANKS_H_

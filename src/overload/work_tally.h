#ifndef GULLWARD_OVERLOAD_WORK_TALLY_H_
#define GULLWARD_OVERLOAD_WORK_TALLY_H_

namespace gullward {}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_WORK_TALLY_H_

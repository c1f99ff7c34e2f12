#ifndef GULLWARD_OVERLOAD_WORK_PRICE_H_
#define GULLWARD_OVERLOAD_WORK_PRICE_H_

namespace gullward {}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_WORK_PRICE_H_

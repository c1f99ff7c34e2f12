#ifndef GULLWARD_OVERLOAD_RETURN_BOOK_H_
#define GULLWARD_OVERLOAD_RETURN_BOOK_H_

namespace gullward {}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_RETURN_BOOK_H_

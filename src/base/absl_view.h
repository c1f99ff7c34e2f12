// Debian's Abseil is built for C++14, where absl::string_view is a type of its own.

#ifndef GULLWARD_BASE_ABSL_VIEW_H_
#define GULLWARD_BASE_ABSL_VIEW_H_

#include <string_view>

#include "absl/strings/string_view.h"

namespace gullward {

// The same text for a call of Abseil.
inline absl::string_view AbslView(std::string_view text) { return {text.data(), text.size()}; }

// The same text from a call of Abseil.
inline std::string_view StdView(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace gullward

#endif  // GULLWARD_BASE_ABSL_VIEW_H_

// Conversions between std::string_view and absl::string_view.  They are different types,
// because Debian's Abseil is built for C++14.

#ifndef GULLWARD_BASE_ABSL_VIEW_H_
#define GULLWARD_BASE_ABSL_VIEW_H_

#include <string_view>

#include "absl/strings/string_view.h"

namespace gullward {

// Converts a text to pass it to Abseil.
inline absl::string_view AbslView(std::string_view text) { return {text.data(), text.size()}; }

// Converts a text that Abseil returned.
inline std::string_view StdView(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace gullward

#endif  // GULLWARD_BASE_ABSL_VIEW_H_

// The header fields of an HTTP message, with lookup, removal and serialization.
//
// Field names are compared case-insensitively, as RFC 9110 requires:
//
//   std::optional<std::string_view> id = FindHeader(headers, "Content-Type");
//   RemoveHeaders(&headers, "Connection");

#ifndef GULLWARD_HTTP_HEADER_LIST_H_
#define GULLWARD_HTTP_HEADER_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gullward {

// Names and values, in the order in which they stand in the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Whether two field names are equal, ignoring case.
bool SameHeaderName(std::string_view left, std::string_view right);

// The value of the first field called `name`; nothing if there is no such field.  The view is
// valid as long as `headers` is not changed.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name);

// Removes every field called `name`.
void RemoveHeaders(HttpHeaders* headers, std::string_view name);

// Removes the hop-by-hop fields (RFC 9110, section 7.6.1): a fixed list of fields, and
// every field that the Connection field names.  A field for which `keep` returns true
// stays even if Connection names it; otherwise a sender could have an end-to-end field
// removed.  `keep` does not protect the fields of the fixed list.
void RemoveHopByHopHeaders(HttpHeaders* headers, bool (*keep)(std::string_view name));

// Appends "name: value\r\n" to `out`.
void AppendHeader(std::string* out, std::string_view name, std::string_view value);

// Parses a decimal number without a sign.  Returns nothing if `text` holds anything else
// or if the number exceeds 64 bits.
std::optional<uint64_t> ParseCount(std::string_view text);

}  // namespace gullward

#endif  // GULLWARD_HTTP_HEADER_LIST_H_

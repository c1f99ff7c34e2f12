// A message's header fields, in order, and the look-ups that everybody needs.
//
// Names compare without regard to case, as HTTP wants it:
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

// Names and values, in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Whether two header names are the same name.
bool SameHeaderName(std::string_view left, std::string_view right);

// The value of the first field of that name.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name);

// Removes every field of that name.
void RemoveHeaders(HttpHeaders* headers, std::string_view name);

// Removes the fields that concern one connection only (RFC 9110, 7.6.1): the
// known ones, and those that the Connection field names.  A field that `keep`
// approves stays though Connection names it, so that a sender cannot have an
// end-to-end field dropped.
void RemoveHopByHopHeaders(HttpHeaders* headers, bool (*keep)(std::string_view name));

// Appends "Name: value\r\n".
void AppendHeader(std::string* out, std::string_view name, std::string_view value);

// Reads a whole non-negative number; nothing if the text is anything else.
std::optional<uint64_t> ParseCount(std::string_view text);

}  // namespace gullward

#endif  // GULLWARD_HTTP_HEADER_LIST_H_

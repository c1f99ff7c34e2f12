// A linear scan, because a message has about a dozen fields and a scan of so few is
// faster than a map.

#include "http/header_list.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

constexpr std::string_view kHopByHopNames[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

bool IsHopByHop(std::string_view name) {
  return std::any_of(std::begin(kHopByHopNames), std::end(kHopByHopNames),
                     [name](std::string_view known) { return SameHeaderName(known, name); });
}

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(AbslView(left), AbslView(right));
}

std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (SameHeaderName(field, name)) return value;
  }
  return std::nullopt;
}

void RemoveHeaders(HttpHeaders* headers, std::string_view name) {
  headers->erase(
      std::remove_if(headers->begin(), headers->end(),
                     [name](const auto& field) { return SameHeaderName(field.first, name); }),
      headers->end());
}

void RemoveHopByHopHeaders(HttpHeaders* headers, bool (*keep)(std::string_view name)) {
  std::vector<std::string> connection_tokens;
  for (const auto& [name, value] : *headers) {
    if (!SameHeaderName(name, "Connection")) continue;
    for (absl::string_view token : absl::StrSplit(value, ',')) {
      connection_tokens.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }
  auto drop = [&](const auto& field) {
    if (IsHopByHop(field.first)) return true;
    if (keep(field.first)) return false;
    return std::any_of(
        connection_tokens.begin(), connection_tokens.end(),
        [&](const std::string& token) { return SameHeaderName(token, field.first); });
  };
  headers->erase(std::remove_if(headers->begin(), headers->end(), drop), headers->end());
}

void AppendHeader(std::string* out, std::string_view name, std::string_view value) {
  out->append(name);
  out->append(": ");
  out->append(value);
  out->append("\r\n");
}

std::optional<uint64_t> ParseCount(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || parsed_end != end) return std::nullopt;
  return value;
}

}  // namespace gullward

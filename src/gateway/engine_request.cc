// The header fields of the platform are named in platform/headers.h.

#include "gateway/engine_request.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "platform/headers.h"
#include "platform/prompt_parts.h"

namespace gullward {
namespace {

// Longer timeouts of callers are reduced to this one.
constexpr uint64_t kMaxTimeoutMs = 24ull * 3600 * 1000;

bool ParseTokens(std::string_view text, double* value) {
  std::optional<uint64_t> count = ParseCount(text);
  if (!count) return false;
  *value = static_cast<double>(*count);
  return true;
}

// Decodes "PROMPT,ANSWER", two counts of tokens; the second one may be missing.
bool ReadTokenCount(std::string_view text, RequestFacts* facts) {
  size_t comma = text.find(',');
  if (!ParseTokens(text.substr(0, comma), &facts->prompt_tokens)) return false;
  if (comma == std::string_view::npos) return true;
  return ParseTokens(text.substr(comma + 1), &facts->answer_tokens);
}

}  // namespace

RequestFacts ReadFacts(const RequestHead& head) {
  RequestFacts facts;
  facts.attempt_id = std::string(FindHeader(head.headers, platform::kAttemptId).value_or(""));
  std::optional<std::string_view> deadline = FindHeader(head.headers, platform::kDeadlineMs);
  if (deadline) {
    std::optional<uint64_t> count = ParseCount(*deadline);
    facts.valid = count.has_value();
    uint64_t bounded = std::min(count.value_or(0), kMaxTimeoutMs);
    facts.timeout = milliseconds(bounded);
  }
  std::optional<std::string_view> tokens = FindHeader(head.headers, platform::kTokenCount);
  if (tokens && !ReadTokenCount(*tokens, &facts)) facts.valid = false;
  std::string_view parts = FindHeader(head.headers, platform::kPromptParts).value_or("");
  for (std::string_view id : platform::SharedParts(parts)) {
    facts.shared_parts.push_back(PartIdOf(id));
  }
  return facts;
}

void KeepForwardedHeaders(HttpHeaders* headers) {
  RemoveHopByHopHeaders(headers, platform::IsEndToEnd);
  headers->erase(
      std::remove_if(headers->begin(), headers->end(),
                     [](const auto& field) { return platform::IsGatewayOnly(field.first); }),
      headers->end());
}

void KeepAnsweredHeaders(HttpHeaders* headers) {
  RemoveHopByHopHeaders(headers, platform::IsEndToEnd);
}

std::string EngineRequestHead(const RequestHead& head, size_t body_bytes,
                              const AttemptHeaders& added) {
  std::string text = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : head.headers) {
    bool is_replaced = added.last_event_id && SameHeaderName(name, platform::kLastEventId);
    if (!is_replaced) AppendHeader(&text, name, value);
  }
  AppendHeader(&text, platform::kDeadlineMs, absl::StrCat(ToMillis(added.time_left)));
  AppendHeader(&text, platform::kExpectedEngine, added.engine_id);
  if (!added.account.empty()) AppendHeader(&text, platform::kAccount, added.account);
  if (added.rank) AppendHeader(&text, platform::kPriority, absl::StrCat(*added.rank));
  if (added.last_event_id) AppendHeader(&text, platform::kLastEventId, *added.last_event_id);
  if (!added.readers.empty()) {
    AppendHeader(&text, platform::kReaders, absl::StrJoin(added.readers, ","));
  }
  bool has_body =
      body_bytes > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
  if (has_body) AppendHeader(&text, "Content-Length", absl::StrCat(body_bytes));
  text += "\r\n";
  return text;
}

}  // namespace gullward

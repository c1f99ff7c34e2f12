// engine_request.h tells which fields go where.

#include "gateway/engine_request.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "platform/headers.h"

namespace gullward {
namespace {

// A caller that says a longer time is taken to wait for this long.
constexpr uint64_t kLongestPatienceMs = 24ull * 3600 * 1000;

bool IsPlainCount(std::string_view text, double* value) {
  std::optional<uint64_t> count = ParseCount(text);
  if (!count) return false;
  *value = static_cast<double>(*count);
  return true;
}

// "PROMPT,ANSWER"; the second part may be missing.
bool ReadTokenCount(std::string_view text, RequestFacts* facts) {
  size_t comma = text.find(',');
  if (!IsPlainCount(text.substr(0, comma), &facts->prompt_tokens)) return false;
  if (comma == std::string_view::npos) return true;
  return IsPlainCount(text.substr(comma + 1), &facts->answer_tokens);
}

}  // namespace

RequestFacts ReadFacts(const RequestHead& head) {
  RequestFacts facts;
  facts.attempt_id = std::string(FindHeader(head.headers, platform::kAttemptId).value_or(""));
  std::optional<std::string_view> deadline = FindHeader(head.headers, platform::kDeadlineMs);
  if (deadline) {
    std::optional<uint64_t> count = ParseCount(*deadline);
    facts.valid = count.has_value();
    uint64_t bounded = std::min(count.value_or(0), kLongestPatienceMs);
    facts.timeout = milliseconds(bounded);
  }
  std::optional<std::string_view> tokens = FindHeader(head.headers, platform::kTokenCount);
  if (tokens && !ReadTokenCount(*tokens, &facts)) facts.valid = false;
  return facts;
}

void KeepForwardedHeaders(HttpHeaders* headers) {
  RemoveHopByHopHeaders(headers, platform::IsEndToEnd);
  headers->erase(
      std::remove_if(headers->begin(), headers->end(),
                     [](const auto& field) { return platform::IsOursToSet(field.first); }),
      headers->end());
}

void KeepAnsweredHeaders(HttpHeaders* headers) {
  RemoveHopByHopHeaders(headers, platform::IsEndToEnd);
}

std::string EngineRequestText(const CallerRequest& request, const EngineOrders& orders) {
  std::string text = absl::StrCat(request.head.method, " ", request.head.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : request.head.headers) {
    bool replaced = orders.last_event_id && SameHeaderName(name, platform::kLastEventId);
    if (!replaced) AppendHeader(&text, name, value);
  }
  AppendHeader(&text, platform::kDeadlineMs, absl::StrCat(ToMillis(orders.time_left)));
  AppendHeader(&text, platform::kExpectedEngine, orders.engine_id);
  if (!orders.account.empty()) AppendHeader(&text, platform::kAccount, orders.account);
  if (orders.last_event_id) AppendHeader(&text, platform::kLastEventId, *orders.last_event_id);
  if (!orders.readers.empty()) {
    AppendHeader(&text, platform::kReaders, absl::StrJoin(orders.readers, ","));
  }
  bool has_body = !request.body.empty() || request.head.method == "POST" ||
                  request.head.method == "PUT" || request.head.method == "PATCH";
  if (has_body) AppendHeader(&text, "Content-Length", absl::StrCat(request.body.size()));
  text += "\r\n";
  text += request.body;
  return text;
}

}  // namespace gullward

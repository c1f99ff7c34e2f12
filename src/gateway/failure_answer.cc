// The body is written without JSON escapes, because the names and descriptions in the table of
// result codes need none.

#include "gateway/failure_answer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "platform/headers.h"

namespace gullward {
namespace {

// The share of the route's objective after which a refused caller should try again.
constexpr double kRetryAfterShare = 0.3;

// The same while a gateway starts, as long as no route is known: other gateways may serve by then.
constexpr Duration kMaxStartRetryAfter = seconds(1);

}  // namespace

Duration UsualRetryAfter(const Route* route) {
  if (route == nullptr) return kMinRetryAfter;
  return std::max(kMinRetryAfter, FromSeconds(kRetryAfterShare * ToSeconds(route->objective)));
}

AnswerHead FailureHead(ResultCode code, const std::string& attempt_id, const Route* route,
                       std::optional<Duration> retry_after) {
  const ResultCodeInfo& info = Info(code);
  AnswerHead head;
  head.status = info.http_status;
  head.reason = info.name;
  if (!attempt_id.empty()) head.headers.emplace_back(platform::kAttemptId, attempt_id);
  head.headers.emplace_back("Content-Type", "application/json");
  bool is_temporary = info.http_status == 503 || info.http_status == 429;
  if (is_temporary) {
    Duration told = retry_after ? std::max(kMinRetryAfter, *retry_after) : UsualRetryAfter(route);
    head.headers.emplace_back(platform::kRetryAfter, absl::StrCat(ToSeconds(told)));
  }
  return head;
}

Duration RetryAfterDuringStart(const Route* route, Duration since_start) {
  Duration longest = route != nullptr ? UsualRetryAfter(route) : kMaxStartRetryAfter;
  return std::clamp(since_start, kMinRetryAfter, longest);
}

std::string FailureBody(ResultCode code) {
  const ResultCodeInfo& info = Info(code);
  return absl::StrCat("{\"code\":", static_cast<uint32_t>(code), ",\"name\":\"", info.name,
                      "\",\"message\":\"", info.description, "\"}");
}

}  // namespace gullward

// The body is written without escapes: the table's names and descriptions need none.

#include "gateway/failure_answer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "platform/headers.h"

namespace gullward {
namespace {

// After this a caller that was refused may come back: an engine's pass and the
// news of it take about as long.
constexpr double kComeBackSeconds = 0.3;
// Share of the objective after which it may.
constexpr double kComeBackShare = 0.3;

double ComeBackSeconds(const Route* route, std::optional<Duration> come_back) {
  if (come_back) return std::max(kComeBackSeconds, ToSeconds(*come_back));
  if (route == nullptr) return kComeBackSeconds;
  return std::max(kComeBackSeconds, kComeBackShare * ToSeconds(route->objective));
}

}  // namespace

AnswerHead FailureHead(ResultCode code, const std::string& attempt_id, const Route* route,
                       std::optional<Duration> come_back) {
  const ResultCodeInfo& info = Info(code);
  AnswerHead head;
  head.status = info.http_status;
  head.reason = info.name;
  if (!attempt_id.empty()) head.headers.emplace_back(platform::kAttemptId, attempt_id);
  head.headers.emplace_back("Content-Type", "application/json");
  bool for_now = info.http_status == 503 || info.http_status == 429;
  if (for_now) {
    head.headers.emplace_back(platform::kRetryAfter,
                              absl::StrCat(ComeBackSeconds(route, come_back)));
  }
  return head;
}

std::string FailureBody(ResultCode code) {
  const ResultCodeInfo& info = Info(code);
  return absl::StrCat("{\"code\":", static_cast<uint32_t>(code), ",\"name\":\"", info.name,
                      "\",\"message\":\"", info.description, "\"}");
}

}  // namespace gullward

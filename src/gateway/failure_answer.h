// The answer that a gateway sends to the caller when a request fails.
//
//   AnswerHead head = FailureHead(ResultCode::kOverloaded, attempt_id, route);
//   channel->Answer(head, FailureBody(ResultCode::kOverloaded));
//   // {"code":2003,"name":"...","message":"..."}

#ifndef GULLWARD_GATEWAY_FAILURE_ANSWER_H_
#define GULLWARD_GATEWAY_FAILURE_ANSWER_H_

#include <optional>
#include <string>

#include "base/result_code.h"
#include "gateway/caller_channel.h"
#include "serving/serving_config.h"

namespace gullward {

// The minimum time until a refused caller should try again.  An engine's pass over its requests
// and the update of its load at the gateways take about as long.
inline constexpr Duration kMinRetryAfter = milliseconds(300);

// Returns after how long to try again where nothing is known of when the reason ends: a share of
// the route's objective, so that the answer may still be in time.  `route` may be null.
Duration UsualRetryAfter(const Route* route);

// Returns the status and the header fields of the answer.  For statuses 429 and 503 the fields
// say after how many seconds to try again.  That is `retry_after` if it is set, for a reason whose
// end is known; otherwise it is UsualRetryAfter.  It is never too short for engines to make
// progress.  `attempt_id` may be empty; `route` is null if no route was found.
AnswerHead FailureHead(ResultCode code, const std::string& attempt_id, const Route* route,
                       std::optional<Duration> retry_after = std::nullopt);

// Returns after how long to try again a request that was refused because the gateway is starting,
// `since_start` after it began to.  A start that has taken some time is expected to take as long
// again.  Never later than for another refusal on this route; a second at most where none is known.
Duration RetryAfterDuringStart(const Route* route, Duration since_start);

// Returns the code's row of the table of result codes as JSON.
std::string FailureBody(ResultCode code);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_FAILURE_ANSWER_H_

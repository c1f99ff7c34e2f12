// What an engine says of itself in an answer: the load that it takes, that it is leaving, or
// that it wants a pause.
//
// The platform's names and formats of these are decoded by platform/engine_notice.h.

#ifndef GULLWARD_SERVING_ENGINE_NOTICE_H_
#define GULLWARD_SERVING_ENGINE_NOTICE_H_

#include <optional>

#include "base/clock.h"

namespace gullward {

// Of one answer.
struct EngineNotice {
  // Requests a second that the engine takes from all gateways together.
  std::optional<double> limit_per_s = std::nullopt;
  // The engine is leaving and wants no new request for the rest of its life.
  bool leaving = false;
  // The engine wants no request from the gateway that it answers for so long.
  std::optional<Duration> rest = std::nullopt;
  // Whether one of them stood in the answer and could not be read.
  bool malformed = false;
  // Whether the answer is a success that is proved to be the engine's own.  Something in front
  // of an engine may write failures that say nothing of the engine.
  bool is_own_success = false;

  bool operator==(const EngineNotice&) const = default;
};

// What an engine has said of its limit, and how long ago.
struct LimitReport {
  // No value: the engine no longer names a limit.
  std::optional<double> per_s = std::nullopt;
  Duration age{};

  bool operator==(const LimitReport&) const = default;
};

// What one gateway tells another of an engine's notices.  The pause is not among them: it is
// asked of one gateway alone.
struct NoticeReport {
  std::optional<LimitReport> limit = std::nullopt;
  bool leaving = false;

  bool operator==(const NoticeReport&) const = default;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_NOTICE_H_

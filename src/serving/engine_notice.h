// Data that an engine states about itself in an answer: a limit on the requests that it takes,
// that it is leaving, or that it asks for a pause; and the reports of them among gateways.
//
// platform/engine_notice.h decodes these from the platform's names and formats.

#ifndef GULLWARD_SERVING_ENGINE_NOTICE_H_
#define GULLWARD_SERVING_ENGINE_NOTICE_H_

#include <optional>

#include "base/clock.h"

namespace gullward {

// The notices in one answer.
struct EngineNotice {
  // Requests a second that the engine takes from all gateways together.
  std::optional<double> limit_per_s = std::nullopt;
  // The engine is leaving and takes no new requests for the rest of its incarnation.
  bool leaving = false;
  // The engine takes no requests for this time from the gateway that receives the answer.
  std::optional<Duration> rest = std::nullopt;
  // Whether the answer had a notice that could not be decoded.
  bool malformed = false;
  // Whether the answer is a success that provably comes from the engine itself.  A proxy in front
  // of an engine may send failures of its own, which say nothing about the engine.
  bool is_own_success = false;

  bool operator==(const EngineNotice&) const = default;
};

// What an engine stated about its limit, and how long ago.
struct LimitReport {
  // No value: the engine no longer names a limit.
  std::optional<double> per_s = std::nullopt;
  Duration age{};

  bool operator==(const LimitReport&) const = default;
};

// What one gateway reports to another about an engine's notices.  A pause is not reported, since
// the engine asks one gateway alone for it.
struct NoticeReport {
  std::optional<LimitReport> limit = std::nullopt;
  bool leaving = false;

  bool operator==(const NoticeReport&) const = default;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_NOTICE_H_

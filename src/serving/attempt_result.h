// What one attempt at an engine came to, and what follows for the request.
//
// The engine's transport and answer are first put into one of a few classes
// (Classify), then the request's state decides (DecideNext).  Both are pure, so
// every combination stands in a table of the test.
//
//   AttemptResult result = Classify(answer);
//   NextStep step = DecideNext(result, state);

#ifndef GULLWARD_SERVING_ATTEMPT_RESULT_H_
#define GULLWARD_SERVING_ATTEMPT_RESULT_H_

#include "serving/serving_config.h"

namespace gullward {

enum class AttemptResult {
  // A whole answer of success, sealed by the engine.
  kSuccess,
  // A whole answer of failure (5xx) that the engine stands by; it has run.
  kEngineFailure,
  // The engine turns the request itself down (3xx, 4xx): any other would too.
  kRejected,
  // The engine says that it did not run the request, or was never reached.
  kNotRun,
  // Another engine has taken over the address; not run.
  kWrongEngine,
  // Anything else: reset, cut short, garbled, timed out.  It may have run.
  kUnknown,
};

// What is known of an answer's head, in the terms that decide.
struct AnswerFacts {
  int status = 0;
  bool sealed = false;
  bool says_not_run = false;
  // The body is encoded, which no caller asked for.
  bool encoded = false;

  bool operator==(const AnswerFacts&) const = default;
};

AttemptResult Classify(const AnswerFacts& facts);

struct RequestState {
  Repeat repeat = Repeat::kNever;
  // Attempts that may have run so far, the one that just ended included.
  int attempts_run = 0;
  // All attempts so far.
  int attempts = 0;
  int max_attempts = 1;
  // Whether part of the answer has gone to the caller.
  bool answer_begun = false;
  // Whether any earlier attempt may have run.
  bool may_have_run = false;
  bool time_left = true;

  bool operator==(const RequestState&) const = default;
};

enum class NextStep {
  // Pass the answer on.
  kDeliver,
  // Try another engine, if the retry budget has room.
  kRetry,
  // Answer 503: it has not run.
  kRefuse,
  // Answer 502: it may have run.
  kFail,
  // Break the answer that has begun off, so that it is seen as incomplete.
  kBreakOff,
};

// Attempts that were certainly not run do not count against max_attempts, up to
// this many attempts in all.
inline constexpr int kMaxAttempts = 4;

NextStep DecideNext(AttemptResult result, const RequestState& state);

// What remains when another attempt is wanted but the budget is spent or no
// engine is left.
NextStep DecideWithoutRetry(AttemptResult result, const RequestState& state);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ATTEMPT_RESULT_H_

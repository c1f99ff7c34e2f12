// Classifies the outcome of one attempt at an engine and decides the next step of its request.
//
// Classify maps the engine's answer to one of a few results.  DecideNext combines a result with
// the state of the request.  Both functions are pure, and their test covers every combination.
//
//   AttemptResult result = Classify(answer);
//   NextStep step = DecideNext(result, state);

#ifndef GULLWARD_SERVING_ATTEMPT_RESULT_H_
#define GULLWARD_SERVING_ATTEMPT_RESULT_H_

#include "serving/serving_config.h"

namespace gullward {

enum class AttemptResult {
  // A complete answer of success, sealed by the engine.
  kSuccess,
  // A complete answer of failure (5xx) from the engine itself; the request has run.
  kEngineFailure,
  // The engine rejects the request itself (3xx, 4xx); any other engine would do the same.
  kRejected,
  // The engine states that it did not run the request, or it was never reached.
  kNotRun,
  // Another engine has taken over the address; the request did not run.
  kWrongEngine,
  // Anything else: reset, truncated, malformed or timed out.  The request may have run.
  kUnknown,
};

// The facts of an answer's head on which Classify depends.
struct AnswerFacts {
  int status = 0;
  bool sealed = false;
  bool says_not_run = false;
  // The body has a content encoding, which no caller asked for.
  bool encoded = false;

  bool operator==(const AnswerFacts&) const = default;
};

AttemptResult Classify(const AnswerFacts& facts);

struct RequestState {
  Repeat repeat = Repeat::kNever;
  // Attempts that may have run so far, including the one that just ended.
  int attempts_run = 0;
  // All attempts so far.
  int attempts = 0;
  int max_attempts = 1;
  // Whether a part of the answer has been sent to the caller.
  bool answer_begun = false;
  // Whether an earlier attempt may have run.
  bool may_have_run = false;
  bool time_left = true;

  bool operator==(const RequestState&) const = default;
};

enum class NextStep {
  // Send the answer to the caller.
  kDeliver,
  // Try another engine, if the retry budget allows it.
  kRetry,
  // Answer 503: the request has not run.
  kRefuse,
  // Answer 502: the request may have run.
  kFail,
  // Abort the answer that has begun, so that the caller sees that it is incomplete.
  kBreakOff,
};

// Maximum number of attempts in all.  Attempts that certainly did not run do not count towards
// max_attempts, but they count towards this.
inline constexpr int kMaxAttempts = 4;

NextStep DecideNext(AttemptResult result, const RequestState& state);

// The next step if a retry is needed, but the retry budget is spent or no engine is left.
NextStep DecideWithoutRetry(AttemptResult result, const RequestState& state);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ATTEMPT_RESULT_H_

// attempt_result.h tells the rules.

#include "serving/attempt_result.h"

namespace gullward {
namespace {

constexpr int kMisdirected = 421;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that would promise a caller that nothing has run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool MayRepeat(const RequestState& state) {
  if (state.repeat == Repeat::kAllowed) return !state.answer_begun;
  return state.repeat == Repeat::kResumeStream;
}

}  // namespace

AttemptResult Classify(const AnswerFacts& facts) {
  if (facts.status == kMisdirected) return AttemptResult::kWrongEngine;
  if (facts.says_not_run) return AttemptResult::kNotRun;
  if (facts.encoded) return AttemptResult::kUnknown;
  if (IsSuccess(facts.status)) {
    return facts.sealed ? AttemptResult::kSuccess : AttemptResult::kUnknown;
  }
  // Passed on, such a status would promise what the engine does not.
  if (PromisesNotRun(facts.status)) return AttemptResult::kUnknown;
  return facts.status >= 500 ? AttemptResult::kEngineFailure : AttemptResult::kRejected;
}

NextStep DecideNext(AttemptResult result, const RequestState& state) {
  if (result == AttemptResult::kSuccess) return NextStep::kDeliver;
  bool was_not_run = result == AttemptResult::kNotRun || result == AttemptResult::kWrongEngine;
  bool attempts_left =
      state.attempts_run < state.max_attempts && state.attempts < kMaxAttempts && state.time_left;
  bool worth_retry = was_not_run || (result != AttemptResult::kRejected && MayRepeat(state));
  if (attempts_left && worth_retry) return NextStep::kRetry;
  return DecideWithoutRetry(result, state);
}

NextStep DecideWithoutRetry(AttemptResult result, const RequestState& state) {
  if (state.answer_begun) return NextStep::kBreakOff;
  bool engine_answered =
      result == AttemptResult::kEngineFailure || result == AttemptResult::kRejected;
  if (engine_answered) return NextStep::kDeliver;
  if (result == AttemptResult::kUnknown) return NextStep::kFail;
  // A request that may be repeated can be refused: running it again is harmless
  // and the caller is told when to come back.
  bool ran_once = state.may_have_run && state.repeat == Repeat::kNever;
  return ran_once ? NextStep::kFail : NextStep::kRefuse;
}

}  // namespace gullward

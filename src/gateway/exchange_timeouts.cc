// Timeouts of an exchange, checked at each tick:
//
//   - At the request's deadline it ends.  An answer that has begun is broken off; otherwise the
//     request fails with a code that does not say whether it ran.
//   - When the engine has been silent for longer than its expected next event and its load
//     explain, the attempt is abandoned and sent to another engine, if the request may run again.
//   - When the rest of a failure that is not needed keeps the attempt from ending, the attempt is
//     abandoned.
//   - While the connection to the engine is not established, the attempt is withdrawn if the
//     engine leaves or asks for a rest.
//   - In a planned stop of the process, a request that no engine has is refused, since another
//     gateway has more time for it.  At the end of the grace every request ends.

#include "gateway/exchange.h"
#include "gateway/failure_answer.h"
#include "serving/silence_timeout.h"

namespace gullward {
namespace {

// How long after its head the body of a failure that is not needed may take.
constexpr Duration kMaxFailureTime = milliseconds(250);

}  // namespace

// The time in milliseconds in which the engine is expected to send its next event, or a plain
// service its answer.
double Exchange::ExpectedSilenceMs() const {
  const Route& route = *this->admission.route;
  if (!this->service->runs_models) return ToSeconds(route.objective) * 1000;
  if (this->attempt->any_event) return ToSeconds(route.longest_pause) * 1000;
  return this->attempt->choice.placement.first_event_ms;
}

void Exchange::Tick(Time now) {
  if (this->is_finished) return;
  if (this->decision_awaited_until) {
    this->StartUnlessSuspect(now);
    return;
  }
  if (this->tickets) this->tickets->Tick(now);
  if (!this->attempt) return;
  if (now >= this->admission.answer_deadline) {
    this->GiveUp(ResultCode::kDeadlineExceeded);
    return;
  }
  bool awaits_check = this->attempt->ended.has_value();
  if (awaits_check) return;
  if (this->ShouldWithdraw(now)) {
    this->Withdraw(now);
    return;
  }
  if (this->IsFailureOverdue(now)) {
    this->AbandonAnswer("failure");
    return;
  }
  if (!this->state->fleet.mechanisms().leave_silent_engines) return;
  if (this->IsTooSilent(now) && this->MayTryAnotherEngine(now)) this->LeaveSilentEngine(now);
}

Duration Exchange::AttemptSilenceTimeout() const {
  double expected_ms = this->ExpectedSilenceMs();
  bool is_first = this->service->runs_models && !this->attempt->any_event;
  bool waits_for_late = this->state->fleet.mechanisms().wait_for_late_first;
  if (!is_first || !waits_for_late) return SilenceTimeout(expected_ms);
  return FirstEventTimeout(expected_ms, ToSeconds(this->admission.route->objective) * 1000);
}

bool Exchange::IsTooSilent(Time now) const {
  Duration silent = now - this->attempt->last_progress;
  if (silent < this->AttemptSilenceTimeout()) return false;
  const EngineRecord& engine = this->attempt->choice.engine;
  EngineLoad load = this->state->fleet.loads().LoadOn(engine.Incarnation(), now);
  return !LoadExplainsSilence(load, engine.slots, silent);
}

// Whether the request could be sent again if the attempt under way ended now, assuming that the
// engine may have run it.
bool Exchange::MayTryAnotherEngine(Time now) const {
  if (this->state->fleet.AllHoldBack(*this->service, now)) return false;
  RequestState decision = this->StateForDecision(now);
  decision.attempts_run += 1;
  if (DecideNext(AttemptResult::kUnknown, decision) != NextStep::kRetry) return false;
  return this->state->fleet.RetryBucketOf(this->service->name).Available(now) >= 1;
}

// Whether the attempt has failed, its body is not needed, and that body has not ended in time.  It
// is needed if the failure is to be the caller's answer, or if only a whole answer can show that
// the request has not run.
bool Exchange::IsFailureOverdue(Time now) const {
  bool has_failed = this->attempt->head_at && this->attempt->head_result != AttemptResult::kSuccess;
  if (!has_failed || now - *this->attempt->head_at < kMaxFailureTime) return false;
  if (this->admission.route->repeat == Repeat::kNever || !this->BoundsAnswers()) return false;
  bool may_retry_failure =
      this->attempt->head_result == AttemptResult::kEngineFailure && this->MayTryAnotherEngine(now);
  return !this->IsDeliverableFailure() || may_retry_failure;
}

void Exchange::LeaveSilentEngine(Time now) {
  Duration silent = now - this->attempt->last_progress;
  this->state->log->Write(this->Line("engine_silent")
                              .Text("engine", this->attempt->choice.engine.Incarnation())
                              .Number("silent_ms", ToSeconds(silent) * 1000));
  this->state->fleet.NoteFailure(this->attempt->choice.engine.Incarnation(), /*unreachable=*/false,
                                 now);
  this->attempt->channel->Close();
  this->AfterAttempt(AttemptResult::kUnknown);
}

// Whether the attempt still waits for a connection to an engine that takes no more requests.
bool Exchange::ShouldWithdraw(Time now) const {
  return this->attempt->channel->is_connecting() &&
         !this->state->fleet.ShouldKeepWaiting(this->attempt->choice.engine, now);
}

// Ends the attempt before anything was sent, so the request counts as not run.
void Exchange::Withdraw(Time now) {
  this->state->log->Write(this->Line("withdrawn")
                              .Text("engine", this->attempt->choice.engine.Incarnation())
                              .Number("waited_ms", ToSeconds(now - this->attempt->sent) * 1000));
  this->attempt->channel->Close();
  this->AfterAttempt(AttemptResult::kNotRun);
}

// A request that may have run goes on: it cannot be refused as not run.
bool Exchange::MustRefuseForStop() const {
  return this->state->refuses_unsent && !this->answer_begun && !this->may_have_run;
}

// Other gateways take the request at once.
void Exchange::RefuseForStop() { this->Refuse(ResultCode::kDraining, kMinRetryAfter); }

void Exchange::EndForStop() {
  if (this->is_finished) return;
  bool is_sent = this->attempt && !this->attempt->channel->is_connecting();
  if (is_sent || this->may_have_run) {
    this->GiveUp(ResultCode::kGatewayStopped);
  } else {
    this->GiveUp(ResultCode::kDraining, kMinRetryAfter);
  }
}

// Ends the request, and breaks off an answer that has begun.
void Exchange::GiveUp(ResultCode code, std::optional<Duration> retry_after) {
  this->CancelAttempt();
  if (this->answer_begun) {
    this->ApplyStep(NextStep::kBreakOff, AttemptResult::kUnknown);
  } else {
    this->Refuse(code, retry_after);
  }
}

}  // namespace gullward

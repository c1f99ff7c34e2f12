// Handling of requests that may crash engines (crash_watch.h).  The exchange reports attempts
// whose connection broke and answers that are whole to the crash watch.  It refuses requests whose
// content or prompt is in quarantine, and lets those wait on which the decision is pending.

#include <algorithm>
#include <vector>

#include "gateway/exchange.h"

namespace gullward {

ContentId Exchange::Content() {
  if (!this->content) {
    const RequestHead& head = this->request.head;
    this->content = ContentOf({this->admission.account, head.method, head.target, *this->body});
  }
  return *this->content;
}

std::vector<Suspect> Exchange::Suspects() {
  return this->state->crash_watch->SuspectsOfRequest(this->Content(), this->facts.shared_parts);
}

// Reports that the attempt's connection broke, which may mean that its engine has crashed.
void Exchange::NoteBrokenOff() {
  LogLine line = this->Line("attempt_broken");
  line.Text("content", ContentName(this->Content()))
      .Text("parts", PartNames(this->facts.shared_parts))
      .Text("engine", this->attempt->choice.engine.Incarnation())
      .Number("worked_ms", ToSeconds(Now() - this->attempt->sent) * 1000);
  this->state->crash_watch->NoteBrokenAttempt(this->attempt->choice.engine, this->Suspects(),
                                              this->attempt->sent, line);
}

// Whether only the end of the connection shows that a stream is complete.  The kernel closes the
// connections of an engine that crashes in the same way.
bool Exchange::MustConfirmEnd() const {
  return this->state->fleet.mechanisms().confirm_stream_end &&
         this->admission.route->repeat == Repeat::kResumeStream &&
         this->attempt->head.ends_with_connection &&
         this->attempt->head_result == AttemptResult::kSuccess && !this->IsIncompleteStream();
}

// Asks whether the engine is still there.  If it is gone, the stream is resumed at another engine,
// which ends it at once if it was complete.
void Exchange::ConfirmEnd() {
  std::weak_ptr<Exchange> weak = this->weak_from_this();
  auto done = [weak, number = this->attempts](EngineFinding finding) {
    auto self = weak.lock();
    bool is_waiting = self && self->attempt && self->attempts == number && !self->is_finished;
    if (!is_waiting) return;
    bool is_gone = finding == EngineFinding::kGone;
    self->ConcludeAttempt(is_gone ? ChannelResult::kBroken : ChannelResult::kWholeAnswer);
  };
  this->state->crash_watch->CheckEngine(this->attempt->choice.engine, done);
}

// Returns the connection to the pool.  Only a successful answer shows that an engine survives
// the request: an engine that fails some of its requests does not run those requests.
void Exchange::NoteWholeAnswer(AttemptResult result) {
  this->state->pool.Give(this->attempt->choice.engine, this->attempt->channel, Now());
  CrashWatch& watch = *this->state->crash_watch;
  bool must_note = result == AttemptResult::kSuccess && watch.is_enabled();
  if (must_note) watch.NoteAnswered(this->Suspects(), Now());
}

// Whether a retry might crash another engine: the last attempt broke off, and the request is
// refused or not allowed a second attempt.
bool Exchange::MayCrashAnotherEngine(Time now) {
  CrashWatch& watch = *this->state->crash_watch;
  if (!this->broke_off || !watch.has_records()) return false;
  return this->RefusedFor(now) || !watch.AllowsSecondAttempt(this->Suspects());
}

// For how long requests like this one are refused because they have crashed engines; nullopt
// if they are not refused.
std::optional<Duration> Exchange::RefusedFor(Time now) {
  CrashWatch& watch = *this->state->crash_watch;
  return watch.has_records() ? watch.RefusedFor(this->Suspects(), now) : std::nullopt;
}

// Starts the first attempt, or refuses the request if its content or a part of its prompt is in
// quarantine.  While the decision is pending the request waits: at that time harmless requests that
// ran on the same engines are suspected too, and most of them are served a moment later.
void Exchange::StartUnlessSuspect(Time now) {
  std::optional<Duration> wait = this->RefusedFor(now);
  if (wait && this->AwaitDecision(*wait, now)) return;
  this->decision_awaited_until.reset();
  if (wait) {
    this->Refuse(ResultCode::kQuarantined, wait);
    return;
  }
  this->state->fleet.RetryBucketOf(this->service->name)
      .AddRequest(this->state->loop->last_idle_at(), now);
  this->StartAttempt(now);
}

// Lets the request wait for a decision that is due in `wait`.  Returns false if the decision has
// been made, or would come too late.
bool Exchange::AwaitDecision(Duration wait, Time now) {
  const Quarantine& quarantine = this->state->crash_watch->quarantine();
  std::vector<Suspect> suspects = this->Suspects();
  bool is_decided = std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& suspect) {
    return quarantine.IsQuarantined(suspect, now);
  });
  if (is_decided) return false;
  if (!this->decision_awaited_until) {
    this->decision_awaited_until =
        std::min(now + Quarantine::kMaxDecisionWait, this->admission.answer_deadline);
    this->state->counters.decisions_awaited += 1;
    this->state->log->Write(this->Line("decision_awaited")
                                .Text("content", ContentName(this->Content()))
                                .Number("wait_ms", ToSeconds(wait) * 1000));
  }
  return now + wait < *this->decision_awaited_until;
}

// Ends the request when another attempt might crash another engine.  An answer that is complete
// or has begun still takes the usual step; otherwise the request is refused.
void Exchange::ApplyStepAfterCrash(NextStep step, AttemptResult result) {
  bool has_answer = step == NextStep::kDeliver || step == NextStep::kBreakOff;
  if (has_answer) {
    this->ApplyStep(step, result);
    return;
  }
  this->Refuse(this->may_have_run ? ResultCode::kEnginesEnded : ResultCode::kQuarantined,
               this->RefusedFor(Now()));
}

}  // namespace gullward

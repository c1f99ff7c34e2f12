// What an exchange does about requests that end engines: it tells the crash watch of attempts
// that break off and of answers that are whole, and sends nothing on that is refused there.

#include "gateway/exchange.h"

namespace gullward {

ContentId Exchange::Content() {
  if (!this->content) {
    const RequestHead& head = this->request.head;
    this->content =
        ContentOf({this->admission.account, head.method, head.target, this->request.body});
  }
  return *this->content;
}

// Its engine may be gone.
void Exchange::NoteBrokenOff() {
  LogLine line = this->Line("attempt_broken");
  line.Text("content", ContentName(this->Content()))
      .Text("engine", this->attempt->engine.Incarnation())
      .Number("worked_ms", ToSeconds(Now() - this->attempt->sent) * 1000);
  this->state->crash_watch->NoteBroken(this->attempt->engine, this->Content(), this->attempt->sent,
                                       line);
}

// Only an answer of success shows that an engine can bear the request: one that fails part
// of its requests does so without running them.
void Exchange::NoteWhole(AttemptResult result) {
  this->state->pool.Give(this->attempt->engine, this->attempt->channel, Now());
  bool is_news = result == AttemptResult::kSuccess && this->state->crash_watch->knows_any();
  if (is_news) this->state->crash_watch->NoteAnswered(this->Content(), Now());
}

// Whether a second engine must not get what the first has broken off.
bool Exchange::MayEndAnother(Time now) {
  CrashWatch& watch = *this->state->crash_watch;
  if (!this->broke_off || !watch.knows_any()) return false;
  return this->ContentRefusedFor(now) || !watch.AllowsSecondAttempt(this->Content());
}

// For how long no engine gets this content, since requests of it have ended engines.
std::optional<Duration> Exchange::ContentRefusedFor(Time now) {
  CrashWatch& watch = *this->state->crash_watch;
  return watch.knows_any() ? watch.RefusedFor(this->Content(), now) : std::nullopt;
}

// What follows where another attempt would end another engine.
void Exchange::FollowEnginesEnded(NextStep step, AttemptResult result) {
  bool has_answer = step == NextStep::kDeliver || step == NextStep::kBreakOff;
  if (has_answer) {
    this->Follow(step, result);
    return;
  }
  this->Refuse(this->may_have_run ? ResultCode::kEnginesEnded : ResultCode::kQuarantined,
               this->ContentRefusedFor(Now()));
}

}  // namespace gullward

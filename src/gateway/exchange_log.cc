// The log lines of an exchange.  Each event is one line, with the request, its route, its age
// and the figures behind the decision.  Successful requests are sampled; refusals, retries, late
// answers and failures are always logged.

#include <string>

#include "gateway/exchange.h"

namespace gullward {
namespace {

// Returns the log text for the end of a connection to an engine; "open" if it has not ended.
std::string_view NameOf(std::optional<ChannelResult> result) {
  if (!result) return "open";
  switch (*result) {
    case ChannelResult::kWholeAnswer:
      return "answered";
    case ChannelResult::kNotSent:
      return "not sent";
    case ChannelResult::kClosedUnanswered:
      return "closed unanswered";
    case ChannelResult::kBroken:
      return "broken";
  }
  return "unknown";
}

}  // namespace

LogLine Exchange::Line(std::string_view event) const {
  LogLine line(event);
  line.Text("request", this->facts.attempt_id);
  if (this->admission.route != nullptr) line.Text("route", this->admission.route->name);
  if (this->rank) line.Number("rank", this->rank->rank);
  line.Number("age_ms", ToSeconds(Now() - this->request.arrived) * 1000);
  return line;
}

// Logs the inputs of a refusal for overload.
void Exchange::LogOverload(const Placement& placement, const Demand& demand,
                           std::optional<Duration> room_in) {
  LogLine line = this->Line("overload_inputs");
  if (this->rank) {
    line.Number("rank_steps", demand.rank_steps)
        .Number("engine_time_factor", demand.refusal.engine_time_factor)
        .Text("account", this->admission.account)
        .Number("value_factor", demand.refusal.value_factor);
  }
  line.Number("prompt_tokens", demand.prompt_tokens)
      .Number("came_back", demand.was_refused_before ? 1 : 0)
      .Number("readers", static_cast<double>(placement.engines.size()))
      .Number("expected_first_ms", placement.first_event_ms)
      .Number("slot_wait_ms", placement.slot_wait_ms)
      .Number("harm", placement.cost_to_streams)
      .Number("busy", placement.utilization)
      .Number("engine_seconds", placement.engine_seconds);
  if (room_in) line.Number("room_in_ms", ToSeconds(*room_in) * 1000);
  this->state->log->Write(line);
}

// Always logs second attempts and attempts at engines with notices in effect; samples the rest.
void Exchange::LogAttempt(const FleetChoice& choice, Time now) {
  const EngineNotices& notices = this->state->fleet.notices();
  std::string engine = choice.engine.Incarnation();
  bool is_always_logged = this->attempts > 1 || notices.Has(engine);
  if (!is_always_logged && !this->state->log->Sample()) return;
  LogLine line = this->Line("attempt");
  if (std::optional<double> limit = notices.LimitOf(engine)) line.Number("limit_per_s", *limit);
  if (notices.IsLeaving(engine)) line.Number("leaving", 1);
  if (choice.pace > kMinPace) line.Number("pace", choice.pace);
  Duration rest = notices.RestLeft(engine, now);
  if (rest > Duration::zero()) line.Number("rest_left_ms", ToSeconds(rest) * 1000);
  this->state->log->Write(
      line.Text("engine", choice.engine.Incarnation())
          .Number("attempt", this->attempts)
          .Number("candidates", static_cast<double>(choice.candidates))
          .Number("readers", static_cast<double>(choice.readers.size() + 1))
          .Number("spilled", choice.spilled ? 1 : 0)
          .Number("prompt_tokens", this->facts.prompt_tokens)
          .Number("engine_requests", choice.load.requests)
          .Number("engine_reading_ms", choice.load.RemainingReadingMs())
          .Number("expected_first_ms", choice.placement.first_event_ms)
          .Number("config", static_cast<double>(this->config->config().version)));
}

// Always logs late answers, so that an operator can find out why they were late; samples the rest.
void Exchange::LogAnswered() {
  const Route& route = *this->admission.route;
  Duration first = this->times.FirstAfter(route, Now());
  this->times.AddToHistograms(route, this->facts.prompt_tokens, first, &this->state->counters);
  bool late = this->times.IsLate(route, first);
  if (RankLosses* losses = this->Losses()) losses->NoteAnswered(this->rank->steps, late, Now());
  if (!late && !this->state->log->Sample()) return;
  LogLine line = this->Line(late ? "answered_late" : "answered");
  line.Text("engine", this->attempt->choice.engine.Incarnation())
      .Number("status", this->attempt->head.status)
      .Number("attempts", this->attempts)
      .Number("prompt_tokens", this->facts.prompt_tokens)
      .Number("expected_first_ms", this->attempt->choice.placement.first_event_ms);
  this->times.AddToLine(route, first, &line);
  this->state->log->Write(line);
}

// Logs the failure, with the engine that ran the request, the status that it sent, how long it
// has been silent, and how its connection ended.
void Exchange::LogFailure(ResultCode code) {
  const ResultCodeInfo& info = Info(code);
  LogLine line = this->Line(info.name);
  line.Number("code", static_cast<double>(code))
      .Number("status", info.http_status)
      .Number("attempts", this->attempts);
  if (this->attempt) {
    line.Text("engine", this->attempt->choice.engine.Incarnation())
        .Number("engine_status", this->attempt->head.status)
        .Number("silent_ms", ToSeconds(Now() - this->attempt->last_progress) * 1000)
        .Text("connection", NameOf(this->attempt->ended));
  }
  if (this->content) {
    line.Text("content", ContentName(*this->content))
        .Text("parts", PartNames(this->facts.shared_parts));
  }
  this->state->log->Write(line);
}

}  // namespace gullward

// In the order of a request's course: admitted, an engine chosen, an attempt sent,
// its answer passed on, and what follows when it ends.  What it writes to the log is
// in exchange_log.cc; how it asks engines for memory, in exchange_tickets.cc; when it stops
// waiting, in exchange_timeouts.cc; what it does about requests that end engines, in
// exchange_crashes.cc.

#include "gateway/exchange.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/failure_answer.h"
#include "gateway/notice_listener.h"
#include "platform/engine_calls.h"
#include "platform/headers.h"
#include "serving/refusal.h"

namespace gullward {
namespace {

// An answer of up to this size is held until it is whole, so that an engine that
// breaks off can be replaced without the caller noticing.
constexpr size_t kHeldAnswerBytes = 256 << 10;
// A caller with more unread bytes than this is not read for any further.
constexpr size_t kMostUnreadBytes = 256 << 10;
// A caller that waits for less than this share of the route's time has spent the
// rest on earlier tries.
constexpr double kFirstTryShare = 0.95;
}  // namespace

Exchange::Exchange(GatewayState* gateway_state, uint64_t exchange_id,
                   std::shared_ptr<CallerChannel> caller_channel, CallerRequest caller_request)
    : state(gateway_state),
      id(exchange_id),
      caller(std::move(caller_channel)),
      request(std::move(caller_request)),
      facts(ReadFacts(request.head)),
      config(gateway_state->config),
      times(this->request.arrived) {}

void Exchange::Start(Time now) {
  this->state->counters.requests += 1;
  // Where this process stood still for seconds, most of what it finds to read is from
  // callers that have left since.  Engines need not work on that; and counted as requests
  // of now it would allow second attempts that the shared bound does not.
  if (this->caller->HasLeft()) {
    this->CallerGone();
    return;
  }
  ResultCode admitted =
      Admit(*this->state, this->config.get(), this->request, this->facts, now, &this->admission);
  if (admitted != ResultCode::kOk) {
    this->Refuse(admitted);
    return;
  }
  KeepForwardedHeaders(&this->request.head.headers);
  this->service = PickService(*this->config, *this->admission.route, &this->state->random);
  if (this->service == nullptr) {
    this->Refuse(ResultCode::kNoEndpoint);
    return;
  }
  if (std::optional<Duration> wait = this->ContentRefusedFor(now)) {
    this->Refuse(ResultCode::kQuarantined, wait);
    return;
  }
  this->state->fleet.RetryBucketOf(this->service->name)
      .AddRequest(this->state->loop->caught_up_at(), now);
  this->StartAttempt(now);
}

// What the choice of engines must know of the request.
Demand Exchange::DemandOfRequest() {
  const Route& route = *this->admission.route;
  Demand demand;
  demand.prompt_tokens = this->facts.prompt_tokens;
  demand.answer_tokens = this->facts.answer_tokens;
  demand.objective_ms = ToSeconds(route.objective) * 1000;
  demand.pause_ms = ToSeconds(route.longest_pause) * 1000;
  Duration patience = this->admission.caller_waits_until - this->request.arrived;
  demand.was_refused_before = patience < kFirstTryShare * route.timeout;
  CrashWatch& watch = *this->state->crash_watch;
  bool is_suspect = this->broke_off || (watch.knows_any() && watch.IsSuspect(this->Content()));
  if (is_suspect) demand.scatter_hash = this->Content();
  return demand;
}

void Exchange::StartAttempt(Time now) {
  bool keys_hold = !this->admission.needs_key || this->state->keys.IsFresh(now);
  if (!keys_hold) {
    this->FollowUnsent(now);
    return;
  }
  Demand demand = this->DemandOfRequest();
  std::optional<FleetChoice> choice =
      this->state->fleet.Choose(*this->service, demand, this->tried, now);
  if (!choice) {
    this->FollowUnsent(now);
    return;
  }
  bool first_time = this->attempts == 0 && this->ticket_rounds == 0;
  bool by_cost = this->state->fleet.mechanisms().refusal_by_cost;
  if (first_time && by_cost && ShouldRefuse(choice->placement, demand)) {
    this->LogOverload(choice->placement, demand);
    this->Refuse(ResultCode::kOverloaded);
    return;
  }
  if (choice->placement.spreads_memory) {
    this->AcquireTickets(*choice);
  } else {
    this->SendAttempt(*choice, now);
  }
}

void Exchange::SendAttempt(const FleetChoice& choice, Time now) {
  this->attempts += 1;
  this->state->counters.attempts += 1;
  if (choice.spilled) this->state->counters.spilled += 1;
  this->tried.insert(choice.engine.Incarnation());
  this->BookLoad(choice, now);
  // What must not run twice must not meet a kept connection that is just being
  // closed: nobody could tell whether it ran.
  bool fresh = this->admission.route->repeat == Repeat::kNever;
  this->attempt = Attempt{};
  this->attempt->engine = choice.engine;
  this->attempt->readers = choice.readers;
  this->attempt->sent = now;
  this->attempt->last_progress = now;
  this->attempt->expected_first_ms = choice.placement.first_event_ms;
  this->state->fleet.NoteSent(choice.engine, now);
  this->attempt->channel = this->state->pool.Take(choice.engine, now, fresh);
  this->LogAttempt(choice, now);
  this->attempt->channel->Send(EngineRequestText(this->request, this->OrdersFor(choice, now)),
                               this->AttemptHooks(), this->request.head.method == "HEAD");
}

EngineOrders Exchange::OrdersFor(const FleetChoice& choice, Time now) const {
  EngineOrders orders;
  orders.time_left = this->admission.answer_by - now;
  orders.engine_id = choice.engine.id;
  orders.account = this->admission.account;
  for (size_t i = 0; i < choice.readers.size(); ++i) {
    std::string ticket = this->tickets ? this->tickets->tickets()[i].ticket : "";
    orders.readers.push_back(platform::ReaderText(choice.readers[i].address, ticket));
  }
  orders.last_event_id = this->last_event_id;
  return orders;
}

// The exchange may be gone by the time an engine answers.
RequestChannel::Hooks Exchange::AttemptHooks() {
  std::weak_ptr<Exchange> weak = this->weak_from_this();
  std::string attempt_id = this->facts.attempt_id;
  RequestChannel::Hooks hooks;
  hooks.accepts = [attempt_id](const ResponseHead& head) {
    std::optional<std::string_view> echoed = FindHeader(head.headers, platform::kAttemptId);
    return !echoed || *echoed == attempt_id;
  };
  hooks.head = [weak](const ResponseHead& head) {
    if (auto self = weak.lock()) self->OnHead(head);
  };
  hooks.body = [weak](std::string_view bytes) {
    if (auto self = weak.lock()) self->OnBody(bytes);
  };
  hooks.done = [weak](ChannelResult result) {
    if (auto self = weak.lock()) self->OnDone(result);
  };
  return hooks;
}

void Exchange::BookLoad(const FleetChoice& choice, Time now) {
  std::vector<WorkPart> parts;
  WorkPart main;
  main.engine = choice.engine.Incarnation();
  main.prompt_tokens = choice.placement.memory_tokens;
  main.reading_ms = choice.placement.part_reading_ms;
  main.pause_ms = ToSeconds(this->admission.route->longest_pause) * 1000;
  parts.push_back(main);
  for (const EngineRecord& reader : choice.readers) {
    WorkPart part;
    part.engine = reader.Incarnation();
    part.reading_ms = choice.placement.part_reading_ms;
    part.prompt_tokens = choice.placement.spreads_memory ? choice.placement.memory_tokens : 0;
    part.is_main = false;
    parts.push_back(part);
  }
  this->state->fleet.loads().Begin(this->id, std::move(parts), now);
  bool shared_engine = this->service->runs_models;
  if (shared_engine && this->state->tell_peers) this->state->tell_peers();
}

void Exchange::OnHead(const ResponseHead& head) {
  if (!this->attempt) return;
  this->attempt->last_progress = Now();
  this->attempt->head = head;
  HearNotice(this->state, this->attempt->engine, head, this->attempt->sent);
  AnswerFacts answer;
  answer.status = head.status;
  answer.sealed = FindHeader(head.headers, platform::kSeal).has_value();
  answer.says_not_run = FindHeader(head.headers, platform::kNotRun).has_value();
  answer.encoded = FindHeader(head.headers, "Content-Encoding").has_value();
  this->attempt->verdict = Classify(answer);
  bool refused = this->attempt->verdict == AttemptResult::kNotRun ||
                 this->attempt->verdict == AttemptResult::kWrongEngine;
  if (refused) this->attempt->reader_at_fault = this->ReaderAtFault(head);
}

std::optional<std::string> Exchange::ReaderAtFault(const ResponseHead& head) const {
  if (!this->state->fleet.mechanisms().blame_named_reader) return std::nullopt;
  std::optional<SocketAddress> named = platform::EngineAtFault(head.headers);
  if (!named) return std::nullopt;
  for (const EngineRecord& reader : this->attempt->readers) {
    if (reader.address == *named) return reader.Incarnation();
  }
  return std::nullopt;
}

void Exchange::OnBody(std::string_view bytes) {
  if (!this->attempt) return;
  this->attempt->last_progress = Now();
  bool passing = this->attempt->verdict == AttemptResult::kSuccess;
  if (passing && this->admission.route->streaming) {
    this->PassEvents(bytes);
  } else {
    this->PassBody(bytes);
  }
  if (this->attempt && this->caller->pending() > kMostUnreadBytes) {
    this->attempt->channel->SetReading(false);
  }
}

void Exchange::PassEvents(std::string_view bytes) {
  WholeEvents whole = this->attempt->events.Feed(bytes);
  if (whole.count == 0) return;
  if (!this->attempt->any_event) this->NoteFirstEvent();
  this->NoteEvent();
  this->state->counters.events_passed += static_cast<uint64_t>(whole.count);
  if (!this->answer_begun) this->BeginAnswer(std::nullopt);
  if (whole.last_id) this->last_event_id = whole.last_id;
  this->caller->WritePart(whole.bytes);
}

// A stream that is late already has nothing more to lose by a pause.  Where its worth
// was still counted, engines that were free for all practical purposes seemed too dear
// to read vast prompts: 0.009 of all worth together with telling readings at once.
void Exchange::NoteEvent() {
  this->times.NoteEvent(Now());
  const Route& route = *this->admission.route;
  bool late = this->times.IsLate(route, this->times.FirstAfter(route, Now()));
  if (!late || !this->state->fleet.mechanisms().spare_late_streams) return;
  this->state->fleet.loads().MarkAnswerLate(this->id);
}

void Exchange::NoteFirstEvent() {
  this->attempt->any_event = true;
  this->state->fleet.loads().MarkFirstEvent(this->id);
}

void Exchange::PassBody(std::string_view bytes) {
  if (this->answer_begun) {
    this->caller->WritePart(bytes);
    return;
  }
  this->attempt->body.append(bytes);
  bool too_large_to_hold = this->attempt->body.size() > kHeldAnswerBytes;
  if (!too_large_to_hold || this->attempt->verdict != AttemptResult::kSuccess) return;
  this->BeginAnswer(this->attempt->head.content_length);
  this->caller->WritePart(std::exchange(this->attempt->body, {}));
}

void Exchange::BeginAnswer(std::optional<uint64_t> length) {
  this->answer_begun = true;
  this->caller->BeginAnswer(this->TakeAnswerHead(), length);
}

// The head for the caller.  Its fields move out of the attempt, since there is one
// answer only.
AnswerHead Exchange::TakeAnswerHead() {
  AnswerHead head;
  head.status = this->attempt->head.status;
  head.reason = this->attempt->head.reason;
  head.headers = std::move(this->attempt->head.headers);
  KeepAnsweredHeaders(&head.headers);
  return head;
}

AttemptResult Exchange::ResultOf(ChannelResult result) const {
  if (result == ChannelResult::kNotSent) return AttemptResult::kNotRun;
  if (result != ChannelResult::kWholeAnswer) return AttemptResult::kUnknown;
  bool torn = this->attempt->verdict == AttemptResult::kSuccess &&
              this->admission.route->streaming &&
              (this->attempt->events.has_partial_event() || !this->answer_begun);
  return torn ? AttemptResult::kUnknown : this->attempt->verdict;
}

void Exchange::OnDone(ChannelResult channel_result) {
  if (!this->attempt) return;
  this->attempt->ended = channel_result;
  AttemptResult result = this->ResultOf(channel_result);
  this->NoteHealth(result, channel_result);
  this->broke_off = channel_result == ChannelResult::kBroken ||
                    channel_result == ChannelResult::kClosedUnanswered;
  if (this->broke_off) this->NoteBrokenOff();
  if (channel_result == ChannelResult::kWholeAnswer) this->NoteWhole(result);
  this->AfterAttempt(result);
}

// An engine that cannot help (it has gone, leaves, or is full of such work) makes the
// one that was asked refuse the whole prompt, within a millisecond or two.  Blaming
// the latter let a prompt meet the same helper in all its attempts: while engines were
// replaced, 10 of 794 prompts over 115,000 tokens were refused for it, and each had
// set up to four sound engines aside.
void Exchange::BlameReader(Time now) {
  const std::string& reader = *this->attempt->reader_at_fault;
  this->state->log->Write(this->Line("reader_refused")
                              .Text("engine", this->attempt->engine.Incarnation())
                              .Text("reader", reader));
  this->state->fleet.NoteFailure(reader, /*unreachable=*/true, now);
  this->tried.insert(reader);
  this->tried.erase(this->attempt->engine.Incarnation());
}

void Exchange::NoteHealth(AttemptResult result, ChannelResult channel_result) {
  Fleet& fleet = this->state->fleet;
  std::string engine = this->attempt->engine.Incarnation();
  Time now = Now();
  if (this->attempt->reader_at_fault) {
    this->BlameReader(now);
    return;
  }
  bool worked = result == AttemptResult::kSuccess || result == AttemptResult::kRejected;
  if (worked) {
    fleet.HealthOf(engine).AddSuccess(now);
  } else if (result == AttemptResult::kWrongEngine) {
    this->state->log->Write(this->Line("engine_replaced").Text("engine", engine));
    fleet.directory().RemoveIncarnation(this->attempt->engine);
  } else {
    // Answers of failure count too: an engine that fails at once is always idle, and
    // would draw everybody's requests.
    fleet.NoteFailure(engine, channel_result == ChannelResult::kNotSent, now);
  }
}

RequestState Exchange::StateForDecision(Time now) const {
  RequestState decision;
  decision.repeat = this->admission.route->repeat;
  decision.attempts = this->attempts;
  decision.attempts_run = this->attempts_run;
  decision.max_attempts = this->admission.route->max_attempts;
  decision.answer_begun = this->answer_begun;
  decision.may_have_run = this->may_have_run;
  decision.time_left = now < this->admission.answer_by;
  return decision;
}

void Exchange::AfterAttempt(AttemptResult result) {
  Time now = Now();
  this->state->fleet.loads().End(this->id);
  this->DropTickets();
  bool not_run = result == AttemptResult::kNotRun || result == AttemptResult::kWrongEngine;
  if (!not_run) {
    this->attempts_run += 1;
    this->may_have_run = true;
  }
  RequestState decision = this->StateForDecision(now);
  NextStep step = DecideNext(result, decision);
  bool nobody_left = this->state->fleet.AllHoldBack(*this->service, now);
  if (step == NextStep::kRetry && nobody_left) step = DecideWithoutRetry(result, decision);
  if (step == NextStep::kRetry && this->MayEndAnother(now)) {
    this->FollowEnginesEnded(DecideWithoutRetry(result, decision), result);
    return;
  }
  if (step == NextStep::kRetry) {
    if (this->state->fleet.RetryBucketOf(this->service->name).TakeRetry(now)) {
      this->state->counters.retries += 1;
      this->state->log->Write(this->Line("retry")
                                  .Text("engine", this->attempt->engine.Incarnation())
                                  .Number("result", static_cast<double>(result))
                                  .Number("status", this->attempt->head.status));
      this->attempt.reset();
      this->StartAttempt(now);
      return;
    }
    this->state->counters.retries_denied += 1;
    step = DecideWithoutRetry(result, decision);
  }
  this->Follow(step, result);
}

// What follows where no attempt can be sent now.
void Exchange::FollowUnsent(Time now) {
  this->Follow(DecideWithoutRetry(AttemptResult::kNotRun, this->StateForDecision(now)),
               AttemptResult::kNotRun);
}

void Exchange::Follow(NextStep step, AttemptResult result) {
  switch (step) {
    case NextStep::kDeliver:
      this->DeliverWhole();
      return;
    case NextStep::kRefuse:
      this->RefuseUnsent();
      return;
    case NextStep::kRetry:
    case NextStep::kFail:
      this->Refuse(ResultCode::kEndpointLost);
      return;
    case NextStep::kBreakOff:
      this->state->counters.answers_broken += 1;
      this->state->log->Write(
          this->Line("answer_broken_off").Number("result", static_cast<double>(result)));
      this->caller->BreakOff();
      this->Finish();
      return;
  }
}

// Where engines take nothing now by their own word, the caller is told when one will.
void Exchange::RefuseUnsent() {
  Time now = Now();
  Fleet& fleet = this->state->fleet;
  bool held_back = fleet.AllHoldBack(*this->service, now);
  std::optional<Duration> opens;
  if (held_back) opens = fleet.TimeUntilAdmission(*this->service, now);
  ResultCode unasked = held_back ? ResultCode::kEnginesHoldBack : ResultCode::kNoEndpoint;
  this->Refuse(this->attempts == 0 ? unasked : ResultCode::kEnginesRefused, opens);
}

void Exchange::DeliverWhole() {
  this->state->counters.answers_whole += 1;
  this->LogAnswered();
  std::shared_ptr<CallerChannel> channel = this->caller;
  if (this->answer_begun) {
    this->Finish();
    channel->EndAnswer();
    return;
  }
  AnswerHead head = this->TakeAnswerHead();
  std::string body = std::move(this->attempt->body);
  this->Finish();
  channel->Answer(head, body);
}

// Answers with a failure of our own.
void Exchange::Refuse(ResultCode code, std::optional<Duration> come_back) {
  this->state->counters.failures[code] += 1;
  this->LogFailure(code);
  AnswerHead head = FailureHead(code, this->facts.attempt_id, this->admission.route, come_back);
  std::shared_ptr<CallerChannel> channel = this->caller;
  this->Finish();
  channel->Answer(head, FailureBody(code));
}

void Exchange::CancelAttempt() {
  if (this->attempt) this->attempt->channel->Close();
  this->DropTickets();
  this->state->fleet.loads().End(this->id);
}

void Exchange::CallerGone() {
  if (this->is_finished) return;
  this->state->counters.callers_gone += 1;
  this->state->log->Write(this->Line("caller_gone").Number("attempts", this->attempts));
  this->CancelAttempt();
  this->Finish();
}

void Exchange::CallerDrained() {
  if (this->attempt) this->attempt->channel->SetReading(true);
}

void Exchange::Finish() {
  this->is_finished = true;
  this->attempt.reset();
  this->DropTickets();
  this->state->fleet.loads().End(this->id);
}

}  // namespace gullward

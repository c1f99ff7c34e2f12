// The functions stand in the order in which a request reaches them: admission, choice of
// an engine, sending an attempt, forwarding its answer, and the decision when the attempt
// ends.  Other files hold the rest of the class: exchange_log.cc the log lines,
// exchange_overload.cc what is decided under load and the return of refused callers,
// exchange_tickets.cc the reservation of memory on readers, exchange_timeouts.cc deadlines
// and silent engines, and exchange_crashes.cc requests that crash engines.

#include "gateway/exchange.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/failure_answer.h"
#include "gateway/notice_receiver.h"
#include "platform/engine_calls.h"
#include "platform/headers.h"

namespace gullward {
namespace {

// Of a body that is not needed, at most this many bytes are read.  A connection of which less is
// left to read is cheaper to keep than to replace.
constexpr size_t kMaxDroppedBytes = 64 << 10;
// A request whose timeout is below this share of the route's timeout counts as a caller's
// repeated try: the caller has spent the rest of the time on earlier tries.
constexpr double kFirstTryShare = 0.95;

// Takes the body out of the request, together with what counts it against the memory for requests.
SharedBytes TakeBody(CallerRequest* request) {
  struct HeldBody {
    std::string bytes;
    std::shared_ptr<const RequestMemory::Share> held;
  };
  auto body = std::make_shared<HeldBody>();
  body->bytes = std::move(request->body);
  body->held = std::move(request->held);
  return SharedBytes(body, &body->bytes);
}

}  // namespace

Exchange::Exchange(GatewayState* gateway_state, uint64_t exchange_id,
                   std::shared_ptr<CallerChannel> caller_channel, CallerRequest caller_request)
    : state(gateway_state),
      id(exchange_id),
      caller(std::move(caller_channel)),
      request(std::move(caller_request)),
      body(TakeBody(&this->request)),
      facts(ReadFacts(request.head)),
      config(gateway_state->config),
      times(this->request.arrived),
      unread(gateway_state->unread_answers) {}

void Exchange::Start(Time now) {
  this->state->counters.requests += 1;
  // After this process has been suspended for seconds, most requests that it reads come from
  // callers that have disconnected since.  Running these requests would waste engine time,
  // and counting them as new requests would allow more second attempts than the bound that
  // all gateways share.
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
  if (this->state->fleet.mechanisms().ranks) {
    this->rank = this->config->RankOf(*this->admission.route, this->admission.account_priority,
                                      this->service->name);
  }
  this->StartUnlessSuspect(now);
}

// The properties of the request that the choice of engines depends on.
Demand Exchange::MakeDemand(Time now) {
  const Route& route = *this->admission.route;
  Demand demand;
  demand.prompt_tokens = this->facts.prompt_tokens;
  demand.answer_tokens = this->facts.answer_tokens;
  demand.objective_ms = ToSeconds(route.objective) * 1000;
  demand.pause_ms = ToSeconds(route.longest_pause) * 1000;
  Duration timeout = this->admission.caller_deadline - this->request.arrived;
  demand.was_refused_before = timeout < kFirstTryShare * route.timeout;
  CrashWatch& watch = *this->state->crash_watch;
  bool is_suspect = this->broke_off || (watch.has_records() && watch.IsSuspect(this->Content()));
  if (is_suspect) demand.scatter_hash = this->Content();
  this->SetRank(&demand, now);
  return demand;
}

void Exchange::StartAttempt(Time now) {
  if (this->MustRefuseForStop()) {
    this->RefuseForStop();
    return;
  }
  bool key_is_vouched = !this->admission.needs_key || this->state->keys.IsFresh(now);
  if (!key_is_vouched) {
    this->ApplyStepUnsent(now);
    return;
  }
  bool first_time = this->attempts == 0 && this->ticket_rounds == 0;
  Demand demand = this->MakeDemand(now);
  this->SetPrice(&demand, now);
  if (first_time) this->SetRefusalTerms(&demand, now);
  std::optional<FleetChoice> choice =
      this->state->fleet.Choose(*this->service, demand, this->tried, now);
  if (!choice) {
    this->ApplyStepUnsent(now);
    return;
  }
  if (AccountShares* shares = this->Shares()) {
    shares->NoteAsked(this->admission.account, choice->placement.utilization, now);
  }
  if (first_time && this->RefuseOrNote(choice->placement, demand, now)) return;
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
  this->RecordLoad(choice, now);
  if (RankLosses* losses = this->Losses()) losses->NoteAdmitted(this->rank->steps);
  if (AccountShares* shares = this->Shares()) {
    shares->Add(this->admission.account, choice.placement.engine_seconds, now);
  }
  // A request that must not run twice gets a new connection.  An engine may close a kept
  // connection just as the request is sent, and then it is unknown whether the request ran.
  bool fresh = this->admission.route->repeat == Repeat::kNever;
  this->attempt = Attempt{};
  this->attempt->choice = choice;
  this->attempt->sent = now;
  this->attempt->last_progress = now;
  this->attempt->held = ByteReservation(this->state->held_answers);
  this->state->fleet.NoteSent(choice.engine, now);
  this->attempt->channel = this->state->pool.Take(choice.engine, now, fresh);
  this->LogAttempt(choice, now);
  std::string head =
      EngineRequestHead(this->request.head, this->body->size(), this->HeadersFor(choice, now));
  this->attempt->channel->Send(std::move(head), this->body, this->AttemptHooks(),
                               this->request.head.method == "HEAD");
}

AttemptHeaders Exchange::HeadersFor(const FleetChoice& choice, Time now) const {
  AttemptHeaders headers;
  headers.time_left = this->admission.answer_deadline - now;
  headers.engine_id = choice.engine.id;
  headers.account = this->admission.account;
  for (size_t i = 0; i < choice.readers.size(); ++i) {
    std::string ticket = this->tickets ? this->tickets->tickets()[i].ticket : "";
    headers.readers.push_back(platform::FormatReader(choice.readers[i].address, ticket));
  }
  if (this->rank) headers.rank = this->rank->rank;
  headers.last_event_id = this->last_event_id;
  return headers;
}

// The hooks hold a weak pointer, because the exchange may be destroyed before the engine
// answers.  An answer that echoes the id of another attempt is not accepted.
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

void Exchange::RecordLoad(const FleetChoice& choice, Time now) {
  std::vector<WorkPart> parts;
  WorkPart main;
  main.engine = choice.engine.Incarnation();
  main.prompt_tokens = choice.placement.memory_tokens;
  main.reading_ms = choice.placement.part_reading_ms;
  main.pause_ms = ToSeconds(this->admission.route->longest_pause) * 1000;
  if (this->rank) main.rank_steps = this->rank->steps;
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
  if (shared_engine && this->state->send_to_peers) this->state->send_to_peers();
}

void Exchange::OnHead(const ResponseHead& head) {
  if (!this->attempt) return;
  this->attempt->last_progress = Now();
  this->attempt->head_at = this->attempt->last_progress;
  this->attempt->head = head;
  ReceiveNotice(this->state, this->attempt->choice.engine, head, this->attempt->sent);
  AnswerFacts answer;
  answer.status = head.status;
  answer.sealed = FindHeader(head.headers, platform::kSeal).has_value();
  answer.says_not_run = FindHeader(head.headers, platform::kNotRun).has_value();
  answer.encoded = FindHeader(head.headers, "Content-Encoding").has_value();
  this->attempt->head_result = Classify(answer);
  bool refused = this->attempt->head_result == AttemptResult::kNotRun ||
                 this->attempt->head_result == AttemptResult::kWrongEngine;
  if (refused) this->attempt->reader_at_fault = this->ReaderAtFault(head);
}

std::optional<std::string> Exchange::ReaderAtFault(const ResponseHead& head) const {
  if (!this->state->fleet.mechanisms().blame_named_reader) return std::nullopt;
  std::optional<SocketAddress> named = platform::EngineCausingRefusal(head.headers);
  if (!named) return std::nullopt;
  for (const EngineRecord& reader : this->attempt->choice.readers) {
    if (reader.address == *named) return reader.Incarnation();
  }
  return std::nullopt;
}

void Exchange::OnBody(std::string_view bytes) {
  if (!this->attempt) return;
  if (this->attempt->head_result != AttemptResult::kSuccess) {
    this->attempt->last_progress = Now();
    this->HoldFailure(bytes);
    return;
  }
  if (this->admission.route->streaming) {
    this->ForwardEvents(bytes);
  } else {
    this->attempt->last_progress = Now();
    this->ForwardBody(bytes);
  }
  bool may_read_on = this->unread.Set(this->caller->pending()) || this->caller->pending() == 0;
  if (this->attempt && !may_read_on) {
    this->attempt->channel->SetReading(false);
    // Events now wait for the caller, which proves nothing of the engine's pace.
    this->attempt->gaps = GapSpan{};
  }
}

void Exchange::ForwardEvents(std::string_view bytes) {
  bool is_within_event = this->attempt->events.has_partial_event();
  WholeEvents whole = this->attempt->events.Feed(bytes);
  // An engine that never ends its event makes no progress.
  if (whole.count > 0 || !is_within_event) this->attempt->last_progress = Now();
  if (whole.count > 0) this->PassOnEvents(whole);
  if (!this->attempt->held.Set(this->attempt->events.partial_bytes()) && this->BoundsAnswers()) {
    this->AbandonAnswer("event");
  }
}

void Exchange::PassOnEvents(const WholeEvents& whole) {
  if (!this->attempt->any_event) this->NoteFirstEvent();
  this->NoteEvent(whole.count);
  this->state->counters.events_forwarded += static_cast<uint64_t>(whole.count);
  if (!this->answer_begun) this->BeginAnswer(std::nullopt);
  if (whole.last_id) this->last_event_id = whole.last_id;
  this->caller->WritePart(whole.bytes);
}

// Marks the stream as late in the load figures once it has missed an aim of its route.  A
// further pause then costs the stream nothing, so the engine is free to read very long prompts.
void Exchange::NoteEvent(int events) {
  Time now = Now();
  if (this->service->runs_models) {
    this->state->fleet.NoteEvents(this->attempt->choice.engine, this->service->speed, events,
                                  &this->attempt->gaps, now);
  }
  this->times.NoteEvent(now);
  const Route& route = *this->admission.route;
  bool late = this->times.IsLate(route, this->times.FirstAfter(route, now));
  if (!late || !this->state->fleet.mechanisms().spare_late_streams) return;
  this->state->fleet.loads().MarkAnswerLate(this->id);
}

void Exchange::NoteFirstEvent() {
  this->attempt->any_event = true;
  this->state->fleet.loads().MarkFirstEvent(this->id);
  if (!this->service->runs_models) return;
  this->state->fleet.NoteFirstEvent(this->attempt->choice, this->service->speed,
                                    this->attempt->sent, Now());
}

// Whether the failure that the attempt's head reports may become the caller's answer.  It may not
// once another attempt has begun that answer.
bool Exchange::IsDeliverableFailure() const {
  AttemptResult result = this->attempt->head_result;
  return !this->answer_begun &&
         (result == AttemptResult::kEngineFailure || result == AttemptResult::kRejected);
}

// Keeps the body of a failure that may become the caller's answer.  Any other is read and dropped,
// so that the connection can be used again.
void Exchange::HoldFailure(std::string_view bytes) {
  bool is_bounded = false;
  if (this->IsDeliverableFailure()) {
    this->attempt->body.append(bytes);
    is_bounded = this->attempt->held.Set(this->attempt->body.size());
  } else {
    this->attempt->dropped_bytes += bytes.size();
    is_bounded = this->attempt->dropped_bytes <= kMaxDroppedBytes;
  }
  if (!is_bounded && this->BoundsAnswers()) this->AbandonAnswer("failure");
}

bool Exchange::BoundsAnswers() const { return this->state->fleet.mechanisms().bound_answers; }

// Ends an attempt whose answer does not end.
void Exchange::AbandonAnswer(std::string_view reason) {
  this->state->counters.answers_abandoned += 1;
  this->state->log->Write(this->Line("answer_abandoned")
                              .Text("engine", this->attempt->choice.engine.Incarnation())
                              .Number("status", this->attempt->head.status)
                              .Text("part", std::string(reason)));
  // An answer that is not whole promises nothing to a request that must not run twice.
  AttemptResult result = this->attempt->head_result;
  bool counts_as_not_run =
      this->admission.route->repeat != Repeat::kNever &&
      (result == AttemptResult::kNotRun || result == AttemptResult::kWrongEngine);
  if (!counts_as_not_run) result = AttemptResult::kUnknown;
  this->attempt->channel->Close();
  this->NoteHealth(result, ChannelResult::kBroken);
  this->AfterAttempt(result);
}

// Passes on the body of a successful plain answer.
void Exchange::ForwardBody(std::string_view bytes) {
  if (this->answer_begun) {
    this->caller->WritePart(bytes);
    return;
  }
  this->attempt->body.append(bytes);
  if (this->attempt->held.Set(this->attempt->body.size())) return;
  this->BeginAnswer(this->attempt->head.content_length);
  this->caller->WritePart(std::exchange(this->attempt->body, {}));
  this->attempt->held.Set(0);
}

void Exchange::BeginAnswer(std::optional<uint64_t> length) {
  this->answer_begun = true;
  this->caller->BeginAnswer(this->TakeAnswerHead(), length);
}

// Returns the answer's head for the caller.  The header fields are moved out of the attempt,
// so this may be called once per answer.
AnswerHead Exchange::TakeAnswerHead() {
  AnswerHead head;
  head.status = this->attempt->head.status;
  head.reason = this->attempt->head.reason;
  head.headers = std::move(this->attempt->head.headers);
  KeepAnsweredHeaders(&head.headers);
  return head;
}

// Whether the answer is a stream that ended inside an event or without any.  Only a resumed stream
// may have no event left, and where just the end of the connection ends it, that end proves
// nothing.
bool Exchange::IsIncompleteStream() const {
  bool is_stream =
      this->attempt->head_result == AttemptResult::kSuccess && this->admission.route->streaming;
  if (!is_stream || this->attempt->events.has_partial_event()) return is_stream;
  bool may_be_empty = this->answer_begun && !this->attempt->head.ends_with_connection;
  return !this->attempt->any_event && !may_be_empty;
}

AttemptResult Exchange::ResultOf(ChannelResult result) const {
  if (result == ChannelResult::kNotSent) return AttemptResult::kNotRun;
  bool is_whole = result == ChannelResult::kWholeAnswer && !this->IsIncompleteStream();
  return is_whole ? this->attempt->head_result : AttemptResult::kUnknown;
}

void Exchange::OnDone(ChannelResult channel_result) {
  if (!this->attempt) return;
  this->attempt->ended = channel_result;
  if (channel_result == ChannelResult::kWholeAnswer && this->MustConfirmEnd()) {
    this->ConfirmEnd();
  } else {
    this->ConcludeAttempt(channel_result);
  }
}

void Exchange::ConcludeAttempt(ChannelResult channel_result) {
  AttemptResult result = this->ResultOf(channel_result);
  this->NoteHealth(result, channel_result);
  // A stream without a length ends with its connection, which an engine that crashes may close in
  // order.
  bool is_torn = channel_result == ChannelResult::kWholeAnswer && this->IsIncompleteStream();
  this->broke_off = is_torn || channel_result == ChannelResult::kBroken ||
                    channel_result == ChannelResult::kClosedUnanswered;
  if (this->broke_off) this->NoteBrokenOff();
  if (channel_result == ChannelResult::kWholeAnswer) this->NoteWholeAnswer(result);
  this->AfterAttempt(result);
}

// Records a failure of the reader instead of one of the engine that answered.  When a reader
// is gone, leaving, or full, the engine that was sent the request refuses the whole prompt
// within one or two milliseconds.  While the refusal counted against that engine, all attempts
// of a prompt could name the same reader: during a replacement of engines, 10 of 794 prompts
// over 115,000 tokens were refused for this reason, and each had up to four healthy engines
// set aside.
void Exchange::NoteReaderFailure(Time now) {
  const std::string& reader = *this->attempt->reader_at_fault;
  this->state->log->Write(this->Line("reader_refused")
                              .Text("engine", this->attempt->choice.engine.Incarnation())
                              .Text("reader", reader));
  this->state->fleet.NoteFailure(reader, /*unreachable=*/true, now);
  this->tried.insert(reader);
  this->tried.erase(this->attempt->choice.engine.Incarnation());
}

void Exchange::NoteHealth(AttemptResult result, ChannelResult channel_result) {
  Fleet& fleet = this->state->fleet;
  std::string engine = this->attempt->choice.engine.Incarnation();
  Time now = Now();
  if (this->attempt->reader_at_fault) {
    this->NoteReaderFailure(now);
    return;
  }
  bool is_healthy = result == AttemptResult::kSuccess || result == AttemptResult::kRejected;
  if (is_healthy) {
    fleet.HealthOf(engine).AddSuccess(now);
  } else if (result == AttemptResult::kWrongEngine) {
    this->state->log->Write(this->Line("engine_replaced").Text("engine", engine));
    fleet.directory().RemoveIncarnation(this->attempt->choice.engine);
  } else {
    // Answers that report a failure count too: an engine that fails each request at once is
    // always idle and would be chosen first for every request.
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
  decision.time_left = now < this->admission.answer_deadline;
  return decision;
}

void Exchange::AfterAttempt(AttemptResult result) {
  Time now = Now();
  this->state->fleet.loads().End(this->id);
  this->ReleaseTickets();
  bool not_run = result == AttemptResult::kNotRun || result == AttemptResult::kWrongEngine;
  if (!not_run) {
    this->attempts_run += 1;
    this->may_have_run = true;
  }
  RequestState decision = this->StateForDecision(now);
  NextStep step = DecideNext(result, decision);
  bool all_hold_back = this->state->fleet.AllHoldBack(*this->service, now);
  if (step == NextStep::kRetry && all_hold_back) step = DecideWithoutRetry(result, decision);
  if (step == NextStep::kRetry && this->MayCrashAnotherEngine(now)) {
    this->ApplyStepAfterCrash(DecideWithoutRetry(result, decision), result);
    return;
  }
  if (step == NextStep::kRetry) {
    if (this->state->fleet.RetryBucketOf(this->service->name).TakeRetry(now)) {
      this->state->counters.retries += 1;
      this->state->log->Write(this->Line("retry")
                                  .Text("engine", this->attempt->choice.engine.Incarnation())
                                  .Number("result", static_cast<double>(result))
                                  .Number("status", this->attempt->head.status));
      this->attempt.reset();
      this->StartAttempt(now);
      return;
    }
    this->state->counters.retries_denied += 1;
    step = DecideWithoutRetry(result, decision);
  }
  this->ApplyStep(step, result);
}

// Ends the request when no attempt can be sent now.
void Exchange::ApplyStepUnsent(Time now) {
  this->ApplyStep(DecideWithoutRetry(AttemptResult::kNotRun, this->StateForDecision(now)),
                  AttemptResult::kNotRun);
}

void Exchange::ApplyStep(NextStep step, AttemptResult result) {
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

// Refuses a request that has not run on any engine.  If all engines hold back requests (by a
// limit, by a rest, or because they are leaving), the answer says when the first of them will
// take requests again.
void Exchange::RefuseUnsent() {
  Time now = Now();
  Fleet& fleet = this->state->fleet;
  bool held_back = fleet.AllHoldBack(*this->service, now);
  std::optional<Duration> retry_after;
  if (held_back) retry_after = fleet.TimeUntilAdmission(*this->service, now);
  ResultCode code = held_back ? ResultCode::kEnginesHoldBack : ResultCode::kNoEndpoint;
  if (this->attempts > 0) code = ResultCode::kEnginesRefused;
  if (fleet.AllEvacuated(*this->service, now)) code = ResultCode::kEnginesEvacuated;
  this->Refuse(code, retry_after);
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
  std::string answer = std::move(this->attempt->body);
  this->Finish();
  channel->Answer(head, answer);
}

// Answers with a failure of the gateway's own.
void Exchange::Refuse(ResultCode code, std::optional<Duration> retry_after) {
  this->state->counters.failures[code] += 1;
  this->LogFailure(code);
  const StartSteps& start = this->state->start;
  bool tells_start = this->state->fleet.mechanisms().start_retry_after && start.IsCauseOf(code);
  if (tells_start && !retry_after) {
    retry_after = RetryAfterDuringStart(this->admission.route, start.SinceStart(Now()));
  }
  AnswerHead head = FailureHead(code, this->facts.attempt_id, this->admission.route, retry_after);
  std::shared_ptr<CallerChannel> channel = this->caller;
  this->Finish();
  channel->Answer(head, FailureBody(code));
}

void Exchange::CancelAttempt() {
  if (this->attempt) this->attempt->channel->Close();
  this->ReleaseTickets();
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
  this->unread.Set(0);
  if (this->attempt) this->attempt->channel->SetReading(true);
}

void Exchange::Finish() {
  this->is_finished = true;
  this->attempt.reset();
  this->body = std::make_shared<const std::string>();
  this->ReleaseTickets();
  this->state->fleet.loads().End(this->id);
}

}  // namespace gullward

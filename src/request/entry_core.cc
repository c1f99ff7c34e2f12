// The state machine of the entry; entry_core.h tells its rules.

#include "request/entry_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gullward {
namespace {

// What a caller is told where nothing better is known.
constexpr Duration kDefaultRetryAfter = seconds(1);

// Backoff between tries to reserve a group.
constexpr Duration kFirstBackoff = milliseconds(50);
constexpr Duration kMaxBackoff = milliseconds(1000);

constexpr Duration kPrunePeriod = seconds(10);

// How long an offer may stay unanswered: a large prompt takes time to send.
Duration OfferTimeout(const RequestInput& input) {
  constexpr double kLeastBytesPerSecond = 5e6;
  return kOfferTimeout +
         FromSeconds(static_cast<double>(input.prompt->size()) / kLeastBytesPerSecond);
}

// The nearest place at or before `at` where a character of UTF-8 begins: half a
// character at the end of one piece and half at the start of the next would be
// two broken ones.
size_t CharacterStart(const std::string& text, size_t at) {
  while (at > 0 && at < text.size() && (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80) --at;
  return at;
}

Ran Weaker(Ran a, Ran b) {
  return static_cast<Ran>(std::max(static_cast<int>(a), static_cast<int>(b)));
}

}  // namespace

EntryCore::EntryCore(EntryOptions entry_options, const ConfigFeed* feed, Time now)
    : options(std::move(entry_options)),
      config(feed),
      view(this->options.incarnation),
      budget(RoutingSpec{}.retry_ratio),
      claims(this->options.claimer),
      random(this->options.seed),
      last_prune(now) {
  this->OnConfigChanged();
}

// -------------------------------------------------------------------- Submit

RequestId EntryCore::Submit(RequestInput input, Time now) {
  RequestId id{this->options.incarnation, this->next_sequence++};
  Request request;
  request.id = id;
  request.input = std::move(input);
  request.arrival = now;
  request.deadline = now;
  Duration retry_after{};
  ResultCode code = ResultCode::kOk;
  if (!this->config->IsReady(now, kMaxConfigLag)) code = ResultCode::kNotReady;
  if (code == ResultCode::kOk && this->leaving) code = ResultCode::kDraining;
  if (code != ResultCode::kOk) retry_after = kDefaultRetryAfter;
  if (code == ResultCode::kOk) code = this->CheckAccount(&request);
  if (code == ResultCode::kOk) code = this->CheckTarget(&request);
  if (code == ResultCode::kOk) code = this->CheckEstimate(request, now, &retry_after);
  if (code == ResultCode::kOk) code = this->CheckLimits(&request, now, &retry_after);
  if (code != ResultCode::kOk) {
    ++this->counts.refused;
    this->actions.push_back(FailAnswer{id, code, Ran::kNo, ToMillis(retry_after)});
    return id;
  }
  ++this->counts.admitted;
  Request& admitted = this->requests[id] = std::move(request);
  if (admitted.input.idempotency_key != 0) {
    admitted.phase = Phase::kClaiming;
    this->claims.Claim(admitted.input.idempotency_key, id, now);
    this->SettleClaims(now);
  } else {
    this->Dispatch(&admitted, now);
  }
  return id;
}

ResultCode EntryCore::CheckKey(const std::string& key_sha256) const {
  if (key_sha256.empty()) return ResultCode::kMissingKey;
  const ConfigObject* object = this->config->state().AccountOfKey(key_sha256);
  if (object == nullptr) return ResultCode::kWrongKey;
  bool suspended = std::get<AccountSpec>(object->spec).suspended;
  return suspended ? ResultCode::kAccountSuspended : ResultCode::kOk;
}

ResultCode EntryCore::CheckAccount(Request* request) {
  ResultCode code = this->CheckKey(request->input.key_sha256);
  if (code != ResultCode::kOk) return code;
  const ConfigObject* object = this->config->state().AccountOfKey(request->input.key_sha256);
  const auto& account = std::get<AccountSpec>(object->spec);
  const ClassSpec* spec = this->config->state().Get<ClassSpec>("class", account.class_name);
  if (spec == nullptr) return ResultCode::kInternal;
  request->account = object->id.name;
  request->priority = static_cast<uint32_t>(spec->priority);
  request->value = static_cast<uint32_t>(spec->value);
  Duration timeout = request->input.timeout.value_or(FromSeconds(spec->timeout_seconds));
  request->deadline = request->arrival + timeout;
  return ResultCode::kOk;
}

ResultCode EntryCore::CheckTarget(Request* request) {
  const ConfigState& state = this->config->state();
  if (!request->input.service.empty()) {
    const ServiceSpec* service = state.Get<ServiceSpec>("service", request->input.service);
    if (service == nullptr) return ResultCode::kUnknownService;
    request->input.repeatable = request->input.repeatable && service->repeatable;
    if (!request->input.timeout) {
      request->deadline = request->arrival + FromSeconds(service->timeout_seconds);
    }
    return ResultCode::kOk;
  }
  request->model = request->input.model;
  const AdapterSpec* adapter = state.Get<AdapterSpec>("adapter", request->model);
  if (adapter != nullptr) request->model = adapter->model;
  const ModelSpec* model = state.Get<ModelSpec>("model", request->model);
  if (model == nullptr) return ResultCode::kUnknownModel;
  auto [stats, added] = this->model_stats.try_emplace(request->model, model->bytes_per_token);
  request->prompt_tokens = stats->second.PromptTokens(request->input.prompt->size());
  uint64_t all = request->prompt_tokens + request->input.max_tokens;
  if (all > static_cast<uint64_t>(model->context_tokens)) return ResultCode::kPromptTooLong;
  for (const PrefixHash& prefix : request->input.prefixes) {
    uint64_t tokens =
        static_cast<uint64_t>(static_cast<double>(prefix.bytes) / stats->second.bytes_per_token());
    request->hints.push_back({prefix.hash, tokens});
  }
  auto long_tokens = static_cast<uint64_t>(state.Routing().long_tokens);
  if (request->prompt_tokens >= long_tokens) {
    request->priority = std::min<uint32_t>(request->priority + kLongPriorityStep, kMaxPriority);
  }
  return ResultCode::kOk;
}

ResultCode EntryCore::CheckEstimate(const Request& request, Time now, Duration* retry_after) {
  if (TimeLeft(request, now).count() <= 0) return ResultCode::kTimeTooShort;
  if (!request.input.service.empty()) return ResultCode::kOk;
  std::vector<EngineView> candidates =
      this->view.Candidates(request.model, request.hints, now, /*include_penalised=*/true);
  // With nobody there at all the dispatch says so.
  if (candidates.empty()) return ResultCode::kOk;
  RoutingRequest routing = this->RoutingOf(request);
  double least = -1;
  double share = this->config->state().Routing().group_memory_share;
  if (NeedsGroup(routing, candidates, share)) {
    least = 0;
    for (const GroupPiece& piece : PlanGroup(routing, candidates, share)) {
      least += piece.prefill_seconds;
    }
  } else {
    for (const EngineView& engine : candidates) {
      double estimate = EstimateFirstToken(routing, engine);
      if (least < 0 || estimate < least) least = estimate;
    }
  }
  double total =
      least + this->model_stats.at(request.model).AnswerSeconds(request.input.max_tokens);
  Duration excess = FromSeconds(total) - TimeLeft(request, now);
  if (excess.count() <= 0) return ResultCode::kOk;
  *retry_after = std::max<Duration>(excess, kDefaultRetryAfter);
  return ResultCode::kOverloaded;
}

ResultCode EntryCore::CheckLimits(Request* request, Time now, Duration* retry_after) {
  if (this->requests.size() >= this->options.max_in_flight) {
    *retry_after = kDefaultRetryAfter;
    return ResultCode::kOverloaded;
  }
  const ConfigState& state = this->config->state();
  const AccountSpec* account = state.Get<AccountSpec>("account", request->account);
  EffectiveLimit limit = LimitOf(state, *account);
  uint64_t tokens = request->prompt_tokens + request->input.max_tokens;
  LimitResult result = this->account_limits.Admit(request->account, limit, tokens, now);
  *retry_after = result.retry_after;
  return result.code;
}

// ------------------------------------------------------------------ dispatch

RoutingRequest EntryCore::RoutingOf(const Request& request) const {
  const RoutingSpec& spec = this->config->state().Routing();
  RoutingRequest routing;
  routing.prompt_tokens = request.prompt_tokens;
  routing.max_tokens = request.input.max_tokens;
  routing.priority = request.priority;
  routing.model = request.model;
  routing.long_tokens = static_cast<uint64_t>(spec.long_tokens);
  routing.long_share = spec.long_share;
  return routing;
}

void EntryCore::Dispatch(Request* request, Time now) {
  request->phase = Phase::kRunning;
  if (TimeLeft(*request, now) < milliseconds(1)) {
    this->Fail(request, ResultCode::kDeadlineExceeded, Duration{});
    return;
  }
  if (!request->input.service.empty()) {
    this->DispatchService(request, now);
    return;
  }
  std::vector<EngineView> candidates =
      this->view.Candidates(request->model, request->hints, now, /*include_penalised=*/false);
  if (candidates.empty()) {
    candidates = this->view.Candidates(request->model, request->hints, now, true);
  }
  std::erase_if(candidates,
                [&](const EngineView& engine) { return request->excluded.count(engine.ref) > 0; });
  if (candidates.empty()) {
    this->Fail(request, ResultCode::kNoEndpoint, kDefaultRetryAfter);
    return;
  }
  RoutingRequest routing = this->RoutingOf(*request);
  double share = this->config->state().Routing().group_memory_share;
  if (NeedsGroup(routing, candidates, share)) {
    this->StartGroup(request, candidates, now);
    return;
  }
  std::optional<Choice> choice = this->policy(routing, candidates);
  if (!choice) {
    this->Fail(request, ResultCode::kNoEndpoint, kDefaultRetryAfter);
    return;
  }
  this->StartSingle(request, *choice, now);
}

void EntryCore::DispatchService(Request* request, Time now) {
  std::vector<std::string> boxes = this->view.ServiceBoxes(request->input.service, now);
  std::erase_if(boxes, [&](const std::string& box) {
    return request->excluded.count(EngineRef{box, 0}) > 0;
  });
  if (boxes.empty()) {
    this->Fail(request, ResultCode::kNoEndpoint, kDefaultRetryAfter);
    return;
  }
  std::uniform_int_distribution<size_t> pick(0, boxes.size() - 1);
  this->StartSingle(request, Choice{{boxes[pick(this->random)], 0}, 0, 0}, now);
}

void EntryCore::StartSingle(Request* request, const Choice& choice, Time now) {
  Piece piece;
  piece.attempt = request->next_attempt++;
  piece.plan.engine = choice.engine;
  piece.plan.prompt_tokens = request->prompt_tokens;
  piece.plan.memory_tokens = request->prompt_tokens + request->input.max_tokens;
  piece.plan.prefill_seconds = choice.prefill_seconds;
  piece.reserved = true;
  request->pieces = {piece};
  request->current_piece = 0;
  request->prompt_bytes_sent = 0;
  this->OfferPiece(request, now);
}

void EntryCore::StartGroup(Request* request, const std::vector<EngineView>& candidates, Time now) {
  double share = this->config->state().Routing().group_memory_share;
  std::vector<GroupPiece> plan = PlanGroup(this->RoutingOf(*request), candidates, share);
  if (plan.empty()) {
    this->Fail(request, ResultCode::kNoMemory, kDefaultRetryAfter);
    return;
  }
  ++this->counts.groups;
  request->phase = Phase::kReserving;
  request->pieces.clear();
  request->current_piece = 0;
  request->prompt_bytes_sent = 0;
  for (const GroupPiece& part : plan) {
    Piece piece;
    piece.attempt = request->next_attempt++;
    piece.plan = part;
    request->pieces.push_back(piece);
    Reserve reserve;
    reserve.id = {request->id, piece.attempt};
    reserve.engine = part.engine.engine;
    reserve.tokens = part.memory_tokens;
    reserve.value = request->value;
    reserve.age_ms = ToMillis(now - request->arrival);
    reserve.deadline_ms = ToMillis(TimeLeft(*request, now));
    this->actions.push_back(SendToBox{part.engine.box, reserve});
  }
}

void EntryCore::OfferPiece(Request* request, Time now) {
  Piece& piece = request->pieces[request->current_piece];
  const RequestInput& input = request->input;
  bool last = request->current_piece + 1 == request->pieces.size();
  Offer offer;
  offer.id = {request->id, piece.attempt};
  offer.engine = piece.plan.engine.engine;
  offer.model = request->model;
  // Bytes are dealt out like tokens; the last piece takes what is left and what
  // an earlier attempt has already answered.
  size_t begin = request->prompt_bytes_sent;
  size_t count = input.prompt->size() - begin;
  if (!last) {
    double part =
        static_cast<double>(piece.plan.prompt_tokens) / static_cast<double>(request->prompt_tokens);
    count = std::min(count, static_cast<size_t>(part * static_cast<double>(input.prompt->size())));
    count = CharacterStart(*input.prompt, begin + count) - begin;
  }
  offer.prompt = input.prompt->substr(begin, count);
  if (last) offer.prompt += request->delivered_text;
  request->prompt_bytes_sent += count;
  offer.prompt_tokens = piece.plan.prompt_tokens;
  bool whole = request->pieces.size() == 1;
  if (whole) offer.prefixes = request->hints;
  offer.max_tokens = input.max_tokens - static_cast<uint32_t>(request->delivered_tokens);
  offer.priority = request->priority;
  offer.value = request->value;
  offer.deadline_ms = ToMillis(TimeLeft(*request, now));
  offer.repeatable = input.repeatable;
  offer.piece = static_cast<uint32_t>(request->current_piece);
  offer.pieces = static_cast<uint32_t>(request->pieces.size());
  for (size_t i = 0; i < request->current_piece; ++i) {
    offer.context.push_back(request->pieces[i].kept);
  }
  offer.config_offset = this->config->state().offset();
  offer.service = input.service;
  offer.method = input.method;
  offer.path = input.path;
  offer.content_type = input.content_type;
  offer.sampling = input.sampling;
  piece.offered = true;
  piece.offered_at = now;
  piece.dispatch = this->view.RecordDispatch(piece.plan.engine, request->priority,
                                             piece.plan.prefill_seconds, piece.plan.memory_tokens);
  offer.dispatch = piece.dispatch;
  piece.ran_before = request->ran;
  request->ran = Weaker(request->ran, Ran::kUnknown);
  ++this->counts.offers;
  this->actions.push_back(SendToBox{piece.plan.engine.box, std::move(offer)});
}

void EntryCore::RetryGroupLater(Request* request, Time now) {
  this->DropPieces(request);
  Duration backoff = kFirstBackoff * (1u << std::min<uint32_t>(request->reserve_tries, 5));
  backoff = std::min<Duration>(backoff, kMaxBackoff);
  ++request->reserve_tries;
  std::uniform_int_distribution<int64_t> jitter(backoff.count() / 2, backoff.count());
  request->retry_at = now + Duration(jitter(this->random));
  request->phase = Phase::kBackoff;
  // What can no longer be done in time is given up now, not at its deadline.
  Duration retry_after{};
  ResultCode code = this->CheckEstimate(*request, now, &retry_after);
  if (code != ResultCode::kOk) this->Fail(request, code, retry_after);
}

// ------------------------------------------------------------------ messages

void EntryCore::OnMessage(const std::string& box, const Message& message, Time now) {
  if (const auto* heartbeat = std::get_if<EndpointHeartbeat>(&message)) {
    this->view.OnHeartbeat(box, *heartbeat, now);
  } else if (const auto* reserved = std::get_if<Reserved>(&message)) {
    this->OnReserved(box, *reserved, now);
  } else if (const auto* accepted = std::get_if<Accepted>(&message)) {
    this->OnAccepted(box, *accepted);
  } else if (const auto* refused = std::get_if<Refused>(&message)) {
    this->OnRefused(box, *refused, now);
  } else if (const auto* chunk = std::get_if<Chunk>(&message)) {
    this->OnChunk(box, *chunk, now);
  } else if (const auto* done = std::get_if<Done>(&message)) {
    this->OnDone(box, *done, now);
  } else if (const auto* failed = std::get_if<Failed>(&message)) {
    this->OnFailed(box, *failed, now);
  }
}

EntryCore::Request* EntryCore::Find(const RequestId& id) {
  auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : &found->second;
}

EntryCore::Request* EntryCore::FindCurrent(const std::string& box, const AttemptId& id,
                                           Piece** piece) {
  Request* request = this->Find(id.request);
  if (request != nullptr) {
    for (Piece& candidate : request->pieces) {
      if (candidate.attempt != id.attempt || candidate.plan.engine.box != box) continue;
      *piece = &candidate;
      return request;
    }
  }
  ++this->counts.stale_messages;
  return nullptr;
}

void EntryCore::OnReserved(const std::string& box, const Reserved& reserved, Time now) {
  Piece* piece = nullptr;
  Request* request = this->FindCurrent(box, reserved.id, &piece);
  if (request == nullptr) {
    this->actions.push_back(SendToBox{box, Cancel{reserved.id}});
    return;
  }
  piece->reserved = true;
  bool all = std::all_of(request->pieces.begin(), request->pieces.end(),
                         [](const Piece& each) { return each.reserved; });
  if (!all || request->phase != Phase::kReserving) return;
  request->phase = Phase::kRunning;
  this->OfferPiece(request, now);
}

void EntryCore::OnAccepted(const std::string& box, const Accepted& accepted) {
  Piece* piece = nullptr;
  if (this->FindCurrent(box, accepted.id, &piece) == nullptr) {
    this->actions.push_back(SendToBox{box, Cancel{accepted.id}});
    return;
  }
  piece->accepted = true;
}

void EntryCore::OnRefused(const std::string& box, const Refused& refused, Time now) {
  Piece* piece = nullptr;
  Request* request = this->FindCurrent(box, refused.id, &piece);
  if (request == nullptr) return;
  ++this->counts.offers_refused;
  EngineRef engine = piece->plan.engine;
  if (piece->offered) {
    this->view.RecordPrefillEnd(engine, piece->dispatch);
    // This offer was not run, so what is known is what was known before it.
    request->ran = piece->ran_before;
  }
  bool group = request->pieces.size() > 1;
  if (group) {
    bool unfit = refused.code != ResultCode::kNoMemory;
    if (unfit) request->excluded.insert(engine);
    if (request->ran == Ran::kNo || request->input.repeatable) {
      this->RetryGroupLater(request, now);
      return;
    }
    this->Fail(request, refused.code, milliseconds(refused.retry_after_ms));
    return;
  }
  request->pieces.clear();
  request->excluded.insert(engine);
  ++request->refusals;
  // Elsewhere it must be able to finish too, or it is given up at once.
  Duration retry_after = milliseconds(refused.retry_after_ms);
  ResultCode code = this->CheckEstimate(*request, now, &retry_after);
  if (request->refusals >= kMaxRefusals) code = refused.code;
  if (code != ResultCode::kOk) {
    this->Fail(request, code, retry_after);
    return;
  }
  this->Dispatch(request, now);
}

void EntryCore::OnChunk(const std::string& box, const Chunk& chunk, Time now) {
  Piece* piece = nullptr;
  Request* request = this->FindCurrent(box, chunk.id, &piece);
  if (request == nullptr) {
    this->actions.push_back(SendToBox{box, Cancel{chunk.id}});
    return;
  }
  if (chunk.index < request->next_chunk) {
    ++this->counts.stale_messages;
    return;
  }
  if (chunk.index > request->next_chunk) {
    ++this->counts.gaps;
    this->OnBroken(request, piece->plan.engine, ResultCode::kEndpointLost, now);
    return;
  }
  if (request->next_chunk == 0) this->view.RecordPrefillEnd(piece->plan.engine, piece->dispatch);
  if (request->delivered_tokens == 0) request->first_chunk_at = now;
  ++request->next_chunk;
  request->ran = Ran::kYes;
  request->delivered_tokens += chunk.tokens;
  // Kept to continue elsewhere; a service's answer comes whole and is not.
  if (request->input.service.empty()) request->delivered_text += chunk.text;
  this->actions.push_back(DeliverText{request->id, chunk.text, chunk.tokens});
}

void EntryCore::OnDone(const std::string& box, const Done& done, Time now) {
  Piece* piece = nullptr;
  Request* request = this->FindCurrent(box, done.id, &piece);
  if (request == nullptr) return;
  if (done.chunks != request->next_chunk) {
    ++this->counts.gaps;
    this->OnBroken(request, piece->plan.engine, ResultCode::kEndpointLost, now);
    return;
  }
  this->view.RecordPrefillEnd(piece->plan.engine, piece->dispatch);
  this->view.RecordSuccess(piece->plan.engine);
  piece->done = true;
  bool last = request->current_piece + 1 == request->pieces.size();
  if (last) {
    this->Finish(request, done, now);
    return;
  }
  piece->kept = done.kept;
  ++request->current_piece;
  this->OfferPiece(request, now);
}

void EntryCore::OnFailed(const std::string& box, const Failed& failed, Time now) {
  Piece* piece = nullptr;
  Request* request = this->FindCurrent(box, failed.id, &piece);
  if (request == nullptr) return;
  request->ran = Weaker(request->ran, failed.ran);
  bool deadline = failed.code == ResultCode::kDeadlineExceeded;
  if (deadline) {
    this->Fail(request, failed.code, Duration{});
    return;
  }
  this->OnBroken(request, piece->plan.engine, failed.code, now);
}

// ------------------------------------------------------------- broken attempts

void EntryCore::OnBroken(Request* request, const EngineRef& engine, ResultCode code, Time now) {
  this->view.RecordFailure(engine, now);
  // Nothing was offered yet (a group that was still reserving): start over.
  bool safe = request->input.repeatable || request->ran == Ran::kNo;
  if (!safe) {
    this->Fail(request, code, Duration{});
    return;
  }
  this->DropPieces(request);
  request->next_chunk = 0;
  request->excluded.insert(engine);
  bool complete =
      request->delivered_tokens >= request->input.max_tokens && request->input.service.empty();
  if (complete) {
    // All that was asked for had been passed on; only the last word was lost.
    Done done;
    done.finish_reason = "length";
    done.prompt_tokens = request->prompt_tokens;
    this->Finish(request, done, now);
    return;
  }
  // A plain service's answer cannot be continued.
  bool partly_passed_on = request->delivered_tokens > 0 || !request->delivered_text.empty();
  bool service_broken = !request->input.service.empty() && request->ran == Ran::kYes;
  if (service_broken) {
    this->Fail(request, code, Duration{});
    return;
  }
  if (!this->budget.Take()) {
    this->Fail(request, ResultCode::kRetryBudgetSpent, kDefaultRetryAfter);
    return;
  }
  ++this->counts.retries;
  if (partly_passed_on) ++this->counts.continued;
  this->Dispatch(request, now);
}

void EntryCore::OnBoxLost(const std::string& box, Time now) {
  this->view.OnBoxLost(box);
  std::vector<std::pair<RequestId, EngineRef>> broken;
  for (const auto& [id, request] : this->requests) {
    for (const Piece& piece : request.pieces) {
      if (piece.plan.engine.box != box) continue;
      broken.emplace_back(id, piece.plan.engine);
      break;
    }
  }
  for (const auto& [id, engine] : broken) {
    Request* request = this->Find(id);
    if (request != nullptr) this->OnBroken(request, engine, ResultCode::kEndpointLost, now);
  }
}

void EntryCore::DropPieces(Request* request) {
  for (const Piece& piece : request->pieces) {
    if (piece.offered) this->view.RecordPrefillEnd(piece.plan.engine, piece.dispatch);
    this->actions.push_back(SendToBox{piece.plan.engine.box, Cancel{{request->id, piece.attempt}}});
  }
  request->pieces.clear();
}

// -------------------------------------------------------------------- the end

void EntryCore::Finish(Request* request, const Done& done, Time now) {
  ++this->counts.finished;
  this->budget.AddSuccess();
  FinishAnswer answer;
  answer.id = request->id;
  answer.finish_reason = done.finish_reason;
  answer.prompt_tokens = done.prompt_tokens;
  for (size_t i = 0; i + 1 < request->pieces.size(); ++i) {
    answer.prompt_tokens += request->pieces[i].kept.tokens;
  }
  answer.cached_tokens = done.cached_tokens;
  answer.completion_tokens = request->delivered_tokens;
  answer.status = done.status;
  answer.content_type = done.content_type;
  if (!request->pieces.empty()) {
    const Piece& last = request->pieces.back();
    if (request->pieces.size() == 1) this->view.RecordPrefixes(last.plan.engine, request->hints);
    // The last attempt is over; the others hold memory until they are told.
    request->pieces.pop_back();
    this->DropPieces(request);
  }
  auto stats = this->model_stats.find(request->model);
  if (stats != this->model_stats.end()) {
    stats->second.Observe(request->input.prompt->size(), answer.prompt_tokens,
                          answer.completion_tokens, ToSeconds(now - request->first_chunk_at));
  }
  this->actions.push_back(std::move(answer));
  this->End(request);
}

void EntryCore::Fail(Request* request, ResultCode code, Duration retry_after) {
  this->DropPieces(request);
  ++this->counts.failed;
  // Only what was not run may claim that coming back helps with the same key.
  if (request->holds_key && request->ran == Ran::kNo) {
    this->claims.Release(request->input.idempotency_key, request->id);
  }
  this->actions.push_back(FailAnswer{request->id, code, request->ran, ToMillis(retry_after)});
  this->End(request);
}

void EntryCore::End(Request* request) {
  this->account_limits.Finish(request->account);
  this->requests.erase(request->id);
}

void EntryCore::OnCallerGone(const RequestId& id, Time) {
  Request* request = this->Find(id);
  if (request == nullptr) return;
  ++this->counts.callers_gone;
  this->DropPieces(request);
  this->claims.Abandon(id);
  if (request->holds_key && request->ran == Ran::kNo) {
    this->claims.Release(request->input.idempotency_key, id);
  }
  this->End(request);
}

// --------------------------------------------------------------- the other ones

void EntryCore::OnBoxList(size_t entries, const std::set<std::string>& leaving_boxes) {
  this->account_limits.SetEntries(entries);
  std::set<std::string> all = leaving_boxes;
  for (const ConfigObject* object : this->config->state().All("leaving")) {
    all.insert(object->id.name);
  }
  this->view.SetLeaving(all);
}

void EntryCore::OnConfigChanged() {
  const RoutingSpec& spec = this->config->state().Routing();
  this->budget.SetRatio(spec.retry_ratio);
  if (spec.policy == this->policy_name) return;
  this->policy_name = spec.policy;
  this->policy = MakePolicy(spec.policy, this->options.seed);
}

void EntryCore::OnClaimRecord(const ClaimBatch& batch, Time now) {
  this->claims.OnRecord(batch, now);
  this->SettleClaims(now);
}

void EntryCore::SettleClaims(Time now) {
  for (const ClaimOutcome& outcome : this->claims.TakeOutcomes()) {
    Request* request = this->Find(outcome.request);
    if (request == nullptr) continue;
    if (outcome.kind == ClaimOutcome::Kind::kWon) {
      request->holds_key = true;
      this->Dispatch(request, now);
    } else if (outcome.kind == ClaimOutcome::Kind::kLost) {
      // Whether the holder of the key has run is not known here.
      request->ran = Ran::kUnknown;
      this->Fail(request, ResultCode::kKeyAlreadyClaimed, Duration{});
    } else {
      this->Fail(request, ResultCode::kLogUnavailable, kDefaultRetryAfter);
    }
  }
}

void EntryCore::Drain() { this->leaving = true; }

void EntryCore::Tick(Time now) {
  std::vector<RequestId> late;
  std::vector<RequestId> retry;
  std::vector<RequestId> unanswered;
  for (const auto& [id, request] : this->requests) {
    if (request.deadline <= now) {
      late.push_back(id);
    } else if (request.phase == Phase::kBackoff) {
      if (request.retry_at <= now) retry.push_back(id);
    } else if (request.input.repeatable && request.pieces.size() == 1) {
      const Piece& piece = request.pieces.front();
      bool silent = !piece.accepted && now - piece.offered_at >= OfferTimeout(request.input);
      if (silent && request.next_chunk == 0) unanswered.push_back(id);
    }
  }
  for (const RequestId& id : late) {
    this->Fail(this->Find(id), ResultCode::kDeadlineExceeded, Duration{});
  }
  for (const RequestId& id : retry) this->Dispatch(this->Find(id), now);
  for (const RequestId& id : unanswered) {
    Request* request = this->Find(id);
    EngineRef engine = request->pieces.front().plan.engine;
    this->OnBroken(request, engine, ResultCode::kEndpointLost, now);
  }
  if (std::optional<ClaimBatch> batch = this->claims.Tick(now)) {
    this->actions.push_back(AppendClaims{*std::move(batch)});
  }
  this->SettleClaims(now);
  if (now - this->last_prune < kPrunePeriod) return;
  this->last_prune = now;
  this->account_limits.Prune(now);
  this->view.Prune(now);
}

std::vector<EntryAction> EntryCore::TakeActions() { return std::exchange(this->actions, {}); }

std::vector<EntryCore::RequestInfo> EntryCore::Describe() const {
  std::vector<RequestInfo> infos;
  for (const auto& [id, request] : this->requests) {
    RequestInfo info;
    info.id = id;
    info.account = request.account;
    info.model = request.model;
    info.prompt_tokens = request.prompt_tokens;
    info.delivered_tokens = request.delivered_tokens;
    info.attempts = request.next_attempt - 1;
    static constexpr const char* kPhases[] = {"claiming", "backoff", "reserving", "running"};
    info.phase = kPhases[static_cast<int>(request.phase)];
    for (const Piece& piece : request.pieces) info.engines.push_back(piece.plan.engine);
    infos.push_back(std::move(info));
  }
  return infos;
}

}  // namespace gullward

// The state machine of the endpoint process; endpoint_core.h describes its rules.

#include "endpoint/endpoint_core.h"

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

// Lower bound of the retry time in a refusal, so that refused requests do not come back at once.
constexpr uint64_t kMinRetryAfterMillis = 100;

Duration FromMillis(uint64_t millis) {
  // Limited to a day: a longer time is no real deadline, and the conversion must not overflow.
  constexpr uint64_t kDay = 86'400'000;
  return milliseconds(std::min(millis, kDay));
}

uint64_t TokensNeeded(const Offer& offer) {
  bool last = offer.piece + 1 >= offer.pieces;
  return offer.prompt_tokens + (last ? offer.max_tokens : 0);
}

}  // namespace

EndpointCore::Engine::Engine(const EngineOptions& engine_options, double group_share, Time now)
    : options(engine_options),
      ledger(engine_options.memory_tokens, group_share),
      speed(engine_options.initial_speed),
      next_sweep(now) {}

EndpointCore::EndpointCore(EndpointOptions endpoint_options, Time now)
    : settings(std::move(endpoint_options)) {
  for (const EngineOptions& engine : this->settings.engines) {
    this->engines.emplace_back(engine, this->settings.group_memory_share, now);
  }
}

// --------------------------------------------------------------------- peers

void EndpointCore::OnHello(PeerId peer, const Hello& hello, Time now) {
  this->peers[peer] = {hello.incarnation, now, 0};
}

void EndpointCore::OnMessage(PeerId peer, const Message& message, Time now) {
  auto found = this->peers.find(peer);
  // Messages of a peer that has not sent Hello are ignored.
  if (found == this->peers.end()) return;
  found->second.last_received = now;
  if (const auto* reserve = std::get_if<Reserve>(&message)) this->OnReserve(peer, *reserve, now);
  if (const auto* offer = std::get_if<Offer>(&message)) this->OnOffer(peer, *offer, now);
  if (const auto* cancel = std::get_if<Cancel>(&message)) this->OnCancel(*cancel, now);
}

void EndpointCore::OnPeerLost(PeerId peer, Time now) {
  this->peers.erase(peer);
  this->CancelAttemptsOf(peer, now);
}

void EndpointCore::CancelAttemptsOf(PeerId peer, Time now) {
  std::vector<AttemptId> cancelled;
  for (const auto& [id, attempt] : this->live) {
    if (attempt.peer == peer && !MustFinish(attempt)) cancelled.push_back(id);
  }
  // If the entry was only paused, it receives the failures.  To a lost entry nothing is sent.
  for (const AttemptId& id : cancelled) {
    ++this->counts.cancelled;
    this->EndAttempt(id, ResultCode::kLeaseLapsed, now);
  }
}

bool EndpointCore::MustFinish(const Attempt& attempt) {
  bool last_piece = attempt.offer.piece + 1 >= attempt.offer.pieces;
  return attempt.state == State::kRunning && !attempt.offer.repeatable && last_piece;
}

void EndpointCore::EndAttempt(const AttemptId& id, ResultCode code, Time now) {
  const Attempt* attempt = this->Find(id);
  if (attempt == nullptr) return;
  bool started = attempt->state == State::kRunning || attempt->state == State::kKept;
  if (started) {
    this->Fail(id, code, Ran::kYes, now);
  } else {
    this->ReturnAsNotRun(id, code, now);
  }
}

// -------------------------------------------------------------------- offers

void EndpointCore::OnReserve(PeerId peer, const Reserve& reserve, Time now) {
  if (this->seen.count(reserve.id) > 0) {
    ++this->counts.duplicates;
    return;
  }
  this->Remember(reserve.id);
  bool usable = reserve.engine < this->engines.size() && this->engines[reserve.engine].up;
  if (this->leaving || !usable) {
    this->Refuse(peer, reserve.id, reserve.engine,
                 this->leaving ? ResultCode::kDraining : ResultCode::kStaleOffer);
    return;
  }
  Attempt attempt;
  attempt.id = reserve.id;
  attempt.peer = peer;
  attempt.engine = reserve.engine;
  attempt.tokens = reserve.tokens;
  attempt.group = true;
  attempt.reserve_only = true;
  attempt.deadline = now + FromMillis(reserve.deadline_ms);
  Time arrival = now - FromMillis(reserve.age_ms);
  this->RequestMemory(std::move(attempt), reserve.value, arrival, now);
}

ResultCode EndpointCore::CheckOffer(const Offer& offer) const {
  if (this->leaving) return ResultCode::kDraining;
  if (offer.engine >= this->engines.size()) return ResultCode::kStaleOffer;
  const Engine& engine = this->engines[offer.engine];
  if (!engine.up || engine.options.model != offer.model) return ResultCode::kStaleOffer;
  if (offer.deadline_ms == 0) return ResultCode::kTimeTooShort;
  return ResultCode::kOk;
}

void EndpointCore::OnOffer(PeerId peer, const Offer& offer, Time now) {
  Peer& sender = this->peers[peer];
  sender.last_dispatch = std::max(sender.last_dispatch, offer.dispatch);
  Attempt* reserved = this->Find(offer.id);
  if (reserved != nullptr && reserved->state == State::kReserved) {
    reserved->offer = offer;
    this->Send(peer, Accepted{offer.id});
    ++this->counts.accepted;
    this->Start(reserved, now);
    return;
  }
  if (this->seen.count(offer.id) > 0) {
    ++this->counts.duplicates;
    return;
  }
  this->Remember(offer.id);
  if (!offer.service.empty()) {
    this->OnServiceOffer(peer, offer, now);
    return;
  }
  ResultCode code = this->CheckOffer(offer);
  if (code != ResultCode::kOk) {
    this->Refuse(peer, offer.id, offer.engine, code);
    return;
  }
  Attempt attempt;
  attempt.id = offer.id;
  attempt.peer = peer;
  attempt.engine = offer.engine;
  attempt.tokens = TokensNeeded(offer);
  attempt.deadline = now + FromMillis(offer.deadline_ms);
  attempt.offer = offer;
  this->RequestMemory(std::move(attempt), offer.value, now, now);
}

void EndpointCore::OnServiceOffer(PeerId peer, const Offer& offer, Time now) {
  ResultCode code = ResultCode::kOk;
  if (this->leaving) code = ResultCode::kDraining;
  if (offer.service != this->settings.service) code = ResultCode::kStaleOffer;
  if (this->service_calls >= this->settings.max_service_calls) code = ResultCode::kOverloaded;
  if (offer.deadline_ms == 0) code = ResultCode::kTimeTooShort;
  if (code != ResultCode::kOk) {
    this->Refuse(peer, offer.id, offer.engine, code);
    return;
  }
  Attempt attempt;
  attempt.id = offer.id;
  attempt.peer = peer;
  attempt.state = State::kRunning;
  attempt.deadline = now + FromMillis(offer.deadline_ms);
  attempt.offer = offer;
  Duration time_left = attempt.deadline - now;
  this->live[offer.id] = std::move(attempt);
  ++this->service_calls;
  ++this->counts.accepted;
  ++this->counts.started;
  this->Send(peer, Accepted{offer.id});
  this->actions.push_back(CallService{offer.id, offer, time_left});
}

void EndpointCore::RequestMemory(Attempt attempt, uint32_t value, Time arrival, Time now) {
  Engine& engine = this->engines[attempt.engine];
  MemoryClaim claim{attempt.id, attempt.tokens, value, arrival, attempt.group};
  std::vector<AttemptId> displaced;
  Grant grant = engine.ledger.Request(claim, &displaced);
  for (const AttemptId& id : displaced) this->ReturnAsNotRun(id, ResultCode::kNoMemory, now);
  if (grant == Grant::kRefused) {
    this->Refuse(attempt.peer, attempt.id, attempt.engine, ResultCode::kNoMemory);
    return;
  }
  AttemptId id = attempt.id;
  bool reserve_only = attempt.reserve_only;
  if (!reserve_only) {
    ++this->counts.accepted;
    this->Send(attempt.peer, Accepted{id});
  }
  this->live[id] = std::move(attempt);
  if (grant == Grant::kGranted) this->StartGranted({id}, now);
}

void EndpointCore::StartGranted(const std::vector<AttemptId>& granted, Time now) {
  for (const AttemptId& id : granted) {
    Attempt* attempt = this->Find(id);
    if (attempt == nullptr) continue;
    if (!attempt->reserve_only) {
      this->Start(attempt, now);
      continue;
    }
    attempt->state = State::kReserved;
    this->Send(attempt->peer, Reserved{id, attempt->engine});
  }
}

void EndpointCore::Start(Attempt* attempt, Time now) {
  Engine& engine = this->engines[attempt->engine];
  attempt->state = State::kRunning;
  ++this->counts.started;
  const Offer& offer = attempt->offer;
  uint64_t before = 0;
  for (const KvContext& context : offer.context) before += context.tokens;
  double work = Seconds(engine.speed.speed(), before, before + offer.prompt_tokens);
  engine.backlog.AdvanceTo(now);
  engine.backlog.Add(attempt->id, offer.priority, work);
  StartOnEngine start{attempt->id, attempt->engine, offer, attempt->deadline - now};
  // The action holds a copy of the prompt; a second copy here would waste memory.
  attempt->offer.prompt.clear();
  attempt->offer.prompt.shrink_to_fit();
  this->actions.push_back(std::move(start));
}

void EndpointCore::Refuse(PeerId peer, const AttemptId& id, uint32_t engine, ResultCode code) {
  ++this->counts.refused;
  this->Send(peer, Refused{id, engine, code, this->RetryAfterMillis(engine)});
}

uint64_t EndpointCore::RetryAfterMillis(uint32_t engine) const {
  uint64_t millis = kMinRetryAfterMillis;
  if (engine >= this->engines.size()) return millis;
  for (double part : this->engines[engine].backlog.Millis()) millis += static_cast<uint64_t>(part);
  return millis;
}

void EndpointCore::ReturnAsNotRun(const AttemptId& id, ResultCode code, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr) return;
  this->Refuse(attempt->peer, id, attempt->engine, code);
  this->Remove(id, /*on_engine=*/false, now);
}

void EndpointCore::OnCancel(const Cancel& cancel, Time now) {
  // The cancel may arrive before its offer, which must then not be started.
  this->Remember(cancel.id);
  Attempt* attempt = this->Find(cancel.id);
  if (attempt == nullptr) return;
  // A running attempt that may not be repeated is not cancelled.
  if (MustFinish(*attempt)) return;
  ++this->counts.cancelled;
  this->Remove(cancel.id, /*on_engine=*/true, now);
}

// ------------------------------------------------------- engines and service

void EndpointCore::OnEngineOutput(const AttemptId& id, const EngineOutput& output, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr || attempt->state != State::kRunning) return;
  Engine& engine = this->engines[attempt->engine];
  if (attempt->chunks == 0) {
    engine.backlog.AdvanceTo(now);
    engine.backlog.Remove(id);
  }
  this->Send(attempt->peer, Chunk{id, attempt->chunks++, output.text, output.tokens});
}

void EndpointCore::OnEngineFinished(const AttemptId& id, const EngineFinished& finished, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr || attempt->state != State::kRunning) return;
  Engine& engine = this->engines[attempt->engine];
  engine.backlog.AdvanceTo(now);
  engine.backlog.Remove(id);
  const Offer& offer = attempt->offer;
  uint64_t before = 0;
  for (const KvContext& context : offer.context) before += context.tokens;
  engine.speed.Observe(before + finished.cached_tokens, before + finished.prompt_tokens,
                       finished.prefill_seconds);
  this->RecordHints(&engine, offer);
  bool kept = offer.piece + 1 < offer.pieces;
  Done done;
  done.id = id;
  done.chunks = attempt->chunks;
  done.finish_reason = finished.finish_reason;
  done.prompt_tokens = finished.prompt_tokens;
  done.cached_tokens = finished.cached_tokens;
  done.completion_tokens = finished.completion_tokens;
  done.piece = offer.piece;
  if (kept) done.kept = {engine.options.address, ToString(id), finished.prompt_tokens};
  ++this->counts.finished;
  this->Send(attempt->peer, std::move(done));
  if (kept) {
    attempt->state = State::kKept;
  } else {
    this->Remove(id, /*on_engine=*/false, now);
  }
}

void EndpointCore::OnEngineFailure(const AttemptId& id, const EngineFailure& failure, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr || attempt->state != State::kRunning) return;
  if (failure.ran == Ran::kNo) {
    this->ReturnAsNotRun(id, failure.code, now);
    return;
  }
  this->Fail(id, failure.code, failure.ran, now);
}

void EndpointCore::OnServiceAnswer(const AttemptId& id, const ServiceAnswer& answer, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr) return;
  this->Send(attempt->peer, Chunk{id, 0, answer.body, 0});
  Done done;
  done.id = id;
  done.chunks = 1;
  done.status = static_cast<uint32_t>(answer.status);
  done.content_type = answer.content_type;
  ++this->counts.finished;
  this->Send(attempt->peer, std::move(done));
  this->Remove(id, /*on_engine=*/false, now);
}

void EndpointCore::Fail(const AttemptId& id, ResultCode code, Ran ran, Time now) {
  Attempt* attempt = this->Find(id);
  if (attempt == nullptr) return;
  ++this->counts.failed;
  this->Send(attempt->peer, Failed{id, code, ran});
  this->Remove(id, /*on_engine=*/true, now);
}

void EndpointCore::Remove(const AttemptId& id, bool on_engine, Time now) {
  auto found = this->live.find(id);
  if (found == this->live.end()) return;
  Attempt attempt = std::move(found->second);
  this->live.erase(found);
  if (!attempt.offer.service.empty()) {
    --this->service_calls;
    if (on_engine) this->actions.push_back(CancelService{id});
    return;
  }
  Engine& engine = this->engines[attempt.engine];
  engine.backlog.AdvanceTo(now);
  engine.backlog.Remove(id);
  bool sent_to_engine = attempt.state == State::kRunning || attempt.state == State::kKept;
  if (on_engine && sent_to_engine) {
    std::string name = ToString(id);
    engine.freeing[name] = {id, true, now + this->settings.free_retry};
    this->actions.push_back(FreeOnEngine{attempt.engine, name});
    return;
  }
  this->Release(attempt.engine, id, now);
}

void EndpointCore::Release(uint32_t engine, const AttemptId& id, Time now) {
  FreeResult freed = this->engines[engine].ledger.Free(id);
  this->StartGranted(freed.granted, now);
}

void EndpointCore::OnEngineFreed(uint32_t index, const std::string& allocation, bool freed,
                                 Time now) {
  Engine& engine = this->engines[index];
  auto found = engine.freeing.find(allocation);
  if (found == engine.freeing.end()) return;
  if (!freed) {
    found->second.next_try = now + this->settings.free_retry;
    return;
  }
  PendingFree freeing = found->second;
  engine.freeing.erase(found);
  if (freeing.in_ledger) this->Release(index, freeing.id, now);
}

void EndpointCore::OnAllocations(uint32_t index, const std::vector<EngineAllocation>& list,
                                 Time now) {
  Engine& engine = this->engines[index];
  engine.misses = 0;
  std::set<std::string> on_engine;
  for (const EngineAllocation& allocation : list) on_engine.insert(allocation.name);
  std::set<std::string> covered;
  for (const auto& [id, attempt] : this->live) {
    if (attempt.engine == index && attempt.offer.service.empty()) covered.insert(ToString(id));
  }
  for (const std::string& name : on_engine) {
    if (covered.count(name) > 0 || engine.freeing.count(name) > 0) continue;
    ++this->counts.swept;
    engine.freeing[name] = {AttemptId{}, false, now + this->settings.free_retry};
    this->actions.push_back(FreeOnEngine{index, name});
  }
  // An allocation that the engine no longer lists is free, whatever the result of the free call.
  std::vector<std::string> gone;
  for (const auto& [name, freeing] : engine.freeing) {
    if (on_engine.count(name) == 0) gone.push_back(name);
  }
  for (const std::string& name : gone) this->OnEngineFreed(index, name, true, now);
  // The ledger does not count allocations that an earlier incarnation left on the engine.  The
  // engine gets no new work until they are freed.
  bool has_leftover = std::any_of(engine.freeing.begin(), engine.freeing.end(),
                                  [](const auto& item) { return !item.second.in_ledger; });
  if (!engine.up && !has_leftover) engine.up = true;
  engine.next_sweep = now + (engine.up ? this->settings.sweep_period : this->settings.free_retry);
}

void EndpointCore::OnEngineUnreachable(uint32_t index, Time now) {
  Engine& engine = this->engines[index];
  engine.up = false;
  engine.next_sweep = now + this->settings.free_retry;
  ++engine.misses;
  bool lost = engine.misses >= kMissesUntilLost;
  std::vector<AttemptId> affected;
  for (const auto& [id, attempt] : this->live) {
    bool here = attempt.engine == index && attempt.offer.service.empty();
    if (here && (lost || attempt.state == State::kWaiting)) affected.push_back(id);
  }
  for (const AttemptId& id : affected) this->EndAttempt(id, ResultCode::kEngineFailed, now);
}

// ---------------------------------------------------- drain, policy and timers

void EndpointCore::Drain(Time now) {
  if (this->leaving) return;
  this->leaving = true;
  std::vector<AttemptId> waiting;
  for (const auto& [id, attempt] : this->live) {
    if (attempt.state == State::kWaiting) waiting.push_back(id);
  }
  for (const AttemptId& id : waiting) this->ReturnAsNotRun(id, ResultCode::kDraining, now);
}

void EndpointCore::SetPolicy(double group_memory_share, uint64_t long_tokens, Time now) {
  this->settings.long_tokens = long_tokens;
  if (group_memory_share == this->settings.group_memory_share) return;
  this->settings.group_memory_share = group_memory_share;
  for (uint32_t i = 0; i < this->engines.size(); ++i) {
    this->StartGranted(this->engines[i].ledger.SetLargeShare(group_memory_share), now);
  }
}

void EndpointCore::Tick(Time now) {
  for (Engine& engine : this->engines) engine.backlog.AdvanceTo(now);
  this->CheckLeases(now);
  this->CheckDeadlines(now);
  this->RetryFrees(now);
}

void EndpointCore::CheckLeases(Time now) {
  for (auto& [peer, state] : this->peers) {
    if (now - state.last_received < this->settings.lease) continue;
    ++this->counts.leases_lapsed;
    state.last_received = now;
    this->CancelAttemptsOf(peer, now);
  }
}

void EndpointCore::CheckDeadlines(Time now) {
  std::vector<AttemptId> expired;
  std::vector<AttemptId> cannot_finish;
  for (const auto& [id, attempt] : this->live) {
    if (attempt.deadline <= now) {
      expired.push_back(id);
    } else if (attempt.state == State::kWaiting && !attempt.reserve_only) {
      const PrefillSpeed& speed = this->engines[attempt.engine].speed.speed();
      Duration min_time = FromSeconds(Seconds(speed, 0, attempt.offer.prompt_tokens));
      if (now + min_time >= attempt.deadline) cannot_finish.push_back(id);
    }
  }
  for (const AttemptId& id : expired) this->EndAttempt(id, ResultCode::kDeadlineExceeded, now);
  // An attempt that waits for memory and can no longer finish in time is returned to its entry now.
  for (const AttemptId& id : cannot_finish) this->EndAttempt(id, ResultCode::kOverloaded, now);
}

void EndpointCore::RetryFrees(Time now) {
  for (uint32_t i = 0; i < this->engines.size(); ++i) {
    Engine& engine = this->engines[i];
    for (auto& [name, freeing] : engine.freeing) {
      if (freeing.next_try > now) continue;
      freeing.next_try = now + this->settings.free_retry;
      this->actions.push_back(FreeOnEngine{i, name});
    }
    if (engine.next_sweep > now) continue;
    engine.next_sweep = now + this->settings.sweep_period;
    this->actions.push_back(ListAllocations{i});
  }
}

EndpointHeartbeat EndpointCore::Heartbeat(int64_t config_offset, Time now) {
  EndpointHeartbeat heartbeat;
  heartbeat.incarnation = this->settings.incarnation;
  heartbeat.config_offset = config_offset;
  heartbeat.leaving = this->leaving;
  heartbeat.service = this->settings.service;
  for (uint32_t i = 0; i < this->engines.size(); ++i) {
    Engine& engine = this->engines[i];
    engine.backlog.AdvanceTo(now);
    EngineLoad load;
    load.engine = i;
    load.name = engine.options.name;
    load.model = engine.options.model;
    load.up = engine.up;
    load.total_tokens = engine.ledger.total();
    load.free_tokens = engine.ledger.available();
    load.backlog_ms = engine.backlog.Millis();
    load.seconds_per_token = engine.speed.speed().seconds_per_token;
    load.seconds_per_token_pair = engine.speed.speed().seconds_per_token_pair;
    load.cached.assign(engine.hints.begin(), engine.hints.end());
    heartbeat.engines.push_back(std::move(load));
  }
  for (const auto& [id, attempt] : this->live) {
    if (!attempt.offer.service.empty() || attempt.state != State::kRunning) continue;
    EngineLoad& load = heartbeat.engines[attempt.engine];
    ++load.running;
    if (attempt.offer.prompt_tokens >= this->settings.long_tokens) ++load.long_running;
  }
  for (const auto& [peer, state] : this->peers) {
    heartbeat.included.push_back({state.incarnation, state.last_dispatch});
  }
  return heartbeat;
}

void EndpointCore::RecordHints(Engine* engine, const Offer& offer) {
  // Every prefix moves to the front.  Offers list the shortest prefix first, so the longest one
  // ends up first and the short ones of old prompts are dropped first.
  for (const CacheHint& hint : offer.prefixes) {
    auto known = std::find(engine->hints.begin(), engine->hints.end(), hint);
    if (known != engine->hints.end()) engine->hints.erase(known);
    engine->hints.push_front(hint);
  }
  while (engine->hints.size() > kReportedHints) engine->hints.pop_back();
}

void EndpointCore::Remember(const AttemptId& id) {
  if (!this->seen.insert(id).second) return;
  this->seen_order.push_back(id);
  if (this->seen_order.size() <= kMaxRemembered) return;
  this->seen.erase(this->seen_order.front());
  this->seen_order.pop_front();
}

void EndpointCore::Send(PeerId peer, Message message) {
  if (this->peers.count(peer) == 0) return;
  this->actions.push_back(SendToPeer{peer, std::move(message)});
}

EndpointCore::Attempt* EndpointCore::Find(const AttemptId& id) {
  auto found = this->live.find(id);
  return found == this->live.end() ? nullptr : &found->second;
}

std::vector<EndpointAction> EndpointCore::TakeActions() {
  std::vector<EndpointAction> taken;
  taken.swap(this->actions);
  return taken;
}

}  // namespace gullward

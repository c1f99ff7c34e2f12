// Event loop, links, engines and callers of the simulation.

#include "trial/simulation.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "config/config_file.h"
#include "standins/answer.h"
#include "wire/codec.h"
#include "wire/text.h"

namespace gullward {
namespace {

constexpr Duration kEntryTick = milliseconds(20);
constexpr Duration kEndpointTick = milliseconds(50);
constexpr Duration kReportPeriod = milliseconds(250);
constexpr Duration kLinkTimeout = seconds(3);
constexpr Duration kEngineDelay = Duration(200);
constexpr Duration kControlTimeout = seconds(2);
constexpr Duration kLogDelay = milliseconds(5);

// A request may end this much after its deadline, for the period of a tick and the delay of a
// link.
constexpr Duration kDeadlineGrace = milliseconds(100);

}  // namespace

Simulation::Simulation(const SimulationOptions& simulation_options)
    : options(simulation_options), clock(std::chrono::hours(1)), random(simulation_options.seed) {
  for (size_t i = 0; i < this->options.endpoints; ++i) {
    auto node = std::make_unique<EndpointNode>();
    node->index = i;
    node->is_service = i + this->options.services >= this->options.endpoints;
    for (size_t e = 0; !node->is_service && e < this->options.engines_per_endpoint; ++e) {
      node->engines.push_back(std::make_unique<EngineNode>());
      node->engines.back()->model = std::make_unique<EngineModel>(this->options.engine);
    }
    this->endpoint_nodes.push_back(std::move(node));
    this->StartEndpoint(this->endpoint_nodes.back().get());
  }
  for (size_t i = 0; i < this->options.entries; ++i) {
    auto node = std::make_unique<EntryNode>();
    node->index = i;
    this->entry_nodes.push_back(std::move(node));
    this->StartEntry(this->entry_nodes.back().get());
  }
  this->At(this->clock, [this] { this->HeartbeatLinks(); });
}

// ------------------------------------------------------------ events and time

void Simulation::At(Time when, std::function<void()> task) {
  this->events.push({std::max(when, this->clock), this->next_event_number++, std::move(task)});
}

void Simulation::RunUntil(Time end) {
  this->RunUntilTrue([] { return false; }, end - this->clock);
}

void Simulation::RunFor(Duration duration) { this->RunUntil(this->clock + duration); }

bool Simulation::RunUntilTrue(const std::function<bool()>& condition, Duration timeout) {
  Time end = this->clock + timeout;
  while (!condition()) {
    if (this->events.empty() || this->events.top().at > end) {
      this->clock = end;
      return false;
    }
    Event event = this->events.top();
    this->events.pop();
    this->clock = event.at;
    event.task();
  }
  return true;
}

template <typename Node>
void Simulation::DeliverTo(Node* node, Duration delay, std::function<void()> task) {
  uint64_t incarnation = node->incarnation;
  this->At(this->clock + delay, [this, node, incarnation, task = std::move(task)] {
    if (!node->is_alive || node->incarnation != incarnation) return;
    if (node->paused_until > this->clock) {
      node->deferred.push_back(task);
    } else {
      task();
    }
  });
}

void Simulation::Deliver(EntryNode* node, Duration delay, std::function<void()> task) {
  this->DeliverTo(node, delay, std::move(task));
}

void Simulation::Deliver(EndpointNode* node, Duration delay, std::function<void()> task) {
  this->DeliverTo(node, delay, std::move(task));
}

template <typename Node>
void Simulation::Pause(Node* node, Duration duration) {
  node->paused_until = this->clock + duration;
  uint64_t incarnation = node->incarnation;
  this->At(node->paused_until, [node, incarnation] {
    if (!node->is_alive || node->incarnation != incarnation) return;
    std::vector<std::function<void()>> deferred = std::exchange(node->deferred, {});
    for (const std::function<void()>& task : deferred) task();
  });
}

void Simulation::Trace(const std::string& line) {
  if (!this->trace) return;
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", ToSeconds(this->clock - Time(std::chrono::hours(1))));
  this->trace(time + line);
}

// ------------------------------------------------------------------ processes

std::string Simulation::EngineAddress(size_t endpoint, uint32_t engine) const {
  return this->BoxName(endpoint) + "/" + std::to_string(engine);
}

void Simulation::StartEntry(EntryNode* node) {
  node->is_alive = true;
  ++node->incarnation;
  node->deferred.clear();
  node->calls.clear();
  node->next_claim = 0;
  node->feed = std::make_unique<ConfigFeed>();
  node->feed->ApplyLogRecords(0, this->config_log);
  EntryOptions entry_options;
  entry_options.box = "entry-" + std::to_string(node->index + 1);
  entry_options.incarnation = this->next_incarnation++;
  entry_options.seed = this->options.seed + entry_options.incarnation;
  entry_options.claimer.writer = entry_options.incarnation;
  node->core = std::make_unique<EntryCore>(entry_options, node->feed.get(), this->clock);
  node->core->OnBoxList(this->options.entries, {});
  this->TickEntry(node->index, node->incarnation);
}

void Simulation::StartEndpoint(EndpointNode* node) {
  node->is_alive = true;
  ++node->incarnation;
  node->deferred.clear();
  node->reports.clear();
  EndpointOptions endpoint_options;
  endpoint_options.box = this->BoxName(node->index);
  endpoint_options.incarnation = this->next_incarnation++;
  endpoint_options.sweep_period = seconds(1);
  if (node->is_service) endpoint_options.service = "desk";
  for (uint32_t e = 0; e < node->engines.size(); ++e) {
    EngineOptions engine;
    engine.name = "engine-" + std::to_string(node->index + 1) + "-" + std::to_string(e);
    engine.address = this->EngineAddress(node->index, e);
    engine.model = "base";
    engine.memory_tokens = this->options.engine.memory_tokens;
    engine.initial_speed = this->options.engine.speed;
    endpoint_options.engines.push_back(engine);
  }
  node->core = std::make_unique<EndpointCore>(endpoint_options, this->clock);
  this->TickEndpoint(node->index, node->incarnation);
}

void Simulation::TickEntry(size_t entry, uint64_t incarnation) {
  EntryNode* node = this->entry_nodes[entry].get();
  if (!node->is_alive || node->incarnation != incarnation) return;
  this->At(this->clock + kEntryTick,
           [this, entry, incarnation] { this->TickEntry(entry, incarnation); });
  if (node->paused_until > this->clock) return;
  this->ReadClaims(node);
  node->core->Tick(this->clock);
  this->Perform(node);
}

void Simulation::TickEndpoint(size_t endpoint, uint64_t incarnation) {
  EndpointNode* node = this->endpoint_nodes[endpoint].get();
  if (!node->is_alive || node->incarnation != incarnation) return;
  this->At(this->clock + kEndpointTick,
           [this, endpoint, incarnation] { this->TickEndpoint(endpoint, incarnation); });
  if (node->paused_until > this->clock) return;
  node->core->Tick(this->clock);
  this->Perform(node);
}

void Simulation::ReadClaims(EntryNode* node) {
  if (this->log_down) return;
  while (node->next_claim < this->claims_log.size()) {
    node->core->OnClaimRecord(this->claims_log[node->next_claim++], this->clock);
  }
}

void Simulation::KillEntry(size_t entry) {
  EntryNode* node = this->entry_nodes[entry].get();
  node->is_alive = false;
  ++node->incarnation;
  for (size_t i = 0; i < this->endpoint_nodes.size(); ++i) this->BreakLink(entry, i);
  for (const auto& [id, index] : node->calls) {
    if (this->calls[index].ended) continue;
    this->calls[index].broken = true;
    this->calls[index].ended = true;
    this->calls[index].ended_at = this->clock;
  }
  node->core.reset();
}

void Simulation::RestartEntry(size_t entry) { this->StartEntry(this->entry_nodes[entry].get()); }

void Simulation::PauseEntry(size_t entry, Duration duration) {
  this->Pause(this->entry_nodes[entry].get(), duration);
}

void Simulation::KillEndpoint(size_t endpoint) {
  EndpointNode* node = this->endpoint_nodes[endpoint].get();
  node->is_alive = false;
  ++node->incarnation;
  for (size_t i = 0; i < this->entry_nodes.size(); ++i) this->BreakLink(i, endpoint);
  node->core.reset();
}

void Simulation::RestartEndpoint(size_t endpoint) {
  this->StartEndpoint(this->endpoint_nodes[endpoint].get());
}

void Simulation::PauseEndpoint(size_t endpoint, Duration duration) {
  this->Pause(this->endpoint_nodes[endpoint].get(), duration);
}

void Simulation::DrainEndpoint(size_t endpoint) {
  EndpointNode* node = this->endpoint_nodes[endpoint].get();
  node->core->Drain(this->clock);
  this->Perform(node);
}

void Simulation::DrainEntry(size_t entry) { this->entry_nodes[entry]->core->Drain(); }

// ---------------------------------------------------------------------- links

void Simulation::HeartbeatLinks() {
  for (size_t e = 0; e < this->entry_nodes.size(); ++e) {
    EntryNode* entry_node = this->entry_nodes[e].get();
    bool entry_is_awake = entry_node->is_alive && entry_node->paused_until <= this->clock;
    for (size_t b = 0; b < this->endpoint_nodes.size(); ++b) {
      EndpointNode* endpoint_node = this->endpoint_nodes[b].get();
      Link& link = this->links[{e, b}];
      if (!link.is_up) {
        bool is_partitioned = link.partitioned_until > this->clock;
        if (entry_is_awake && endpoint_node->is_alive && !is_partitioned) this->ConnectLink(e, b);
        continue;
      }
      if (entry_is_awake && this->clock - link.last_received >= kLinkTimeout) {
        this->BreakLink(e, b);
        continue;
      }
      if (entry_is_awake) {
        int64_t offset = entry_node->feed->state().offset();
        this->SendToEndpoint(e, b, EntryHeartbeat{this->entry_nodes[e]->incarnation, 0, offset});
      }
      if (endpoint_node->is_alive && endpoint_node->paused_until <= this->clock) {
        this->SendToEntry(b, e + 1, this->ReportOf(endpoint_node));
      }
    }
  }
  this->At(this->clock + kReportPeriod, [this] { this->HeartbeatLinks(); });
}

EndpointHeartbeat Simulation::ReportOf(EndpointNode* node) {
  EndpointHeartbeat report = node->core->Heartbeat(-1, this->clock);
  if (this->options.report_lag > Duration{}) {
    node->reports.emplace_back(this->clock, report);
    // Sends the newest report that is old enough, or the oldest if none is.
    Time wanted = this->clock - this->options.report_lag;
    while (node->reports.size() > 1 && node->reports[1].first <= wanted) node->reports.pop_front();
    report = node->reports.front().second;
  }
  if (this->options.hint_loss <= 0) return report;
  std::bernoulli_distribution lost(this->options.hint_loss);
  for (EngineLoad& load : report.engines) {
    std::erase_if(load.cached, [&](const CacheHint&) { return lost(this->random); });
  }
  return report;
}

void Simulation::ConnectLink(size_t e, size_t b) {
  Link& link = this->links[{e, b}];
  link.is_up = true;
  ++link.session;
  link.last_received = this->clock;
  EndpointNode* node = this->endpoint_nodes[b].get();
  uint64_t incarnation = this->entry_nodes[e]->core->incarnation();
  this->Deliver(node, this->options.link_delay, [this, node, e, b, incarnation] {
    node->core->OnHello(e + 1, Hello{"entry", "", incarnation}, this->clock);
    this->SendToEntry(b, e + 1, node->core->Heartbeat(-1, this->clock));
  });
}

void Simulation::BreakLink(size_t e, size_t b) {
  Link& link = this->links[{e, b}];
  if (!link.is_up) return;
  link.is_up = false;
  ++link.session;
  EntryNode* entry_node = this->entry_nodes[e].get();
  EndpointNode* endpoint_node = this->endpoint_nodes[b].get();
  this->Deliver(entry_node, this->options.link_delay, [this, entry_node, b] {
    this->Trace("entry loses " + this->BoxName(b));
    entry_node->core->OnBoxLost(this->BoxName(b), this->clock);
    this->Perform(entry_node);
  });
  // On a partitioned link the endpoint receives nothing, not even the reset.
  if (link.partitioned_until > this->clock) return;
  this->Deliver(endpoint_node, this->options.link_delay, [this, endpoint_node, e] {
    endpoint_node->core->OnPeerLost(e + 1, this->clock);
    this->Perform(endpoint_node);
  });
}

void Simulation::ResetLink(size_t e, size_t b) { this->BreakLink(e, b); }

void Simulation::PartitionLink(size_t e, size_t b, Duration duration) {
  this->links[{e, b}].partitioned_until = this->clock + duration;
}

void Simulation::SendToEndpoint(size_t e, size_t b, const Message& message) {
  Link& link = this->links[{e, b}];
  if (!link.is_up || link.partitioned_until > this->clock) return;
  EndpointNode* node = this->endpoint_nodes[b].get();
  uint64_t session = link.session;
  bool heartbeat = std::holds_alternative<EntryHeartbeat>(message);
  if (!heartbeat)
    this->Trace("entry-" + std::to_string(e + 1) + " > " + this->BoxName(b) + " " + Text(message));
  this->Deliver(node, this->options.link_delay, [this, node, e, b, session, message] {
    if (this->links[{e, b}].session != session) return;
    node->core->OnMessage(e + 1, message, this->clock);
    this->Perform(node);
  });
}

void Simulation::SendToEntry(size_t b, PeerId peer, const Message& message) {
  size_t e = peer - 1;
  Link& link = this->links[{e, b}];
  if (!link.is_up || link.partitioned_until > this->clock) return;
  EntryNode* node = this->entry_nodes[e].get();
  uint64_t session = link.session;
  bool heartbeat = std::holds_alternative<EndpointHeartbeat>(message);
  if (!heartbeat)
    this->Trace(this->BoxName(b) + " > entry-" + std::to_string(e + 1) + " " + Text(message));
  this->Deliver(node, this->options.link_delay, [this, node, e, b, session, message, heartbeat] {
    Link& now_link = this->links[{e, b}];
    if (now_link.session != session) return;
    now_link.last_received = this->clock;
    node->core->OnMessage(this->BoxName(b), message, this->clock);
    if (!heartbeat) this->Perform(node);
  });
}

// -------------------------------------------------------------------- actions

Call* Simulation::CallOf(const RequestId& id) {
  auto found = this->call_of.find(id);
  return found == this->call_of.end() ? nullptr : &this->calls[found->second];
}

void Simulation::Perform(EntryNode* node) {
  for (const EntryAction& action : node->core->TakeActions()) {
    if (this->on_entry_action) this->on_entry_action(action);
    // The hook may have killed the node; its remaining actions are lost.
    if (!node->is_alive) return;
    if (const auto* send = std::get_if<SendToBox>(&action)) {
      this->SendToEndpoint(node->index, this->BoxIndex(send->box), send->message);
    } else if (const auto* append = std::get_if<AppendClaims>(&action)) {
      this->Trace("entry-" + std::to_string(node->index + 1) + " > log " + Text(append->batch));
      if (!this->log_down) {
        this->At(this->clock + kLogDelay,
                 [this, batch = append->batch] { this->claims_log.push_back(batch); });
      }
    } else if (const auto* text = std::get_if<DeliverText>(&action)) {
      Call* call = this->CallOf(text->id);
      if (call == nullptr) continue;
      if (!call->first_token) call->first_token_at = this->clock;
      call->first_token = true;
      call->last_token_at = this->clock;
      call->text += text->text;
    } else if (const auto* finish = std::get_if<FinishAnswer>(&action)) {
      this->Trace("caller < finished " + ToString(finish->id));
      Call* call = this->CallOf(finish->id);
      if (call == nullptr) continue;
      call->finished = call->ended = true;
      call->ended_at = this->clock;
      call->finish = *finish;
      node->calls.erase(finish->id);
    } else if (const auto* failure = std::get_if<FailAnswer>(&action)) {
      this->Trace("caller < failed " + ToString(failure->id) + " " + Info(failure->code).name +
                  " ran=" + ToString(failure->ran) +
                  " retry=" + std::to_string(failure->retry_after_ms) + "ms");
      Call* call = this->CallOf(failure->id);
      if (call == nullptr) continue;
      call->ended = true;
      call->ended_at = this->clock;
      call->failure = *failure;
      node->calls.erase(failure->id);
    }
  }
}

void Simulation::Perform(EndpointNode* node) {
  for (const EndpointAction& action : node->core->TakeActions()) {
    this->acting_index = node->index;
    if (this->on_endpoint_action) this->on_endpoint_action(action);
    if (!node->is_alive) return;
    if (const auto* send = std::get_if<SendToPeer>(&action)) {
      this->SendToEntry(node->index, send->peer, send->message);
    } else if (const auto* start = std::get_if<StartOnEngine>(&action)) {
      this->StartEngineJob(node, *start);
    } else if (const auto* free = std::get_if<FreeOnEngine>(&action)) {
      this->FreeEngineJob(node, *free);
    } else if (const auto* list = std::get_if<ListAllocations>(&action)) {
      this->ListEngine(node, list->engine);
    } else if (const auto* service = std::get_if<CallService>(&action)) {
      this->RunService(node, *service);
    }
  }
}

// -------------------------------------------------------------------- engines

void Simulation::StartEngineJob(EndpointNode* node, const StartOnEngine& start) {
  this->Trace(this->BoxName(node->index) + " > engine start " + ToString(start.id));
  node->last_start = this->clock;
  const Offer& offer = start.offer;
  bool last = offer.piece + 1 >= offer.pieces;
  Call* call = this->CallOf(start.id.request);
  if (call != nullptr && last) ++call->starts;
  EngineNode* engine = node->engines[start.engine].get();
  uint64_t engine_incarnation = engine->incarnation;
  uint64_t node_incarnation = node->incarnation;
  auto broken = [this, node, id = start.id](ResultCode code, Ran ran) {
    this->Deliver(node, kEngineDelay, [this, node, id, code, ran] {
      node->core->OnEngineFailure(id, {code, ran}, this->clock);
      this->Perform(node);
    });
  };
  Duration delay = kEngineDelay;
  if (this->IsFrozen(*engine)) delay += engine->frozen_until - this->clock;
  this->At(this->clock + delay,
           [this, node, engine, engine_incarnation, node_incarnation, start, broken] {
             if (engine->incarnation != engine_incarnation) {
               broken(ResultCode::kEngineFailed, Ran::kUnknown);
               return;
             }
             EngineJob job;
             job.allocation = ToString(start.id);
             job.prompt_tokens = TokensOf(start.offer.prompt.size());
             job.max_tokens = start.offer.max_tokens;
             job.priority = start.offer.priority;
             job.keep = start.offer.piece + 1 < start.offer.pieces;
             job.memory_tokens = start.offer.prompt_tokens + (job.keep ? 0 : job.max_tokens);
             uint64_t hash = kAnswerSeed;
             for (const KvContext& context : start.offer.context) {
               size_t slash = context.address.find('/');
               const EndpointNode& other =
                   *this->endpoint_nodes[this->BoxIndex(context.address.substr(0, slash))];
               const EngineModel& model =
                   *other.engines[std::stoul(context.address.substr(slash + 1))]->model;
               auto kept = model.holdings().find(context.allocation);
               if (kept == model.holdings().end() || !kept->second.kept) {
                 broken(ResultCode::kStaleOffer, Ran::kNo);
                 return;
               }
               hash = kept->second.hash;
               job.before_tokens += kept->second.prompt_tokens;
             }
             job.hash = ContinueHash(hash, start.offer.prompt);
             if (start.offer.context.empty()) job.prefixes = PrefixHashes(start.offer.prompt);
             EngineModel::SubmitResult submitted = engine->model->Submit(job, this->clock);
             if (submitted != EngineModel::SubmitResult::kOk) {
               bool memory = submitted == EngineModel::SubmitResult::kNoMemory;
               broken(memory ? ResultCode::kNoMemory : ResultCode::kStaleOffer, Ran::kNo);
               return;
             }
             engine->streams[job.allocation] = start.id;
             engine->stream_incarnation[job.allocation] = node_incarnation;
             this->ScheduleEngine(node, start.engine);
           });
}

void Simulation::ScheduleEngine(EndpointNode* node, uint32_t index) {
  EngineNode* engine = node->engines[index].get();
  std::optional<Time> next = engine->model->NextEvent();
  if (!next || *next == engine->next_advance) return;
  engine->next_advance = *next;
  uint64_t incarnation = engine->incarnation;
  this->At(*next, [this, node, index, incarnation] {
    EngineNode* due = node->engines[index].get();
    if (due->incarnation != incarnation) return;
    if (!this->IsFrozen(*due)) {
      this->AdvanceEngine(node, index);
      return;
    }
    due->next_advance = due->frozen_until;
    this->At(due->frozen_until, [this, node, index, due, incarnation] {
      if (due->incarnation == incarnation) this->AdvanceEngine(node, index);
    });
  });
}

void Simulation::AdvanceEngine(EndpointNode* node, uint32_t index) {
  EngineNode* engine = node->engines[index].get();
  for (const EngineEvent& event : engine->model->AdvanceTo(this->clock)) {
    auto found = engine->streams.find(event.allocation);
    if (found == engine->streams.end()) continue;
    AttemptId id = found->second;
    bool same_incarnation = engine->stream_incarnation[event.allocation] == node->incarnation;
    if (event.finished) {
      engine->streams.erase(found);
      engine->stream_incarnation.erase(event.allocation);
    }
    // The endpoint process that started the job is no longer running, so its connection is
    // closed.
    if (!same_incarnation) continue;
    this->Deliver(node, kEngineDelay, [this, node, id, event] {
      if (event.finished) {
        node->core->OnEngineFinished(id,
                                     {event.finish_reason, event.prompt_tokens, event.cached_tokens,
                                      event.answer_tokens, event.prefill_seconds},
                                     this->clock);
      } else {
        node->core->OnEngineOutput(id, {event.text, 1}, this->clock);
      }
      this->Perform(node);
    });
  }
  this->ScheduleEngine(node, index);
}

void Simulation::FreeEngineJob(EndpointNode* node, const FreeOnEngine& action) {
  this->Trace(this->BoxName(node->index) + " > engine free " + action.allocation);
  EngineNode* engine = node->engines[action.engine].get();
  auto answer = [this, node, action](bool freed, Duration delay) {
    this->Deliver(node, delay, [this, node, action, freed] {
      node->core->OnEngineFreed(action.engine, action.allocation, freed, this->clock);
      this->Perform(node);
    });
  };
  if (this->IsFrozen(*engine)) {
    answer(false, kControlTimeout);
    return;
  }
  this->At(this->clock + kEngineDelay, [engine, action, answer] {
    engine->model->Free(action.allocation);
    engine->streams.erase(action.allocation);
    answer(true, kEngineDelay);
  });
}

void Simulation::ListEngine(EndpointNode* node, uint32_t index) {
  EngineNode* engine = node->engines[index].get();
  bool frozen = this->IsFrozen(*engine);
  this->Deliver(node, frozen ? Duration(kControlTimeout) : kEngineDelay,
                [this, node, engine, index, frozen] {
                  if (frozen) {
                    node->core->OnEngineUnreachable(index, this->clock);
                  } else {
                    std::vector<EngineAllocation> list;
                    for (const auto& [name, holding] : engine->model->holdings()) {
                      list.push_back({name, holding.tokens});
                    }
                    node->core->OnAllocations(index, list, this->clock);
                  }
                  this->Perform(node);
                });
}

void Simulation::BreakStreams(EndpointNode* node, uint32_t index, Ran ran) {
  EngineNode* engine = node->engines[index].get();
  for (const auto& [name, id] : engine->streams) {
    if (engine->stream_incarnation[name] != node->incarnation) continue;
    this->Deliver(node, kEngineDelay, [this, node, id = id, ran] {
      node->core->OnEngineFailure(id, {ResultCode::kEngineFailed, ran}, this->clock);
      this->Perform(node);
    });
  }
  engine->streams.clear();
  engine->stream_incarnation.clear();
}

void Simulation::KillEngine(size_t endpoint, uint32_t index) {
  EndpointNode* node = this->endpoint_nodes[endpoint].get();
  EngineNode* engine = node->engines[index].get();
  this->BreakStreams(node, index, Ran::kUnknown);
  ++engine->incarnation;
  engine->model = std::make_unique<EngineModel>(this->options.engine);
  engine->model->SetSlowdown(engine->slowdown);
  engine->next_advance = Time();
}

void Simulation::FreezeEngine(size_t endpoint, uint32_t index, Duration duration) {
  EngineNode* engine = this->endpoint_nodes[endpoint]->engines[index].get();
  engine->frozen_until = this->clock + duration;
}

void Simulation::SlowEngine(size_t endpoint, uint32_t index, double factor) {
  EngineNode* engine = this->endpoint_nodes[endpoint]->engines[index].get();
  engine->slowdown = factor;
  engine->model->SetSlowdown(factor);
}

void Simulation::AbortStreams(size_t endpoint, uint32_t index) {
  this->BreakStreams(this->endpoint_nodes[endpoint].get(), index, Ran::kYes);
}

void Simulation::RunService(EndpointNode* node, const CallService& action) {
  this->Trace(this->BoxName(node->index) + " > service call " + ToString(action.id));
  node->last_start = this->clock;
  Call* call = this->CallOf(action.id.request);
  if (call != nullptr) ++call->starts;
  this->journal.push_back(action.offer.prompt);
  this->Deliver(node, this->options.service_time, [this, node, action] {
    node->core->OnServiceAnswer(action.id, {201, "text/plain", "entered " + action.offer.prompt},
                                this->clock);
    this->Perform(node);
  });
}

// -------------------------------------------------------------------- callers

size_t Simulation::Submit(size_t entry, RequestInput input) {
  EntryNode* node = this->entry_nodes[entry].get();
  size_t index = this->calls.size();
  Call call;
  call.entry = entry;
  call.input = input;
  call.submitted = this->clock;
  call.deadline = this->clock + input.timeout.value_or(seconds(20));
  this->calls.push_back(call);
  Duration wait{};
  if (node->paused_until > this->clock) wait = node->paused_until - this->clock;
  this->At(this->clock + wait, [this, node, index, input = std::move(input)] {
    if (!node->is_alive) {
      this->calls[index].broken = this->calls[index].ended = true;
      return;
    }
    RequestId id = node->core->Submit(input, this->clock);
    this->Trace("call " + std::to_string(index) + " is " + ToString(id));
    this->calls[index].id = id;
    this->calls[index].deadline = this->clock + input.timeout.value_or(seconds(20));
    this->call_of[id] = index;
    node->calls[id] = index;
    this->Perform(node);
  });
  return index;
}

void Simulation::DisconnectCaller(size_t index) {
  Call& call = this->calls[index];
  call.disconnected = true;
  if (call.ended) return;
  call.ended = true;
  call.ended_at = this->clock;
  EntryNode* node = this->entry_nodes[call.entry].get();
  this->Deliver(node, Duration{}, [this, node, id = call.id] {
    node->core->OnCallerGone(id, this->clock);
    this->Perform(node);
  });
}

void Simulation::Publish(const std::string& config_toml) {
  std::vector<ConfigError> errors;
  std::optional<ConfigFile> file = ParseConfigFile(config_toml, "world", &errors);
  ConfigState state;
  for (const OffsetRecord& record : this->config_log) {
    state.Apply(record.offset, DecodeRecord(record.body));
  }
  auto offset = static_cast<int64_t>(this->config_log.size());
  ConfigChange change = MakeChange(*file, state, {999, static_cast<uint64_t>(offset)});
  this->config_log.push_back({offset, EncodeRecord(change)});
  for (const auto& node : this->entry_nodes) {
    if (!node->is_alive) continue;
    node->feed->ApplyLogRecords(0, this->config_log);
    node->core->OnConfigChanged();
    node->core->OnBoxList(this->options.entries, {});
  }
  for (const auto& node : this->endpoint_nodes) {
    if (!node->is_alive || this->entry_nodes.empty()) continue;
    const ConfigState& current = this->entry_nodes[0]->feed->state();
    const RoutingSpec& routing = current.Routing();
    node->core->SetPolicy(routing.group_memory_share, static_cast<uint64_t>(routing.long_tokens),
                          this->clock);
    if (current.Find({"leaving", this->BoxName(node->index)}) != nullptr) {
      node->core->Drain(this->clock);
      this->Perform(node.get());
    }
  }
}

// ------------------------------------------------------------------ invariants

std::vector<std::string> Simulation::CheckInvariants(bool expect_idle) const {
  std::vector<std::string> broken;
  std::map<uint64_t, int> starts_of_key;
  for (size_t i = 0; i < this->calls.size(); ++i) {
    const Call& call = this->calls[i];
    std::string name = "call " + std::to_string(i) + ": ";
    bool late = !call.ended && this->clock > call.deadline + kDeadlineGrace;
    bool ended_late = call.ended && call.ended_at > call.deadline + kDeadlineGrace;
    if (late || ended_late) broken.push_back(name + "not ended by its deadline");
    if (call.finished && call.input.service.empty()) {
      std::string expected = ExpectedAnswer(*call.input.prompt, call.input.max_tokens);
      if (call.text != expected) broken.push_back(name + "the answer is not the expected one");
    }
    if (call.finished && !call.input.service.empty()) {
      if (call.text != "entered " + *call.input.prompt) broken.push_back(name + "wrong answer");
    }
    bool failed = call.ended && !call.finished && !call.broken && !call.disconnected;
    if (failed && call.failure.ran == Ran::kNo && call.starts > 0) {
      broken.push_back(name + "reported as not run, but was started");
    }
    if (!call.input.repeatable && call.starts > 1) {
      broken.push_back(name + "not repeatable, but started " + std::to_string(call.starts) +
                       " times");
    }
    if (call.input.idempotency_key != 0 && !call.input.repeatable) {
      starts_of_key[call.input.idempotency_key] += call.starts;
    }
  }
  for (const auto& [key, starts] : starts_of_key) {
    if (starts > 1) broken.push_back("key " + std::to_string(key) + " was started more than once");
  }
  for (const auto& node : this->endpoint_nodes) {
    for (uint32_t e = 0; e < node->engines.size(); ++e) {
      std::string name = this->BoxName(node->index) + " engine " + std::to_string(e) + ": ";
      const EngineModel& model = *node->engines[e]->model;
      if (node->is_alive && !node->core->ledger(e).IsConsistent()) {
        broken.push_back(name + "ledger is not consistent");
      }
      if (!expect_idle) continue;
      if (!model.holdings().empty()) broken.push_back(name + "memory is held at the end");
      if (node->is_alive && node->core->ledger(e).free() != node->core->ledger(e).total()) {
        broken.push_back(name + "ledger holds memory at the end");
      }
    }
    if (expect_idle && node->is_alive && node->core->attempts() > 0) {
      broken.push_back(this->BoxName(node->index) + " has attempts at the end");
    }
  }
  for (const auto& node : this->entry_nodes) {
    if (expect_idle && node->is_alive && node->core->in_flight() > 0) {
      broken.push_back("an entry has requests in flight at the end");
    }
  }
  return broken;
}

// --------------------------------------------------------------------- basics

std::string BasicKey() { return std::string(64, 'a'); }

std::string BasicConfig() {
  return "[[class]]\nname = \"counter\"\ntimeout_seconds = 20\npriority = 1\nvalue = 10\n"
         "[[account]]\nname = \"shop\"\nclass = \"counter\"\nkey_sha256 = \"" +
         BasicKey() +
         "\"\n"
         "[[model]]\nname = \"base\"\nbytes_per_token = 5\ncontext_tokens = 1200000\n"
         "[[service]]\nname = \"desk\"\ntimeout_seconds = 10\n"
         "[[routing]]\nname = \"default\"\nlong_tokens = 32768\nlong_share = 1.0\n";
}

RequestInput BasicRequest(uint64_t tokens, uint32_t max_tokens, uint64_t seed) {
  RequestInput input;
  input.key_sha256 = BasicKey();
  input.model = "base";
  std::string prompt = "prompt " + std::to_string(seed) + ": ";
  std::string filler = "the part with the number " + std::to_string(seed * 7919) + " fits ";
  while (prompt.size() < tokens * kBytesPerToken) prompt += filler;
  prompt.resize(std::max<size_t>(tokens * kBytesPerToken, 1));
  input.prefixes = PrefixHashes(prompt);
  input.prompt = std::make_shared<const std::string>(std::move(prompt));
  input.max_tokens = max_tokens;
  return input;
}

RequestInput ServiceRequest(const std::string& text) {
  RequestInput input;
  input.key_sha256 = BasicKey();
  input.service = "desk";
  input.method = "POST";
  input.path = "/entries";
  input.prompt = std::make_shared<const std::string>(text);
  input.timeout = seconds(10);
  return input;
}

}  // namespace gullward

// The network side of an endpoint process; endpoint_server.h gives an overview.

#include "endpoint/endpoint_server.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "process/metrics.h"
#include "process/process.h"
#include "wire/text.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kReportPeriod = milliseconds(250);
constexpr Duration kStopPoll = milliseconds(50);

EndpointOptions CoreOptions(const EndpointSettings& settings, uint64_t incarnation) {
  EndpointOptions options;
  options.box = settings.box;
  options.incarnation = incarnation;
  options.engines = settings.engines;
  options.service = settings.service;
  options.lease = settings.lease;
  options.sweep_period = settings.sweep_period;
  return options;
}

ConfigFollowerOptions FollowerOptions(uint64_t incarnation) {
  ConfigFollowerOptions options;
  options.always_read = false;
  options.write_snapshots = false;
  options.seed = incarnation;
  return options;
}

std::vector<std::string> EngineAddresses(const EndpointSettings& settings) {
  std::vector<std::string> addresses;
  for (const EngineOptions& engine : settings.engines) addresses.push_back(engine.address);
  return addresses;
}

}  // namespace

EndpointServer::EndpointServer(EventLoop* event_loop, const EndpointSettings& endpoint_settings,
                               uint64_t own_incarnation)
    : loop(event_loop),
      settings(endpoint_settings),
      incarnation(own_incarnation),
      client(event_loop),
      log(&this->client, endpoint_settings.platform),
      follower(event_loop, &this->log, FollowerOptions(own_incarnation),
               [this] { this->OnConfigChanged(); }),
      core(CoreOptions(endpoint_settings, own_incarnation), Now()),
      engines(&this->client, EngineAddresses(endpoint_settings),
              {[this](const AttemptId& id, const EngineOutput& output) {
                 this->core.OnEngineOutput(id, output, Now());
                 this->PerformActions();
               },
               [this](const AttemptId& id, const EngineFinished& finished) {
                 this->core.OnEngineFinished(id, finished, Now());
                 this->PerformActions();
               },
               [this](const AttemptId& id, const EngineFailure& failure) {
                 LOG(WARNING) << "request " << ToString(id)
                              << " failed on the engine: " << Info(failure.code).name;
                 this->core.OnEngineFailure(id, failure, Now());
                 this->PerformActions();
               },
               [this](uint32_t engine, const std::string& allocation, bool freed) {
                 this->core.OnEngineFreed(engine, allocation, freed, Now());
                 this->PerformActions();
               },
               [this](uint32_t engine, const std::vector<EngineAllocation>& list) {
                 this->core.OnAllocations(engine, list, Now());
                 this->PerformActions();
               },
               [this](uint32_t engine) {
                 this->core.OnEngineUnreachable(engine, Now());
                 this->PerformActions();
               }}),
      server(event_loop),
      admin(event_loop,
            {[this] { return !this->core.draining() && this->follower.state().size() > 0; },
             [this] { return this->StateJson(); }, [this] { return this->MetricsBody(); },
             [this] {
               this->core.Drain(Now());
               this->PerformActions();
               this->SendHeartbeats();
             }}) {}

EndpointServer::~EndpointServer() {
  this->admin.Stop();
  // The map is emptied first, so that the closed hooks find no peer and report nothing.
  for (auto& [id, peer] : std::exchange(this->peers, {})) {
    peer.connection->Close(absl::CancelledError("stopping"));
  }
}

absl::Status EndpointServer::Start() {
  FrameConnection::Hooks hooks;
  hooks.opened = [this](FrameConnection* connection) { this->OnOpened(connection); };
  hooks.received = [this](FrameConnection* connection, const Message& message) {
    this->OnReceived(connection, message);
  };
  hooks.closed = [this](FrameConnection* connection, const absl::Status& reason) {
    this->OnClosed(connection, reason);
  };
  absl::Status status = this->server.Listen(this->settings.listen, hooks);
  if (!status.ok()) return status;
  status = this->admin.Start(this->settings.admin);
  if (!status.ok()) return status;
  this->follower.Start();
  this->loop->RunEvery(kTickPeriod, [this] {
    this->core.Tick(Now());
    this->PerformActions();
  });
  this->loop->RunEvery(kReportPeriod, [this] { this->SendHeartbeats(); });
  json ready = {{"listen", this->settings.listen.host + ":" + std::to_string(this->server.port())},
                {"admin", this->settings.admin.host + ":" + std::to_string(this->admin.port())}};
  WriteReadyFile(ready.dump());
  LOG(INFO) << "endpoint " << this->settings.box << " serves on " << ready["listen"];
  return absl::OkStatus();
}

// ---------------------------------------------------------------------- peers

PeerId EndpointServer::IdOf(FrameConnection* connection) const {
  for (const auto& [id, peer] : this->peers) {
    if (peer.connection.get() == connection) return id;
  }
  return 0;
}

void EndpointServer::OnOpened(FrameConnection* connection) {
  this->peers[this->next_peer++] = {connection->shared_from_this(), false};
  connection->Send(Hello{this->settings.box, this->settings.zone, this->incarnation});
}

void EndpointServer::OnReceived(FrameConnection* connection, const Message& message) {
  PeerId id = this->IdOf(connection);
  auto found = this->peers.find(id);
  if (found == this->peers.end()) return;
  if (const auto* hello = std::get_if<Hello>(&message)) {
    if (hello->protocol != kProtocolVersion) {
      connection->Close(absl::FailedPreconditionError("protocol version not supported"));
      return;
    }
    found->second.has_greeted = true;
    LOG(INFO) << "entry " << hello->box << " connected";
    this->core.OnHello(id, *hello, Now());
    // The entry can send offers as soon as it has the list of engines, so it gets a report at once.
    connection->Send(this->core.Heartbeat(this->follower.state().offset(), Now()));
    return;
  }
  auto send = [connection](const Message& m) { connection->Send(m); };
  if (const auto* heartbeat = std::get_if<EntryHeartbeat>(&message)) {
    this->follower.OnPeerOffset(heartbeat->config_offset, send);
  } else if (const auto* fetch = std::get_if<ConfigFetch>(&message)) {
    send(this->follower.feed().RecordsAfter(fetch->after));
  } else if (const auto* records = std::get_if<ConfigRecords>(&message)) {
    this->follower.OnPeerRecords(*records);
  }
  this->core.OnMessage(id, message, Now());
  this->PerformActions();
}

void EndpointServer::OnClosed(FrameConnection* connection, const absl::Status& reason) {
  PeerId id = this->IdOf(connection);
  if (id == 0) return;
  if (absl::IsInvalidArgument(reason)) ++this->bad_frames;
  LOG(WARNING) << "connection to an entry closed: " << reason.message();
  this->peers.erase(id);
  this->core.OnPeerLost(id, Now());
  this->PerformActions();
}

void EndpointServer::OnConfigChanged() {
  const RoutingSpec& routing = this->follower.state().Routing();
  this->core.SetPolicy(routing.group_memory_share, static_cast<uint64_t>(routing.long_tokens),
                       Now());
  if (this->follower.state().Find({"leaving", this->settings.box}) != nullptr) {
    LOG(INFO) << "draining: the configuration lists this box as leaving";
    this->core.Drain(Now());
  }
  this->PerformActions();
  this->SendHeartbeats();
}

void EndpointServer::SendHeartbeats() {
  if (this->peers.empty()) return;
  EndpointHeartbeat heartbeat = this->core.Heartbeat(this->follower.state().offset(), Now());
  for (const auto& [id, peer] : this->peers) {
    if (peer.has_greeted) peer.connection->Send(heartbeat);
  }
}

// -------------------------------------------------------------------- actions

void EndpointServer::PerformActions() {
  for (const EndpointAction& action : this->core.TakeActions()) {
    std::visit([this](const auto& a) { this->Perform(a); }, action);
  }
}

void EndpointServer::Perform(const SendToPeer& action) {
  auto found = this->peers.find(action.peer);
  if (found == this->peers.end()) return;
  VLOG(1) << Text(action.message);
  found->second.connection->Send(action.message);
}

void EndpointServer::Perform(const StartOnEngine& action) {
  LOG(INFO) << "request " << ToString(action.id) << " starts on engine "
            << this->settings.engines[action.engine].name;
  this->engines.Start(action);
}

void EndpointServer::Perform(const FreeOnEngine& action) {
  this->engines.Free(action.engine, action.allocation);
}

void EndpointServer::Perform(const ListAllocations& action) { this->engines.List(action.engine); }

void EndpointServer::Perform(const CallService& action) {
  LOG(INFO) << "request " << ToString(action.id) << " calls the service";
  HttpCall call;
  call.method = action.offer.method;
  call.url = "http://" + this->settings.service_address + action.offer.path;
  if (!action.offer.content_type.empty()) {
    call.headers.emplace_back("Content-Type", action.offer.content_type);
  }
  call.headers.emplace_back("X-Request-Id", ToString(action.id.request));
  call.body = action.offer.prompt;
  call.timeout = action.time_left;
  call.repeatable = action.offer.repeatable;
  AttemptId id = action.id;
  auto done = [this, id](const HttpResult& result) {
    this->service_calls.erase(id);
    if (result.complete) {
      this->core.OnServiceAnswer(id, {result.status, result.content_type, result.body}, Now());
    } else {
      Ran ran = result.connected ? Ran::kUnknown : Ran::kNo;
      this->core.OnEngineFailure(id, {ResultCode::kServiceFailed, ran}, Now());
    }
    this->PerformActions();
  };
  this->service_calls[id] = this->client.Start(std::move(call), {nullptr, std::move(done)});
}

void EndpointServer::Perform(const CancelService& action) {
  auto found = this->service_calls.find(action.id);
  if (found == this->service_calls.end()) return;
  this->client.Cancel(found->second);
  this->service_calls.erase(found);
}

// ------------------------------------------------------------------ operators

std::string EndpointServer::StateJson() const {
  json state;
  state["program"] = "gullward-endpoint";
  state["box"] = this->settings.box;
  state["data_centre"] = this->settings.zone;
  state["incarnation"] = this->incarnation;
  state["config_offset"] = this->follower.state().offset();
  state["config_objects"] = this->follower.state().size();
  state["log_reachable"] = this->follower.log_reachable();
  state["draining"] = this->core.draining();
  state["peers"] = this->peers.size();
  state["attempts"] = this->core.attempts();
  state["attempts_remembered"] = this->core.remembered();
  state["service"] = this->settings.service;
  state["engines"] = json::array();
  for (uint32_t i = 0; i < this->settings.engines.size(); ++i) {
    const Ledger& ledger = this->core.ledger(i);
    state["engines"].push_back({{"name", this->settings.engines[i].name},
                                {"model", this->settings.engines[i].model},
                                {"up", this->core.engine_up(i)},
                                {"total_tokens", ledger.total()},
                                {"free_tokens", ledger.free()},
                                {"holders", ledger.holders()},
                                {"waiters", ledger.waiters()},
                                {"freeing", this->core.freeing(i)},
                                {"seconds_per_token", this->core.speed(i).seconds_per_token}});
  }
  return state.dump(2);
}

std::string EndpointServer::MetricsBody() const {
  const EndpointCounters& c = this->core.counters();
  MetricsText text;
  const std::string attempts = "gullward_endpoint_attempts_total";
  const std::string attempts_help = "Attempts by what became of them";
  text.Counter(attempts, attempts_help, {{"result", "accepted"}}, static_cast<double>(c.accepted));
  text.Counter(attempts, attempts_help, {{"result", "refused"}}, static_cast<double>(c.refused));
  text.Counter(attempts, attempts_help, {{"result", "started"}}, static_cast<double>(c.started));
  text.Counter(attempts, attempts_help, {{"result", "finished"}}, static_cast<double>(c.finished));
  text.Counter(attempts, attempts_help, {{"result", "failed"}}, static_cast<double>(c.failed));
  text.Counter(attempts, attempts_help, {{"result", "cancelled"}},
               static_cast<double>(c.cancelled));
  text.Counter("gullward_endpoint_leases_lapsed_total", "Entries not heard of for a lease", {},
               static_cast<double>(c.leases_lapsed));
  text.Counter("gullward_endpoint_swept_total", "Allocations freed that no attempt covered", {},
               static_cast<double>(c.swept));
  text.Counter("gullward_endpoint_bad_frames_total", "Connections closed for a bad frame", {},
               static_cast<double>(this->bad_frames));
  for (uint32_t i = 0; i < this->settings.engines.size(); ++i) {
    MetricsText::MetricLabels labels = {{"engine", this->settings.engines[i].name}};
    text.Gauge("gullward_engine_up", "Whether the engine is in use", labels,
               this->core.engine_up(i) ? 1 : 0);
    text.Gauge("gullward_engine_free_tokens", "Memory not promised", labels,
               static_cast<double>(this->core.ledger(i).free()));
    text.Gauge("gullward_engine_waiting", "Attempts that wait for memory", labels,
               static_cast<double>(this->core.ledger(i).waiters()));
  }
  text.Gauge("gullward_config_offset", "Offset of the configuration in force", {},
             static_cast<double>(this->follower.state().offset()));
  return text.Serialize();
}

void EndpointServer::DrainAndStop() {
  if (this->stopping) {
    this->loop->Stop();
    return;
  }
  LOG(INFO) << "draining: " << this->core.attempts() << " attempts under way";
  this->stopping = true;
  this->core.Drain(Now());
  this->PerformActions();
  this->SendHeartbeats();
  this->stop_at = Now() + this->settings.drain_timeout;
  this->StopWhenIdle();
}

void EndpointServer::StopWhenIdle() {
  bool all_sent = true;
  for (const auto& [id, peer] : this->peers)
    all_sent = all_sent && peer.connection->queued_bytes() == 0;
  bool idle = this->core.attempts() == 0 && all_sent;
  if (!idle && Now() < this->stop_at) {
    this->loop->RunAfter(kStopPoll, [this] { this->StopWhenIdle(); });
    return;
  }
  this->loop->Stop();
}

}  // namespace gullward

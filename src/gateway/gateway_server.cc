// Accepts connections, hands requests to exchanges, checks all
// timers once per tick, and shuts down without failing requests in progress.
// gateway_server_hooks.cc connects the parts of the server, gateway_server_pages.cc produces
// the operators' pages, gateway_engine_list.cc handles the engine list, and
// gateway_operator_records.cc the operator's topic.  gateway_topics.cc decides from whom the topics
// are read.

#include "gateway/gateway_server.h"

#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "gateway/descriptor_shares.h"
#include "gateway/failure_answer.h"
#include "platform/headers.h"
#include "transport/tcp_stream.h"

namespace gullward {
namespace {

// Interval at which request timers are checked.  A deadline is met within one tick.
constexpr Duration kTick = milliseconds(25);
// Connections and idle channels are checked once in this many ticks.
constexpr uint64_t kTicksPerSlowTick = 20;
// How long the configuration follower waits for more changes after one.  A change must be in
// force within two seconds; the wait takes a tenth of that.
constexpr Duration kConfigBatchDelay = milliseconds(200);
// How long one configuration read waits at the store.  A change is returned at once.
// TopicRevalidator detects a lost read, so the read may wait as long as the store allows.
constexpr Duration kConfigWait = seconds(30);
// A balancer removes a process after two failed health checks, one per second.  Until then it
// sends new callers, which must be served.
constexpr Duration kBalancerReactionTime = milliseconds(2600);
// A gateway with an outdated configuration asks peers of other data centres only after this
// delay.
constexpr Duration kRemotePeerDelay = milliseconds(1200);
// When a request that did not fit into the memory for requests should be sent again.  An upload
// that has stalled gives way after this time.
constexpr Duration kMemoryRetryAfter = seconds(1);
// Part of the stop grace that is reserved for the last answers, and how long the process goes on in
// it so that callers receive them.
constexpr Duration kStopMargin = milliseconds(400);
constexpr Duration kLastAnswers = milliseconds(150);
// How long the process goes on after it has rejected uploads.  Callers may still be sending, and
// the end of the process would reset their connections before they have read the answer.
constexpr Duration kRejectionWait = seconds(1);

}  // namespace

GatewayServer::GatewayServer(EventLoop* event_loop, const GatewaySettings& settings,
                             uint64_t random_seed)
    : loop(event_loop),
      log(STDOUT_FILENO),
      state(event_loop, settings, &this->log, random_seed, Now()),
      store_recovery(event_loop),
      crash_watch(event_loop, this->CrashWatchOptions(), &this->store_recovery, &this->log,
                  this->CrashWatchHooks()),
      config_follower(event_loop, settings.store, &this->store_recovery,
                      {.topic = std::string(platform::kConfigTopic),
                       .wait = kConfigWait,
                       .batch_delay = kConfigBatchDelay,
                       .max_proof_age = settings.key_trust,
                       .renews_reads = settings.mechanisms.renew_reads},
                      this->ConfigFollowerHooks()),
      engine_follower(event_loop, settings.store, &this->store_recovery,
                      {.topic = std::string(platform::kEnginesTopic),
                       .wait = kEngineListWait,
                       .renews_reads = settings.mechanisms.renew_reads},
                      this->EngineFollowerHooks()),
      engine_list_copy(event_loop, settings.store, &this->store_recovery, &this->log, random_seed,
                       this->EngineListCopyHooks()),
      settled_epoch_writer(event_loop, settings.store, &this->store_recovery, random_seed),
      load_exchange(event_loop, settings, random_seed, &this->state.fleet, &this->log,
                    &this->store_recovery, this->LoadExchangeHooks()),
      config_revalidator(event_loop, settings.store, &this->store_recovery,
                         std::string(platform::kConfigTopic),
                         {.key_trust = settings.key_trust,
                          .change = settings.change_bound,
                          .covers_readers = settings.mechanisms.revalidate_as_reader},
                         random_seed, this->ConfigRevalidatorHooks()),
      engine_revalidator(event_loop, settings.store, &this->store_recovery,
                         std::string(platform::kEnginesTopic),
                         {.key_trust = settings.leaving_bound, .change = settings.leaving_bound},
                         random_seed, this->EngineRevalidatorHooks()),
      operator_pages(event_loop, OperatorPages(this->PageHooks())),
      peer_pages(event_loop,
                 [this](const std::string& path, const HttpPages::Answer& answer) {
                   this->OnPeerRequest(path, answer);
                 }),
      config_from_peers(event_loop, this->ConfigFromPeersHooks()) {
  this->SetConnectionLimits();
  this->topic_relay.Add(std::string(platform::kConfigTopic), &this->config_follower.state());
  this->topic_relay.Add(std::string(platform::kEnginesTopic), &this->engine_follower.state());
  this->topic_relay.Add(std::string(platform::kPeersTopic), &this->load_exchange.topic_state());
  this->state.crash_watch = &this->crash_watch;
  this->store_recovery.returns().OnReturn([this] { this->OnStoreReturn(); });
}

uint64_t GatewayServer::ConfigVersion() const {
  return this->state.config ? this->state.config->config().version : 0;
}

// Handles a store answer, to a question sent at `sent`, that held nothing newer than the
// configuration in force.  Confirms the keys and returns true, except in two cases: the store
// has recently returned from an older copy, or a peer had announced a newer version by `sent`,
// which the store therefore lacks.
bool GatewayServer::OnValidated(Time sent) {
  bool is_settled = this->store_recovery.returns().epoch().IsSettledFor(sent);
  bool store_is_behind = this->ConfigVersion() < this->state.newest_peer_version &&
                         this->state.newest_peer_version_at <= sent;
  if (!is_settled || store_is_behind) return false;
  this->state.keys.Confirm(sent, Now());
  return true;
}

// The topic followers restart their reads themselves.
void GatewayServer::OnStoreReturn() {
  const StoreEpoch& epoch = this->store_recovery.returns().epoch();
  LogLine line("store_returned");
  line.Number("returns", static_cast<double>(epoch.returns()));
  if (epoch.current()) line.Number("epoch", static_cast<double>(*epoch.current()));
  line.Number("settled_in_ms", ToSeconds(epoch.settled_at() - Now()) * 1000);
  this->log.Write(line);
  this->engine_list_copy.OnStoreReturn();
  this->load_exchange.OnStoreReturn();
  this->crash_watch.OnStoreReturn(Now());
}

// Accepts a peer's report that the current epoch is settled.  A report of a newer epoch is not
// trusted; it only triggers a read of the store.
void GatewayServer::OnPeerEpoch(uint64_t epoch, bool is_settled) {
  StoreReturns& returns = this->store_recovery.returns();
  std::optional<uint64_t> own = returns.epoch().current();
  if (own == epoch && is_settled) returns.Settle(epoch);
  if (own && *own < epoch) this->config_revalidator.RevalidateSoon();
}

// A peer has announced a newer version.  If this gateway's own read has not returned that
// version after kMaxUpdateDelay, the read may be stuck on a dead connection.
void GatewayServer::OnNewerVersion(uint64_t version, const Peer& peer) {
  Time now = Now();
  if (version > this->state.newest_peer_version) {
    this->state.newest_peer_version = version;
    this->state.newest_peer_version_at = now;
  }
  if (version != this->newer_version) {
    this->newer_version = version;
    this->behind_since = this->last_catch_up = now;
    return;
  }
  if (now - this->last_catch_up < TopicFollower::kMaxUpdateDelay) return;
  this->last_catch_up = now;
  bool read_again = this->config_follower.RestartStalledRead();
  bool asked = this->ShouldFetchConfig(peer, now) && this->config_from_peers.Fetch(peer.address);
  if (!read_again && !asked) return;
  this->log.Write(LogLine("config_behind")
                      .Number("peer_version", static_cast<double>(version))
                      .Text("asked", asked ? peer.box : ""));
}

// Peers of the own data centre are asked first, because a configuration is large.
bool GatewayServer::ShouldFetchConfig(const Peer& peer, Time now) const {
  if (!this->state.fleet.mechanisms().config_from_peers || peer.address.port == 0) return false;
  bool is_near = peer.data_centre == this->state.settings.data_centre;
  Duration delay = is_near ? TopicFollower::kMaxUpdateDelay : kRemotePeerDelay;
  return now - this->behind_since >= delay;
}

absl::Status GatewayServer::Start() {
  const GatewaySettings& settings = this->state.settings;
  absl::Status status = this->callers_listener.Listen(this->loop, settings.callers,
                                                      [this](int fd) { this->OnCaller(fd); });
  if (!status.ok()) return status;
  auto operators_hook = [this](int fd) { this->operator_pages.Adopt(fd); };
  status = this->ready_listener.Listen(this->loop, settings.ready, operators_hook);
  if (!status.ok()) return status;
  status = this->metrics_listener.Listen(this->loop, settings.metrics, operators_hook);
  if (!status.ok()) return status;
  // The TCP and the UDP socket for peers share one port number.  If the settings leave the
  // choice to the kernel, the TCP socket is bound first: more TCP ports are in use, so a free
  // TCP port is more likely to be free for UDP too.
  uint16_t peers_port = settings.peers.port;
  status = this->peers_listener.Listen(this->loop, settings.peers,
                                       [this](int fd) { this->OnPeerConnection(fd); });
  if (status.ok()) {
    peers_port = this->peers_listener.port();
  } else {
    this->log.Write(LogLine("no_pages_for_peers").Text("reason", StdView(status.message())));
  }
  status = this->load_exchange.Start(peers_port);
  if (!status.ok()) return status;
  this->state.send_to_peers = [this] { this->load_exchange.SendLoads(Now()); };
  this->engine_follower.SetBatchDelay(EngineBatchDelay({}, settings.leaving_bound));
  if (!this->state.fleet.mechanisms().topic_relay) this->StartReading();
  this->loop->RunEvery(kTick, [this] { this->Tick(); });
  this->log.Write(LogLine("started")
                      .Text("box", settings.box)
                      .Text("data_centre", settings.data_centre)
                      .Text("callers", settings.callers.ToString())
                      .Number("max_callers", static_cast<double>(this->max_callers)));
  return absl::OkStatus();
}

bool GatewayServer::HandsOff(Time now) {
  bool is_on = this->state.fleet.mechanisms().caller_handoff && this->load_exchange.peers() > 0;
  return is_on && this->caller_handoff.ShouldHandOff(this->loop->last_idle_at(), now);
}

void GatewayServer::OnCaller(int fd) {
  if (this->HandsOff(Now())) {
    this->state.counters.callers_handed_off += 1;
    TcpStream::Adopt(this->loop, fd)->Reset();
    return;
  }
  if (!this->HasPlaceForCaller()) {
    this->state.counters.callers_refused += 1;
    TcpStream::Adopt(this->loop, fd)->Reset();
    return;
  }
  uint64_t id = this->next_id++;
  CallerLimits limits;
  if (this->state.config) limits = this->state.config->config().limits;
  limits.request_timeout = this->state.settings.request_timeout;
  auto channel = CallerChannel::Adopt(this->loop, fd, limits, this->state.request_memory);
  channel->SetHooks(this->CallerHooks(id));
  if (this->stopping) channel->CloseAfterAnswer();
  this->callers[id] = Caller{channel, nullptr};
}

CallerChannel::Hooks GatewayServer::CallerHooks(uint64_t id) {
  CallerChannel::Hooks hooks;
  hooks.request = [this, id](CallerRequest request) { this->OnRequest(id, std::move(request)); };
  hooks.malformed = [this, id](ResultCode code) { this->OnMalformed(id, code); };
  hooks.gone = [this, id] { this->OnCallerGone(id); };
  hooks.drained = [this, id] {
    auto found = this->callers.find(id);
    bool busy = found != this->callers.end() && found->second.exchange;
    if (busy) found->second.exchange->CallerDrained();
  };
  hooks.needs_room = [this, id](bool is_large) { return this->MakeRoom(id, is_large); };
  return hooks;
}

// The system's limit may change while the process runs.
void GatewayServer::SetConnectionLimits() {
  DescriptorShares shares =
      ShareDescriptors(UsableDescriptors(this->state.settings.max_descriptors));
  this->max_callers = shares.callers;
  this->operator_pages.SetMaxConnections(shares.operators);
  this->peer_pages.SetMaxConnections(shares.peers);
}

// Whether one more connection is within the bound.  If not, closes the one that has been idle, or
// whose request has stalled, for the longest time.
bool GatewayServer::HasPlaceForCaller() {
  if (!this->state.fleet.mechanisms().bound_requests) return true;
  if (this->callers.size() < this->max_callers) return true;
  auto chosen = FindLongest(this->callers, [now = Now()](const auto& entry) {
    return entry.second.channel->ReplaceableSince(now);
  });
  if (chosen == this->callers.end()) return false;
  this->state.counters.callers_closed_idle += 1;
  std::shared_ptr<CallerChannel> channel = chosen->second.channel;
  this->callers.erase(chosen);
  channel->CloseNow();
  return true;
}

// Rejects the upload that has stalled for the longest time.  Only a large one makes room for a
// large one.  Returns whether there was any.
bool GatewayServer::MakeRoom(uint64_t for_caller, bool is_large) {
  auto stalled_since = [&, now = Now()](const auto& entry) {
    const CallerChannel& channel = *entry.second.channel;
    size_t held = channel.held_bytes();
    bool helps = held > 0 && (!is_large || RequestMemory::IsLarge(held));
    return entry.first != for_caller && helps ? channel.StalledSince(now) : std::nullopt;
  };
  auto chosen = FindLongest(this->callers, stalled_since);
  if (chosen == this->callers.end()) return false;
  this->state.counters.uploads_displaced += 1;
  std::shared_ptr<CallerChannel> channel = chosen->second.channel;
  channel->RejectUpload(ResultCode::kRequestMemoryFull);
  return true;
}

void GatewayServer::OnRequest(uint64_t caller_id, CallerRequest request) {
  auto found = this->callers.find(caller_id);
  if (found == this->callers.end()) return;
  auto exchange = std::make_shared<Exchange>(&this->state, caller_id, found->second.channel,
                                             std::move(request));
  found->second.exchange = exchange;
  exchange->Start(Now());
}

void GatewayServer::OnMalformed(uint64_t caller_id, ResultCode code) {
  auto found = this->callers.find(caller_id);
  if (found == this->callers.end()) return;
  const ResultCodeInfo& info = Info(code);
  this->state.counters.failures[code] += 1;
  CallerChannel& channel = *found->second.channel;
  std::string attempt_id(
      FindHeader(channel.request_head().headers, platform::kAttemptId).value_or(""));
  LogLine line(info.name);
  line.Number("code", static_cast<double>(code));
  if (!attempt_id.empty()) line.Text("request", attempt_id);
  std::optional<Duration> retry_after;
  if (code == ResultCode::kRequestMemoryFull) {
    retry_after = kMemoryRetryAfter;
    line.Number("request_memory", static_cast<double>(this->state.request_memory->used()))
        .Number("callers", static_cast<double>(this->callers.size()));
  }
  this->log.Write(line);
  AnswerHead head = FailureHead(code, attempt_id, /*route=*/nullptr, retry_after);
  channel.Answer(head, FailureBody(code));
}

void GatewayServer::OnCallerGone(uint64_t caller_id) {
  auto found = this->callers.find(caller_id);
  if (found == this->callers.end()) return;
  std::shared_ptr<Exchange> exchange = found->second.exchange;
  this->callers.erase(found);
  if (exchange) exchange->CallerGone();
}

void GatewayServer::Tick() {
  Time now = Now();
  this->ticks += 1;
  // First, since requests may wait for the decisions.
  this->crash_watch.Tick(now);
  this->TickExchanges(now);
  this->load_exchange.Tick(now);
  this->topic_relay.Tick(now);
  this->config_revalidator.Tick(this->LastValidation(), now);
  this->RevalidateEngines(now);
  this->LogKeyFreshness(now);
  this->NoteStartSteps(now);
  if (this->stopping) this->StopWhenIdle(now);
  if (this->ticks % kTicksPerSlowTick == 0) {
    this->TickConnections(now);
    this->TickFleet(now);
    this->crash_watch.TickSlowly(now);
    this->settled_epoch_writer.Tick(now);
  }
  this->log.Flush();
}

// Returns shared pointers, which keep an exchange alive that ends while it runs: it may start the
// caller's next request and so be replaced in `callers`.
std::vector<std::shared_ptr<Exchange>> GatewayServer::RunningExchanges() {
  std::vector<std::shared_ptr<Exchange>> running;
  for (auto& [id, caller] : this->callers) {
    if (caller.exchange && caller.exchange->finished()) caller.exchange.reset();
    if (caller.exchange) running.push_back(caller.exchange);
  }
  return running;
}

void GatewayServer::TickExchanges(Time now) {
  for (const std::shared_ptr<Exchange>& exchange : this->RunningExchanges()) exchange->Tick(now);
}

// The peers that read from a root need a proof for all of the operator's topic.
Time GatewayServer::LastValidation() const {
  Time confirmed_at = this->state.keys.confirmed_at();
  bool is_root = this->config_follower.place().reads_store;
  return is_root ? std::min(confirmed_at, this->config_follower.state().proved()) : confirmed_at;
}

void GatewayServer::RevalidateEngines(Time now) {
  const Mechanisms& mechanisms = this->state.fleet.mechanisms();
  bool may_ask = this->engine_follower.place().reads_store || mechanisms.revalidate_as_reader;
  if (!mechanisms.revalidate_engines || !may_ask) return;
  this->engine_revalidator.Tick(this->engine_follower.state().proved(), now);
}

// Logs when keys begin or cease to be accepted.
void GatewayServer::LogKeyFreshness(Time now) {
  bool fresh = this->state.keys.IsFresh(now);
  if (fresh == this->keys_were_fresh) return;
  this->keys_were_fresh = fresh;
  double age_ms = ToSeconds(now - this->state.keys.confirmed_at()) * 1000;
  this->log.Write(LogLine(fresh ? "keys_fresh" : "keys_stale").Number("age_ms", age_ms));
}

// Logs once, when this gateway can first serve, how long each step of the start has taken.
void GatewayServer::NoteStartSteps(Time now) {
  StartSteps& start = this->state.start;
  StartConditions conditions{this->is_reading, this->state.config != nullptr,
                             this->state.keys.IsFresh(now), this->engines_known};
  if (!start.Note(conditions, now)) return;
  LogLine line("serving");
  line.Number("after_ms", ToSeconds(*start.serving_after()) * 1000);
  for (const StartStepName& step : kStartSteps) {
    line.Number(absl::StrCat(step.name, "_ms"), ToSeconds(*start.TimeOf(step.step)) * 1000);
  }
  line.Number("store_calls", static_cast<double>(this->store_calls()));
  this->log.Write(line);
}

void GatewayServer::TickConnections(Time now) {
  this->SetConnectionLimits();
  for (auto it = this->callers.begin(); it != this->callers.end();) {
    it->second.channel->Tick(now);
    it = it->second.channel->is_closed() ? this->callers.erase(it) : std::next(it);
  }
  this->operator_pages.Tick(now);
  this->peer_pages.Tick(now);
}

void GatewayServer::TickFleet(Time now) {
  size_t peers = this->load_exchange.peers();
  if (peers > 0) this->state.fleet.SetProcessCount(peers + 1);
  this->engine_follower.SetWait(this->RandomEngineListWait());
  this->state.pool.Tick(now);
  this->state.fleet.ForgetUnlisted(now);
  this->LogPaces(now);
  this->state.room_price.Tick(now);
  this->ApplyEvacuations();
  this->engine_list_copy.SetGateways(this->load_exchange.neighbours() + 1);
  if (std::exchange(this->engine_list_changed, false)) {
    this->engine_list_copy.SetList(this->state.fleet.directory().Listed(), now);
  }
  if (this->state.fleet.mechanisms().copy_engine_list) this->engine_list_copy.Tick(now);
}

void GatewayServer::LogPaces(Time now) {
  for (const PaceChange& change : this->state.fleet.paces().TakeChanges(now)) {
    LogLine line("engine_pace");
    line.Text("engine", change.engine)
        .Number("pace", change.pace)
        .Number("observations", static_cast<double>(change.observations));
    if (!change.told_by.empty()) line.Text("told_by", change.told_by);
    this->log.Write(line);
  }
}

bool GatewayServer::IsReady() const {
  return !this->stopping && this->state.config && this->engines_known &&
         this->state.keys.IsFresh(Now());
}

void GatewayServer::DrainAndStop() {
  if (this->stopping) return;
  this->stopping = true;
  this->stop_began = Now();
  this->log.Write(LogLine("stopping").Number("callers", static_cast<double>(this->callers.size())));
  for (auto& [id, caller] : this->callers) caller.channel->CloseAfterAnswer();
}

// A request accepted from now on could not be finished in the remaining time.
void GatewayServer::StopAccepting() {
  this->callers_listener.Close();
  for (auto& [id, caller] : this->callers) caller.channel->CloseIfIdle();
  if (!this->state.fleet.mechanisms().answer_at_stop) return;
  this->state.refuses_unsent = true;
  this->RejectUploads();
}

void GatewayServer::RejectUploads() {
  std::vector<std::shared_ptr<CallerChannel>> channels;
  for (const auto& [id, caller] : this->callers) channels.push_back(caller.channel);
  for (const auto& channel : channels) {
    if (channel->RejectUpload(ResultCode::kDraining)) this->last_rejection = Now();
  }
}

void GatewayServer::EndExchanges() {
  for (const std::shared_ptr<Exchange>& exchange : this->RunningExchanges()) {
    this->ended_at_stop = true;
    exchange->EndForStop();
  }
}

void GatewayServer::StopWhenIdle(Time now) {
  Duration elapsed = now - this->stop_began;
  Duration left = this->state.settings.stop_grace - elapsed;
  bool is_ending = left <= kStopMargin;
  bool answers = this->state.fleet.mechanisms().answer_at_stop;
  if (elapsed >= kBalancerReactionTime || (is_ending && answers)) this->StopAccepting();
  if (is_ending && answers) this->EndExchanges();
  bool is_idle = this->RunningExchanges().empty();
  bool awaits_readers = now - this->last_rejection < kRejectionWait;
  bool done = is_idle && !is_ending && !awaits_readers && elapsed >= kBalancerReactionTime;
  bool out_of_time = left <= (answers ? kStopMargin - kLastAnswers : kStopMargin);
  if (!done && !out_of_time) return;
  bool busy = !is_idle || this->ended_at_stop;
  this->log.Write(LogLine("stopped").Number("busy", busy ? 1 : 0));
  this->log.Flush();
  this->loop->Stop();
}

void GatewayServer::Reload(const GatewaySettings& changed) {
  // Addresses cannot change under open connections, and key and retry bounds apply to work in
  // progress, so changes of those settings require a restart.
  this->state.settings.stop_grace = changed.stop_grace;
  this->log.Write(LogLine("reloaded"));
}

}  // namespace gullward

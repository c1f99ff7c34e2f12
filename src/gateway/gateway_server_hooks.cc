// Connects the parts of the gateway server: builds the hooks through which they query and
// notify each other.

#include <utility>

#include "gateway/gateway_server.h"

namespace gullward {

// Hooks common to the followers of both topics.  They only write to the log.
TopicFollower::Hooks GatewayServer::LoggingHooks(const std::string& topic) {
  TopicFollower::Hooks hooks;
  hooks.lost = [this, topic](const std::string& reason) {
    this->log.Write(LogLine("store_lost").Text("topic", topic).Text("reason", reason));
  };
  hooks.regained = [this, topic] {
    this->log.Write(LogLine("store_regained").Text("topic", topic));
  };
  hooks.read_short = [this, topic](uint64_t read_to, uint64_t log_end) {
    this->log.Write(LogLine("read_short")
                        .Text("topic", topic)
                        .Number("read_to", static_cast<double>(read_to))
                        .Number("log_end", static_cast<double>(log_end)));
  };
  hooks.given_up = [this, topic](Duration waited, const std::string& peer) {
    this->log.Write(LogLine("read_given_up")
                        .Text("topic", topic)
                        .Number("waited_ms", ToSeconds(waited) * 1000)
                        .Text("peer", peer));
  };
  return hooks;
}

TopicFollower::Hooks GatewayServer::ConfigFollowerHooks() {
  TopicFollower::Hooks hooks = this->LoggingHooks("config");
  hooks.replace = [this](const std::vector<platform::KeyedRecord>& records) {
    this->OnOperatorRecords(records);
  };
  hooks.change = [this](const platform::KeyedRecord& record) { this->OnOperatorRecord(record); };
  hooks.up_to_date = [this](Time sent) { this->OnValidated(sent); };
  hooks.peer_address = [this](const std::string& box) {
    return this->load_exchange.AddressOf(box);
  };
  hooks.state_changed = [this] { this->topic_relay.OnNews(std::string(platform::kConfigTopic)); };
  return hooks;
}

LoadExchange::Hooks GatewayServer::LoadExchangeHooks() {
  LoadExchange::Hooks hooks;
  hooks.config_version = [this] { return this->ConfigVersion(); };
  hooks.validated_at = [this] { return this->state.keys.confirmed_at(); };
  hooks.on_validated = [this](Time validated_at) { this->state.keys.Confirm(validated_at, Now()); };
  hooks.on_newer_version = [this](uint64_t version, const Peer& peer) {
    this->OnNewerVersion(version, peer);
  };
  hooks.engines_copied = [this] { return this->engine_list_copy.copied(); };
  hooks.on_engines_copied = [this](const CopyVersion& copy_version) {
    this->engine_list_copy.OnPeerCopy(copy_version, Now());
  };
  hooks.on_store_epoch = [this](uint64_t epoch, bool is_settled) {
    this->OnPeerEpoch(epoch, is_settled);
  };
  hooks.settled_epoch_record = [this](const std::string& value) {
    this->settled_epoch_writer.OnRecord(value);
  };
  hooks.operator_read_to = [this] { return this->config_follower.position().value_or(0); };
  hooks.on_operator_read_to = [this](uint64_t offset) { this->OnPeerOperatorPosition(offset); };
  hooks.engines_read_to = [this] { return this->engine_follower.position().value_or(0); };
  hooks.on_engines_read_to = [this](uint64_t offset) { this->OnPeerEngineListPosition(offset); };
  hooks.on_gateways_changed = [this](bool are_complete) { this->OnGatewaysChanged(are_complete); };
  // A proof holds for the offset that is sent with it, so without one there is none.
  hooks.topic_proved_at = [this] {
    return this->config_follower.position() ? this->config_follower.state().proved() : Time{};
  };
  hooks.on_topic_proved = [this](Time at, uint64_t offset) {
    std::optional<uint64_t> own = this->config_follower.position();
    if (own && *own >= offset) this->config_follower.NoteProved(at);
  };
  hooks.engines_proved_at = [this] {
    return this->engine_follower.position() ? this->engine_follower.state().proved() : Time{};
  };
  hooks.on_engines_proved = [this](Time at, uint64_t offset) {
    std::optional<uint64_t> own = this->engine_follower.position();
    if (own && *own >= offset) this->engine_follower.NoteProved(at);
  };
  hooks.on_topic_changed = [this] { this->topic_relay.OnNews(std::string(platform::kPeersTopic)); };
  hooks.take_gossip = [this] { return this->crash_watch.TakeGossip(); };
  hooks.on_gossip = [this](const std::string& box, const CrashGossip& gossip) {
    return this->crash_watch.ReceiveGossip(box, gossip, Now());
  };
  hooks.take_promises = [this] { return this->state.returns.TakeUnsent(Now()); };
  hooks.on_promise = [this](const ReturnPromise& promise) {
    bool is_on = this->state.fleet.mechanisms().kept_returns;
    if (is_on) this->state.returns.Receive(promise, Now());
  };
  hooks.work_to_send = [this](Time now) { return this->state.room_price.WorkToSend(now); };
  hooks.on_work = [this](const LoadDigest& digest, Time now) {
    this->state.room_price.ApplyPeer(digest.box, digest.incarnation, digest.sequence, digest.work,
                                     now);
  };
  hooks.quarantine_record = [this](const Suspect& suspect, const std::string& value) {
    this->crash_watch.OnRecord(suspect, value, Now());
  };
  return hooks;
}

CrashWatch::Options GatewayServer::CrashWatchOptions() const {
  const GatewaySettings& settings = this->state.settings;
  CrashWatch::Options options;
  options.is_enabled = settings.mechanisms.quarantine;
  options.covers_parts = settings.mechanisms.part_quarantine;
  options.box = settings.box;
  options.quarantine_duration = settings.quarantine;
  options.store = settings.store;
  options.seed = this->state.incarnation;
  return options;
}

// An engine that was announced as leaving, by itself or by the list, or that is no longer
// listed, has ended by plan and not crashed.
CrashWatch::Hooks GatewayServer::CrashWatchHooks() {
  CrashWatch::Hooks hooks;
  hooks.was_in_use = [this](const EngineRecord& engine) {
    const EngineRecord* known = this->state.fleet.directory().Find(engine.id);
    bool is_listed = known != nullptr && known->Incarnation() == engine.Incarnation();
    return is_listed && !known->draining &&
           !this->state.fleet.notices().IsLeaving(engine.Incarnation());
  };
  return hooks;
}

ConfigFromPeers::Hooks GatewayServer::ConfigFromPeersHooks() {
  ConfigFromPeers::Hooks hooks;
  hooks.own_record = [this] { return this->state.config_record; };
  hooks.received = [this](const std::string& record) {
    this->OnConfigRecord({std::string(platform::kConfigKey), record});
  };
  return hooks;
}

TopicRevalidator::Hooks GatewayServer::ConfigRevalidatorHooks() {
  TopicRevalidator::Hooks hooks;
  hooks.position = [this] { return this->config_follower.position(); };
  hooks.validated = [this](Time sent) {
    this->config_follower.NoteProved(sent);
    if (!this->OnValidated(sent)) return false;
    this->load_exchange.SendFreshness(Now());
    return true;
  };
  hooks.speed_changed = [this](bool is_slow, Duration took) {
    this->log.Write(LogLine(is_slow ? "store_slow" : "store_as_usual")
                        .Number("took_ms", ToSeconds(took) * 1000));
  };
  hooks.behind = [this] {
    bool restarted = this->config_follower.RestartStalledRead(TopicFollower::Witness::kStore);
    if (restarted) this->log.Write(LogLine("config_read_hangs"));
  };
  return hooks;
}

TopicRevalidator::Hooks GatewayServer::EngineRevalidatorHooks() {
  TopicRevalidator::Hooks hooks;
  hooks.position = [this] { return this->engine_follower.position(); };
  hooks.validated = [this](Time sent) {
    this->engine_follower.NoteProved(sent);
    this->load_exchange.SendFreshness(Now());
    return true;
  };
  hooks.behind = [this] {
    bool restarted = this->engine_follower.RestartStalledRead(TopicFollower::Witness::kStore);
    if (restarted) this->log.Write(LogLine("engines_read_hangs"));
  };
  return hooks;
}

OperatorPageHooks GatewayServer::PageHooks() const {
  OperatorPageHooks hooks;
  hooks.metrics = [this] { return this->Metrics(); };
  hooks.state = [this] { return this->StateDump(); };
  hooks.is_ready = [this] { return this->IsReady(); };
  return hooks;
}

}  // namespace gullward

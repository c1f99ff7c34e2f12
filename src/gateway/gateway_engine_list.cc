// The gateway server's part for the engines' list: what it does with each entry, how it
// starts without the list, and how long its reads wait.

#include <algorithm>
#include <random>
#include <utility>

#include "base/absl_view.h"
#include "gateway/gateway_server.h"
#include "platform/documents.h"

namespace gullward {
namespace {

// The engines' list has no prover.  But whoever reads anew and finds news tells how far it
// has read, and its neighbours read anew as well: so it is enough that in each cell one read
// ends every now and then.  Each waits the longer the more neighbours there are, up to what
// the store allows, for a time of its own drawing.
constexpr double kNeighboursAWait = 4;
constexpr Duration kLongestListWait = seconds(24);
// Over which gateways that start together spread their reading of the list, for each engine
// on it: 300 gateways and 3,000 engines are 390 MB, of which the store reads 80 a second.
constexpr Duration kSpreadForEngine = milliseconds(1);
// Of a key or a reason, in a line on an entry that anybody may have written.
constexpr size_t kLoggedBytes = 80;

}  // namespace

TopicFollower::Hooks GatewayServer::EngineFollowerHooks() {
  TopicFollower::Hooks hooks = this->LoggingHooks("engines");
  hooks.replace = [this](const std::vector<platform::KeyedRecord>& records) {
    this->OnEngineRecords(records);
  };
  hooks.change = [this](const platform::KeyedRecord& record) { this->OnEngineRecord(record); };
  hooks.unreadable = [this](size_t records) {
    this->state.counters.entries_unreadable += records;
    this->log.Write(LogLine("records_unreadable")
                        .Number("code", static_cast<double>(ResultCode::kEntryUnreadable))
                        .Number("records", static_cast<double>(records)));
  };
  hooks.pause_after_return = [this] { return this->RandomReadDelay(); };
  hooks.lost = [this, log_lost = hooks.lost](const std::string& reason) {
    log_lost(reason);
    if (this->state.fleet.mechanisms().copy_engine_list) this->engine_list_copy.Read();
  };
  return hooks;
}

EngineListCopy::Hooks GatewayServer::EngineListCopyHooks() {
  EngineListCopy::Hooks hooks;
  hooks.is_needed = [this] { return !this->engines_known; };
  hooks.use = [this](const std::vector<EngineRecord>& engines) {
    this->state.fleet.directory().Replace(engines, Now(), this->KeepLapsedUntil());
    this->engines_known = true;
  };
  hooks.first_read_done = [this] { this->StartReadingEngines(); };
  return hooks;
}

// A peer has read a change of the engines' list that our waiting read did not bring.
// The store answers such reads late now and then, with the change after that: an engine
// that leaves must be left alone within two seconds.
void GatewayServer::OnPeerEngineListPosition(uint64_t offset) {
  if (!this->state.fleet.mechanisms().catch_up_with_peers) return;
  std::optional<uint64_t> own = this->engine_follower.position();
  if (!own || *own >= offset || !this->engine_follower.RestartStalledRead()) return;
  this->log.Write(LogLine("engines_behind")
                      .Number("read_to", static_cast<double>(*own))
                      .Number("peer_read_to", static_cast<double>(offset)));
}

Time GatewayServer::KeepLapsedUntil() const {
  return EngineDirectory::KeepUntil(this->engine_follower.regained_at());
}

// An engine's entry on the list; nothing, a count and a line in the log, if it names no
// engine to use.
std::optional<EngineRecord> GatewayServer::ReadEngine(const platform::KeyedRecord& record) {
  absl::StatusOr<EngineRecord> engine = platform::DecodeEngine(record.key, record.value);
  if (engine.ok()) return *std::move(engine);
  this->state.counters.entries_unreadable += 1;
  const ResultCodeInfo& info = Info(ResultCode::kEntryUnreadable);
  this->log.Write(LogLine(info.name)
                      .Number("code", static_cast<double>(info.code))
                      .Text("engine", std::string_view(record.key).substr(0, kLoggedBytes))
                      .Text("reason", StdView(engine.status().message()).substr(0, kLoggedBytes)));
  return std::nullopt;
}

void GatewayServer::OnEngineRecords(const std::vector<platform::KeyedRecord>& records) {
  std::vector<EngineRecord> engines;
  for (const platform::KeyedRecord& record : records) {
    if (record.value.empty()) continue;
    std::optional<EngineRecord> engine = this->ReadEngine(record);
    if (engine) engines.push_back(*std::move(engine));
  }
  Time now = Now();
  const StoreEpoch& epoch = this->store_recovery.returns().epoch();
  if (epoch.IsSettledFor(now)) {
    this->state.fleet.directory().Replace(engines, now, this->KeepLapsedUntil());
  } else {
    this->state.fleet.directory().ReplaceFromStaleList(engines, now, epoch.settled_at());
  }
  this->engines_known = true;
  this->engine_list_changed = true;
  this->log.Write(LogLine("engines").Number("listed", static_cast<double>(engines.size())));
}

// The line by which operators see why work of before has failed.
void GatewayServer::RecordRestart(const EngineRecord& engine) {
  const EngineRecord* known = this->state.fleet.directory().Find(engine.id);
  if (known == nullptr || known->started_at_ms >= engine.started_at_ms) return;
  this->state.counters.engine_restarts += 1;
  this->log.Write(LogLine("engine_restarted")
                      .Text("engine", engine.Incarnation())
                      .Text("before", known->Incarnation()));
}

void GatewayServer::OnEngineRecord(const platform::KeyedRecord& record) {
  this->engine_list_changed = true;
  if (record.value.empty()) {
    this->log.Write(LogLine("engine_gone").Text("engine", record.key));
    this->state.fleet.directory().Remove(record.key, Now(), this->KeepLapsedUntil());
    return;
  }
  std::optional<EngineRecord> engine = this->ReadEngine(record);
  if (!engine) {
    // Whatever stood there before, the entry names no engine now.  An engine that lives
    // writes its own again with its next heartbeat.
    this->state.fleet.directory().Remove(record.key, Now(), this->KeepLapsedUntil());
    return;
  }
  this->RecordRestart(*engine);
  const EngineRecord* known = this->state.fleet.directory().Find(record.key);
  bool changed = known == nullptr || !(*known == *engine);
  if (changed) {
    this->log.Write(LogLine(engine->draining ? "engine_draining" : "engine_listed")
                        .Text("engine", record.key)
                        .Text("address", engine->address.ToString()));
  }
  this->state.fleet.directory().Update(*engine);
}

// With the copy in hand, those who start together spread their reading of the list itself.
void GatewayServer::StartReadingEngines() {
  this->loop->RunAfter(this->RandomReadDelay(), [this] { this->engine_follower.Start(); });
}

Duration GatewayServer::RandomReadDelay() {
  double engines = static_cast<double>(this->state.fleet.directory().size());
  std::uniform_real_distribution<double> draw(0, ToSeconds(kSpreadForEngine) * engines);
  return FromSeconds(draw(this->state.random));
}

Duration GatewayServer::RandomEngineListWait() {
  double waits = static_cast<double>(this->load_exchange.neighbours()) / kNeighboursAWait;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  Duration wait = FromSeconds(ToSeconds(kEngineListWait) * std::max(waits, 1.0));
  wait = std::min(wait, kLongestListWait);
  return FromSeconds(ToSeconds(wait) * (waits > 1 ? jitter(this->state.random) : 1.0));
}

}  // namespace gullward

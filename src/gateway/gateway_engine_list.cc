// The gateway server's handling of the engine list: how it applies each entry, starts without
// the list, and chooses how long its reads wait.

#include <algorithm>
#include <random>
#include <utility>

#include "base/absl_view.h"
#include "gateway/gateway_server.h"
#include "platform/documents.h"

namespace gullward {
namespace {

// A lost read is found by the revalidation, and by the peers' reports of how far they have read.
// It therefore suffices that one read per cell ends now and then.  The wait grows with the number
// of neighbours, up to the store's limit, and has a random jitter.
constexpr double kNeighboursPerWait = 4;
constexpr Duration kMaxListWait = seconds(24);
// Gateways that start together spread their reads of the list over this time for each listed
// engine: for 300 gateways and 3,000 engines the reads total 390 MB, and the store can serve
// 80 MB per second.
constexpr Duration kReadSpreadPerEngine = milliseconds(1);
// Limit for a key or a reason in a log line, because anyone may have written the entry.
constexpr size_t kMaxLoggedBytes = 80;

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
  hooks.peer_address = [this](const std::string& box) {
    return this->load_exchange.AddressOf(box);
  };
  hooks.state_changed = [this] { this->topic_relay.OnNews(std::string(platform::kEnginesTopic)); };
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

Time GatewayServer::KeepLapsedUntil() const {
  return EngineDirectory::KeepUntil(this->engine_follower.regained_at());
}

// Parses an entry of the engine list, and records whether the engine is cold.  If the entry is
// invalid, counts and logs it and returns nothing.
std::optional<EngineRecord> GatewayServer::ReadEngine(const platform::KeyedRecord& record) {
  absl::StatusOr<platform::EngineEntry> engine = platform::DecodeEngine(record.key, record.value);
  if (engine.ok()) {
    this->state.fleet.cold().Note(engine->record.Incarnation(), engine->cold_left, Now());
    return std::move(engine->record);
  }
  this->state.counters.entries_unreadable += 1;
  const ResultCodeInfo& info = Info(ResultCode::kEntryUnreadable);
  this->log.Write(
      LogLine(info.name)
          .Number("code", static_cast<double>(info.code))
          .Text("engine", std::string_view(record.key).substr(0, kMaxLoggedBytes))
          .Text("reason", StdView(engine.status().message()).substr(0, kMaxLoggedBytes)));
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

// Logs the restart so that operators can see why earlier work on the engine failed.
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
    // The entry no longer names an engine, so the previous one is removed.  A running engine
    // writes its entry again with its next heartbeat.
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

// Gateways that start together and have the copy spread their reads of the list itself.
void GatewayServer::StartReadingEngines() {
  this->loop->RunAfter(this->RandomReadDelay(), [this] { this->engine_follower.Start(); });
}

Duration GatewayServer::RandomReadDelay() {
  double engines = static_cast<double>(this->state.fleet.directory().size());
  std::uniform_real_distribution<double> delay_seconds(0,
                                                       ToSeconds(kReadSpreadPerEngine) * engines);
  return FromSeconds(delay_seconds(this->state.random));
}

Duration GatewayServer::RandomEngineListWait() {
  double wait_count = static_cast<double>(this->load_exchange.neighbours()) / kNeighboursPerWait;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  Duration wait = FromSeconds(ToSeconds(kEngineListWait) * std::max(wait_count, 1.0));
  wait = std::min(wait, kMaxListWait);
  return FromSeconds(ToSeconds(wait) * (wait_count > 1 ? jitter(this->state.random) : 1.0));
}

}  // namespace gullward

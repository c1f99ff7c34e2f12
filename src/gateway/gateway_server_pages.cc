// The operators' pages of a gateway: its metrics, and its state as JSON.

#include <nlohmann/json.hpp>

#include "gateway/gateway_server.h"
#include "gateway/metrics_page.h"

namespace gullward {

uint64_t GatewayServer::store_calls() const {
  return this->config_follower.calls() + this->engine_follower.calls() +
         this->load_exchange.store_calls() + this->config_revalidator.calls() +
         this->engine_revalidator.calls() + this->engine_list_copy.store_calls() +
         this->crash_watch.store_calls() + this->settled_epoch_writer.store_calls();
}

std::string GatewayServer::Metrics() const {
  MetricsSnapshot snapshot;
  snapshot.engine_connections = this->state.pool.opened() + this->crash_watch.connections();
  snapshot.crashes = &this->crash_watch;
  snapshot.start = &this->state.start;
  snapshot.log_lines_dropped = this->log.dropped();
  snapshot.store_calls = this->store_calls();
  snapshot.peer_reads = this->config_follower.peer_reads() + this->engine_follower.peer_reads() +
                        this->load_exchange.peer_reads();
  snapshot.relayed_reads = this->topic_relay.reads();
  snapshot.relayed_bytes = this->topic_relay.bytes();
  snapshot.configs_from_peers = this->config_from_peers.received();
  snapshot.store_returns = this->store_recovery.returns().epoch().returns();
  snapshot.callers = this->callers.size();
  snapshot.max_callers = this->max_callers;
  snapshot.request_memory = this->state.request_memory->used();
  snapshot.engines = this->state.fleet.directory().size();
  snapshot.peers = this->load_exchange.peers();
  snapshot.neighbours = this->load_exchange.neighbours();
  snapshot.home_engines = this->state.fleet.home_engines();
  snapshot.datagrams_sent = this->load_exchange.datagrams_sent();
  snapshot.datagram_bytes_sent = this->load_exchange.bytes_sent();
  snapshot.datagrams_received = this->load_exchange.datagrams_received();
  snapshot.peers_deferred = this->load_exchange.deferred_peers();
  const EngineNotices& notices = this->state.fleet.notices();
  snapshot.engines_limited = notices.limited();
  snapshot.engines_leaving = notices.leaving();
  snapshot.engines_resting = notices.resting(Now());
  snapshot.notices_forgotten = notices.forgotten();
  snapshot.engines_cold = this->state.fleet.cold().size();
  snapshot.engines_slow = this->slow_engines();
  snapshot.highest_pace = this->state.fleet.paces().highest(Now());
  snapshot.evacuated_data_centres = this->evacuated.size();
  snapshot.returns_lapsed = this->state.returns.lapsed();
  snapshot.prices = &this->state.room_price.prices();
  snapshot.config_version = this->ConfigVersion();
  snapshot.config_age = Now() - this->state.keys.confirmed_at();
  return MetricsPage(this->state.counters, snapshot);
}

std::string GatewayServer::StateDump() const {
  nlohmann::json dump;
  dump["box"] = this->state.settings.box;
  dump["ready"] = this->IsReady();
  dump["stopping"] = this->stopping;
  dump["callers"] = this->callers.size();
  dump["config_version"] = this->ConfigVersion();
  dump["peers"] = this->load_exchange.peers();
  dump["neighbours"] = this->load_exchange.neighbours();
  dump["engines"] = this->state.fleet.directory().size();
  dump["home_engines"] = this->state.fleet.home_engines();
  const EngineNotices& notices = this->state.fleet.notices();
  dump["engines_limited"] = notices.limited();
  dump["engines_leaving"] = notices.leaving();
  dump["engines_resting"] = notices.resting(Now());
  dump["engines_cold"] = this->state.fleet.cold().size();
  dump["evacuated_data_centres"] = this->evacuated;
  std::vector<std::string> quarantined;
  std::vector<std::string> parts;
  for (const Suspect& suspect : this->crash_watch.quarantine().Quarantined(Now())) {
    (suspect.is_part() ? parts : quarantined).push_back(SuspectName(suspect));
  }
  dump["quarantined"] = quarantined;
  dump["quarantined_parts"] = parts;
  return dump.dump(2) + "\n";
}

}  // namespace gullward

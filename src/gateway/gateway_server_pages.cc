// What operators read of a gateway: its figures as metrics, and its state as JSON.

#include <nlohmann/json.hpp>

#include "gateway/gateway_server.h"
#include "gateway/metrics_page.h"

namespace gullward {

std::string GatewayServer::Metrics() const {
  MetricsSnapshot figures;
  figures.engine_connections = this->state.pool.opened() + this->crash_watch.connections();
  figures.crashes = &this->crash_watch;
  figures.log_lines_dropped = this->log.dropped();
  figures.store_calls = this->config_follower.calls() + this->engine_follower.calls() +
                        this->load_exchange.store_calls() + this->config_revalidator.calls() +
                        this->engine_list_copy.store_calls() + this->crash_watch.store_calls() +
                        this->settled_epoch_writer.store_calls();
  figures.configs_from_peers = this->config_from_peers.received();
  figures.store_returns = this->store_recovery.returns().epoch().returns();
  figures.engines = this->state.fleet.directory().size();
  figures.peers = this->load_exchange.peers();
  figures.neighbours = this->load_exchange.neighbours();
  figures.home_engines = this->state.fleet.home_engines();
  figures.datagrams_sent = this->load_exchange.datagrams_sent();
  figures.datagram_bytes_sent = this->load_exchange.bytes_sent();
  figures.datagrams_received = this->load_exchange.datagrams_received();
  figures.peers_deferred = this->load_exchange.deferred_peers();
  const EngineNotices& notices = this->state.fleet.notices();
  figures.engines_limited = notices.limited();
  figures.engines_leaving = notices.leaving();
  figures.engines_resting = notices.resting(Now());
  figures.notices_forgotten = notices.forgotten();
  figures.config_version = this->ConfigVersion();
  figures.config_age = Now() - this->state.keys.confirmed_at();
  return MetricsPage(this->state.counters, figures);
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
  std::vector<std::string> quarantined;
  for (ContentId content : this->crash_watch.quarantine().Quarantined(Now())) {
    quarantined.push_back(ContentName(content));
  }
  dump["quarantined"] = quarantined;
  return dump.dump(2) + "\n";
}

}  // namespace gullward

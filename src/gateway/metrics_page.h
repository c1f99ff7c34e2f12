// Produces the gateway's metrics in the Prometheus text format.
//
//   std::string page = MetricsPage(state.counters, snapshot);
//
// docs/OPERATIONS.md explains how operators read the metrics.

#ifndef GULLWARD_GATEWAY_METRICS_PAGE_H_
#define GULLWARD_GATEWAY_METRICS_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "gateway/gateway_state.h"

namespace gullward {

// The values on the page besides the request counters.
struct MetricsSnapshot {
  // Counters since the process started.
  uint64_t engine_connections = 0;
  uint64_t log_lines_dropped = 0;
  uint64_t store_calls = 0;
  // Reads of topics from peers; reads of peers that were answered, and the bytes of the answers.
  uint64_t peer_reads = 0;
  uint64_t relayed_reads = 0;
  uint64_t relayed_bytes = 0;
  // Configurations fetched from peers.
  uint64_t configs_from_peers = 0;
  // Returns of the store from an older copy.
  uint64_t store_returns = 0;
  uint64_t datagrams_sent = 0;
  uint64_t datagram_bytes_sent = 0;
  uint64_t datagrams_received = 0;
  // Cell members that were put off to a later round because their cell is large.
  uint64_t peers_deferred = 0;
  // Current values.
  size_t callers = 0;
  size_t max_callers = 0;
  // What requests hold of the memory for them.
  size_t request_memory = 0;
  size_t engines = 0;
  size_t peers = 0;
  // Home cell: the other gateways addressed in one round, and the engines.
  size_t neighbours = 0;
  size_t home_engines = 0;
  // Engines by the kind of notice in force, and the engines whose notices were evicted to make
  // room since the process started.
  size_t engines_limited = 0;
  size_t engines_leaving = 0;
  size_t engines_resting = 0;
  uint64_t notices_forgotten = 0;
  // Engines that are cold, and data centres that the operator evacuates.
  size_t engines_cold = 0;
  size_t evacuated_data_centres = 0;
  // Engines that are clearly slower than published, and the highest pace
  // (overload/engine_pace.h).
  size_t engines_slow = 0;
  double highest_pace = 1;
  // Promises to refused callers that lapsed since the process started.
  uint64_t returns_lapsed = 0;
  // 0 without a configuration.
  uint64_t config_version = 0;
  // The time since the configuration was last shown to be current.
  Duration config_age{};
  // The steps of this gateway's start.  Never null when the page is produced.
  const StartSteps* start = nullptr;
  // Requests that crash engines.  Never null when the page is produced.
  const CrashWatch* crashes = nullptr;
  // What engine time is worth, by service.  Never null when the page is produced.
  const WorkPrices* prices = nullptr;

  bool operator==(const MetricsSnapshot&) const = default;
};

// Returns the page, including the process's CPU time and peak memory as the kernel reports them.
std::string MetricsPage(const GatewayCounters& counters, const MetricsSnapshot& snapshot);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_METRICS_PAGE_H_

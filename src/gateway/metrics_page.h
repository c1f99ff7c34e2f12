// The gateway's metrics, as the text that Prometheus collects.
//
//   std::string page = MetricsPage(state.counters, figures);
//
// docs/OPERATIONS.md says what operators read off it.

#ifndef GULLWARD_GATEWAY_METRICS_PAGE_H_
#define GULLWARD_GATEWAY_METRICS_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "gateway/gateway_state.h"

namespace gullward {

// What the page shows besides the counters of requests.
struct MetricsSnapshot {
  // Since the process began.
  uint64_t engine_connections = 0;
  uint64_t log_lines_dropped = 0;
  uint64_t store_calls = 0;
  // Configurations that peers have handed on.
  uint64_t configs_from_peers = 0;
  // Times that the store came back from an older copy.
  uint64_t store_returns = 0;
  uint64_t datagrams_sent = 0;
  uint64_t datagram_bytes_sent = 0;
  uint64_t datagrams_received = 0;
  // Members of a cell that had to wait for a later round.
  uint64_t peers_deferred = 0;
  // At this moment.
  size_t engines = 0;
  size_t peers = 0;
  // Of the home cell: the gateways that are told in one round, and the engines.
  size_t neighbours = 0;
  size_t home_engines = 0;
  // Engines by the notices that hold, and, since the process began, those whose notices had
  // to be dropped for want of room.
  size_t engines_limited = 0;
  size_t engines_leaving = 0;
  size_t engines_resting = 0;
  uint64_t notices_forgotten = 0;
  // 0 while there is no configuration.
  uint64_t config_version = 0;
  // Since the configuration was proved current.
  Duration config_age{};
  // Of requests that end engines; never null on the page.
  const CrashWatch* crashes = nullptr;

  bool operator==(const MetricsSnapshot&) const = default;
};

// Adds what the kernel says of this process: processor time and memory.
std::string MetricsPage(const GatewayCounters& counters, const MetricsSnapshot& figures);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_METRICS_PAGE_H_

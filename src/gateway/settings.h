// Reads and validates the gateway's settings file.  docs/OPERATIONS.md lists the keys.

#ifndef GULLWARD_GATEWAY_SETTINGS_H_
#define GULLWARD_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/freshness.h"
#include "serving/mechanisms.h"
#include "serving/retry_bucket.h"
#include "settings/toml_reader.h"
#include "transport/socket_address.h"

namespace gullward {

struct GatewaySettings {
  std::string box;
  std::string data_centre;
  // The addresses for callers, for the balancer's readiness checks, for the metrics and the
  // state dump, and for datagrams from peers.
  SocketAddress callers;
  SocketAddress ready;
  SocketAddress metrics;
  SocketAddress peers;
  // The address of the platform's store.
  SocketAddress store;
  // How long API keys are accepted after the configuration was last shown to be current, and
  // whether this limit applies.
  Duration key_trust = seconds(5);
  KeyTrust key_trust_mode = KeyTrust::kBounded;
  // The time within which a change of the configuration must be in force.
  Duration change_bound = seconds(2);
  // How long an engine may still get new work after it was announced as leaving.
  Duration leaving_bound = seconds(2);
  RetryBounds retry;
  // The file overrides a mechanism's default by the key `use_` and the field's name.
  Mechanisms mechanisms;
  // How long a gateway that is new to the fleet waits for the entries of others before it reads on.
  Duration registration_pause = seconds(1);
  // How long a request content that crashes engines is refused.
  Duration quarantine = std::chrono::hours(1);
  // The memory that requests may take together while they are read and until they are answered.
  size_t request_memory_bytes = 64 << 20;
  // The whole time in which a request must have arrived.
  Duration request_timeout = seconds(60);
  // The descriptors that the process may open; 0 if only the system's limit counts.
  uint64_t max_descriptors = 0;
  // The time between the stop signal and the kill.
  Duration stop_grace = seconds(8);

  bool operator==(const GatewaySettings&) const = default;
};

GatewaySettings ReadGatewaySettings(const toml::table& table, const std::string& file,
                                    std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_SETTINGS_H_

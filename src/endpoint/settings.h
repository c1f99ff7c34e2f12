// The settings of an endpoint process, read from its TOML file.

#ifndef GULLWARD_ENDPOINT_SETTINGS_H_
#define GULLWARD_ENDPOINT_SETTINGS_H_

#include <string>
#include <vector>

#include "endpoint/endpoint_core.h"
#include "settings/toml_reader.h"
#include "transport/socket_address.h"

namespace gullward {

struct EndpointSettings {
  // Name of this box and its data centre.
  std::string box;
  std::string zone;
  // Addresses on which entries and operators connect.
  SocketAddress listen;
  SocketAddress admin;
  // Address of the platform's log, "IP:PORT".
  std::string platform;
  std::vector<EngineOptions> engines;
  // Name and address of the plain service; empty if the box has engines.
  std::string service;
  std::string service_address;
  // How long an entry's attempts run on after its last message.
  Duration lease{};
  Duration sweep_period{};
  // How long a stop waits for attempts under way.
  Duration drain_timeout{};
};

// Reads the settings from a parsed file; every mistake is added to `errors`.
EndpointSettings ReadEndpointSettings(const toml::table& table, const std::string& file,
                                      std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_SETTINGS_H_

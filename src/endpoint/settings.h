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
  std::string box;
  std::string zone;
  SocketAddress listen;
  SocketAddress admin;
  std::string platform;
  std::vector<EngineOptions> engines;
  // Name and address of the plain service, where there is one.
  std::string service;
  std::string service_address;
  Duration lease{};
  Duration sweep_period{};
  Duration drain_timeout{};
};

// Reads the table; mistakes are noted in `errors`.
EndpointSettings ReadEndpointSettings(const toml::table& table, const std::string& file,
                                      std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_SETTINGS_H_

// The settings of an entry process, read from its TOML file.

#ifndef GULLWARD_ENTRY_SETTINGS_H_
#define GULLWARD_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "settings/toml_reader.h"
#include "transport/socket_address.h"

namespace gullward {

// An endpoint box that the settings name, so that it is known without the platform's list.
struct KnownEndpoint {
  std::string box;
  SocketAddress address;

  bool operator==(const KnownEndpoint&) const = default;
};

struct EntrySettings {
  // Name of this box and its data centre.
  std::string box;
  std::string zone;
  // Addresses on which callers and operators connect.
  SocketAddress listen;
  SocketAddress admin;
  // Address of the platform's log and list of boxes, "IP:PORT".
  std::string platform;
  std::vector<KnownEndpoint> endpoints;
  size_t max_body_bytes = 0;
  size_t max_in_flight = 0;
  unsigned http_threads = 0;
  // Time without progress after which a caller's connection is closed.
  unsigned caller_idle_seconds = 0;
  // How long a stop waits for requests in flight.
  Duration drain_timeout{};
  Duration box_list_period{};
  // Number of records after which this entry writes a new snapshot of the configuration.
  int64_t snapshot_records = 0;
};

// Reads the settings from a parsed file; every mistake is added to `errors`.
EntrySettings ReadEntrySettings(const toml::table& table, const std::string& file,
                                std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_ENTRY_SETTINGS_H_

// The settings of an entry process, read from its TOML file.

#ifndef GULLWARD_ENTRY_SETTINGS_H_
#define GULLWARD_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "settings/toml_reader.h"
#include "transport/socket_address.h"

namespace gullward {

// An endpoint box that is known without the platform's list.
struct KnownEndpoint {
  std::string box;
  SocketAddress address;

  bool operator==(const KnownEndpoint&) const = default;
};

struct EntrySettings {
  std::string box;
  std::string zone;
  SocketAddress listen;
  SocketAddress admin;
  std::string platform;
  std::vector<KnownEndpoint> endpoints;
  size_t max_body_bytes = 0;
  size_t max_in_flight = 0;
  unsigned http_threads = 0;
  unsigned caller_idle_seconds = 0;
  // How long a stop waits for requests under way.
  Duration drain_timeout{};
  Duration box_list_period{};
  int64_t snapshot_records = 0;
};

// Reads the table; mistakes are noted in `errors`.
EntrySettings ReadEntrySettings(const toml::table& table, const std::string& file,
                                std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_ENTRY_SETTINGS_H_

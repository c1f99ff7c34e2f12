// Reads the settings of an entry process; docs/OPERATORS.md lists the keys.

#include "entry/settings.h"

#include "config/config_feed.h"
#include "process/process.h"

namespace gullward {

EntrySettings ReadEntrySettings(const toml::table& table, const std::string& file,
                                std::vector<ConfigError>* errors) {
  TomlReader reader(table, file, "", errors);
  EntrySettings settings;
  settings.box = reader.String("box", std::nullopt);
  settings.zone = reader.String("data_centre", std::nullopt);
  settings.listen = ReadAddress(reader, "listen", std::nullopt);
  settings.admin = ReadAddress(reader, "admin", "127.0.0.1:0");
  settings.platform = ReadAddress(reader, "platform", std::nullopt).ToString();
  settings.max_body_bytes =
      static_cast<size_t>(reader.Integer("max_body_bytes", 16 << 20, 1024, 20 << 20));
  settings.max_in_flight = static_cast<size_t>(reader.Integer("max_in_flight", 4096, 1, 100'000));
  settings.http_threads = static_cast<unsigned>(reader.Integer("http_threads", 2, 1, 64));
  settings.caller_idle_seconds =
      static_cast<unsigned>(reader.Integer("caller_idle_seconds", 30, 1, 3600));
  settings.drain_timeout = FromSeconds(reader.Number("drain_seconds", 60, 0, 86400));
  settings.box_list_period = FromSeconds(reader.Number("box_list_seconds", 1, 0.05, 60));
  settings.snapshot_records =
      reader.Integer("snapshot_records", kSnapshotEveryRecords, 1, 1'000'000);
  size_t index = 0;
  for (const toml::table* endpoint : reader.Tables("endpoint")) {
    TomlReader inner(*endpoint, file, "endpoint[" + std::to_string(index++) + "].", errors);
    KnownEndpoint known;
    known.box = inner.String("box", std::nullopt);
    known.address = ReadAddress(inner, "address", std::nullopt);
    inner.Finish();
    settings.endpoints.push_back(known);
  }
  reader.Finish();
  return settings;
}

}  // namespace gullward

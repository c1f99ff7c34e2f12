// Reads the settings of an endpoint process; docs/OPERATORS.md lists the keys.

#include "endpoint/settings.h"

#include "process/process.h"

namespace gullward {
namespace {

constexpr int64_t kMaxMemoryTokens = 1'000'000'000;

EngineOptions ReadEngine(const toml::table& table, const std::string& file,
                         const std::string& prefix, std::vector<ConfigError>* errors) {
  TomlReader reader(table, file, prefix, errors);
  EngineOptions engine;
  engine.name = reader.String("name", std::nullopt);
  engine.address = ReadAddress(reader, "address", std::nullopt).ToString();
  engine.model = reader.String("model", std::nullopt);
  engine.memory_tokens =
      static_cast<uint64_t>(reader.Integer("memory_tokens", std::nullopt, 1, kMaxMemoryTokens));
  double tokens_per_second = reader.Number("prefill_tokens_per_second", 20000, 1, 1e9);
  engine.initial_speed.seconds_per_token = 1 / tokens_per_second;
  reader.Finish();
  return engine;
}

}  // namespace

EndpointSettings ReadEndpointSettings(const toml::table& table, const std::string& file,
                                      std::vector<ConfigError>* errors) {
  TomlReader reader(table, file, "", errors);
  EndpointSettings settings;
  settings.box = reader.String("box", std::nullopt);
  settings.zone = reader.String("data_centre", std::nullopt);
  settings.listen = ReadAddress(reader, "listen", std::nullopt);
  settings.admin = ReadAddress(reader, "admin", "127.0.0.1:0");
  settings.platform = ReadAddress(reader, "platform", std::nullopt).ToString();
  settings.lease = FromSeconds(reader.Number("lease_seconds", 3, 0.5, 60));
  settings.sweep_period = FromSeconds(reader.Number("sweep_seconds", 1, 0.05, 60));
  settings.drain_timeout = FromSeconds(reader.Number("drain_seconds", 300, 0, 86400));
  size_t index = 0;
  for (const toml::table* engine : reader.Tables("engine")) {
    std::string prefix = "engine[" + std::to_string(index++) + "].";
    settings.engines.push_back(ReadEngine(*engine, file, prefix, errors));
  }
  std::vector<const toml::table*> services = reader.Tables("service");
  if (services.size() > 1) reader.Error("service", "expected at most one service");
  if (!services.empty()) {
    TomlReader inner(*services[0], file, "service[0].", errors);
    settings.service = inner.String("name", std::nullopt);
    settings.service_address = ReadAddress(inner, "address", std::nullopt).ToString();
    inner.Finish();
  }
  if (settings.engines.empty() == settings.service.empty()) {
    reader.Error("engine", "expected either [[engine]] tables or one [[service]] table");
  }
  reader.Finish();
  return settings;
}

}  // namespace gullward

// deploy/gateway.toml is an example file with all keys.

#include "gateway/settings.h"

#include "absl/strings/str_cat.h"
#include "process/process.h"

namespace gullward {
namespace {

constexpr double kDaySeconds = 86400;
constexpr double kMaxQuarantineDays = 7;
constexpr double kBytesPerMegabyte = 1 << 20;
constexpr double kMaxDescriptors = 1e9;

// "true" or an empty value: keys are accepted only within the time limit.  "false": keys are
// accepted until the configuration changes.  The setting is a string, so that a template whose
// platform leaves the value empty still gives a valid file with the strict meaning.
KeyTrust ReadKeyTrust(TomlReader& reader) {
  std::string strict = reader.String("strict_revoke", "true");
  if (strict == "false") return KeyTrust::kUntilChanged;
  if (strict != "true" && !strict.empty()) {
    reader.Error("strict_revoke", "must be \"true\", \"false\" or empty");
  }
  return KeyTrust::kBounded;
}

Mechanisms ReadMechanisms(TomlReader& reader) {
  Mechanisms mechanisms;
  for (const MechanismSwitch& mechanism : kMechanismSwitches) {
    bool& is_on = mechanisms.*mechanism.field;
    is_on = reader.Boolean(absl::StrCat("use_", mechanism.name), is_on);
  }
  return mechanisms;
}

}  // namespace

GatewaySettings ReadGatewaySettings(const toml::table& table, const std::string& file,
                                    std::vector<ConfigError>* errors) {
  TomlReader reader(table, file, "", errors);
  GatewaySettings settings;
  settings.box = reader.String("box", std::nullopt);
  settings.data_centre = reader.String("data_centre", std::nullopt);
  settings.callers = ReadAddress(reader, "callers", std::nullopt);
  settings.ready = ReadAddress(reader, "ready", std::nullopt);
  settings.metrics = ReadAddress(reader, "metrics", "127.0.0.1:0");
  settings.peers = ReadAddress(reader, "peers", std::nullopt);
  settings.store = ReadAddress(reader, "store", std::nullopt);
  settings.key_trust = FromSeconds(reader.Number("key_trust_ms", 5000, 200, 1e7) / 1000);
  settings.key_trust_mode = ReadKeyTrust(reader);
  settings.change_bound = FromSeconds(reader.Number("change_bound_ms", 2000, 100, 1e7) / 1000);
  settings.leaving_bound = FromSeconds(reader.Number("leaving_bound_ms", 2000, 100, 1e7) / 1000);
  settings.retry.ratio = reader.Number("retry_ratio", 0.2, 0, 10);
  settings.retry.slack = reader.Number("retry_slack", 100, 0, 1e9);
  settings.retry.window = FromSeconds(reader.Number("retry_window_seconds", 10, 0.1, kDaySeconds));
  settings.stop_grace = FromSeconds(reader.Number("stop_grace_seconds", 8, 0, kDaySeconds));
  settings.registration_pause =
      FromSeconds(reader.Number("registration_pause_ms", 1000, 0, 10'000) / 1000);
  settings.quarantine =
      FromSeconds(reader.Number("quarantine_seconds", 3600, 1, kMaxQuarantineDays * kDaySeconds));
  settings.request_memory_bytes =
      static_cast<size_t>(reader.Number("request_memory_mb", 64, 1, 1e6) * kBytesPerMegabyte);
  settings.request_timeout =
      FromSeconds(reader.Number("request_timeout_seconds", 60, 0.1, kDaySeconds));
  settings.max_descriptors =
      static_cast<uint64_t>(reader.Number("max_descriptors", 0, 0, kMaxDescriptors));
  settings.mechanisms = ReadMechanisms(reader);
  reader.Finish();
  return settings;
}

}  // namespace gullward

// deploy/gateway.toml shows a file with every key.

#include "gateway/settings.h"

#include "process/process.h"

namespace gullward {
namespace {

constexpr double kDaySeconds = 86400;

// "true" or empty: keys are vouched for within the bound only; "false": until the
// configuration changes them.  A string, so that a template whose platform does
// not state the bound still gives a valid file, and the strict meaning.
KeyTrust ReadKeyTrust(TomlReader& reader) {
  std::string strict = reader.String("strict_revoke", "true");
  if (strict == "false") return KeyTrust::kUntilChanged;
  if (strict != "true" && !strict.empty()) {
    reader.Error("strict_revoke", "must be \"true\", \"false\" or empty");
  }
  return KeyTrust::kBounded;
}

Mechanisms ReadMechanisms(TomlReader& reader) {
  Mechanisms on;
  on.refusal_by_cost = reader.Boolean("use_refusal_by_cost", true);
  on.spread_reading = reader.Boolean("use_spread_reading", true);
  on.shared_order = reader.Boolean("use_shared_order", true);
  on.peer_loads = reader.Boolean("use_peer_loads", true);
  on.peer_set_aside = reader.Boolean("use_peer_set_aside", true);
  on.own_set_aside = reader.Boolean("use_own_set_aside", true);
  on.leave_silent_engines = reader.Boolean("use_leave_silent_engines", true);
  on.blame_named_reader = reader.Boolean("use_blame_named_reader", true);
  on.tell_reading = reader.Boolean("use_tell_reading", true);
  on.spare_late_streams = reader.Boolean("use_spare_late_streams", true);
  on.wait_for_late_first = reader.Boolean("use_wait_for_late_first", true);
  on.gather_streams = reader.Boolean("use_gather_streams", true);
  on.copy_engine_list = reader.Boolean("use_copy_engine_list", true);
  return on;
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
  settings.leaving_bound = FromSeconds(reader.Number("leaving_bound_ms", 2000, 100, 1e7) / 1000);
  settings.retry.ratio = reader.Number("retry_ratio", 0.2, 0, 10);
  settings.retry.slack = reader.Number("retry_slack", 100, 0, 1e9);
  settings.retry.window = FromSeconds(reader.Number("retry_window_seconds", 10, 0.1, kDaySeconds));
  settings.stop_grace = FromSeconds(reader.Number("stop_grace_seconds", 8, 0, kDaySeconds));
  settings.mechanisms = ReadMechanisms(reader);
  reader.Finish();
  return settings;
}

}  // namespace gullward

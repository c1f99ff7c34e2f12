// Holds one parse function for each kind.  See objects.h for the meaning of the keys.

#include "config/objects.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace gullward {
namespace {

constexpr double kMaxRate = 1e12;
constexpr int64_t kMaxTokens = 100'000'000;
constexpr size_t kSha256HexDigits = 64;

ObjectSpec ParseClass(TomlReader& reader) {
  ClassSpec spec;
  spec.timeout_seconds = reader.Number("timeout_seconds", std::nullopt, 0.01, kMaxTimeoutSeconds);
  spec.priority = reader.Integer("priority", 1, 0, kMaxPriority);
  spec.value = reader.Integer("value", 0, 0, kMaxValue);
  return spec;
}

bool IsHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

ObjectSpec ParseAccount(TomlReader& reader) {
  AccountSpec spec;
  spec.key_sha256 = reader.String("key_sha256", std::nullopt);
  bool is_hex = std::all_of(spec.key_sha256.begin(), spec.key_sha256.end(), IsHexDigit);
  if (!spec.key_sha256.empty() && (!is_hex || spec.key_sha256.size() != kSha256HexDigits)) {
    reader.Error("key_sha256", "expected 64 hexadecimal digits in lower case");
  }
  spec.class_name = reader.String("class", std::nullopt);
  spec.suspended = reader.Boolean("suspended", false);
  spec.labels = reader.ReadLabels("labels");
  return spec;
}

ObjectSpec ParseLimit(TomlReader& reader) {
  LimitSpec spec;
  spec.accounts = reader.ReadSelector("accounts");
  spec.tokens_per_second = reader.Number("tokens_per_second", 0, 0, kMaxRate);
  spec.burst_tokens = reader.Number("burst_tokens", spec.tokens_per_second, 0, kMaxRate);
  spec.max_in_flight = reader.Integer("max_in_flight", 0, 0, kMaxTokens);
  return spec;
}

ObjectSpec ParseModel(TomlReader& reader) {
  ModelSpec spec;
  spec.bytes_per_token = reader.Number("bytes_per_token", 4, 0.5, 64);
  spec.context_tokens = reader.Integer("context_tokens", std::nullopt, 1, kMaxTokens);
  spec.labels = reader.ReadLabels("labels");
  return spec;
}

ObjectSpec ParseAdapter(TomlReader& reader) {
  AdapterSpec spec;
  spec.model = reader.String("model", std::nullopt);
  spec.labels = reader.ReadLabels("labels");
  return spec;
}

ObjectSpec ParseGroup(TomlReader& reader) {
  static const std::vector<std::string>* const kinds =
      new std::vector<std::string>{"engines", "models", "adapters", "accounts"};
  GroupSpec spec;
  spec.of = reader.String("of", std::nullopt);
  if (!spec.of.empty() && std::find(kinds->begin(), kinds->end(), spec.of) == kinds->end()) {
    reader.Error("of", "expected engines, models, adapters or accounts");
  }
  spec.selector = reader.ReadSelector("selector");
  return spec;
}

ObjectSpec ParsePlacement(TomlReader& reader) {
  PlacementSpec spec;
  spec.model = reader.String("model", std::nullopt);
  spec.version = reader.String("version", "1");
  spec.engines = reader.ReadSelector("engines");
  spec.count = reader.Integer("count", std::nullopt, 0, 1'000'000);
  return spec;
}

ObjectSpec ParseService(TomlReader& reader) {
  ServiceSpec spec;
  spec.timeout_seconds = reader.Number("timeout_seconds", 30, 0.01, kMaxTimeoutSeconds);
  spec.repeatable = reader.Boolean("repeatable", false);
  return spec;
}

ObjectSpec ParseLeaving(TomlReader& reader) {
  return LeavingSpec{reader.String("reason", std::string())};
}

ObjectSpec ParseRouting(TomlReader& reader) {
  static const std::vector<std::string>* const policies = new std::vector<std::string>{
      "estimate", "round_robin", "least_outstanding", "longest_prefix", "trapezoid"};
  RoutingSpec spec;
  spec.policy = reader.String("policy", spec.policy);
  if (std::find(policies->begin(), policies->end(), spec.policy) == policies->end()) {
    reader.Error("policy",
                 "expected estimate, round_robin, least_outstanding, longest_prefix or "
                 "trapezoid");
  }
  spec.long_tokens = reader.Integer("long_tokens", spec.long_tokens, 1, kMaxTokens);
  spec.long_share = reader.Number("long_share", spec.long_share, 0.01, 1);
  spec.group_memory_share = reader.Number("group_memory_share", spec.group_memory_share, 0.1, 1);
  spec.retry_ratio = reader.Number("retry_ratio", spec.retry_ratio, 0, 1);
  return spec;
}

// A kind of object and the function that parses its table.
struct Kind {
  std::string name;
  ObjectSpec (*parse)(TomlReader& reader);
};

const std::vector<Kind>& Kinds() {
  static const std::vector<Kind>* const kinds = new std::vector<Kind>{
      {"class", ParseClass},         {"account", ParseAccount}, {"limit", ParseLimit},
      {"model", ParseModel},         {"adapter", ParseAdapter}, {"group", ParseGroup},
      {"placement", ParsePlacement}, {"service", ParseService}, {"leaving", ParseLeaving},
      {"routing", ParseRouting},
  };
  return *kinds;
}

}  // namespace

const std::vector<std::string>& ObjectKinds() {
  static const std::vector<std::string>* const names = [] {
    auto* list = new std::vector<std::string>;
    for (const Kind& kind : Kinds()) list->push_back(kind.name);
    return list;
  }();
  return *names;
}

ObjectSpec ParseObject(const std::string& kind, const toml::table& table, const std::string& file,
                       const std::string& prefix, std::vector<ConfigError>* errors) {
  for (const Kind& known : Kinds()) {
    if (known.name != kind) continue;
    TomlReader reader(table, file, prefix, errors);
    // The name is the object's key and not a part of its body; reading it marks the key as known.
    reader.String("name", std::string());
    ObjectSpec spec = known.parse(reader);
    reader.Finish();
    return spec;
  }
  errors->push_back({file, table.source().begin.line, prefix, "unknown kind \"" + kind + "\""});
  return {};
}

std::vector<ObjectName> References(const ObjectSpec& spec) {
  if (const auto* account = std::get_if<AccountSpec>(&spec)) {
    return {{"class", account->class_name}};
  }
  if (const auto* adapter = std::get_if<AdapterSpec>(&spec)) return {{"model", adapter->model}};
  if (const auto* placement = std::get_if<PlacementSpec>(&spec)) {
    return {{"model", placement->model}};
  }
  return {};
}

}  // namespace gullward

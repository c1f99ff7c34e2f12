// The kinds of objects in a configuration, as value types.
//
// Operators write objects in TOML, one [[kind]] table for each object:
//
//   [[class]]
//   name = "counter"
//   timeout_seconds = 20
//
//   [[account]]
//   name = "shop"
//   class = "counter"
//   key_sha256 = "..."
//
// Objects refer to each other by name, as an account refers to its class.  They select accounts and
// engines by labels rather than by the names of single boxes.  ParseObject converts one table to
// one object; docs/OPERATORS.md lists every key.

#ifndef GULLWARD_CONFIG_OBJECTS_H_
#define GULLWARD_CONFIG_OBJECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "settings/toml_reader.h"

namespace gullward {

// Upper bounds of values in a configuration.
inline constexpr int64_t kMaxPriority = 7;
inline constexpr int64_t kMaxValue = 1000;
inline constexpr double kMaxTimeoutSeconds = 86400;

// How the requests of an account are treated.  priority: 0 is served first.  value: under overload,
// requests with a higher value are refused later.
struct ClassSpec {
  // Applies to requests whose caller states no time.
  double timeout_seconds = 0;
  int64_t priority = 0;
  int64_t value = 0;

  bool operator==(const ClassSpec&) const = default;
};

// A client account.  The configuration holds only a hash of its API key.
struct AccountSpec {
  std::string key_sha256;
  std::string class_name;
  bool suspended = false;
  Labels labels;

  bool operator==(const AccountSpec&) const = default;
};

// Limits that apply to each account whose labels match.  0 means no limit.
struct LimitSpec {
  Selector accounts;
  double tokens_per_second = 0;
  double burst_tokens = 0;
  int64_t max_in_flight = 0;

  bool operator==(const LimitSpec&) const = default;
};

// A model that requests may name.
struct ModelSpec {
  double bytes_per_token = 0;
  int64_t context_tokens = 0;
  Labels labels;

  bool operator==(const ModelSpec&) const = default;
};

// An adapter of a model.  Requests name it instead of the model.
struct AdapterSpec {
  std::string model;
  Labels labels;

  bool operator==(const AdapterSpec&) const = default;
};

// A named set of engines, models, adapters or accounts.
struct GroupSpec {
  std::string of;
  Selector selector;

  bool operator==(const GroupSpec&) const = default;
};

// Desired placement: `count` of the matching engines are to hold this version of the model.
struct PlacementSpec {
  std::string model;
  std::string version;
  Selector engines;
  int64_t count = 0;

  bool operator==(const PlacementSpec&) const = default;
};

// A plain service, which callers reach at /v1/services/NAME/.
struct ServiceSpec {
  double timeout_seconds = 0;
  bool repeatable = false;

  bool operator==(const ServiceSpec&) const = default;
};

// A box that is leaving: it gets no new work.
struct LeavingSpec {
  std::string reason;

  bool operator==(const LeavingSpec&) const = default;
};

// How requests are routed.  Only the object named "default" is used.
struct RoutingSpec {
  std::string policy = "estimate";
  // Prompts with at least this many tokens count as long.
  int64_t long_tokens = 32768;
  // The share of a model's engines that long prompts may use.
  double long_share = 0.5;
  // The share of an engine's memory that groups may use.
  double group_memory_share = 0.9;
  // Retries allowed for each success.
  double retry_ratio = 0.1;

  bool operator==(const RoutingSpec&) const = default;
};

using ObjectSpec = std::variant<ClassSpec, AccountSpec, LimitSpec, ModelSpec, AdapterSpec,
                                GroupSpec, PlacementSpec, ServiceSpec, LeavingSpec, RoutingSpec>;

// Kind and name of an object, such as "account" and "shop".
struct ObjectName {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectName&) const = default;
};

// Returns all kinds, in the order in which files and status pages list them.
const std::vector<std::string>& ObjectKinds();

// Parses the keys of one object, without its name.  Appends every error, such as an unknown kind,
// to `errors`; the result must not be used if there is any.
ObjectSpec ParseObject(const std::string& kind, const toml::table& table, const std::string& file,
                       const std::string& prefix, std::vector<ConfigError>* errors);

// Returns the other objects to which an object refers.  They must exist.
std::vector<ObjectName> References(const ObjectSpec& spec);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_OBJECTS_H_

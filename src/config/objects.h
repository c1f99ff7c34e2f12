// The kinds of object that a configuration is made of, as value types.
//
// Operators write them in TOML, one [[kind]] table for each object:
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
// Objects name each other (an account names its class), and state intent by
// selectors over labels rather than by naming single boxes.  ParseObject turns
// one table into one object; docs/OPERATORS.md lists every key.

#ifndef GULLWARD_CONFIG_OBJECTS_H_
#define GULLWARD_CONFIG_OBJECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "settings/toml_reader.h"

namespace gullward {

// Bounds of what a configuration may ask for.
inline constexpr int64_t kMaxPriority = 7;
inline constexpr int64_t kMaxValue = 1000;
inline constexpr double kMaxTimeoutSeconds = 86400;

// How requests are treated: their stated time where the caller gives none,
// their priority (0 is served first) and their value (the higher, the later
// shed).
struct ClassSpec {
  double timeout_seconds = 0;
  int64_t priority = 0;
  int64_t value = 0;

  bool operator==(const ClassSpec&) const = default;
};

// A client account.  Only a hash of its API key is kept.
struct AccountSpec {
  std::string key_sha256;
  std::string class_name;
  bool suspended = false;
  Labels labels;

  bool operator==(const AccountSpec&) const = default;
};

// Limits of every account whose labels match.  0 means no limit.
struct LimitSpec {
  Selector accounts;
  double tokens_per_second = 0;
  double burst_tokens = 0;
  int64_t max_in_flight = 0;

  bool operator==(const LimitSpec&) const = default;
};

// A model that callers may name.
struct ModelSpec {
  double bytes_per_token = 0;
  int64_t context_tokens = 0;
  Labels labels;

  bool operator==(const ModelSpec&) const = default;
};

// An adapter of a model; callers name it in the model's place.
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

// Intent: so many of the matching engines hold this model at this version.
struct PlacementSpec {
  std::string model;
  std::string version;
  Selector engines;
  int64_t count = 0;

  bool operator==(const PlacementSpec&) const = default;
};

// A plain service that callers reach at /v1/services/NAME/.
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

// How requests are spread; the object named "default" is in force.
struct RoutingSpec {
  std::string policy = "estimate";
  // Prompts of at least so many tokens count as long.
  int64_t long_tokens = 32768;
  // The share of a model's engines that long prompts may use.
  double long_share = 0.5;
  // The share of an engine's memory that groups may hold.
  double group_memory_share = 0.9;
  // Retries allowed for each success.
  double retry_ratio = 0.1;

  bool operator==(const RoutingSpec&) const = default;
};

using ObjectSpec = std::variant<ClassSpec, AccountSpec, LimitSpec, ModelSpec, AdapterSpec,
                                GroupSpec, PlacementSpec, ServiceSpec, LeavingSpec, RoutingSpec>;

// Kind and name of an object, as in "account" and "shop".
struct ObjectName {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectName&) const = default;
};

// All kinds, in the order in which files and dumps show them.
const std::vector<std::string>& ObjectKinds();

// Reads the keys of one object, without its name.  Mistakes are noted in
// `errors`; the result then is not to be used.  An unknown kind is a mistake.
ObjectSpec ParseObject(const std::string& kind, const toml::table& table, const std::string& file,
                       const std::string& prefix, std::vector<ConfigError>* errors);

// The other objects that an object names; they must exist.
std::vector<ObjectName> References(const ObjectSpec& spec);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_OBJECTS_H_

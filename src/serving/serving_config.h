// The configuration that operators publish for serving requests, as immutable values.
//
// A ServingConfig holds one complete version.  It is decoded once (platform/) and never changed
// afterwards.  A request keeps the version that it was admitted with.

#ifndef GULLWARD_SERVING_SERVING_CONFIG_H_
#define GULLWARD_SERVING_SERVING_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// Whether a request may be run again if the outcome of an attempt is unknown.
enum class Repeat {
  // The request may run again: running it twice is harmless.
  kAllowed,
  // The request must not run again: it runs at most once.
  kNever,
  // The answer is a stream, which another engine can resume after the last event that was sent to
  // the caller.
  kResumeStream,
};

// A service that a route sends requests to, and its weight among the route's services.
struct ServiceShare {
  std::string service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// Maps requests, by host and path, to services and states how they are handled.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.  A request gets the route with the longest matching prefix.
  std::string path_prefix;
  Repeat repeat = Repeat::kNever;
  bool streaming = false;
  // Maximum time from the arrival of a request to its answer.
  Duration timeout = seconds(10);
  // An answer (for a stream, its first event) within this time has its full value.
  Duration objective = milliseconds(300);
  // The longest pause between events that counts as in time; zero if not stated.
  Duration longest_pause = Duration(0);
  // Maximum number of engines that one request may be sent to.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Whether a request needs no API key.
  bool is_public = false;
  std::vector<ServiceShare> services;

  bool operator==(const Route&) const = default;
};

// The speed of the model engines of a service, as their operator publishes it.
struct EngineSpeed {
  // Requests that one engine runs at a time.
  int slots = 1;
  // Tokens of context that fit into one engine's memory; 0 if not stated.
  double memory_tokens = 0;
  // Duration of one decode step, in milliseconds.
  double step_ms = 1;
  // Added to a step for each running request, and for each 1,000 tokens of context.
  double step_ms_per_request = 0;
  double step_ms_per_thousand_context = 0;
  // Tokens of a prompt read in a millisecond, and the time added for each million pairs of its
  // tokens.
  double prefill_tokens_per_ms = 256;
  double prefill_ms_per_million_pairs = 0;
  // Decode steps that an engine runs between two checks of its queue.
  int steps_per_pass = 1;
  // Maximum number of prompt tokens that one step reads.
  double prefill_tokens_per_step = 2048;
  // Typical length of an answer, in tokens.
  double usual_answer_tokens = 1000;
  // Added to a decode step of a request whose context is spread over several engines.
  double remote_step_ms = 0;

  bool operator==(const EngineSpeed&) const = default;
};

// The endpoints of one kind, to which a route may send requests.
struct Service {
  std::string name;
  std::string health_path;
  // Maximum number of connections to one engine from all callers together.
  int max_connections = 0;
  // Whether the service's engines run models; `speed` is valid only then.
  bool runs_models = false;
  EngineSpeed speed;
  // Requests a second that a cold engine bears from all gateways together; 0 if not stated.
  double cold_per_s = 0;

  bool operator==(const Service&) const = default;
};

// Bounds on the size and the duration of callers' requests.
struct CallerLimits {
  uint32_t head_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  Duration head_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
  // The whole time in which a request must have arrived.  The configuration does not state it.
  Duration request_timeout = seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

// The rank of an account that states none: its requests have their route's.
inline constexpr int kUnstatedRank = -1;

// The account that a request is charged to, identified by the request's API key.
struct ClientAccount {
  std::string name;
  std::vector<std::string> api_keys;
  // Overrides the route's priority.
  int priority = kUnstatedRank;

  bool operator==(const ClientAccount&) const = default;
};

// One published version of the configuration.
struct ServingConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // If there are no accounts, no request needs a key.
  std::vector<ClientAccount> accounts;

  bool operator==(const ServingConfig&) const = default;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SERVING_CONFIG_H_

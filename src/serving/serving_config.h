// What operators have published for the callers' side, as immutable values.
//
// A ServingConfig is one version, whole.  It is decoded once (platform/) and
// never changed afterwards; requests hold the version that admitted them.

#ifndef GULLWARD_SERVING_SERVING_CONFIG_H_
#define GULLWARD_SERVING_SERVING_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// Whether a request may be run again where its outcome is not known.
enum class Repeat {
  // It may: running it twice does no harm.
  kAllowed,
  // It may not: at most once.
  kNever,
  // A stream that another engine can take up after the last event passed on.
  kResumeStream,
};

// A service that a route may send to, and its part of the route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// Which requests (by host and path) go to which services, and how.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash; the longest that fits wins.
  std::string path_prefix;
  Repeat repeat = Repeat::kNever;
  bool streaming = false;
  // Longest time that a request may be held, from its arrival.
  Duration timeout = seconds(10);
  // An answer (a stream's first event) within this time is worth most.
  Duration objective = milliseconds(300);
  // The longest pause between events that is still in time; zero: none stated.
  Duration longest_pause = Duration(0);
  // Most engines that one request may be sent to.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Whether a request needs no API key.
  bool is_public = false;
  std::vector<ServiceShare> services;

  bool operator==(const Route&) const = default;
};

// How fast the model engines of a service work, as their operator states it.
struct EngineSpeed {
  // Requests that one engine runs at a time.
  int slots = 1;
  // Tokens of context that one engine holds; 0: not stated.
  double memory_tokens = 0;
  // Milliseconds of one decode step.
  double step_ms = 1;
  // Added to a step for each running request, and for each 1,000 tokens of
  // its context.
  double step_ms_per_request = 0;
  double step_ms_per_thousand_context = 0;
  // How fast a prompt is read, and what each million pairs of its tokens adds.
  double prefill_tokens_per_ms = 256;
  double prefill_ms_per_million_pairs = 0;
  // Decode steps that an engine plays between two looks at its queue.
  int steps_per_pass = 1;
  // Most prompt tokens that one step reads.
  double prefill_tokens_per_step = 2048;
  // Tokens that an answer usually has.
  double usual_answer_tokens = 1000;
  // Added to a decode step whose context lies on several engines.
  double remote_step_ms = 0;

  bool operator==(const EngineSpeed&) const = default;
};

// Endpoints of one kind, to which a route may send.
struct Service {
  std::string name;
  std::string health_path;
  // Connections that one engine takes from all callers together.
  int max_connections = 0;
  // Whether its engines run models; `speed` holds only then.
  bool runs_models = false;
  EngineSpeed speed;

  bool operator==(const Service&) const = default;
};

// What callers may send.
struct CallerLimits {
  uint32_t head_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  Duration head_timeout = seconds(3);
  Duration idle_timeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

// Who pays for requests, told by the API key that comes with them.
struct ClientAccount {
  std::string name;
  std::vector<std::string> api_keys;
  // Goes before the route's where it is given; -1: not given.
  int priority = -1;

  bool operator==(const ClientAccount&) const = default;
};

// One published version.
struct ServingConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // Where there are none, no request needs a key.
  std::vector<ClientAccount> accounts;

  bool operator==(const ServingConfig&) const = default;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SERVING_CONFIG_H_

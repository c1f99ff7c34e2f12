// Which engine gets a request: the policy in force and those it is measured
// against.
//
//   Policy policy = MakePolicy("estimate", seed);
//   std::optional<Choice> choice = policy(request, candidates);
//
// "estimate" takes the engine with the least estimated time to first token:
//
//   wait(equal or higher priority) + prefill(cached .. prompt) at that engine's
//   own measured speed
//
// Long prompts are kept to a share of the engines (the ones that rendezvous
// hashing ranks first, so that every entry names the same ones without asking),
// and short prompts pay a small penalty for an engine where a long one runs: its
// pieces make every step of that engine longer.
//
// To keep the cost flat as the fleet grows, no more than kSampleSize candidates
// are looked at, drawn at random, besides those that hold a cached prefix.
//
// The others are baselines: round_robin, least_outstanding, longest_prefix, and
// trapezoid, the sum of (p^2 - c^2) / 2 of production-stack PR #670, which
// assumes identical engines and quadratic work only.

#ifndef GULLWARD_ROUTING_POLICY_H_
#define GULLWARD_ROUTING_POLICY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/objects.h"
#include "routing/fleet_view.h"

namespace gullward {

// Candidates that a choice looks at, besides those with a cached prefix.
inline constexpr size_t kSampleSize = 16;

// What a policy needs to know of a request.
struct RoutingRequest {
  uint64_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  uint32_t priority = 0;
  std::string model;
  // From the configuration.
  uint64_t long_tokens = 0;
  double long_share = 1;
};

struct Choice {
  EngineRef engine;
  // Estimated seconds to the first token, and those of prefill alone.
  double first_token_seconds = 0;
  double prefill_seconds = 0;

  bool operator==(const Choice&) const = default;
};

// Picks one of the candidates, or none where there are none.
using Policy = std::function<std::optional<Choice>(const RoutingRequest& request,
                                                   const std::vector<EngineView>& candidates)>;

// The policy of that name; names are those that RoutingSpec::policy allows.
Policy MakePolicy(const std::string& name, uint64_t seed);

// Estimated seconds to the first token on one engine.
double EstimateFirstToken(const RoutingRequest& request, const EngineView& engine);

// The candidates that long prompts of this model may use: the share that
// rendezvous hashing ranks first, at least `at_least` of them.
std::vector<EngineView> EnginesForLongPrompts(const std::string& model,
                                              const std::vector<EngineView>& candidates,
                                              double share, size_t at_least);

}  // namespace gullward

#endif  // GULLWARD_ROUTING_POLICY_H_

// Routing policies: which engine gets a request.
//
//   Policy policy = MakePolicy("estimate", seed);
//   std::optional<Choice> choice = policy(request, candidates);
//
// "estimate", the default, chooses the engine with the lowest estimated time to the first token:
// the engine's backlog of equal or higher priority plus the prefill of the prompt tokens that are
// not cached, at the engine's own measured speed.
//
// Long prompts use only a share of the engines.  Rendezvous hashing selects them, so that all
// entries use the same engines without communication.  For short prompts, the estimate of an
// engine that runs a long prompt is higher by a small penalty, because prefill of the long prompt
// makes each step of that engine longer.
//
// To keep the cost of a choice constant as the fleet grows, the policy examines only kSampleSize
// random candidates and all candidates that hold a cached prefix.
//
// The other policies are baselines for comparison: round_robin, least_outstanding, longest_prefix
// and trapezoid.  trapezoid is the policy of pull request 670 of production-stack: the cost of a
// prompt with p tokens of which c are cached is (p^2 - c^2) / 2, which assumes identical engines
// and quadratic work only.

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

// Random candidates that a choice examines, besides all with a cached prefix.
inline constexpr size_t kSampleSize = 16;

// The properties of a request on which a policy decides.
struct RoutingRequest {
  uint64_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  uint32_t priority = 0;
  std::string model;
  // RoutingSpec::long_tokens and RoutingSpec::long_share of the configuration.
  uint64_t long_tokens = 0;
  double long_share = 1;
};

// The engine that a policy has chosen.
struct Choice {
  EngineRef engine;
  // Estimated seconds to the first token, and of its prefill alone.
  double first_token_seconds = 0;
  double prefill_seconds = 0;

  bool operator==(const Choice&) const = default;
};

// Chooses one of the candidates; nothing if there are none.
using Policy = std::function<std::optional<Choice>(const RoutingRequest& request,
                                                   const std::vector<EngineView>& candidates)>;

// Returns the policy with this name, one of those that RoutingSpec::policy allows.  `seed` seeds
// the random choice of candidates.
Policy MakePolicy(const std::string& name, uint64_t seed);

// Returns the estimated seconds to the first token on one engine.
double EstimateFirstToken(const RoutingRequest& request, const EngineView& engine);

// Returns the candidates that long prompts of this model may use: the fraction `share` that
// rendezvous hashing ranks first, but at least `min_count` engines.
std::vector<EngineView> EnginesForLongPrompts(const std::string& model,
                                              const std::vector<EngineView>& candidates,
                                              double share, size_t min_count);

}  // namespace gullward

#endif  // GULLWARD_ROUTING_POLICY_H_

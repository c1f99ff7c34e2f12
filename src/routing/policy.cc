// policy.h tells the methods.

#include "routing/policy.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace gullward {
namespace {

// Seconds that a prompt loses, on average, to the step under way when less urgent
// prefill runs: half the time of one piece. It cannot be interrupted.
constexpr double kStepSeconds = 0.05;

// The same where a long prompt runs, whose pieces look back at many tokens.
constexpr double kLongNeighbourSeconds = 0.15;

// Seconds for each request in flight: breaks ties towards the emptier engine.
constexpr double kOutstandingSeconds = 0.002;

// Seconds charged where memory is not free now: the wait for it is not known,
// so such an engine is taken only if all others are worse.
constexpr double kNoMemorySeconds = 2.0;

Choice MakeChoice(const RoutingRequest& request, const EngineView& engine) {
  uint64_t cached = std::min(engine.cached_tokens, request.prompt_tokens);
  double prefill = Seconds(engine.speed, cached, request.prompt_tokens);
  return {engine.ref, EstimateFirstToken(request, engine), prefill};
}

uint64_t HashOf(const std::string& model, const EngineRef& ref) {
  uint64_t hash = XXH3_64bits(model.data(), model.size());
  hash = XXH3_64bits_withSeed(ref.box.data(), ref.box.size(), hash);
  return XXH3_64bits_withSeed(&ref.engine, sizeof(ref.engine), hash);
}

using Cost = std::function<double(const RoutingRequest& request, const EngineView& engine)>;

// The candidate of the least cost; the first of equal ones.
const EngineView* Cheapest(const RoutingRequest& request, const std::vector<EngineView>& candidates,
                           const Cost& cost) {
  const EngineView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const EngineView& engine : candidates) {
    double engine_cost = cost(request, engine);
    if (best != nullptr && engine_cost >= best_cost) continue;
    best = &engine;
    best_cost = engine_cost;
  }
  return best;
}

Policy CheapestPolicy(Cost cost) {
  return
      [cost = std::move(cost)](const RoutingRequest& request,
                               const std::vector<EngineView>& candidates) -> std::optional<Choice> {
        const EngineView* best = Cheapest(request, candidates, cost);
        if (best == nullptr) return std::nullopt;
        return MakeChoice(request, *best);
      };
}

Policy RoundRobin() {
  auto next = std::make_shared<uint64_t>(0);
  return [next](const RoutingRequest& request,
                const std::vector<EngineView>& candidates) -> std::optional<Choice> {
    if (candidates.empty()) return std::nullopt;
    return MakeChoice(request, candidates[(*next)++ % candidates.size()]);
  };
}

double OutstandingCost(const RoutingRequest&, const EngineView& engine) {
  return engine.outstanding;
}

double PrefixCost(const RoutingRequest& request, const EngineView& engine) {
  double missing = static_cast<double>(request.prompt_tokens) -
                   static_cast<double>(std::min(engine.cached_tokens, request.prompt_tokens));
  return missing + engine.outstanding * 1e-6;
}

double TrapezoidCost(const RoutingRequest& request, const EngineView& engine) {
  // The backlog is known in seconds; a fixed speed turns it into pairs again.
  constexpr double kPairsPerSecond = 1e10;
  double queued = 0;
  for (double part : engine.backlog_seconds) queued += part * kPairsPerSecond;
  uint64_t cached = std::min(engine.cached_tokens, request.prompt_tokens);
  return queued + TokenPairs(cached, request.prompt_tokens);
}

// Draws kSampleSize candidates; keeps every one with a cached prefix.
std::vector<EngineView> Sample(const std::vector<EngineView>& candidates, std::mt19937_64* random) {
  if (candidates.size() <= kSampleSize) return candidates;
  std::vector<EngineView> sample;
  for (const EngineView& engine : candidates) {
    if (engine.cached_tokens > 0) sample.push_back(engine);
  }
  for (size_t i = 0; i < kSampleSize; ++i) {
    std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
    sample.push_back(candidates[pick(*random)]);
  }
  return sample;
}

Policy Estimate(uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const RoutingRequest& request,
                  const std::vector<EngineView>& candidates) -> std::optional<Choice> {
    std::vector<EngineView> considered = candidates;
    bool is_long = request.prompt_tokens >= request.long_tokens;
    if (is_long)
      considered = EnginesForLongPrompts(request.model, candidates, request.long_share, 1);
    considered = Sample(considered, random.get());
    const EngineView* best = Cheapest(request, considered, EstimateFirstToken);
    if (best == nullptr) return std::nullopt;
    return MakeChoice(request, *best);
  };
}

}  // namespace

double EstimateFirstToken(const RoutingRequest& request, const EngineView& engine) {
  uint64_t cached = std::min(engine.cached_tokens, request.prompt_tokens);
  double estimate = engine.WaitSeconds(request.priority);
  estimate += Seconds(engine.speed, cached, request.prompt_tokens);
  estimate += kOutstandingSeconds * engine.outstanding;
  // Only one step is under way, however many prompts wait behind it.
  bool is_long = request.prompt_tokens >= request.long_tokens;
  if (!is_long && engine.long_running > 0) {
    estimate += kLongNeighbourSeconds;
  } else if (!is_long && engine.HasLowerPriorityPrefill(request.priority)) {
    estimate += kStepSeconds;
  }
  if (request.prompt_tokens + request.max_tokens > engine.free_tokens) estimate += kNoMemorySeconds;
  return estimate;
}

std::vector<EngineView> EnginesForLongPrompts(const std::string& model,
                                              const std::vector<EngineView>& candidates,
                                              double share, size_t at_least) {
  std::vector<std::pair<uint64_t, const EngineView*>> ranked;
  ranked.reserve(candidates.size());
  for (const EngineView& engine : candidates) {
    ranked.emplace_back(HashOf(model, engine.ref), &engine);
  }
  std::sort(ranked.begin(), ranked.end());
  auto wanted = static_cast<size_t>(std::ceil(share * static_cast<double>(ranked.size())));
  size_t count = std::min(ranked.size(), std::max(wanted, at_least));
  std::vector<EngineView> chosen;
  chosen.reserve(count);
  for (size_t i = 0; i < count; ++i) chosen.push_back(*ranked[i].second);
  return chosen;
}

Policy MakePolicy(const std::string& name, uint64_t seed) {
  if (name == "round_robin") return RoundRobin();
  if (name == "least_outstanding") return CheapestPolicy(OutstandingCost);
  if (name == "longest_prefix") return CheapestPolicy(PrefixCost);
  if (name == "trapezoid") return CheapestPolicy(TrapezoidCost);
  return Estimate(seed);
}

}  // namespace gullward

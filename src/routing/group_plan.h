// Splits a prompt that is larger than one engine's memory into pieces for several engines.
//
// The pieces are prefilled one after another, each with the KV cache of the pieces before it, and
// the last engine generates the answer.  The plan takes engines in the order in which they become
// free, and only as many as the prompt needs: each further engine is one more that can fail, and
// the requests on it are slowed down.  The pieces are ordered by the names of the engines, so
// that all entries reserve in the same order and two groups do not each hold memory that the
// other one needs.
//
//   std::vector<GroupPiece> plan = PlanGroup(request, candidates, 0.9);
//   if (plan.empty()) ...     // all engines together are too small

#ifndef GULLWARD_ROUTING_GROUP_PLAN_H_
#define GULLWARD_ROUTING_GROUP_PLAN_H_

#include <cstdint>
#include <vector>

#include "routing/policy.h"

namespace gullward {

// Upper bound of the pieces of a prompt.
inline constexpr size_t kMaxPieces = 16;

// One piece of a prompt and the engine that holds it.
struct GroupPiece {
  EngineRef engine;
  // Prompt tokens of this piece.
  uint64_t prompt_tokens = 0;
  // Tokens of memory to be reserved.  The last piece includes the answer.
  uint64_t memory_tokens = 0;
  double prefill_seconds = 0;

  bool operator==(const GroupPiece&) const = default;
};

// Whether the prompt and its answer exceed the share `memory_share` of the memory of each single
// candidate.
bool NeedsGroup(const RoutingRequest& request, const std::vector<EngineView>& candidates,
                double memory_share);

// Returns the pieces in order, or an empty plan if kMaxPieces candidates together cannot hold the
// prompt and its answer.  `memory_share` is the share of each engine's memory that groups may use.
std::vector<GroupPiece> PlanGroup(const RoutingRequest& request,
                                  const std::vector<EngineView>& candidates, double memory_share);

}  // namespace gullward

#endif  // GULLWARD_ROUTING_GROUP_PLAN_H_

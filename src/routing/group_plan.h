// Splits a prompt that is larger than one engine's memory over several.
//
// The pieces are prefilled one after another, each with the KV cache of those
// before it, and the last engine writes the answer.  The plan uses as few
// engines as will do (every further engine is one more that can fail and one
// more neighbour that is disturbed), and of those that fit the ones that are
// free soonest.  Pieces go in the order of the engines' names: every entry
// reserves in the same order, which keeps two groups from missing each other.
//
//   std::vector<GroupPiece> plan = PlanGroup(request, candidates, 0.9);
//   if (plan.empty()) ...     // all engines together are too small

#ifndef GULLWARD_ROUTING_GROUP_PLAN_H_
#define GULLWARD_ROUTING_GROUP_PLAN_H_

#include <cstdint>
#include <vector>

#include "routing/policy.h"

namespace gullward {

// Pieces that a prompt may be split into.
inline constexpr size_t kMaxPieces = 16;

struct GroupPiece {
  EngineRef engine;
  // Prompt tokens of this piece.
  uint64_t prompt_tokens = 0;
  // Memory to be reserved: the last piece also holds the answer.
  uint64_t memory_tokens = 0;
  double prefill_seconds = 0;

  bool operator==(const GroupPiece&) const = default;
};

// Whether the prompt and its answer are too large for the share of every single
// candidate that large prompts may hold.
bool NeedsGroup(const RoutingRequest& request, const std::vector<EngineView>& candidates,
                double memory_share);

// The pieces in order, or none where even all candidates together cannot hold
// the prompt.  `memory_share` is the part of each engine that groups may hold.
std::vector<GroupPiece> PlanGroup(const RoutingRequest& request,
                                  const std::vector<EngineView>& candidates, double memory_share);

}  // namespace gullward

#endif  // GULLWARD_ROUTING_GROUP_PLAN_H_

// See group_plan.h for how engines are chosen and pieces ordered.

#include "routing/group_plan.h"

#include <algorithm>

namespace gullward {
namespace {

// Tokens of the engine's memory that groups may use.
uint64_t ShareOf(const EngineView& engine, double memory_share) {
  return static_cast<uint64_t>(static_cast<double>(engine.total_tokens) * memory_share);
}

// Sorts the engines by when a piece can start: engines whose share is free now come first, then
// those that run fewer long prompts, then those with the shorter wait.
std::vector<EngineView> SortByReadiness(const RoutingRequest& request,
                                        std::vector<EngineView> candidates, double memory_share) {
  auto has_room = [&](const EngineView& engine) {
    return engine.free_tokens >= ShareOf(engine, memory_share);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const EngineView& a, const EngineView& b) {
                     if (has_room(a) != has_room(b)) return has_room(a);
                     if (a.long_running != b.long_running) return a.long_running < b.long_running;
                     return a.WaitSeconds(request.priority) < b.WaitSeconds(request.priority);
                   });
  return candidates;
}

}  // namespace

bool NeedsGroup(const RoutingRequest& request, const std::vector<EngineView>& candidates,
                double memory_share) {
  uint64_t needed = request.prompt_tokens + request.max_tokens;
  return std::all_of(candidates.begin(), candidates.end(), [&](const EngineView& engine) {
    return needed > ShareOf(engine, memory_share);
  });
}

std::vector<GroupPiece> PlanGroup(const RoutingRequest& request,
                                  const std::vector<EngineView>& candidates, double memory_share) {
  uint64_t needed = request.prompt_tokens + request.max_tokens;
  uint64_t available = 0;
  std::vector<EngineView> members;
  for (const EngineView& engine : SortByReadiness(request, candidates, memory_share)) {
    if (available >= needed || members.size() == kMaxPieces) break;
    available += ShareOf(engine, memory_share);
    members.push_back(engine);
  }
  if (available < needed) return {};
  std::sort(members.begin(), members.end(),
            [](const EngineView& a, const EngineView& b) { return a.ref < b.ref; });

  // Each engine fills the same fraction of its share.
  double fill = static_cast<double>(needed) / static_cast<double>(available);
  std::vector<GroupPiece> plan;
  uint64_t placed = 0;
  for (size_t i = 0; i < members.size(); ++i) {
    const EngineView& engine = members[i];
    bool is_last = i + 1 == members.size();
    uint64_t share = ShareOf(engine, memory_share);
    auto part = static_cast<uint64_t>(fill * static_cast<double>(share)) + 1;
    part = std::min(part, share);
    uint64_t left = request.prompt_tokens - placed;
    uint64_t prompt_part = is_last ? left : std::min(part, left);
    GroupPiece piece;
    piece.engine = engine.ref;
    piece.prompt_tokens = prompt_part;
    piece.memory_tokens = prompt_part + (is_last ? request.max_tokens : 0);
    piece.prefill_seconds = Seconds(engine.speed, placed, placed + prompt_part);
    placed += prompt_part;
    plan.push_back(piece);
  }
  return plan;
}

}  // namespace gullward

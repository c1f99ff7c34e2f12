// Tests the routing policies and the plans for prompts larger than one engine's memory.

#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>
#include <set>

#include "routing/group_plan.h"
#include "routing/policy.h"

namespace gullward {
namespace {

EngineView Engine(const std::string& box, double backlog_seconds = 0) {
  EngineView view;
  view.ref = {box, 0};
  view.total_tokens = view.free_tokens = 100'000;
  view.backlog_seconds.assign(8, 0);
  view.backlog_seconds[1] = backlog_seconds;
  view.speed = {5e-5, 0};
  return view;
}

RoutingRequest Request(uint64_t tokens, uint32_t priority = 1) {
  RoutingRequest request;
  request.prompt_tokens = tokens;
  request.max_tokens = 100;
  request.priority = priority;
  request.model = "base";
  request.long_tokens = 32'768;
  return request;
}

std::string Chosen(const std::string& policy, const RoutingRequest& request,
                   const std::vector<EngineView>& engines) {
  std::optional<Choice> choice = MakePolicy(policy, 1)(request, engines);
  return choice ? choice->engine.box : "none";
}

BOOST_AUTO_TEST_CASE(TheEstimateCountsBacklogCacheAndSpeed) {
  EngineView busy = Engine("busy", 3);
  EngineView idle = Engine("idle");
  EngineView cached = Engine("cached", 0.2);
  cached.cached_tokens = 9000;
  EngineView slow = Engine("slow");
  slow.speed.seconds_per_token = 5e-4;
  struct Row {
    std::vector<EngineView> engines;
    uint64_t tokens;
    std::string chosen;
  };
  const std::vector<Row> rows = {
      {{busy, idle}, 1000, "idle"},
      {{idle, cached}, 10'000, "cached"},
      {{idle, cached}, 1000, "idle"},
      {{slow, idle}, 1000, "idle"},
      {{slow, busy}, 1000, "slow"},
      {{slow, busy}, 30'000, "busy"},
      {{}, 1000, "none"},
  };
  for (const Row& row : rows) {
    BOOST_TEST(Chosen("estimate", Request(row.tokens), row.engines) == row.chosen);
  }
}

BOOST_AUTO_TEST_CASE(TheEstimateIgnoresBacklogOfLowerPriority) {
  EngineView low = Engine("low");
  low.backlog_seconds[5] = 100;
  EngineView high = Engine("high");
  high.backlog_seconds[0] = 1;
  BOOST_TEST(Chosen("estimate", Request(1000), {low, high}) == "low");
}

BOOST_AUTO_TEST_CASE(BaselinePoliciesChooseAsNamed) {
  EngineView a = Engine("a");
  EngineView b = Engine("b");
  a.outstanding = 2;
  b.outstanding = 1;
  a.cached_tokens = 500;
  BOOST_TEST(Chosen("least_outstanding", Request(1000), {a, b}) == "b");
  BOOST_TEST(Chosen("longest_prefix", Request(1000), {a, b}) == "a");
  Policy round_robin = MakePolicy("round_robin", 1);
  BOOST_TEST(round_robin(Request(1), {a, b})->engine.box == "a");
  BOOST_TEST(round_robin(Request(1), {a, b})->engine.box == "b");
  BOOST_TEST(Chosen("trapezoid", Request(1000), {Engine("busy", 1), Engine("idle")}) == "idle");
}

BOOST_AUTO_TEST_CASE(LongPromptsUseOnlyTheirShareOfEngines) {
  std::vector<EngineView> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(Engine("box-" + std::to_string(i)));
  RoutingRequest request = Request(50'000);
  request.long_share = 0.3;
  std::set<std::string> used;
  for (int i = 0; i < 50; ++i) {
    for (EngineView& engine : engines) engine.backlog_seconds[1] = (i * 7 + engine.ref.box[4]) % 5;
    used.insert(Chosen("estimate", request, engines));
  }
  BOOST_TEST(used.size() == 3u);
}

BOOST_AUTO_TEST_CASE(DisconnectedBoxesAreRemoved) {
  FleetView fleet(1);
  Time start{std::chrono::hours(1)};
  fleet.OnHeartbeat("gone", {}, start);
  fleet.OnHeartbeat("here", {}, start);
  fleet.OnBoxLost("gone");
  fleet.Prune(start + std::chrono::minutes(9));
  BOOST_TEST(fleet.Describe(start).size() == 2u);
  fleet.Prune(start + std::chrono::minutes(11));
  BOOST_TEST(fleet.Describe(start).size() == 1u);
}

// For many prompt sizes: the pieces cover the whole prompt, use each engine once, fit into the
// engines' shares and are few.
BOOST_AUTO_TEST_CASE(GroupPlansCoverThePromptWithFewPieces) {
  for (uint64_t tokens = 60'000; tokens <= 450'000; tokens += 1'234) {
    std::vector<EngineView> engines;
    for (int i = 0; i < 6; ++i) {
      engines.push_back(Engine("box-" + std::to_string(i), i));
      engines.back().total_tokens = engines.back().free_tokens =
          80'000 + 10'000 * static_cast<uint64_t>(i % 3);
    }
    RoutingRequest request = Request(tokens);
    if (!NeedsGroup(request, engines, 0.9)) continue;
    std::vector<GroupPiece> plan = PlanGroup(request, engines, 0.9);
    uint64_t capacity = 0;
    for (const EngineView& engine : engines) capacity += engine.total_tokens * 9 / 10;
    if (tokens + request.max_tokens > capacity) {
      BOOST_TEST(plan.empty());
      continue;
    }
    BOOST_REQUIRE(!plan.empty());
    uint64_t sum = 0;
    std::set<EngineRef> used;
    for (const GroupPiece& piece : plan) {
      sum += piece.prompt_tokens;
      BOOST_TEST(used.insert(piece.engine).second);
      for (const EngineView& engine : engines) {
        if (engine.ref == piece.engine) {
          BOOST_TEST(piece.memory_tokens <= engine.total_tokens * 9 / 10);
        }
      }
    }
    BOOST_TEST(sum == tokens);
    BOOST_TEST(plan.back().memory_tokens >= plan.back().prompt_tokens + request.max_tokens);
    BOOST_TEST(plan.size() <= tokens / 70'000 + 1);
  }
}

}  // namespace
}  // namespace gullward

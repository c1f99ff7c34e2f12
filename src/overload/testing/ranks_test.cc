// Short urgent requests and long less urgent ones compete for engines with too little room.
//
// Tests the weights, who gives way and when, that the last rank is still served, that nothing
// changes where ranks are equal, and that gateways which know no ranks are understood.

#define BOOST_TEST_MODULE ranks
#include "overload/ranks.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "serving/config_index.h"
#include "serving/load_digest.h"
#include "serving/refusal.h"
#include "serving/testing/published_speed.h"
#include "wire/gullward_generated.h"

namespace gullward {
namespace {

constexpr Time kStart = Time(seconds(100));

// Engines with a random load of short streams of ranks 0 to 2, up to `max_streams` on each.
std::vector<Candidate> RandomEngines(std::mt19937_64* random, int max_streams) {
  std::vector<Candidate> engines(2 + (*random)() % 6);
  for (size_t i = 0; i < engines.size(); ++i) {
    Candidate& engine = engines[i];
    engine.engine = std::to_string(i);
    engine.slots = 16;
    engine.same_data_centre = true;
    engine.rank = static_cast<double>(i) / static_cast<double>(engines.size() - 1);
    int streams = static_cast<int>((*random)() % static_cast<uint64_t>(max_streams + 1));
    for (int k = 0; k < streams; ++k) {
      EngineLoad one{1, 1, 6500, 0, 0, {{200, 1, 6500, static_cast<int>((*random)() % 3)}}};
      engine.load = Sum(engine.load, one);
    }
    if ((*random)() % 3 == 0) engine.load.reading_ms = static_cast<double>((*random)() % 1500);
  }
  return engines;
}

Demand DemandOf(double tokens, int rank_steps) {
  bool is_long = tokens > 24'000;
  Demand demand{tokens, 800, is_long ? 3000.0 : 300.0, is_long ? 800.0 : 200.0, false, {}};
  demand.rank_steps = rank_steps;
  demand.last_rank_steps = 2;
  return demand;
}

bool IsRefused(const std::vector<Candidate>& engines, const Demand& demand) {
  return ShouldRefuse(ChooseByRank(engines, PublishedSpeed(), demand), demand);
}

BOOST_AUTO_TEST_CASE(EachRankCountsHalfOfTheOneBefore) {
  const std::vector<std::pair<int, double>> table = {
      {-1, 1}, {0, 1}, {1, 0.5}, {3, 0.125}, {kLastRank, 1.0 / 512}, {40, 1.0 / 512}};
  for (const auto& [steps, weight] : table) BOOST_TEST(RankWeight(steps) == weight);
  for (int steps = 0; steps <= kLastRank; ++steps) BOOST_TEST(RelativeWeight(steps, steps) == 1);
  BOOST_TEST(RelativeWeight(0, 2) == 4);
  BOOST_TEST(RelativeWeight(2, 0) == 0.25);
}

BOOST_AUTO_TEST_CASE(RanksOfAServiceFollowFromTheConfiguration) {
  constexpr int kNone = -1;
  struct Case {
    const char* what;
    std::vector<int> routes;
    std::vector<int> accounts;
    bool is_public;
    // The request is by the last route, and by the last account if there is one.
    std::optional<RequestRank> expected;
    size_t invalid;
  };
  const std::vector<Case> table = {
      {"one route", {3}, {}, false, std::nullopt, 0},
      {"equal routes", {3, 3}, {kNone, kNone}, false, std::nullopt, 0},
      {"routes differ, numbers count", {2, 0, 5}, {}, false, RequestRank{5, 5, 5}, 0},
      {"an account goes before the route", {0, 2}, {kNone, 1}, false, RequestRank{1, 1, 2}, 0},
      {"accounts differ", {4}, {2, 6}, false, RequestRank{6, 4, 4}, 0},
      {"every account is the same", {0, 2}, {1, 1}, false, std::nullopt, 0},
      {"public routes have no account", {4}, {2, 6}, true, std::nullopt, 0},
      {"an invalid route counts as 0", {2, 10}, {}, false, RequestRank{0, 0, 2}, 1},
      {"an invalid account counts as unstated", {2, 2}, {-7, 12}, false, std::nullopt, 2},
  };
  for (const Case& test_case : table) {
    ServingConfig config;
    for (int rank : test_case.routes) {
      Route route;
      route.priority = rank;
      route.is_public = test_case.is_public;
      route.services = {{"models", 1}, {"unused", 0}};
      config.routes.push_back(route);
    }
    for (int rank : test_case.accounts) config.accounts.push_back({"account", {}, rank});
    ConfigIndex index(config);
    const Route& route = index.config().routes.back();
    const auto& accounts = index.config().accounts;
    int account = accounts.empty() || test_case.is_public ? kNone : accounts.back().priority;
    BOOST_TEST_CONTEXT(test_case.what) {
      BOOST_TEST((index.RankOf(route, account, "models") == test_case.expected));
      BOOST_TEST(!index.RankOf(route, account, "unused").has_value());
      BOOST_TEST(index.invalid_ranks().size() == test_case.invalid);
    }
  }
}

// For short and long prompts, at every load, with and without recent losses of the first rank.
BOOST_AUTO_TEST_CASE(AMoreUrgentRequestIsNeverRefusedWhereALessUrgentOneIsNot) {
  std::mt19937_64 random(1);
  int refused_for_rank = 0;
  for (int round = 0; round < 3000; ++round) {
    std::vector<Candidate> engines = RandomEngines(&random, 20);
    double tokens = round % 2 == 0 ? 5000 : 100'000 + static_cast<double>(random() % 700'000);
    RankLosses losses;
    for (uint64_t lost = random() % 10; lost > 0; --lost) losses.NoteAnswered(0, true, kStart);
    bool urgent_refused = false;
    for (int steps = 0; steps <= 2; ++steps) {
      Demand demand = DemandOf(tokens, steps);
      demand.refusal.engine_time_factor = losses.EngineTimeFactor(steps, kStart);
      bool refused = IsRefused(engines, demand);
      BOOST_TEST_REQUIRE((refused || !urgent_refused),
                         "round " << round << ", steps " << steps << ", tokens " << tokens);
      refused_for_rank += refused && !urgent_refused && steps > 0 ? 1 : 0;
      urgent_refused = refused;
    }
  }
  BOOST_TEST(refused_for_rank > 0);
}

BOOST_AUTO_TEST_CASE(NoRequestIsRefusedForItsRankOnHalfIdleEngines) {
  std::mt19937_64 random(2);
  int compared = 0;
  for (int round = 0; round < 2000; ++round) {
    std::vector<Candidate> engines = RandomEngines(&random, 9);
    double tokens = round % 2 == 0 ? 5000 : 100'000 + static_cast<double>(random() % 700'000);
    Demand last = DemandOf(tokens, 2);
    last.refusal.engine_time_factor = 4;
    if (Choose(engines, PublishedSpeed(), last).utilization > 0.5) continue;
    compared += 1;
    BOOST_TEST_REQUIRE(IsRefused(engines, last) == IsRefused(engines, DemandOf(tokens, 0)));
  }
  BOOST_TEST(compared > 100);
}

// Where all streams have the request's rank, every decision is the one without ranks.
BOOST_AUTO_TEST_CASE(EqualRanksChangeNothing) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 500; ++round) {
    std::vector<Candidate> engines = RandomEngines(&random, 20);
    double tokens = round % 2 == 0 ? 5000 : 100'000 + static_cast<double>(random() % 700'000);
    Demand without{tokens, 800, 3000, 800, false, {}};
    Demand equal = without;
    equal.rank_steps = 1;
    equal.last_rank_steps = 2;
    std::vector<Candidate> of_rank = engines;
    for (auto [fleet, steps] : {std::pair(&engines, 0), std::pair(&of_rank, 1)}) {
      for (Candidate& engine : *fleet) {
        for (PauseClass& streams : engine.load.streams) streams.rank_steps = steps;
      }
    }
    Placement expected = Choose(engines, PublishedSpeed(), without);
    BOOST_TEST_REQUIRE((Choose(of_rank, PublishedSpeed(), equal) == expected));
    BOOST_TEST_REQUIRE((ChooseByRank(engines, PublishedSpeed(), without) == expected));
    BOOST_TEST_REQUIRE(ShouldRefuse(expected, equal) == ShouldRefuse(expected, without));
  }
}

BOOST_AUTO_TEST_CASE(EngineTimeIsWorthMoreWhileMoreUrgentRanksLoseRequests) {
  RankLosses losses;
  for (int steps = 0; steps <= kLastRank; ++steps) {
    BOOST_TEST(losses.EngineTimeFactor(steps, kStart) == 1);
  }
  for (int i = 0; i < 9; ++i) losses.NoteAnswered(1, /*late=*/true, kStart);
  // Nine tenths of rank 1 are lost; only less urgent ranks give way, the last one most.
  const std::vector<std::pair<int, double>> table = {{0, 1}, {1, 1}, {2, 1.9}, {3, 3.7}};
  for (const auto& [steps, factor] : table) {
    BOOST_TEST(losses.EngineTimeFactor(steps, kStart) == factor,
               boost::test_tools::tolerance(1e-9));
  }
  // Answers in time, or time alone, end it.
  BOOST_TEST(losses.EngineTimeFactor(2, kStart + seconds(60)) < 1.01);
  for (int i = 0; i < 90; ++i) losses.NoteAnswered(1, /*late=*/false, kStart);
  BOOST_TEST(losses.EngineTimeFactor(2, kStart) < 1.1);
}

BOOST_AUTO_TEST_CASE(ALongPromptGivesWayOnlyWhileMoreUrgentRequestsAreLost) {
  std::vector<Candidate> engines(4);
  for (Candidate& engine : engines) {
    engine.slots = 16;
    engine.load = {12, 12, 78'000, 0, 0, {{kLateStreamPauseMs, 12, 78'000, 0}}};
  }
  Demand demand = DemandOf(250'000, 1);
  BOOST_TEST(!IsRefused(engines, demand));
  demand.refusal.engine_time_factor = 2;
  BOOST_TEST(IsRefused(engines, demand));
}

// Every request of rank 2 is refused unless ranks count as equal.
BOOST_AUTO_TEST_CASE(UnderLastingOverloadSomeRequestsOfTheLastRankAreServed) {
  RankLosses losses;
  Time now = kStart;
  int served = 0;
  for (int i = 0; i < 80; ++i) {
    now += seconds(1);
    losses.NoteRefused(0, now);
    bool decided_as_equal = losses.DecidedSteps(2, now) == 0;
    // A rank in between must not be refused where the last one is served.
    BOOST_TEST((losses.DecidedSteps(1, now) == 0) == decided_as_equal);
    if (decided_as_equal) {
      losses.NoteAdmitted(2);
      served += 1;
    } else {
      losses.NoteRefused(2, now);
    }
  }
  BOOST_TEST(served == 10);
  // Refusals of long ago are no reason.
  for (int i = 0; i < 7; ++i) losses.NoteRefused(2, now);
  BOOST_TEST(losses.DecidedSteps(2, now) == 0);
  BOOST_TEST(losses.DecidedSteps(2, now + RankLosses::kForgetAfter + seconds(1)) == 2);
}

LoadDigest DigestOf(std::vector<PauseClass> streams) {
  LoadDigest digest;
  digest.box = "box";
  digest.loads["engine"] = EngineLoad{3, 3, 18'000, 0, 0, std::move(streams)};
  return digest;
}

BOOST_AUTO_TEST_CASE(RanksOfStreamsAreSentWhereTheyDiffer) {
  LoadDigest ranked = DigestOf({{200, 1, 6000, 0}, {200, 1, 6000, 2}, {800, 1, 6000, 9}});
  BOOST_TEST((DecodeDigest(EncodeDigest(ranked)) == ranked));
  // Without ranks the field is absent, as from a gateway of the version before.
  LoadDigest equal = DigestOf({{200, 3, 18'000}});
  std::string datagram = EncodeDigest(equal);
  const auto* packed = flatbuffers::GetRoot<fb::LoadDigest>(datagram.data());
  BOOST_TEST((packed->engines()->Get(0)->stream_ranks() == nullptr));
  BOOST_TEST((DecodeDigest(datagram) == equal));
}

// A rank that is out of range drops the ranks of the entry and nothing else.
BOOST_AUTO_TEST_CASE(RanksOutOfRangeChangeNothing) {
  LoadDigest ranked = DigestOf({{200, 1, 6000, 1}, {800, 2, 12'000, 77}});
  std::optional<LoadDigest> decoded = DecodeDigest(EncodeDigest(ranked));
  BOOST_TEST((decoded == DigestOf({{200, 1, 6000, 0}, {800, 2, 12'000, 0}})));
}

// Failure: a gateway that was cut off from the store holds an older configuration, in which all
// ranks are equal, and then dies.  Its streams count as the most urgent for as long as its
// reports do, and the other gateway's reports are merged by it without harm.
BOOST_AUTO_TEST_CASE(AGatewayWithAnOlderConfigurationIsUnderstood) {
  LoadTracker older;
  LoadTracker newer;
  older.Begin(1, {{"engine", 6000, 30, true, 200, 0}}, kStart);
  newer.Begin(1, {{"engine", 6000, 30, true, 200, 2}}, kStart);
  auto tell = [](LoadTracker& from, LoadTracker* to, const char* name) {
    LoadDigest digest;
    digest.box = name;
    digest.loads = from.OwnLoads(kStart);
    std::optional<LoadDigest> received = DecodeDigest(EncodeDigest(digest));
    BOOST_REQUIRE(received.has_value());
    to->ApplyPeer(name, 1, 1, received->loads, kStart);
  };
  tell(older, &newer, "older");
  tell(newer, &older, "newer");
  const std::vector<PauseClass> both = {{200, 1, 6000, 0}, {200, 1, 6000, 2}};
  BOOST_TEST((newer.LoadOn("engine", kStart).streams == both));
  BOOST_TEST((older.LoadOn("engine", kStart).streams == both));
  Time after = kStart + LoadTracker::kPeerTimeout + milliseconds(1);
  BOOST_TEST((newer.LoadOn("engine", after).streams == std::vector<PauseClass>{{200, 1, 6000, 2}}));
}

}  // namespace
}  // namespace gullward

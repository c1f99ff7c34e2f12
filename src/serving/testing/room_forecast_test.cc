// The load pattern: a flood of very long prompts, each of which needs many engines, comes in
// waves.  A caller that is refused at the crest is told when there will be room.

#define BOOST_TEST_MODULE room_forecast
#include "serving/room_forecast.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "serving/engine_costs.h"
#include "serving/load_digest.h"
#include "serving/refusal.h"
#include "serving/testing/published_speed.h"

namespace gullward {
namespace {

constexpr Duration kHorizon = seconds(8);

Demand VeryLong(double tokens) {
  Demand demand;
  demand.prompt_tokens = tokens;
  demand.answer_tokens = 800;
  demand.objective_ms = 3000;
  demand.pause_ms = 800;
  return demand;
}

// Engines that run this many streams each and have this much left to read.
std::vector<Candidate> Engines(int count, int streams, double reading_ms) {
  std::vector<Candidate> engines(static_cast<size_t>(count));
  for (size_t i = 0; i < engines.size(); ++i) {
    engines[i].engine = std::to_string(i);
    engines[i].slots = 16;
    engines[i].same_data_centre = true;
    engines[i].load.requests = engines[i].load.writers = streams;
    engines[i].load.context_tokens = 6500.0 * streams;
    if (streams > 0) engines[i].load.streams = {{200, streams, 6500.0 * streams}};
    engines[i].load.reading_ms = reading_ms;
  }
  return engines;
}

// The slow check: asks at every step, from the first on.
std::optional<Duration> FirstRoomByWalking(const std::vector<Candidate>& engines,
                                           const Demand& demand, double promised) {
  for (int step = 0; step <= kForecastSteps; ++step) {
    Duration later = kHorizon * step / kForecastSteps;
    if (HasRoomAfter(engines, PublishedSpeed(), demand, {}, promised, ToSeconds(later) * 1000))
      return later;
  }
  return std::nullopt;
}

BOOST_AUTO_TEST_CASE(LoadsDrainAsEnginesWork) {
  Candidate engine = Engines(1, 8, 1000).front();
  BOOST_TEST((LoadAfter(PublishedSpeed(), engine, 0) == engine.load));
  BOOST_TEST(LoadAfter(PublishedSpeed(), engine, 400).RemainingReadingMs() == 600);
  // An answer takes 1540 steps, so half of the eight end in about 0.86 s.
  EngineLoad half = LoadAfter(PublishedSpeed(), engine, 870);
  BOOST_TEST(half.requests == 4);
  BOOST_TEST(half.writers == 4);
  BOOST_TEST((half.streams == std::vector<PauseClass>{{200, 4, 6500.0 * 4}}));
  EngineLoad end = LoadAfter(PublishedSpeed(), engine, 60'000);
  BOOST_TEST(end.requests == 0);
  BOOST_TEST(end.RemainingReadingMs() == 0);
  BOOST_TEST(end.streams.empty());
  BOOST_TEST(end.context_tokens == 0);
}

BOOST_AUTO_TEST_CASE(TheForecastIsTheFirstTimeWithRoom) {
  struct Row {
    int engines;
    int streams;
    double reading_ms;
    double tokens;
    bool has_room;
  };
  for (const Row& row : std::vector<Row>{{8, 0, 3000, 560'000, true},
                                         {8, 4, 2500, 210'000, true},
                                         {4, 12, 1500, 210'000, true},
                                         {16, 0, 6000, 800'000, true},
                                         // Not read in time, even by an idle engine.
                                         {1, 0, 500, 400'000, false},
                                         // The reading takes longer than the horizon.
                                         {8, 0, 60'000, 210'000, false}}) {
    std::vector<Candidate> engines = Engines(row.engines, row.streams, row.reading_ms);
    Demand demand = VeryLong(row.tokens);
    std::optional<Duration> room = ForecastRoom(engines, PublishedSpeed(), demand, {}, 0, kHorizon);
    BOOST_TEST(room.has_value() == row.has_room, row.engines << " engines, " << row.tokens);
    BOOST_TEST((room == FirstRoomByWalking(engines, demand, 0)), row.tokens);
  }
}

// Halving may pass over a short gap in the room, but what it finds is room, and where there are
// no gaps it is the first.
BOOST_AUTO_TEST_CASE(TheSearchAgreesWithTheWalkOnRandomLoads) {
  std::mt19937_64 random(49);
  auto pick = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  int found = 0;
  for (int run = 0; run < 60; ++run) {
    std::vector<Candidate> engines = Engines(pick(2, 12), 0, 0);
    for (Candidate& engine : engines) {
      engine = Engines(1, pick(0, 20), pick(0, 5000)).front();
    }
    Demand demand = VeryLong(pick(100, 700) * 1000.0);
    double promised = pick(0, 10) / 10.0;
    std::optional<Duration> room =
        ForecastRoom(engines, PublishedSpeed(), demand, {}, promised, kHorizon);
    std::optional<Duration> walked = FirstRoomByWalking(engines, demand, promised);
    if (!room) continue;
    found += 1;
    BOOST_TEST(
        HasRoomAfter(engines, PublishedSpeed(), demand, {}, promised, ToSeconds(*room) * 1000));
    BOOST_TEST((walked && *walked <= *room), run);
    bool has_gap = false;
    for (Duration later = *walked; later < *room; later += kHorizon / kForecastSteps) {
      has_gap |=
          !HasRoomAfter(engines, PublishedSpeed(), demand, {}, promised, ToSeconds(later) * 1000);
    }
    BOOST_TEST((room == walked || has_gap), run);
  }
  BOOST_TEST(found > 20);
}

BOOST_AUTO_TEST_CASE(EachFurtherPromiseIsLater) {
  std::vector<Candidate> engines = Engines(8, 0, 3000);
  Demand demand = VeryLong(560'000);
  BOOST_TEST_REQUIRE(ShouldRefuse(Choose(engines, PublishedSpeed(), demand), demand));
  double promised = 0;
  Duration last{-1};
  for (int caller = 0; caller < 3; ++caller) {
    std::optional<Duration> room =
        ForecastRoom(engines, PublishedSpeed(), demand, {}, promised, seconds(30));
    BOOST_TEST_REQUIRE(room.has_value());
    BOOST_TEST((*room > last));
    last = *room;
    promised += Choose(engines, PublishedSpeed(), demand).engine_seconds / 8;
  }
}

// The rule for a request without any promises, written out.
bool IsRefusedByCost(const Placement& placement, const Demand& demand) {
  double lateness =
      std::clamp((placement.first_event_ms / demand.objective_ms - 0.6) / 0.5, 0., 1.);
  double value = RequestValue(demand.prompt_tokens) * (1 - 0.75 * lateness);
  double cost = placement.cost_to_streams +
                placement.utilization * placement.utilization * 8 * placement.engine_seconds;
  if (cost > (demand.was_refused_before ? 1.2 : 1.0) * value) return true;
  return placement.slot_wait_ms > 0.8 * demand.objective_ms &&
         placement.first_event_ms > demand.objective_ms;
}

BOOST_AUTO_TEST_CASE(WithoutPromisesTheRuleIsAsBefore) {
  std::mt19937_64 random(49);
  auto pick = [&](double high) { return std::uniform_real_distribution<double>(0, high)(random); };
  int refused = 0;
  for (int run = 0; run < 2000; ++run) {
    Demand demand = VeryLong(pick(700'000));
    demand.was_refused_before = run % 2 == 0;
    // Known in any case, and without effect on a caller without a promise.
    demand.refusal.time_left_ms = pick(3000);
    Placement placement;
    placement.first_event_ms = pick(6000);
    placement.slot_wait_ms = pick(placement.first_event_ms);
    placement.cost_to_streams = pick(30);
    placement.utilization = pick(1);
    placement.engine_seconds = EngineSeconds(PublishedSpeed(), demand);
    bool is_refused = ShouldRefuse(placement, demand);
    BOOST_TEST(is_refused == IsRefusedByCost(placement, demand));
    refused += is_refused ? 1 : 0;
  }
  BOOST_TEST(refused > 500);
  BOOST_TEST(refused < 1900);
}

BOOST_AUTO_TEST_CASE(NewcomersSeeWhatIsKeptAsUsedAndTheCallerDoesNot) {
  Demand demand = VeryLong(210'000);
  std::vector<Candidate> engines = Engines(8, 0, 400);
  Placement placement = Choose(engines, PublishedSpeed(), demand);
  BOOST_TEST(!ShouldRefuse(placement, demand));
  demand.refusal.reserved_seconds_per_engine = 5;
  BOOST_TEST(ShouldRefuse(placement, demand));
  demand.refusal.is_promised = true;
  BOOST_TEST(!ShouldRefuse(placement, demand));
  demand.refusal.time_left_ms = placement.first_event_ms - 1;
  BOOST_TEST(ShouldRefuse(placement, demand));
  demand.refusal.time_left_ms = placement.first_event_ms + 1;
  BOOST_TEST(!ShouldRefuse(placement, demand));
}

// A caller that returns on time may cost others twice its value, not more.
BOOST_AUTO_TEST_CASE(APromiseIsNoRightToAnyHarm) {
  Demand demand = VeryLong(210'000);
  Placement placement;
  placement.first_event_ms = 1000;
  double value = RequestValue(demand.prompt_tokens);
  demand.refusal.is_promised = true;
  placement.cost_to_streams = 1.9 * value;
  BOOST_TEST(!ShouldRefuse(placement, demand));
  placement.cost_to_streams = 2.1 * value;
  BOOST_TEST(ShouldRefuse(placement, demand));
}

BOOST_AUTO_TEST_CASE(PromisesDecodeAsEncodedAndWildOnesAreDropped) {
  LoadDigest digest;
  digest.box = "box-1";
  std::string before = EncodeDigest(digest);
  BOOST_TEST(DecodeDigest(before)->return_promises.empty());
  digest.return_promises = {{7, "models", 2, milliseconds(1234), 3.5, false},
                            {8, "models", 255, milliseconds(-40), 0, true}};
  std::optional<LoadDigest> read = DecodeDigest(EncodeDigest(digest));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == digest));
  LoadDigest wild = digest;
  wild.return_promises.push_back({9, "models", 0, seconds(121), 1, false});
  wild.return_promises.push_back({10, "models", 0, Duration::max(), 1, false});
  wild.return_promises.push_back({11, "models", 0, seconds(1), std::nan(""), false});
  wild.return_promises.push_back({12, "models", 0, seconds(1), -1, false});
  wild.return_promises.push_back({13, "", 0, seconds(1), 1, false});
  read = DecodeDigest(EncodeDigest(wild));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == digest));
}

}  // namespace
}  // namespace gullward

// Tests that short requests are packed, that very long prompts are read away from streams, and that
// memory is not assigned twice.

#define BOOST_TEST_MODULE placement
#include "serving/placement.h"

#include <boost/test/unit_test.hpp>

#include "serving/refusal.h"
#include "serving/testing/published_speed.h"

namespace gullward {
namespace {

std::vector<Candidate> Engines(int count) {
  std::vector<Candidate> engines;
  for (int i = 0; i < count; ++i) {
    Candidate engine;
    engine.engine = std::to_string(i);
    engine.slots = 16;
    engine.same_data_centre = true;
    engine.rank = count > 1 ? static_cast<double>(i) / (count - 1) : 0;
    engines.push_back(engine);
  }
  return engines;
}

void AddStreams(Candidate* engine, int count) {
  engine->load.requests += count;
  engine->load.writers += count;
  engine->load.context_tokens += 6500.0 * count;
  engine->load.streams = {{200, count, 6500.0 * count}};
}

Demand Short() { return {5000, 1600, 300, 200, false, std::nullopt}; }
Demand VeryLong(double tokens) { return {tokens, 800, 3000, 800, false, std::nullopt}; }

// In measurements of single prompts on idle engines, two engines read 207,491 tokens in 1,452 ms,
// and one engine read 148,422 tokens in 1,663 ms.
BOOST_AUTO_TEST_CASE(ReadingTimeMatchesMeasurements) {
  EngineSpeed speed = PublishedSpeed();
  BOOST_TEST(ReadingMs(speed, 148'422) + 46 * 0.925 == 1663, boost::test_tools::tolerance(0.03));
  BOOST_TEST(ReadingMs(speed, 207'491) / 2 + 46 * 0.925 == 1452,
             boost::test_tools::tolerance(0.03));
}

BOOST_AUTO_TEST_CASE(ShortRequestsArePackedOnOneEngineUntilItIsNearlyFull) {
  std::vector<Candidate> engines = Engines(6);
  for (int i = 0; i < 12; ++i) {
    Placement placement = Choose(engines, PublishedSpeed(), Short());
    BOOST_TEST(placement.engines.size() == 1u);
    BOOST_TEST(placement.engines.front() == 0u);
    AddStreams(&engines[0], 1);
  }
  AddStreams(&engines[0], 4);
  BOOST_TEST(Choose(engines, PublishedSpeed(), Short()).engines.front() == 1u);
}

BOOST_AUTO_TEST_CASE(VeryLongPromptsAreReadAwayFromStreams) {
  std::vector<Candidate> engines = Engines(8);
  AddStreams(&engines[0], 10);
  AddStreams(&engines[1], 10);
  Placement placement = Choose(engines, PublishedSpeed(), VeryLong(210'000));
  BOOST_TEST(placement.engines.size() > 1u);
  for (size_t engine : placement.engines) BOOST_TEST(engine > 1u);
  BOOST_TEST(placement.first_event_ms < 3000);
}

// Two engines each write the answer to a very long prompt.  The next such prompt runs on one of
// them and is read by engines that have no streams.  By the cost alone it would run on the last
// engine of the order.
BOOST_AUTO_TEST_CASE(StreamsAreGatheredAndReadersHaveNone) {
  std::vector<Candidate> engines = Engines(8);
  for (size_t writes : {2u, 5u}) {
    engines[writes].load.requests = engines[writes].load.writers = 1;
    engines[writes].load.context_tokens = 150'000;
    engines[writes].load.streams = {{800, 1, 150'000}};
  }
  PlacementOptions by_cost;
  by_cost.gather_streams = false;
  Demand prompt = VeryLong(110'000);
  BOOST_TEST(Choose(engines, PublishedSpeed(), prompt, by_cost).engines.front() == 7u);
  Placement placement = Choose(engines, PublishedSpeed(), prompt);
  BOOST_TEST(placement.engines.front() == 5u);
  BOOST_TEST_REQUIRE(placement.engines.size() > 1u);
  BOOST_TEST_REQUIRE(placement.engines.size() < 7u);
  for (size_t i = 1; i < placement.engines.size(); ++i) BOOST_TEST(placement.engines[i] != 2u);
}

BOOST_AUTO_TEST_CASE(AVeryLongPromptMayQueueBehindAnotherInsteadOfPausingStreams) {
  std::vector<Candidate> engines = Engines(2);
  AddStreams(&engines[0], 12);
  engines[1].load.requests = 1;
  engines[1].load.reading_ms = 2500;
  Placement placement = Choose(engines, PublishedSpeed(), VeryLong(400'000));
  BOOST_TEST(placement.engines.size() == 1u);
  BOOST_TEST(placement.engines.front() == 1u);
}

BOOST_AUTO_TEST_CASE(MemoryIsSpreadOverReadersAndNotAssignedTwice) {
  std::vector<Candidate> engines = Engines(4);
  Placement placement = Choose(engines, PublishedSpeed(), VeryLong(900'000));
  BOOST_TEST(placement.spreads_memory);
  double total = placement.memory_tokens * static_cast<double>(placement.engines.size());
  BOOST_TEST(total >= 900'800);
  BOOST_TEST(placement.memory_tokens <= 450'000);
  // One engine alone has too little memory.
  BOOST_TEST(Choose(Engines(1), PublishedSpeed(), VeryLong(900'000)).engines.empty());
  // An engine whose memory is in use is avoided.
  engines[3].load.context_tokens = 440'000;
  Placement other = Choose(engines, PublishedSpeed(), VeryLong(250'000));
  BOOST_TEST(other.engines.front() != 3u);
}

BOOST_AUTO_TEST_CASE(WithoutSpreadingAPromptIsReadByOneEngine) {
  std::vector<Candidate> engines = Engines(4);
  BOOST_TEST(Choose(engines, PublishedSpeed(), VeryLong(250'000)).engines.size() > 1u);
  PlacementOptions alone;
  alone.spread_reading = false;
  BOOST_TEST(Choose(engines, PublishedSpeed(), VeryLong(250'000), alone).engines.size() == 1u);
  // A prompt that exceeds the memory of one engine finds no engine.
  BOOST_TEST(Choose(engines, PublishedSpeed(), VeryLong(900'000), alone).engines.empty());
}

BOOST_AUTO_TEST_CASE(AFailingEngineIsAvoided) {
  std::vector<Candidate> engines = Engines(3);
  engines[0].failure_rate = 0.6;
  BOOST_TEST(Choose(engines, PublishedSpeed(), Short()).engines.front() != 0u);
  BOOST_TEST(ChooseLeastLoaded(engines).engines.front() != 0u);
}

BOOST_AUTO_TEST_CASE(ShortRequestsAreRefusedOnlyIfAllSlotsAreInUse) {
  std::vector<Candidate> engines = Engines(3);
  for (Candidate& engine : engines) AddStreams(&engine, 15);
  BOOST_TEST(!ShouldRefuse(Choose(engines, PublishedSpeed(), Short()), Short()));
  for (Candidate& engine : engines) AddStreams(&engine, 10);
  BOOST_TEST(ShouldRefuse(Choose(engines, PublishedSpeed(), Short()), Short()));
}

BOOST_AUTO_TEST_CASE(AVeryLongPromptIsRefusedIfItsCostToOthersExceedsItsValue) {
  std::vector<Candidate> busy = Engines(3);
  for (Candidate& engine : busy) AddStreams(&engine, 12);
  Demand first = VeryLong(560'000);
  BOOST_TEST(ShouldRefuse(Choose(busy, PublishedSpeed(), first), first));
  // Idle engines never cause a refusal, even if the answer is late.
  for (int count : {2, 4, 12}) {
    std::vector<Candidate> idle = Engines(count);
    BOOST_TEST(!ShouldRefuse(Choose(idle, PublishedSpeed(), first), first));
  }
}

BOOST_AUTO_TEST_CASE(PlainServicesUseTheLeastLoadedEngineForItsSlots) {
  std::vector<Candidate> engines = Engines(3);
  engines[0].load.requests = 2;
  engines[1].load.requests = 1;
  engines[2].load.requests = 3;
  engines[2].slots = 64;
  BOOST_TEST(ChooseLeastLoaded(engines).engines.front() == 2u);
  BOOST_TEST(ChooseLeastLoaded({}).engines.empty());
}

}  // namespace
}  // namespace gullward

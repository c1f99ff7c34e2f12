// Load pattern: a few of the engines are four times slower than published, in a flood of short
// prompts and then of very long ones.  Also what becomes of paces when engines restart and when
// peers report nonsense.

#define BOOST_TEST_MODULE slow_engine
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <set>

#include "serving/fleet.h"
#include "serving/load_digest.h"
#include "serving/testing/published_speed.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr double kSlowPace = 4;

const Service kPool{"pool", "/healthz", 100, true, PublishedSpeed()};

Demand Short() { return {5000, 1600, 300, 200, false, std::nullopt}; }
Demand VeryLong(double tokens) { return {tokens, 800, 3000, 800, false, std::nullopt}; }

std::vector<Candidate> Engines(size_t count, const std::set<size_t>& slow) {
  std::vector<Candidate> engines(count);
  for (size_t i = 0; i < count; ++i) {
    engines[i].slots = 16;
    engines[i].same_data_centre = true;
    engines[i].rank = static_cast<double>(i) / static_cast<double>(count - 1);
    engines[i].pace = slow.count(i) != 0 ? kSlowPace : 1;
  }
  return engines;
}

void AddStream(Candidate* engine) {
  engine->load.requests += 1;
  engine->load.writers += 1;
  engine->load.context_tokens += 6500;
  int streams = engine->load.requests;
  engine->load.streams = {{200, streams, 6500.0 * streams}};
}

BOOST_AUTO_TEST_CASE(ShortPromptsGoAroundSlowEnginesAndVeryLongOnesAreReadByQuickOnes) {
  const std::set<size_t> slow = {0, 1, 6, 17};
  std::vector<Candidate> engines = Engines(18, slow);
  for (int i = 0; i < 60; ++i) {
    size_t chosen = Choose(engines, PublishedSpeed(), Short()).engines.front();
    BOOST_TEST(slow.count(chosen) == 0u);
    AddStream(&engines[chosen]);
  }
  for (double tokens : {110'000.0, 210'000.0, 400'000.0}) {
    Placement placement = Choose(engines, PublishedSpeed(), VeryLong(tokens));
    BOOST_REQUIRE(!placement.engines.empty());
    for (size_t engine : placement.engines) BOOST_TEST(slow.count(engine) == 0u);
  }
}

// A reader delays the whole prompt, so its own time for its part counts.  The memory of this prompt
// needs both engines.
BOOST_AUTO_TEST_CASE(ThePartOfASlowReaderDeterminesTheFirstEvent) {
  Demand prompt = VeryLong(800'000);
  Placement quick = Choose(Engines(2, {}), PublishedSpeed(), prompt);
  Placement mixed = Choose(Engines(2, {0}), PublishedSpeed(), prompt);
  BOOST_REQUIRE(quick.engines.size() == 2u);
  BOOST_REQUIRE(mixed.engines.size() == 2u);
  BOOST_TEST(mixed.part_reading_ms == quick.part_reading_ms);
  BOOST_TEST(mixed.first_event_ms == kSlowPace * quick.first_event_ms);
}

BOOST_AUTO_TEST_CASE(SlowEnginesAreUsedWhereNoOthersAreLeft) {
  std::vector<Candidate> engines = Engines(3, {0, 1, 2});
  BOOST_TEST(!Choose(engines, PublishedSpeed(), Short()).engines.empty());
  Placement placement = Choose(engines, PublishedSpeed(), VeryLong(210'000));
  BOOST_TEST(!placement.engines.empty());
  double at_least_ms = kSlowPace * placement.part_reading_ms;
  BOOST_TEST(placement.first_event_ms > at_least_ms);
}

// Once the quick engines are full, a slow one serves better than a wait for a slot.
BOOST_AUTO_TEST_CASE(ASlowEngineIsUsedWhenTheQuickOnesAreFull) {
  std::vector<Candidate> engines = Engines(3, {1});
  for (int i = 0; i < 16; ++i) {
    AddStream(&engines[0]);
    AddStream(&engines[2]);
  }
  BOOST_TEST(Choose(engines, PublishedSpeed(), Short()).engines.front() == 1u);
}

EngineRecord Engine(int number, int64_t started = 5) {
  return {"e-" + std::to_string(number), "pool", {"10.0.0.1", 80}, "hall-1", 16, false, started};
}

Fleet NewFleet(bool engine_pace) {
  Mechanisms mechanisms;
  mechanisms.engine_pace = engine_pace;
  Fleet fleet(RetryBounds{}, "box-1", "hall-1", mechanisms);
  for (int i = 0; i < 6; ++i) fleet.directory().Update(Engine(i));
  return fleet;
}

// A stream whose events come `pace` times slower than published.
void Stream(Fleet* fleet, const std::string& engine, double pace, Time from) {
  fleet->loads().Begin(1, {{engine, 5000, 20, true, 200}}, from);
  fleet->loads().MarkFirstEvent(1);
  GapSpan span;
  for (int i = 0; i < 12; ++i) {
    Time at = from + FromSeconds(0.043 * pace * i);
    fleet->NoteEvents(*fleet->directory().FindIncarnation(engine), PublishedSpeed(), 1, &span, at);
  }
  fleet->loads().End(1);
}

BOOST_AUTO_TEST_CASE(ASlowStreamMovesTheNextShortPromptsElsewhere) {
  Fleet fleet = NewFleet(/*engine_pace=*/true);
  std::string first = fleet.Choose(kPool, Short(), {}, kStart)->engine.Incarnation();
  Stream(&fleet, first, kSlowPace, kStart);
  Time now = kStart + seconds(2);
  BOOST_TEST(fleet.paces().PaceOf(first, now) > 3.5);
  BOOST_TEST(fleet.Choose(kPool, Short(), {}, now)->engine.Incarnation() != first);
  Stream(&fleet, first, 1, now);
  BOOST_TEST(fleet.paces().PaceOf(first, now + seconds(1)) < 1.05);
}

// Other work explains the first event if there was any; readers' parts are not told apart.
BOOST_AUTO_TEST_CASE(AFirstEventCountsOnlyIfTheEngineWasIdle) {
  for (bool is_idle : {true, false}) {
    Fleet fleet = NewFleet(true);
    for (int i = 0; i < 3; ++i) {
      FleetChoice choice = *fleet.Choose(kPool, Short(), {}, kStart);
      choice.load.requests = is_idle ? 0 : 1;
      Time sent = kStart + i * milliseconds(500);
      fleet.NoteFirstEvent(choice, PublishedSpeed(), sent, sent + milliseconds(450));
    }
    BOOST_TEST(fleet.paces().slow(kStart + seconds(2)) == (is_idle ? 1u : 0u));
  }
}

BOOST_AUTO_TEST_CASE(WithTheMechanismOffChoicesAreAsWithoutPaces) {
  Fleet off = NewFleet(false);
  Fleet unknown = NewFleet(true);
  std::mt19937_64 random(7);
  for (uint64_t work = 10; work < 200; ++work) {
    Time now = kStart + milliseconds(50 * work);
    std::string some = Engine(static_cast<int>(random() % 6)).Incarnation();
    Stream(&off, some, kSlowPace, now);
    off.ReceivePaces("box-2", {{some, {kSlowPace, {}}}}, now);
    BOOST_TEST(off.paces().size() == 0u);
    double tokens = std::uniform_real_distribution<double>(1000, 300'000)(random);
    Demand demand = random() % 3 == 0 ? VeryLong(tokens) : Short();
    std::optional<FleetChoice> one = off.Choose(kPool, demand, {}, now);
    std::optional<FleetChoice> other = unknown.Choose(kPool, demand, {}, now);
    BOOST_REQUIRE(one.has_value() == other.has_value());
    if (!one) continue;
    BOOST_TEST((one->engine == other->engine && one->readers == other->readers));
    BOOST_TEST((one->placement == other->placement));
    WorkPart part{one->engine.Incarnation(), 5000, one->placement.part_reading_ms, true, 200};
    bool is_read = random() % 2 == 0;
    for (Fleet* fleet : {&off, &unknown}) {
      fleet->loads().Begin(work, {part}, now);
      if (is_read) fleet->loads().MarkFirstEvent(work);
      if (work > 40) fleet->loads().End(work - 30);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnEngineThatStartsAgainBeginsAtThePublishedSpeed) {
  Fleet fleet = NewFleet(true);
  std::string before = Engine(0).Incarnation();
  Stream(&fleet, before, kSlowPace, kStart);
  Time now = kStart + seconds(2);
  BOOST_TEST(fleet.paces().PaceOf(before, now) > 3);
  fleet.directory().Update(Engine(0, /*started=*/9));
  std::string after = Engine(0, 9).Incarnation();
  BOOST_TEST(fleet.paces().PaceOf(after, now) == 1);
  fleet.ForgetUnlisted(now);
  BOOST_TEST(fleet.paces().size() == 0u);
  // A late report on the earlier incarnation is not taken up either.
  fleet.ReceivePaces("box-2", {{before, {kSlowPace, {}}}}, now);
  BOOST_TEST(fleet.paces().size() == 0u);
}

BOOST_AUTO_TEST_CASE(PacesDecodeAsEncodedAndInvalidOnesAreDropped) {
  LoadDigest digest;
  digest.box = "box-1";
  BOOST_TEST((*DecodeDigest(EncodeDigest(digest)) == digest));
  digest.paces = {{"i-1", {1, milliseconds(40)}}, {"i-2", {kMaxPace, std::chrono::hours(24)}}};
  LoadDigest wild = digest;
  wild.paces["i-3"] = {std::nan(""), {}};
  wild.paces["i-4"] = {kMaxPace + 1, {}};
  wild.paces["i-5"] = {0.5, {}};
  wild.paces["i-6"] = {4, std::chrono::hours(25)};
  wild.paces["i-7"] = {4, seconds(-1)};
  wild.paces["i-8"] = {-HUGE_VAL, {}};
  BOOST_TEST((*DecodeDigest(EncodeDigest(digest)) == digest));
  BOOST_TEST((*DecodeDigest(EncodeDigest(wild)) == digest));
}

}  // namespace
}  // namespace gullward

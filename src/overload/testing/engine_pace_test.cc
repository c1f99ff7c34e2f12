// Load pattern: some engines of a service become several times slower for seconds, while floods of
// short prompts and very long prompts take turns.  The paces are learned from the times of events
// as callers' streams receive them, with the network's irregularities.

#define BOOST_TEST_MODULE engine_pace
#include "overload/engine_pace.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr char kEngine[] = "i-7@1764720000123";
constexpr double kPassMs = 40;

Time At(double ms) { return kStart + Duration(std::llround(ms * 1000)); }

std::vector<double> Repeat(int count, const std::vector<double>& gaps) {
  std::vector<double> all;
  for (int i = 0; i < count; ++i) all.insert(all.end(), gaps.begin(), gaps.end());
  return all;
}

std::vector<double> operator+(std::vector<double> left, const std::vector<double>& right) {
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

// Plays one stream's gaps between events, in milliseconds, and returns the time of the last event.
double Play(EnginePaces* paces, const std::vector<double>& gaps, double from_ms = 0,
            double reading_ms = 0) {
  GapSpan span;
  double at_ms = from_ms;
  span.Add({At(at_ms), 1, kPassMs, 0, reading_ms});
  for (double gap : gaps) {
    at_ms += gap;
    std::optional<PaceObservation> seen = span.Add({At(at_ms), 1, kPassMs, 0, reading_ms});
    if (seen) paces->Observe(kEngine, *seen);
  }
  return at_ms;
}

// Three observations of an engine of this pace, the last of which ends at `end_ms`.
void MakeSlow(EnginePaces* paces, double pace, double end_ms, const std::string& engine = kEngine) {
  for (int i = 3; i > 0; --i) {
    paces->Observe(engine, {At(end_ms - 100 * i), At(end_ms - 100 * (i - 1)), pace, pace});
  }
}

BOOST_AUTO_TEST_CASE(ThePaceFollowsFromSequencesOfGaps) {
  struct Row {
    const char* name;
    std::vector<double> gaps;
    double reading_ms;
    double pace;
  };
  const Row table[] = {
      {"steady", Repeat(30, {40}), 0, 1},
      {"steady, with jitter", Repeat(10, {43, 35, 48, 36}), 0, 1},
      {"quicker than published", Repeat(30, {20}), 0, 1},
      {"one outlier", Repeat(10, {40}) + std::vector<double>{900} + Repeat(3, {40}), 0, 1},
      {"one outlier at the end", Repeat(11, {40}) + std::vector<double>{900}, 0, 1},
      {"two long spans at the end", Repeat(10, {40}) + Repeat(4, {160}), 0, 1},
      {"three long spans", Repeat(10, {40}) + Repeat(6, {160}), 0, 4},
      {"slow for 12 s", Repeat(75, {160}), 0, 4},
      {"slow for 12 s, with jitter", Repeat(25, {150, 175, 160}), 0, 3.9},
      {"slow for 12 s, then quick again", Repeat(75, {160}) + Repeat(5, {40}), 0, 1},
      {"slower than the bound", Repeat(30, {1000}), 0, kMaxPace},
      {"bunched in pairs by the network", Repeat(15, {80, 0}), 0, 1},
      {"bunched in threes by the network", Repeat(10, {120, 0, 0}), 0, 1},
      {"long gaps that a long prompt's reading explains", Repeat(15, {160}), 1500, 1},
      {"longer than short prompts explain", Repeat(16, {200}), 20, 400.0 / (2 * 40 + 3 * 20)},
  };
  for (const Row& row : table) {
    EnginePaces paces;
    double end_ms = Play(&paces, row.gaps, 0, row.reading_ms);
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(paces.PaceOf(kEngine, At(end_ms)) == row.pace, boost::test_tools::tolerance(0.05));
    }
  }
}

BOOST_AUTO_TEST_CASE(ManyStreamsInOneLongPassAreOneObservation) {
  EnginePaces paces;
  for (double offset_ms : {0.0, 0.3, 0.5, 0.9, 1.1}) {
    paces.Observe(kEngine, {At(offset_ms), At(800 + offset_ms), 10, 10});
  }
  BOOST_TEST(paces.PaceOf(kEngine, At(802)) == 1);
}

BOOST_AUTO_TEST_CASE(ObservationsFarApartAreNotInARow) {
  EnginePaces paces;
  for (int i = 0; i < 10; ++i) {
    double end_ms = 1000 + 3000.0 * i;
    paces.Observe(kEngine, {At(end_ms - 200), At(end_ms), 4, 4});
  }
  BOOST_TEST(paces.PaceOf(kEngine, At(28'000)) == 1);
}

BOOST_AUTO_TEST_CASE(AReadingProvesNothingAboutASlowEngineEither) {
  EnginePaces paces;
  MakeSlow(&paces, 4, 1000);
  paces.Observe(kEngine, {At(1000), At(1400), 0.2, 9});
  BOOST_TEST(paces.PaceOf(kEngine, At(1400)) > 3.5);
}

BOOST_AUTO_TEST_CASE(ThePaceDecaysWithoutObservations) {
  EnginePaces paces;
  MakeSlow(&paces, 5, 1000);
  BOOST_TEST(paces.PaceOf(kEngine, At(1000)) == 5);
  BOOST_TEST(paces.PaceOf(kEngine, At(4000)) == 3, boost::test_tools::tolerance(0.01));
  BOOST_TEST(paces.PaceOf(kEngine, At(13'000)) < EnginePaces::kSlow);
  paces.Forget({kEngine}, At(32'000));
  BOOST_TEST(paces.size() == 0u);
}

BOOST_AUTO_TEST_CASE(AFirstEventBoundsThePaceOnBothSides) {
  std::optional<PaceObservation> seen = FirstEventObservation(At(0), At(250), 50);
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST(seen->at_least == 4);
  BOOST_TEST(seen->at_most == 5);
  BOOST_TEST(!FirstEventObservation(At(0), At(250), 0).has_value());
  BOOST_TEST(!FirstEventObservation(At(250), At(250), 50).has_value());
}

// A single reporter may have a slow link; the lower median of several ignores it.
BOOST_AUTO_TEST_CASE(ReportsOfPeersCountLessThanOwnObservations) {
  struct Row {
    const char* name;
    std::vector<double> told;
    double own;
    double pace;
  };
  const Row table[] = {
      {"none", {}, 0, 1},
      {"one peer", {4}, 0, 2.5},
      {"two peers, one of them wild", {8, 1.5}, 0, 1.5},
      {"three peers", {4, 8, 4.4}, 0, 4.4},
      {"one peer, and quick by recent observations", {8}, 1, 1},
      {"one peer, and slower by recent observations", {4}, 6, 6},
      {"faster than published", {0.5}, 0, 1},
      {"beyond the bound", {1e9}, 0, 1},
      {"not a number", {std::nan("")}, 0, 1},
      {"infinite", {std::numeric_limits<double>::infinity()}, 0, 1},
  };
  for (const Row& row : table) {
    EnginePaces paces;
    if (row.own > 0) MakeSlow(&paces, row.own, 1000);
    for (size_t i = 0; i < row.told.size(); ++i) {
      paces.ReceiveReport(kEngine, "box-" + std::to_string(i), {row.told[i], {}}, At(1000));
    }
    BOOST_TEST_CONTEXT(row.name) BOOST_TEST(paces.PaceOf(kEngine, At(1000)) == row.pace);
  }
}

BOOST_AUTO_TEST_CASE(OutdatedAndInvalidReportsChangeNothing) {
  EnginePaces paces;
  paces.ReceiveReport(kEngine, "box-1", {4, milliseconds(0)}, At(10'000));
  double told = paces.PaceOf(kEngine, At(10'000));
  // Sent earlier, received later.
  paces.ReceiveReport(kEngine, "box-1", {8, seconds(1)}, At(10'000));
  paces.ReceiveReport(kEngine, "box-1", {8, seconds(-1)}, At(10'000));
  paces.ReceiveReport(kEngine, "box-1", {8, std::chrono::hours(30)}, At(10'000));
  BOOST_TEST(paces.PaceOf(kEngine, At(10'000)) == told);
  paces.ReceiveReport(kEngine, "box-1", {1, milliseconds(0)}, At(10'100));
  BOOST_TEST(paces.PaceOf(kEngine, At(10'100)) == 1);
}

BOOST_AUTO_TEST_CASE(SlowEnginesAreReportedAndOnceMoreWhenTheyAreQuick) {
  EnginePaces paces;
  Play(&paces, Repeat(10, {40}), 0);
  BOOST_TEST(paces.ReportsToSend(/*all=*/true, At(400)).empty());
  double slow_ms = Play(&paces, Repeat(10, {160}), 400);
  BOOST_TEST(paces.ReportsToSend(false, At(slow_ms))[kEngine].pace == 4);
  BOOST_TEST(paces.ReportsToSend(false, At(slow_ms)).empty());
  BOOST_TEST(
      (paces.ReportsToSend(true, At(slow_ms + 50))[kEngine] == PaceReport{4, milliseconds(50)}));
  double quick_ms = Play(&paces, Repeat(4, {40}), slow_ms);
  BOOST_TEST(paces.ReportsToSend(false, At(quick_ms))[kEngine].pace == 1);
  BOOST_TEST(paces.ReportsToSend(true, At(quick_ms)).empty());
}

BOOST_AUTO_TEST_CASE(StepsAreLoggedWithTheirSourceAndAtABoundedRate) {
  EnginePaces paces;
  MakeSlow(&paces, 4, 1000);
  std::vector<PaceChange> changes = paces.TakeChanges(At(1000));
  BOOST_REQUIRE(changes.size() == 1u);
  BOOST_TEST((changes[0] == PaceChange{kEngine, 4, 3, ""}));
  BOOST_TEST(paces.TakeChanges(At(1000)).empty());
  Play(&paces, Repeat(4, {40}), 1000);
  BOOST_TEST(paces.TakeChanges(At(1200)).empty());
  BOOST_TEST(paces.TakeChanges(At(2000)).size() == 1u);
  paces.ReceiveReport("i-8@1", "box-1", {4, {}}, At(2000));
  changes = paces.TakeChanges(At(2000));
  BOOST_REQUIRE(changes.size() == 1u);
  BOOST_TEST((changes[0] == PaceChange{"i-8@1", 2.5, 0, "box-1"}));
  BOOST_TEST(paces.slow(At(2000)) == 1u);
  BOOST_TEST(paces.highest(At(2000)) == 2.5);
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  EnginePaces paces;
  for (size_t i = 0; i < EnginePaces::kMaxEngines + 100; ++i) {
    MakeSlow(&paces, 2, 1000, "e-" + std::to_string(i));
  }
  BOOST_TEST(paces.size() == EnginePaces::kMaxEngines);
  BOOST_TEST(paces.TakeChanges(At(1000)).size() == EnginePaces::kMaxChanges);
}

}  // namespace
}  // namespace gullward

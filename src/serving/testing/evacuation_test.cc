// Tests that no request goes to the engines of an evacuated data centre, and that all gateways
// together keep to the rate that a cold engine bears.  Runs without sockets.

#define BOOST_TEST_MODULE evacuation
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/evacuations.h"
#include "serving/fleet.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
const Service kPool{"pool", "/healthz", 100, true, {}, /*cold_per_s=*/26};
constexpr size_t kFleetSizes[] = {1, 2, 5, 30, 300};
const std::set<std::string> kNone;

EngineRecord Engine(size_t number, const std::string& data_centre) {
  return {absl::StrCat("e-", number), "pool", {"10.0.0.1", 80}, data_centre, 16, false, 0};
}

// A gateway's fleet that knows these engines and this many gateways.
std::unique_ptr<Fleet> NewFleet(size_t number, size_t gateways,
                                const std::vector<EngineRecord>& engines,
                                const Mechanisms& mechanisms = {}) {
  auto fleet = std::make_unique<Fleet>(RetryBounds{}, absl::StrCat("box-", number), "hall-0",
                                       mechanisms, kStart);
  std::vector<GatewayName> others;
  for (size_t i = 0; i < gateways; ++i) {
    if (i != number) others.push_back({absl::StrCat("box-", i), "hall-0"});
  }
  fleet->SetGateways(others);
  fleet->directory().Replace(engines, kStart, kStart);
  fleet->SetColdRates({{"pool", kPool.cold_per_s}});
  return fleet;
}

std::optional<FleetChoice> Choose(Fleet* fleet, Time now) {
  Demand demand;
  demand.prompt_tokens = 1000;
  demand.answer_tokens = 80;
  return fleet->Choose(kPool, demand, kNone, now);
}

// Engines in turn in this many data centres.
std::vector<EngineRecord> Engines(size_t count, size_t data_centres) {
  std::vector<EngineRecord> engines;
  for (size_t i = 0; i < count; ++i) {
    engines.push_back(Engine(i, absl::StrCat("hall-", i % data_centres)));
  }
  return engines;
}

BOOST_AUTO_TEST_CASE(NoChoiceFallsOnAnEvacuatedDataCentre) {
  for (size_t gateways : kFleetSizes) {
    std::vector<EngineRecord> engines = Engines(std::max<size_t>(6, 2 * gateways), 3);
    for (size_t number = 0; number < std::min<size_t>(gateways, 10); ++number) {
      auto fleet = NewFleet(number, gateways, engines);
      fleet->directory().SetEvacuated({"hall-1"});
      std::set<std::string> tried;
      for (size_t i = 0; i < 20; ++i) {
        std::optional<FleetChoice> choice = fleet->Choose(kPool, Demand{}, tried, kStart);
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->engine.data_centre != "hall-1", gateways << " gateways");
        tried.insert(choice->engine.Incarnation());
      }
    }
  }
}

// A long prompt is read by several engines; none of them is evacuated.
BOOST_AUTO_TEST_CASE(NoEvacuatedEngineReadsAPartOfAPrompt) {
  auto fleet = NewFleet(0, 1, Engines(30, 3));
  fleet->directory().SetEvacuated({"hall-2"});
  Demand demand;
  demand.prompt_tokens = 300'000;
  std::optional<FleetChoice> choice = fleet->Choose(kPool, demand, kNone, kStart);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(!choice->readers.empty());
  for (const EngineRecord& reader : choice->readers) BOOST_TEST(reader.data_centre != "hall-2");
}

// Between a choice and its sending, memory is ordered from the readers.
BOOST_AUTO_TEST_CASE(AnEarlierChoiceIsNoLongerAdmitted) {
  auto fleet = NewFleet(0, 1, Engines(1, 1));
  std::optional<FleetChoice> choice = Choose(fleet.get(), kStart);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(fleet->StillAdmits(*choice, kStart));
  fleet->directory().SetEvacuated({"hall-0"});
  BOOST_TEST(!fleet->StillAdmits(*choice, kStart));
  BOOST_TEST(!fleet->ShouldKeepWaiting(choice->engine, kStart));
}

BOOST_AUTO_TEST_CASE(AnEvacuatedEngineOnOfferIsNotChosen) {
  std::vector<EngineRecord> engines = Engines(200, 5);
  auto fleet = NewFleet(0, 100, engines);
  const ServicePlan& home = fleet->plan(kStart).ForService("pool");
  auto is_elsewhere = [&](const EngineRecord& engine) {
    return home.cells.CellOf(engine) != home.home;
  };
  auto other = std::find_if(engines.begin(), engines.end(), is_elsewhere);
  BOOST_REQUIRE(other != engines.end());
  fleet->ReceiveOffer("box-9", 1, 1, {{other->id, EngineLoad{}}}, kStart);
  // Only engines of other cells are left for the gateway.
  std::set<std::string> evacuated{"hall-0", other->data_centre};
  fleet->directory().SetEvacuated(evacuated);
  std::optional<FleetChoice> choice = Choose(fleet.get(), kStart);
  if (choice) BOOST_TEST(evacuated.count(choice->engine.data_centre) == 0u);
}

BOOST_AUTO_TEST_CASE(AllEvacuatedIsToldFromNoEngines) {
  struct Row {
    const char* name;
    std::vector<EngineRecord> engines;
    std::set<std::string> evacuated;
    bool expected;
  };
  EngineRecord draining = Engine(1, "hall-1");
  draining.draining = true;
  const Row rows[] = {
      {"no engines", {}, {"hall-0"}, false},
      {"none evacuated", {Engine(0, "hall-0")}, {}, false},
      {"one of two", Engines(2, 2), {"hall-0"}, false},
      {"both", Engines(2, 2), {"hall-0", "hall-1"}, true},
      {"a data centre nobody has", Engines(2, 2), {"hall-7"}, false},
      {"one evacuated, one leaving", {Engine(0, "hall-0"), draining}, {"hall-0"}, true},
      {"only a leaving one there", {draining}, {"hall-1"}, false}};
  for (const Row& row : rows) {
    auto fleet = NewFleet(0, 1, row.engines);
    fleet->directory().SetEvacuated(row.evacuated);
    BOOST_TEST(fleet->AllEvacuated(kPool, kStart) == row.expected, row.name);
  }
}

BOOST_AUTO_TEST_CASE(AnEvacuationLastsUntilTheOperatorEndsIt) {
  Evacuations evacuations;
  evacuations.Begin("hall-1");
  evacuations.Begin("hall-1");
  BOOST_TEST((evacuations.DataCentres(kStart) == std::set<std::string>{"hall-1"}));
  BOOST_TEST((evacuations.DataCentres(kStart + std::chrono::hours(9)).size() == 1));
  evacuations.End("hall-1");
  evacuations.End("hall-1");
  BOOST_TEST(evacuations.DataCentres(kStart).empty());
}

// A page from an older copy of the store may lack what was written since.
BOOST_AUTO_TEST_CASE(APageFromAnOlderCopyEndsAnEvacuationLater) {
  const Time settled = kStart + seconds(2);
  Evacuations evacuations;
  evacuations.Begin("hall-1");
  evacuations.Replace({"hall-2"}, settled, kStart);
  BOOST_TEST(evacuations.DataCentres(kStart).size() == 2u);
  BOOST_TEST((evacuations.DataCentres(settled) == std::set<std::string>{"hall-2"}));
  // Written again in time, it stays.
  evacuations.Replace({}, settled + seconds(2), settled);
  evacuations.Begin("hall-2");
  BOOST_TEST(evacuations.DataCentres(settled + seconds(9)).size() == 1u);
  // A page of a settled epoch ends it at once.
  evacuations.Replace({}, settled, settled + seconds(9));
  BOOST_TEST(evacuations.DataCentres(settled + seconds(9)).empty());
}

// Returns the largest number of requests that reach a cold engine within a second.  Each of the
// gateways has a request every 10 ms and no other engine.
size_t MaxInASecond(size_t gateways, bool is_limited) {
  std::vector<std::unique_ptr<Fleet>> fleets;
  Mechanisms mechanisms;
  mechanisms.cold_engines = is_limited;
  for (size_t i = 0; i < gateways; ++i) {
    fleets.push_back(NewFleet(i, gateways, {Engine(0, "hall-0")}, mechanisms));
    fleets.back()->cold().Note("e-0", seconds(10), kStart);
  }
  std::deque<Time> sent;
  size_t most = 0;
  for (Time now = kStart; now < kStart + seconds(4); now += milliseconds(10)) {
    for (const auto& fleet : fleets) {
      std::optional<FleetChoice> choice = Choose(fleet.get(), now);
      if (!choice) continue;
      fleet->NoteSent(choice->engine, now);
      sent.push_back(now);
    }
    while (!sent.empty() && sent.front() <= now - seconds(1)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  return most;
}

BOOST_AUTO_TEST_CASE(AllGatewaysTogetherKeepToTheRateOfAColdEngine) {
  // The users' bound: 1.5 times the rate, and 5 more.
  const size_t bound = static_cast<size_t>(1.5 * kPool.cold_per_s + 5);
  for (size_t gateways : kFleetSizes) {
    size_t most = MaxInASecond(gateways, /*is_limited=*/true);
    BOOST_TEST(most <= bound, gateways << " gateways: " << most << " in a second");
    BOOST_TEST(most >= kPool.cold_per_s / 2, gateways << " gateways: " << most << " in a second");
  }
  BOOST_TEST(MaxInASecond(5, /*is_limited=*/false) > bound);
}

BOOST_AUTO_TEST_CASE(AWarmEngineIsPreferredToAColdOneWithoutCredit) {
  auto fleet = NewFleet(0, 1, Engines(2, 1));
  fleet->cold().Note("e-0", seconds(10), kStart);
  for (int i = 0; i < 50; ++i) {
    std::optional<FleetChoice> choice = Choose(fleet.get(), kStart);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->engine.id == "e-1");
  }
}

BOOST_AUTO_TEST_CASE(AnEngineIsColdForAsLongAsItStates) {
  ColdEngines cold;
  cold.Note("e-0", seconds(3), kStart);
  BOOST_TEST(cold.IsCold("e-0", kStart + seconds(2)));
  BOOST_TEST(!cold.IsCold("e-0", kStart + seconds(3)));
  cold.Note("e-1", seconds(9), kStart);
  cold.Note("e-1", Duration::zero(), kStart);
  BOOST_TEST(!cold.IsCold("e-1", kStart));
  cold.Note("e-2", std::chrono::hours(24), kStart);
  BOOST_TEST(!cold.IsCold("e-2", kStart + ColdEngines::kMaxCold));
  cold.Forget(kStart + std::chrono::hours(1));
  BOOST_TEST(cold.size() == 0u);
}

}  // namespace
}  // namespace gullward

// The store may be silent to the gateways from which the others read, while it serves these.
//
// Failure guarded against: the waiting reads of such roots stay open, so the roots go on answering
// their readers, which then see neither a version nor a leaving engine in time although the store
// would tell them.

#define BOOST_TEST_MODULE silent_roots
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "serving/reader_tree.h"

namespace gullward {
namespace {

// The users' shortest bound on a change of the configuration and on a leaving engine.
constexpr Duration kChangeBound = seconds(2);
constexpr size_t kGateways = 18;
constexpr int kChanges = 5;
// Engines that are listed, of the service that runs models and of the plain one.
constexpr size_t kListed = kChanges + 2;

std::string BoxOf(size_t number) { return absl::StrCat("box-", number + 1); }

// The boxes of the roots in a fleet of kGateways in one data centre.
std::set<std::string> Roots() {
  std::vector<GatewayName> names;
  for (size_t i = 0; i < kGateways; ++i) names.push_back({BoxOf(i), "hall-1"});
  std::set<std::string> roots;
  for (const GatewayName& name : names) {
    if (PlaceInTree(name, names).reads_store) roots.insert(name.box);
  }
  return roots;
}

// A fleet that has settled, to whose roots the store is silent.
std::unique_ptr<GatewayFixture> FleetWithSilentRoots() {
  auto fixture =
      std::make_unique<GatewayFixture>(GatewayFixtureOptions{.engines = kChanges + 1, .apps = 1});
  fixture->boxes_at_second_address = Roots();
  fixture->Publish(fixture->DefaultConfig());
  fixture->StartGateway();
  while (fixture->more_gateways.size() + 1 < kGateways) fixture->AddGatewayUnready();
  BOOST_REQUIRE(fixture->RunUntil([&] {
    return fixture->AllGateways([](const GatewayServer& gateway) {
      return gateway.IsReady() && gateway.peers() + 1 == kGateways;
    });
  }));
  // By the next refresh of its peers each gateway has computed from whom it reads.
  fixture->RunFor(seconds(1));
  fixture->store.SetSilentAtSecondAddress(true);
  return fixture;
}

// Returns the time until the condition holds for all gateways that the store serves.
Duration TimeUntilServedOnes(GatewayFixture* fixture,
                             const std::function<bool(const GatewayServer&)>& condition) {
  Time begin = Now();
  BOOST_REQUIRE(fixture->RunUntil([&] {
    return fixture->AllGateways(
        [&](const GatewayServer& gateway) { return gateway.ReadsStore() || condition(gateway); });
  }));
  return Now() - begin;
}

void CheckInTime(const char* change, int number, Duration taken) {
  BOOST_TEST(ToSeconds(taken) <= ToSeconds(kChangeBound),
             change << " " << number << ": " << ToSeconds(taken) << " s");
  BOOST_TEST_MESSAGE(change << " " << number << " in " << ToSeconds(taken) << " s");
}

BOOST_AUTO_TEST_CASE(AVersionIsInForceInTimeWhileTheStoreIsSilentToTheRoots) {
  auto fixture = FleetWithSilentRoots();
  for (int version = 2; version < 2 + kChanges; ++version) {
    nlohmann::json config = fixture->DefaultConfig();
    config["version"] = version;
    fixture->Publish(config);
    auto has_version = [&](const GatewayServer& gateway) {
      return gateway.ConfigVersion() == static_cast<uint64_t>(version);
    };
    CheckInTime("version", version, TimeUntilServedOnes(fixture.get(), has_version));
  }
}

BOOST_AUTO_TEST_CASE(ALeavingEngineIsSeenInTimeWhileTheStoreIsSilentToTheRoots) {
  auto fixture = FleetWithSilentRoots();
  for (size_t engine = 0; engine < kChanges; ++engine) {
    size_t left = kListed - engine - 1;
    fixture->ListEngine(*fixture->engines[engine], "models", /*draining=*/true);
    auto has_seen = [&](const GatewayServer& gateway) { return gateway.UsableEngines() == left; };
    CheckInTime("engine", static_cast<int>(engine), TimeUntilServedOnes(fixture.get(), has_seen));
  }
}

}  // namespace
}  // namespace gullward

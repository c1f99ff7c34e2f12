// The store may lose the answer to a waiting read, on a connection that stays open.
//
// Failure guarded against: without any outage before, the next change of the configuration or of
// the engine list is seen later than it must be in force, since nothing shows in time that a read
// is lost.

#define BOOST_TEST_MODULE unseen_change
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

// The users' bound on a change of the configuration and on a leaving engine.
constexpr Duration kChangeBound = seconds(2);
constexpr size_t kChanges = 6;
constexpr size_t kGatewayCounts[] = {1, 3};

constexpr char kConfigTopic[] = "keyed.op";
constexpr char kEngines[] = "keyed.servers";

// Returns the time until the condition holds.
Duration TimeUntil(GatewayFixture* fixture, const std::function<bool()>& condition) {
  Time begin = Now();
  BOOST_REQUIRE(fixture->RunUntil(condition));
  return Now() - begin;
}

std::unique_ptr<GatewayFixture> Started(size_t gateways) {
  return StartedFixture(
      {.engines = kChanges + 1, .apps = 1, .key_trust_mode = KeyTrust::kUntilChanged}, gateways);
}

BOOST_AUTO_TEST_CASE(AVersionIsInForceInTimeAlthoughItsReadIsLost) {
  for (size_t gateways : kGatewayCounts) {
    auto fixture = Started(gateways);
    for (uint64_t version = 2; version < 2 + kChanges; ++version) {
      BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->store.IsAwaited(kConfigTopic); }));
      nlohmann::json config = fixture->DefaultConfig();
      config["version"] = version;
      fixture->store.SkipNextChange(kConfigTopic);
      fixture->Publish(config);
      Duration taken = TimeUntil(fixture.get(), [&] {
        return fixture->AllGateways(
            [&](const auto& gateway) { return gateway.ConfigVersion() == version; });
      });
      BOOST_TEST(ToSeconds(taken) <= ToSeconds(kChangeBound),
                 gateways << " gateways, version " << version << ": " << ToSeconds(taken) << " s");
    }
  }
}

BOOST_AUTO_TEST_CASE(ALeavingEngineIsSeenInTimeAlthoughItsReadIsLost) {
  for (size_t gateways : kGatewayCounts) {
    auto fixture = Started(gateways);
    for (size_t engine = 0; engine < kChanges; ++engine) {
      size_t left = fixture->gateway->UsableEngines() - 1;
      BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->store.IsAwaited(kEngines); }));
      fixture->store.SkipNextChange(kEngines);
      fixture->ListEngine(*fixture->engines[engine], "models", /*draining=*/true);
      Duration taken = TimeUntil(fixture.get(), [&] {
        return fixture->AllGateways(
            [&](const auto& gateway) { return gateway.UsableEngines() == left; });
      });
      BOOST_TEST(ToSeconds(taken) <= ToSeconds(kChangeBound),
                 gateways << " gateways, engine " << engine << ": " << ToSeconds(taken) << " s");
    }
  }
}

}  // namespace
}  // namespace gullward

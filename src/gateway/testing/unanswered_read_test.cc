// A read that arrives while the store is silent is never answered, although the store answers later
// calls.
//
// Failure guarded against: such a read waits for as long as a read may, so that after the outage no
// gateway sees a change of the configuration or of the engine list in time.

#define BOOST_TEST_MODULE unanswered_read
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

// The users' bound on a change of the configuration and on a leaving engine.
constexpr Duration kChangeBound = seconds(2);
constexpr int kEngines = 6;

void PublishVersion(GatewayFixture* fixture, uint64_t version) {
  nlohmann::json config = fixture->DefaultConfig();
  config["version"] = version;
  fixture->Publish(config);
}

bool AllHaveVersion(const GatewayFixture& fixture, uint64_t version) {
  return fixture.AllGateways(
      [&](const auto& gateway) { return gateway.ConfigVersion() == version; });
}

bool AllHaveUsable(const GatewayFixture& fixture, size_t engines) {
  return fixture.AllGateways(
      [&](const auto& gateway) { return gateway.UsableEngines() == engines; });
}

// After a change each gateway waits for a moment before its next read.  The store is silent by
// then, so these reads stay unanswered.
void FallSilentAfterAChange(GatewayFixture* fixture, uint64_t version, size_t usable_engines) {
  PublishVersion(fixture, version);
  fixture->ListEngine(*fixture->engines[0], "models", /*draining=*/true);
  BOOST_REQUIRE(fixture->RunUntil([&] {
    return AllHaveVersion(*fixture, version) && AllHaveUsable(*fixture, usable_engines);
  }));
  fixture->store.SetFault(StoreFault::kSilent);
}

// Returns when the store has answered the first calls after the silence.
void EndSilence(GatewayFixture* fixture) {
  uint64_t bytes = fixture->store.bytes_answered();
  fixture->store.SetFault(StoreFault::kNone);
  fixture->RunUntil([&] { return fixture->store.bytes_answered() > bytes; });
  fixture->RunFor(milliseconds(300));
}

void CheckThatChangesAreSeenInTime(GatewayFixture* fixture, uint64_t version,
                                   size_t usable_engines) {
  PublishVersion(fixture, version);
  fixture->ListEngine(*fixture->engines[1], "models", /*draining=*/true);
  fixture->RunFor(kChangeBound);
  BOOST_TEST(AllHaveVersion(*fixture, version));
  BOOST_TEST(AllHaveUsable(*fixture, usable_engines));
}

struct Outage {
  size_t gateways;
  Duration silence;
};

const Outage kOutages[] = {
    {1, milliseconds(2600)}, {1, milliseconds(4000)}, {3, milliseconds(3300)},
    {5, milliseconds(2600)}, {5, milliseconds(5100)},
};

BOOST_AUTO_TEST_CASE(ReadsSentIntoASilenceDoNotHideLaterChanges) {
  for (const Outage& outage : kOutages) {
    BOOST_TEST_CONTEXT(outage.gateways << " gateways, silent for " << ToSeconds(outage.silence)
                                       << " s") {
      auto fixture = StartedFixture(
          {.engines = kEngines, .apps = 1, .key_trust_mode = KeyTrust::kUntilChanged},
          outage.gateways);
      FallSilentAfterAChange(fixture.get(), /*version=*/2, /*usable_engines=*/kEngines);
      fixture->RunFor(outage.silence);
      EndSilence(fixture.get());
      CheckThatChangesAreSeenInTime(fixture.get(), /*version=*/3, /*usable_engines=*/kEngines - 1);
    }
  }
}

}  // namespace
}  // namespace gullward

// A store that is silent for a while never answers the calls of its last moments either.
//
// Failure guarded against: a read that was sent just before the store answered again hangs for as
// long as a read may wait, and the next change of the configuration or of the engine list is not
// seen.

#define BOOST_TEST_MODULE silent_outage
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

// The users' bounds on a change of the configuration and on a leaving engine.
constexpr Duration kConfigBound = seconds(2);
constexpr Duration kLeavingBound = seconds(2);

struct Outage {
  size_t gateways;
  Duration silence;
  // From the end of the silence to the first change.
  Duration pause;
};

const Outage kOutages[] = {
    {1, milliseconds(3300), milliseconds(0)},    {1, milliseconds(2600), milliseconds(1500)},
    {3, milliseconds(3300), milliseconds(3700)}, {3, milliseconds(3300), milliseconds(200)},
    {3, milliseconds(4100), milliseconds(1000)},
};

// Calls that arrive until the silence ends are never answered.
void PlaySilence(GatewayFixture* fixture, Duration span) {
  fixture->store.SetFault(StoreFault::kSilent);
  fixture->store.DropConnections();
  fixture->RunFor(span);
  uint64_t calls = fixture->store.calls();
  fixture->RunUntil([&] { return fixture->store.calls() > calls; });
  fixture->store.SetFault(StoreFault::kNone);
}

// Moves the streaming route to another path and checks that every gateway serves it there in time.
void CheckThatARouteIsMoved(GatewayFixture* fixture, size_t gateways, int version) {
  nlohmann::json config = fixture->DefaultConfig();
  std::string path = absl::StrCat("/moved-", version, "/");
  std::string text = absl::StrReplaceAll(config.dump(), {{"/chat/", path}});
  config = nlohmann::json::parse(text);
  config["version"] = version;
  fixture->Publish(config);
  fixture->RunFor(kConfigBound);
  for (size_t gateway = 0; gateway < gateways; ++gateway) {
    std::string request = fixture->StreamRequest(absl::StrCat("moved-", version, "-", gateway));
    Reply reply = fixture->Call(absl::StrReplaceAll(request, {{"/chat/", path}}), gateway);
    BOOST_TEST(reply.head.status == 200);
    request = fixture->StreamRequest(absl::StrCat("old-", version, "-", gateway));
    BOOST_TEST(fixture->Call(request, gateway).head.status == 404);
  }
}

void CheckThatALeavingEngineGetsNothing(GatewayFixture* fixture, int version, size_t number) {
  const EngineStandin& leaving = *fixture->engines[number];
  fixture->ListEngine(leaving, "models", /*draining=*/true);
  fixture->RunFor(kLeavingBound);
  size_t before = leaving.received().size();
  std::string path = absl::StrCat("/moved-", version, "/");
  fixture->SendMany(20, absl::StrCat("after-", number), milliseconds(5),
                    [&](const std::string& id) {
                      return absl::StrReplaceAll(fixture->StreamRequest(id), {{"/chat/", path}});
                    });
  BOOST_TEST(leaving.received().size() == before);
}

BOOST_AUTO_TEST_CASE(ChangesAfterASilentOutageAreSeenInTime) {
  for (const Outage& outage : kOutages) {
    BOOST_TEST_CONTEXT(outage.gateways << " gateways, silent for " << ToSeconds(outage.silence)
                                       << " s, then " << ToSeconds(outage.pause) << " s") {
      auto fixture = StartedFixture({.engines = 4}, outage.gateways);
      PlaySilence(fixture.get(), outage.silence);
      fixture->RunFor(outage.pause);
      CheckThatARouteIsMoved(fixture.get(), outage.gateways, 2);
      CheckThatALeavingEngineGetsNothing(fixture.get(), 2, 0);
      CheckThatARouteIsMoved(fixture.get(), outage.gateways, 3);
    }
  }
}

}  // namespace
}  // namespace gullward

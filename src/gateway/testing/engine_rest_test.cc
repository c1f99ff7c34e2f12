// An engine that refuses a request and asks for a rest gets nothing from that gateway until the
// rest has ended.
//
// Failure guarded against: an engine that had asked a gateway for three seconds of rest got three
// requests from it in that time; two requests are allowed.
//
// How it comes about: an engine that has failed twice is set aside for 0.6 seconds and more.  If
// the gateway does not read the time in the answer, it uses the engine again after that, or
// earlier if the other engines have been tried.

#define BOOST_TEST_MODULE engine_rest
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr Duration kRest = milliseconds(1500);
constexpr Duration kPause = milliseconds(20);

std::vector<std::shared_ptr<Reply>> SendMany(GatewayFixture* fixture, int count,
                                             const std::string& name) {
  return fixture->SendMany(count, name, kPause,
                           [fixture](const std::string& id) { return fixture->SafeRequest(id); });
}

// Returns the engine of the plain service that a gateway without load chooses first.
EngineStandin& FirstChosenEngine(GatewayFixture* fixture) {
  BOOST_REQUIRE(fixture->Call(fixture->SafeRequest("first")).head.status == 200);
  auto has_seen = [](const auto& engine) { return !engine->received().empty(); };
  return **std::find_if(fixture->apps.begin(), fixture->apps.end(), has_seen);
}

EngineStandin& Other(GatewayFixture* fixture, const EngineStandin& engine) {
  return *fixture->apps[fixture->apps[0].get() == &engine ? 1 : 0];
}

// Makes the engine ask the first gateway for a rest.  Returns when the rest ends.
Time AskForRest(GatewayFixture* fixture, EngineStandin* engine) {
  engine->SetNotice({.rest = kRest});
  size_t before = engine->received().size();
  fixture->Call(fixture->SafeRequest("rest"));
  BOOST_REQUIRE(engine->received().size() > before);
  engine->SetNotice({});
  return engine->received().back().at + kRest;
}

size_t SeenBefore(const EngineStandin& engine, Time end) {
  return static_cast<size_t>(
      std::count_if(engine.received().begin(), engine.received().end(),
                    [end](const EngineStandin::ReceivedRequest& seen) { return seen.at < end; }));
}

// Whether the request was refused with a time to try again that lies within the rest.
bool IsRefusedForTheRest(const Reply& reply) {
  std::string text(FindHeader(reply.head.headers, platform::kRetryAfter).value_or(""));
  double retry_after = 0;
  bool says_when = absl::SimpleAtod(text, &retry_after);
  return reply.head.status == 503 && absl::StrContains(reply.body, "\"code\":2017") && says_when &&
         retry_after >= 0.3 && retry_after <= ToSeconds(kRest);
}

BOOST_AUTO_TEST_CASE(AnEngineGetsNothingDuringItsRest) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  EngineStandin& engine = *fixture->apps[0];
  Time rest_ends = AskForRest(fixture.get(), &engine);
  size_t asked = engine.received().size();
  auto refused = SendMany(fixture.get(), 10, "during-rest");
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(engine.received().size() == asked);
  for (const auto& reply : refused) BOOST_TEST(IsRefusedForTheRest(*reply));
  BOOST_REQUIRE(fixture->RunUntil([rest_ends] { return Now() > rest_ends + milliseconds(50); }));
  BOOST_TEST(fixture->Call(fixture->SafeRequest("later")).head.status == 200);
  BOOST_TEST(SeenBefore(engine, rest_ends) == asked);
}

// This holds even if the resting engine is the only one that is left.
BOOST_AUTO_TEST_CASE(ARestingEngineGetsNoRetries) {
  auto fixture = StartedFixture({.engines = 1, .apps = 2});
  EngineStandin& resting = FirstChosenEngine(fixture.get());
  Time rest_ends = AskForRest(fixture.get(), &resting);
  size_t asked = resting.received().size();
  Other(fixture.get(), resting).FailAll(EngineFault::kNotRun);
  SendMany(fixture.get(), 10, "during-rest");
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(resting.received().size() == asked);
}

// The failure that an engine has answered is forwarded and not replaced by a refusal.
BOOST_AUTO_TEST_CASE(AFailureOfTheOnlyOtherEngineIsForwarded) {
  auto fixture = StartedFixture({.engines = 1, .apps = 2});
  EngineStandin& resting = FirstChosenEngine(fixture.get());
  Time rest_ends = AskForRest(fixture.get(), &resting);
  Other(fixture.get(), resting).FailAll(EngineFault::kFailed);
  Reply reply = fixture->Call(fixture->SafeRequest("fails"));
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(reply.head.status == 500);
  BOOST_TEST(FindHeader(reply.head.headers, platform::kSeal).has_value());
}

// The memory of a running prompt stays reserved, but the resting engine gets as few renewal orders
// as possible.
BOOST_AUTO_TEST_CASE(ATicketAtARestingEngineIsRenewedAsLateAsPossible) {
  GatewayFixtureOptions options{.engines = 2};
  options.engine.events = 60;
  options.engine.event_interval = milliseconds(60);
  auto fixture = std::make_unique<GatewayFixture>(options);
  fixture->Publish(fixture->DefaultConfig());
  fixture->StartGateway();
  std::string very_long = fixture->StreamRequest("very-long");
  very_long.replace(very_long.find("1000,80"), 7, "400000,80");
  auto running = fixture->Send(very_long);
  auto holder = [&]() -> EngineStandin* {
    for (const auto& engine : fixture->engines) {
      if (!engine->tickets().empty()) return engine.get();
    }
    return nullptr;
  };
  BOOST_REQUIRE(fixture->RunUntil([&] { return holder() != nullptr; }));
  EngineStandin& resting = *holder();
  EngineStandin& main = *fixture->engines[fixture->engines[0].get() == &resting ? 1 : 0];
  BOOST_REQUIRE(fixture->RunUntil([&] { return !main.received().empty(); }));
  main.FailAll(EngineFault::kNotRun);
  resting.SetNotice({.rest = kRest});
  fixture->Call(fixture->StreamRequest("rest"));
  BOOST_REQUIRE(!resting.received().empty());
  Time asked = resting.received().back().at;
  BOOST_REQUIRE(fixture->RunUntil([&] { return running->done; }));
  BOOST_TEST(running->whole());
  BOOST_TEST(running->head.status == 200);
  for (Time order : resting.orders()) BOOST_TEST((order < asked || order > asked + kRest));
  BOOST_TEST((resting.orders().back() > asked + kRest));
}

// A rest applies only to the gateway that was asked for it.
BOOST_AUTO_TEST_CASE(OtherGatewaysMaySendRequests) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1}, /*gateways=*/2);
  Time rest_ends = AskForRest(fixture.get(), fixture->apps[0].get());
  BOOST_TEST(fixture->Call(fixture->SafeRequest("other"), 1).head.status == 200);
  BOOST_REQUIRE(Now() < rest_ends);
}

}  // namespace
}  // namespace gullward

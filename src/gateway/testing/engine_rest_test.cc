// An engine that turns a request away and asks for a pause gets nothing from that gateway until
// its end.
//
// What was seen: an engine that had asked a gateway for three seconds of rest got three requests
// from it in that time; two are allowed.
//
// How it came about: an engine that failed twice is left alone for 0.6 seconds and more, whatever
// it asks for, and where the others had been tried it is taken again before that.
//
// The cause: the time in such an answer was read by nobody.
//
// What proved it: the first case here, in which all ten requests of the pause reached the engine.

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

std::unique_ptr<GatewayFixture> StartedWorld(int apps, int gateways = 1) {
  auto world = std::make_unique<GatewayFixture>(GatewayFixtureOptions{.engines = 1, .apps = apps});
  world->Publish(world->DefaultConfig());
  world->StartGateway();
  while (world->more_gateways.size() + 1 < static_cast<size_t>(gateways)) world->AddGateway();
  return world;
}

std::vector<std::shared_ptr<Reply>> SendMany(GatewayFixture* world, int count,
                                             const std::string& name) {
  return world->SendMany(count, name, kPause,
                         [world](const std::string& id) { return world->SafeRequest(id); });
}

// The plain service's engine that an idle gateway takes first.
EngineStandin& FirstInOrder(GatewayFixture* world) {
  BOOST_REQUIRE(world->Call(world->SafeRequest("first")).head.status == 200);
  auto has_seen = [](const auto& engine) { return !engine->seen().empty(); };
  return **std::find_if(world->apps.begin(), world->apps.end(), has_seen);
}

EngineStandin& Other(GatewayFixture* world, const EngineStandin& engine) {
  return *world->apps[world->apps[0].get() == &engine ? 1 : 0];
}

// Has the engine ask the first gateway for a pause; tells when it ends.
Time AskForRest(GatewayFixture* world, EngineStandin* engine) {
  engine->Say({.rest = kRest});
  size_t before = engine->seen().size();
  world->Call(world->SafeRequest("asks"));
  BOOST_REQUIRE(engine->seen().size() > before);
  engine->Say({});
  return engine->seen().back().at + kRest;
}

size_t SeenBefore(const EngineStandin& engine, Time end) {
  return static_cast<size_t>(
      std::count_if(engine.seen().begin(), engine.seen().end(),
                    [end](const EngineStandin::Seen& seen) { return seen.at < end; }));
}

// At once, and with when the pause ends.
bool IsRefusedUntilTheEnd(const Reply& reply) {
  std::string text(FindHeader(reply.head.headers, platform::kRetryAfter).value_or(""));
  double come_back = 0;
  bool says_when = absl::SimpleAtod(text, &come_back);
  return reply.head.status == 503 && absl::StrContains(reply.body, "\"code\":2017") && says_when &&
         come_back >= 0.3 && come_back <= ToSeconds(kRest);
}

BOOST_AUTO_TEST_CASE(AnEngineThatAsksForAPauseGetsNothingUntilItsEnd) {
  auto world = StartedWorld(/*apps=*/1);
  EngineStandin& engine = *world->apps[0];
  Time rest_ends = AskForRest(world.get(), &engine);
  size_t asked = engine.seen().size();
  auto refused = SendMany(world.get(), 10, "meanwhile");
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(engine.seen().size() == asked);
  for (const auto& reply : refused) BOOST_TEST(IsRefusedUntilTheEnd(*reply));
  BOOST_REQUIRE(world->RunUntil([rest_ends] { return Now() > rest_ends + milliseconds(50); }));
  BOOST_TEST(world->Call(world->SafeRequest("later")).head.status == 200);
  BOOST_TEST(SeenBefore(engine, rest_ends) == asked);
}

// Not even where it is the only one that is left.
BOOST_AUTO_TEST_CASE(NoRetryGoesThere) {
  auto world = StartedWorld(/*apps=*/2);
  EngineStandin& resting = FirstInOrder(world.get());
  Time rest_ends = AskForRest(world.get(), &resting);
  size_t asked = resting.seen().size();
  Other(world.get(), resting).FailAll(EngineFault::kNotRun);
  SendMany(world.get(), 10, "meanwhile");
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(resting.seen().size() == asked);
}

// What an engine has answered is passed on rather than replaced by a refusal.
BOOST_AUTO_TEST_CASE(AFailureOfTheOnlyOneLeftIsPassedOn) {
  auto world = StartedWorld(/*apps=*/2);
  EngineStandin& resting = FirstInOrder(world.get());
  Time rest_ends = AskForRest(world.get(), &resting);
  Other(world.get(), resting).FailAll(EngineFault::kFailed);
  Reply reply = world->Call(world->SafeRequest("fails"));
  BOOST_REQUIRE(Now() < rest_ends);
  BOOST_TEST(reply.head.status == 500);
  BOOST_TEST(FindHeader(reply.head.headers, platform::kSeal).has_value());
}

// The memory of a prompt that runs is kept, but the engine is not asked more than it takes.
BOOST_AUTO_TEST_CASE(ATicketThereIsProlongedAsLateAsItMayBe) {
  GatewayFixtureOptions options{.engines = 2};
  options.engine.events = 60;
  options.engine.event_every = milliseconds(60);
  auto world = std::make_unique<GatewayFixture>(options);
  world->Publish(world->DefaultConfig());
  world->StartGateway();
  std::string vast = world->StreamRequest("vast");
  vast.replace(vast.find("1000,80"), 7, "400000,80");
  auto running = world->Send(vast);
  auto holder = [&]() -> EngineStandin* {
    for (const auto& engine : world->engines) {
      if (!engine->tickets().empty()) return engine.get();
    }
    return nullptr;
  };
  BOOST_REQUIRE(world->RunUntil([&] { return holder() != nullptr; }));
  EngineStandin& resting = *holder();
  EngineStandin& main = *world->engines[world->engines[0].get() == &resting ? 1 : 0];
  BOOST_REQUIRE(world->RunUntil([&] { return !main.seen().empty(); }));
  main.FailAll(EngineFault::kNotRun);
  resting.Say({.rest = kRest});
  world->Call(world->StreamRequest("asks"));
  BOOST_REQUIRE(!resting.seen().empty());
  Time asked = resting.seen().back().at;
  BOOST_REQUIRE(world->RunUntil([&] { return running->done; }));
  BOOST_TEST(running->whole());
  BOOST_TEST(running->head.status == 200);
  for (Time order : resting.orders()) BOOST_TEST((order < asked || order > asked + kRest));
  BOOST_TEST((resting.orders().back() > asked + kRest));
}

// The pause was asked of one gateway.
BOOST_AUTO_TEST_CASE(OtherGatewaysMayAsk) {
  auto world = StartedWorld(/*apps=*/1, /*gateways=*/2);
  Time rest_ends = AskForRest(world.get(), world->apps[0].get());
  BOOST_TEST(world->Call(world->SafeRequest("other"), 1).head.status == 200);
  BOOST_REQUIRE(Now() < rest_ends);
}

}  // namespace
}  // namespace gullward

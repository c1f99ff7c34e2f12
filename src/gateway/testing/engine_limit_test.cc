// An engine that names the requests a second that it takes from all gateways together gets no
// more than that.
//
// What was seen: two engines that had named 2.3 and 1.5 requests a second got 21 and 27 requests
// in four seconds from gateways that they had told.
//
// How it came about: the gateways chose them as before, each by its price, and each by itself.
//
// The cause: nothing read the limit, and no gateway has a part of a limit that all share.
//
// What proved it: the first case here, in which all 60 requests of a second reached the engine.

#define BOOST_TEST_MODULE engine_limit
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr double kLimit = 2.5;
// What the users allow an engine to get in any such time from gateways that it has told: one
// and a half times its limit and five requests.
constexpr Duration kWindow = seconds(4);
constexpr size_t kMostInWindow = 20;
// Between two requests of a caller.
constexpr Duration kPause = milliseconds(17);

std::unique_ptr<GatewayFixture> StartedWorld(int engines, int gateways) {
  auto world = std::make_unique<GatewayFixture>(GatewayFixtureOptions{.engines = engines});
  world->Publish(world->DefaultConfig());
  world->StartGateway();
  while (world->more_gateways.size() + 1 < static_cast<size_t>(gateways)) world->AddGateway();
  return world;
}

std::vector<std::shared_ptr<Reply>> SendMany(GatewayFixture* world, int count,
                                             const std::string& name) {
  return world->SendMany(count, name, kPause,
                         [world](const std::string& id) { return world->StreamRequest(id); });
}

// Each gateway passes on an answer of the only engine.
void LetEngineTellAll(GatewayFixture* world) {
  for (size_t gateway = 0; gateway <= world->more_gateways.size(); ++gateway) {
    BOOST_REQUIRE(world->RunUntil([&] {
      std::string request = world->StreamRequest(absl::StrCat("told-", gateway));
      return world->Call(request, gateway).head.status == 200;
    }));
  }
}

// The most requests that reached an engine within the users' window, from `first` on.
size_t MostInWindow(const EngineStandin& engine, size_t first) {
  size_t most = 0;
  const std::vector<EngineStandin::Seen>& seen = engine.seen();
  for (size_t begin = first; begin < seen.size(); ++begin) {
    size_t end = begin;
    while (end < seen.size() && seen[end].at - seen[begin].at < kWindow) ++end;
    most = std::max(most, end - begin);
  }
  return most;
}

// The engines that any request so far has named as its readers.
std::vector<EngineStandin*> Readers(const GatewayFixture& world) {
  std::string named;
  for (const auto& engine : world.engines) {
    for (const EngineStandin::Seen& seen : engine->seen()) {
      auto readers = FindHeader(seen.request.head.headers, platform::kReaders);
      if (readers) named += std::string(*readers) + ",";
    }
  }
  std::vector<EngineStandin*> found;
  for (const auto& engine : world.engines) {
    if (absl::StrContains(named, engine->address().ToString())) found.push_back(engine.get());
  }
  return found;
}

std::string VastRequest(const GatewayFixture& world, const std::string& id) {
  std::string request = world.StreamRequest(id);
  return request.replace(request.find("1000,80"), 7, "200000,80");
}

bool IsRefusedWithTime(const Reply& reply) {
  return reply.head.status == 503 &&
         FindHeader(reply.head.headers, platform::kRetryAfter).has_value();
}

BOOST_AUTO_TEST_CASE(OneGatewayKeepsToALimit) {
  auto world = StartedWorld(/*engines=*/1, /*gateways=*/1);
  LetEngineTellAll(world.get());
  EngineStandin& engine = *world->engines[0];
  engine.Say({.limit_per_s = kLimit});
  LetEngineTellAll(world.get());
  size_t first = engine.seen().size();
  auto replies = SendMany(world.get(), 60, "more");
  BOOST_TEST(MostInWindow(engine, first) <= kMostInWindow);
  // What it cannot take is refused at once, with when to come back.
  for (const auto& reply : replies) {
    BOOST_TEST((reply->head.status == 200 || IsRefusedWithTime(*reply)));
  }
}

BOOST_AUTO_TEST_CASE(GatewaysKeepToALimitTogether) {
  auto world = StartedWorld(/*engines=*/1, /*gateways=*/5);
  EngineStandin& engine = *world->engines[0];
  engine.Say({.limit_per_s = kLimit});
  LetEngineTellAll(world.get());
  size_t first = engine.seen().size();
  SendMany(world.get(), 60, "more");
  BOOST_TEST(MostInWindow(engine, first) <= kMostInWindow);
}

// Second attempts count as well.
BOOST_AUTO_TEST_CASE(RetriesKeepToALimit) {
  auto world = StartedWorld(/*engines=*/2, /*gateways=*/1);
  EngineStandin& limited = *world->engines[0];
  limited.Say({.limit_per_s = kLimit});
  world->engines[1]->FailAll(EngineFault::kNotRun);
  SendMany(world.get(), 2, "told");
  BOOST_REQUIRE(!limited.seen().empty());
  size_t first = limited.seen().size();
  SendMany(world.get(), 60, "more");
  BOOST_TEST(MostInWindow(limited, first) <= kMostInWindow);
}

// To read a part of a prompt for another engine is work that the engine has not agreed to.
BOOST_AUTO_TEST_CASE(AnEngineWithALimitIsNoReaderForOthers) {
  auto world = StartedWorld(/*engines=*/3, /*gateways=*/1);
  BOOST_REQUIRE(world->Call(VastRequest(*world, "vast")).head.status == 200);
  BOOST_REQUIRE(!Readers(*world).empty());
  for (const auto& engine : world->engines) engine->Say({.limit_per_s = kLimit});
  // So many at once that each engine gets one and tells.
  std::vector<std::shared_ptr<Reply>> told;
  for (int i = 0; i < 40; ++i) {
    told.push_back(world->Send(world->StreamRequest(absl::StrCat("told-", i))));
  }
  BOOST_REQUIRE(world->RunUntil([&] {
    return std::all_of(told.begin(), told.end(), [](const auto& one) { return one->done; });
  }));
  for (const auto& engine : world->engines) BOOST_REQUIRE(!engine->seen().empty());
  for (int i = 0; i < 6; ++i) world->Call(VastRequest(*world, absl::StrCat("vaster-", i)));
  for (const auto& engine : world->engines) {
    for (const EngineStandin::Seen& seen : engine->seen()) {
      std::string id(FindHeader(seen.request.head.headers, platform::kAttemptId).value_or(""));
      bool is_later = absl::StartsWith(id, "vaster");
      BOOST_TEST((!is_later || !FindHeader(seen.request.head.headers, platform::kReaders)), id);
    }
  }
}

}  // namespace
}  // namespace gullward

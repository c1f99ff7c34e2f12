// Requests that share a part of their prompt which crashes each engine that runs it are sent to a
// few engines, not to all.
//
// Failure guarded against: requests of which no two were alike shared one part, and were sent to
// engines 61 times more after five engines had crashed; 92 engines of a fleet of 18 ended in all.
//
// How it comes about: if crashes are recorded by the content of the request only, each of these
// requests begins with an empty record and may crash three engines.

#define BOOST_TEST_MODULE crashing_part
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr char kCrashingPart[] = "bad";
// The users allow three requests more after the fifth crash.
constexpr int kMaxEngineCrashes = 5 + 3;
// Callers send about twenty requests a second.
constexpr Duration kPause = milliseconds(50);

bool CrashesEngines(const CallerRequest& request) {
  std::string parts(FindHeader(request.head.headers, platform::kPromptParts).value_or(""));
  return absl::StrContains(parts, absl::StrCat(kCrashingPart, ":"));
}

bool IsQuarantined(const Reply& reply) {
  return reply.head.status == 503 && absl::StrContains(reply.body, "\"code\":2016");
}

// A fixture whose engines restart 300 ms after a crash.
std::unique_ptr<GatewayFixture> StartedWithCrashes(size_t gateways) {
  GatewayFixtureOptions options{.engines = 16};
  options.engine.crashes_engine = CrashesEngines;
  auto fixture = StartedFixture(options, gateways);
  fixture->RestartEnginesAfter(milliseconds(300));
  return fixture;
}

// A request whose content no other has.  `parts` are those that precede its own part.
std::string RequestWith(const GatewayFixture& fixture, const std::string& id,
                        const std::string& parts) {
  return absl::StrReplaceAll(fixture.StreamRequest(id, "", "body of " + id),
                             {{"aa:1000", absl::StrCat(parts, "own-", id, ":900")}});
}

std::string CrashingRequest(const GatewayFixture& fixture, const std::string& id) {
  return RequestWith(fixture, id, absl::StrCat("first:40,", kCrashingPart, ":60,"));
}

std::string SoundRequest(const GatewayFixture& fixture, const std::string& id) {
  return RequestWith(fixture, id, "first:40,other:60,");
}

// Sends requests with the crashing part to the gateways in turn, until one is refused or `max_sent`
// were sent.  Returns whether one was refused.
bool SendUntilRefused(GatewayFixture* fixture, int max_sent) {
  for (int i = 0; i < max_sent; ++i) {
    size_t gateway = static_cast<size_t>(i) % (fixture->more_gateways.size() + 1);
    Reply reply = fixture->Call(CrashingRequest(*fixture, absl::StrCat("crash-", i)), gateway);
    if (IsQuarantined(reply)) return true;
    Time next = Now() + kPause;
    fixture->RunUntil([next] { return Now() >= next; });
  }
  return false;
}

BOOST_AUTO_TEST_CASE(RequestsThatShareACrashingPartAreRefused) {
  for (size_t gateways : {1, 3}) {
    BOOST_TEST_CONTEXT(gateways << " gateways") {
      auto fixture = StartedWithCrashes(gateways);
      BOOST_TEST(SendUntilRefused(fixture.get(), 20));
      BOOST_TEST(fixture->engine_crashes() <= kMaxEngineCrashes);
      for (size_t gateway = 0; gateway < gateways; ++gateway) {
        std::string id = absl::StrCat("later-", gateway);
        Reply refused = fixture->Call(CrashingRequest(*fixture, id), gateway);
        BOOST_TEST(IsQuarantined(refused));
        BOOST_TEST(FindHeader(refused.head.headers, platform::kRetryAfter).has_value());
        BOOST_TEST(fixture->RunsOf(id) == 0);
      }
    }
  }
}

// Guards against refusing sound requests for the account or the part that they share with those
// that crash engines, and against serving them only by retries.
BOOST_AUTO_TEST_CASE(SoundRequestsThatShareTheFirstPartAreServedMeanwhile) {
  auto fixture = StartedWithCrashes(3);
  BOOST_TEST(SendUntilRefused(fixture.get(), 20));
  // Until the engines that crashed are back.
  BOOST_REQUIRE(fixture->RunUntil([&] {
    return std::all_of(fixture->engines.begin(), fixture->engines.end(),
                       [](const auto& engine) { return engine->is_up(); });
  }));
  int crashes = fixture->engine_crashes();
  for (int i = 0; i < 30; ++i) {
    size_t gateway = static_cast<size_t>(i) % 3;
    std::string id = absl::StrCat("sound-", i);
    auto crashing = fixture->Send(CrashingRequest(*fixture, absl::StrCat("beside-", i)), gateway);
    Reply sound = fixture->Call(SoundRequest(*fixture, id), gateway);
    BOOST_TEST(sound.head.status == 200);
    BOOST_TEST(fixture->RunsOf(id) == 1);
    BOOST_REQUIRE(fixture->RunUntil([&] { return crashing->done; }));
    BOOST_TEST(IsQuarantined(*crashing));
  }
  BOOST_TEST(fixture->engine_crashes() == crashes);
}

}  // namespace
}  // namespace gullward

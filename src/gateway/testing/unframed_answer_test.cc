// Answers without a length or chunks, which end with their connection.
//
// Failure guarded against: an engine that crashes while it writes such a stream may close the
// connection in order, within an event.  The stream was resumed elsewhere, but the engine was not
// checked, so requests that crash engines in this way were never refused.

#define BOOST_TEST_MODULE unframed_answer
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

constexpr char kPlainBody[] = "the whole answer";
// The stand-in sends four events.
constexpr char kWholeStream[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
    "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n";

BOOST_AUTO_TEST_CASE(AnAnswerThatEndsWithItsConnectionIsPassedOnWhole) {
  auto fixture = StartedFixture();
  for (auto& engine : fixture->engines) engine->FailAll(EngineFault::kUnframed);
  for (auto& app : fixture->apps) app->FailAll(EngineFault::kUnframed);
  // More than one, since no connection can be used again.
  for (int i = 0; i < 6; ++i) {
    Reply stream = fixture->Call(fixture->StreamRequest(absl::StrCat("stream-", i)));
    BOOST_TEST((stream.head.status == 200 && stream.whole()));
    BOOST_TEST(stream.body == kWholeStream);
    Reply plain = fixture->Call(fixture->OnceRequest(absl::StrCat("plain-", i)));
    BOOST_TEST((plain.head.status == 200 && plain.whole()));
    BOOST_TEST(plain.body == kPlainBody);
  }
}

BOOST_AUTO_TEST_CASE(AResetLeavesAnAnswerWithoutALengthIncomplete) {
  auto fixture = StartedFixture();
  for (auto& app : fixture->apps) app->FailAll(EngineFault::kUnframedTorn);
  for (const std::string& request : {fixture->SafeRequest("safe"), fixture->OnceRequest("once")}) {
    Reply reply = fixture->Call(request);
    BOOST_TEST(!(reply.head.status == 200 && reply.whole()));
  }
  BOOST_TEST(fixture->RunsOf("once") == 1);
}

BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsResumedOrBrokenOff) {
  for (bool other_is_sound : {true, false}) {
    auto fixture = StartedFixture({.engines = 2});
    for (auto& engine : fixture->engines) {
      other_is_sound ? engine->FailNext(EngineFault::kUnframedTorn)
                     : engine->FailAll(EngineFault::kUnframedTorn);
      if (other_is_sound) break;
    }
    for (const char* id : {"a", "b"}) {
      Reply reply = fixture->Call(fixture->StreamRequest(id));
      BOOST_TEST(reply.whole() == other_is_sound);
      if (other_is_sound) BOOST_TEST(reply.body == kWholeStream);
      BOOST_TEST(!absl::EndsWith(reply.body, "da"));
    }
  }
}

// Guards against passing a stream on as complete when the engine that was to resume it has sent
// nothing but a head.
BOOST_AUTO_TEST_CASE(AResumedStreamWithoutAnEventIsNotTakenForComplete) {
  for (size_t torn : {0, 1}) {
    auto fixture = StartedFixture({.engines = 2});
    fixture->engines[torn]->FailNext(EngineFault::kUnframedTorn);
    fixture->engines[1 - torn]->FailNext(EngineFault::kUnframedEmpty);
    Reply reply = fixture->Call(fixture->StreamRequest("a"));
    BOOST_TEST(!(reply.head.status == 200 && reply.whole()));
  }
}

// Guards against passing a stream on as complete whose engine crashed between two events: the end
// of the connection looks the same.
BOOST_AUTO_TEST_CASE(AStreamWhoseEngineCrashedBetweenEventsIsResumed) {
  GatewayFixtureOptions options{.engines = 12};
  options.engine.crash_closes = true;
  options.engine.crash_part = false;
  options.engine.events_before_crash = 2;
  auto has_crashed = std::make_shared<bool>(false);
  options.engine.crashes_engine = [has_crashed](const CallerRequest&) {
    return !std::exchange(*has_crashed, true);
  };
  auto fixture = StartedFixture(options);
  Reply reply = fixture->Call(fixture->StreamRequest("a"));
  BOOST_TEST(fixture->engine_crashes() == 1);
  BOOST_TEST(reply.whole());
  BOOST_TEST(reply.body == kWholeStream);
}

// Guards against taking an engine for sound that crashed while it wrote such a stream.
BOOST_AUTO_TEST_CASE(AnEngineThatEndsAStreamInsideAnEventIsChecked) {
  constexpr char kCrashing[] = "crashing";
  GatewayFixtureOptions options{.engines = 12};
  options.engine.crash_closes = true;
  options.engine.crashes_engine = [&](const CallerRequest& request) {
    return request.body == kCrashing;
  };
  auto fixture = StartedFixture(options);
  fixture->RestartEnginesAfter(milliseconds(300));
  bool refused = false;
  for (int i = 0; i < 12 && !refused; ++i) {
    Reply reply = fixture->Call(fixture->StreamRequest(absl::StrCat("crash-", i), "", kCrashing));
    refused = absl::StrContains(reply.body, "\"code\":2016");
    Time next = Now() + milliseconds(50);
    fixture->RunUntil([next] { return Now() >= next; });
  }
  BOOST_TEST(refused);
  BOOST_TEST(fixture->engine_crashes() <= 6);
}

}  // namespace
}  // namespace gullward

// The load answered: the callers of a whole fleet that has lost power come back while its gateways
// are still starting.

#define BOOST_TEST_MODULE start_steps
#include "gateway/start_steps.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "gateway/failure_answer.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);

BOOST_AUTO_TEST_CASE(EachStepIsCountedFromTheStart) {
  struct Row {
    int at_ms;
    StartConditions conditions;
    bool is_over_now;
  };
  const Row rows[] = {{25, {}, false},
                      {50, {true, false, false, false}, false},
                      {100, {true, true, true, false}, false},
                      // The keys have lapsed meanwhile.
                      {200, {true, true, false, true}, false},
                      {300, {true, true, true, true}, true},
                      {400, {true, true, true, true}, false},
                      {500, {true, true, false, true}, false}};
  StartSteps start(kStart);
  for (const Row& row : rows) {
    bool is_over_now = start.Note(row.conditions, kStart + milliseconds(row.at_ms));
    BOOST_TEST(is_over_now == row.is_over_now, row.at_ms);
  }
  BOOST_TEST((start.TimeOf(StartStep::kGateways) == milliseconds(50)));
  BOOST_TEST((start.TimeOf(StartStep::kConfig) == milliseconds(100)));
  BOOST_TEST((start.TimeOf(StartStep::kKeys) == milliseconds(100)));
  BOOST_TEST((start.TimeOf(StartStep::kEngines) == milliseconds(200)));
  BOOST_TEST((start.serving_after() == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(OnlyAStepThatIsMissingCausesARefusal) {
  struct Row {
    const char* name;
    StartConditions conditions;
    bool not_ready;
    bool keys_not_vouched;
    bool no_endpoint;
  };
  const Row rows[] = {{"nothing is known", {}, true, true, true},
                      {"only engines are known", {true, false, false, true}, true, true, false},
                      {"keys are missing", {true, true, false, true}, false, true, false},
                      {"engines are missing", {true, true, true, false}, false, false, true},
                      {"the start is over", {true, true, true, true}, false, false, false}};
  for (const Row& row : rows) {
    StartSteps start(kStart);
    start.Note(row.conditions, kStart);
    BOOST_TEST(start.IsCauseOf(ResultCode::kNotReady) == row.not_ready, row.name);
    BOOST_TEST(start.IsCauseOf(ResultCode::kKeysNotVouched) == row.keys_not_vouched, row.name);
    BOOST_TEST(start.IsCauseOf(ResultCode::kNoEndpoint) == row.no_endpoint, row.name);
    BOOST_TEST(!start.IsCauseOf(ResultCode::kOverloaded), row.name);
  }
}

BOOST_AUTO_TEST_CASE(TheTimeToReturnFollowsFromTheStart) {
  Route slow;
  slow.objective = seconds(4);
  Route fast;
  fast.objective = milliseconds(500);
  struct Row {
    const char* name;
    const Route* route;
    int since_start_ms;
    int expected_ms;
  };
  const Row rows[] = {{"begun", nullptr, 20, 300},
                      {"takes long", nullptr, 600, 600},
                      {"takes too long", nullptr, 9000, 1000},
                      {"slow route, begun", &slow, 20, 300},
                      {"slow route", &slow, 600, 600},
                      {"slow route, late", &slow, 9000, 1200},
                      {"fast route", &fast, 600, 300}};
  for (const Row& row : rows) {
    Duration told = RetryAfterDuringStart(row.route, milliseconds(row.since_start_ms));
    BOOST_TEST((told == milliseconds(row.expected_ms)), row.name);
  }
}

// What a gateway that cannot read the store tells a caller some time after its start.
std::string ToldWithoutStore(bool is_on) {
  GatewayFixtureOptions options;
  options.mechanisms.start_retry_after = is_on;
  GatewayFixture fixture(options);
  fixture.Publish(fixture.DefaultConfig());
  fixture.store.SetFault(StoreFault::kSilent);
  fixture.AddGatewayUnready();
  Time until = Now() + milliseconds(500);
  fixture.RunUntil([until] { return Now() >= until; });
  Reply reply = fixture.Call(fixture.StreamRequest("a1"), 1);
  BOOST_TEST(reply.head.status == 503);
  return std::string(FindHeader(reply.head.headers, platform::kRetryAfter).value_or(""));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsSilentAtTheStartIsToldToCallersOnlyIfSwitchedOn) {
  BOOST_TEST(ToldWithoutStore(false) == "0.3");
  double told = std::stod(ToldWithoutStore(true));
  BOOST_TEST(told >= 0.5);
  BOOST_TEST(told <= 1.0);
}

}  // namespace
}  // namespace gullward

// Load pattern: an engine of a service sends its events several times slower than published.  The
// gateway that passes on its streams learns the pace and tells the other gateways, and the pace is
// forgotten when the engine starts again.

#define BOOST_TEST_MODULE pace_report
#include <boost/test/unit_test.hpp>

#include "gateway/testing/gateway_fixture.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

// About four times the published time of a pass.
constexpr Duration kSlowInterval = milliseconds(170);

// Two gateways and one slow engine, after a stream by the first gateway.
std::unique_ptr<GatewayFixture> AfterASlowStream(bool engine_pace) {
  GatewayFixtureOptions options;
  options.engines = 1;
  options.engine.events = 10;
  options.engine.event_interval = kSlowInterval;
  options.mechanisms.engine_pace = engine_pace;
  auto fixture = StartedFixture(options, /*gateways=*/2);
  BOOST_TEST(fixture->Call(fixture->StreamRequest("slow")).whole());
  return fixture;
}

BOOST_AUTO_TEST_CASE(APaceIsLearnedToldAndForgottenWithItsIncarnation) {
  auto fixture = AfterASlowStream(true);
  GatewayServer& learner = *fixture->gateway;
  GatewayServer& peer = *fixture->more_gateways.front();
  BOOST_TEST(learner.slow_engines() == 1u);
  BOOST_TEST(fixture->RunUntil([&] { return peer.slow_engines() == 1; }));
  EngineStandin again(&fixture->loop, {.id = fixture->engines[0]->id()});
  EngineRecord record{again.id(), "models", again.address(), "hall-1", 16, false, 9};
  fixture->store.Put("keyed.servers", again.id(), platform::EngineDocument(record));
  // Well before the paces would have decayed by themselves.
  Time restarted = Now();
  BOOST_TEST(
      fixture->RunUntil([&] { return learner.slow_engines() == 0 && peer.slow_engines() == 0; }));
  BOOST_TEST(ToSeconds(Now() - restarted) < 1.5);
  BOOST_TEST(fixture->Call(fixture->StreamRequest("quick")).whole());
  BOOST_TEST(learner.slow_engines() == 0u);
}

BOOST_AUTO_TEST_CASE(WithTheMechanismOffNothingIsLearned) {
  auto fixture = AfterASlowStream(false);
  BOOST_TEST(fixture->gateway->slow_engines() == 0u);
  BOOST_TEST(fixture->more_gateways.front()->slow_engines() == 0u);
}

}  // namespace
}  // namespace gullward

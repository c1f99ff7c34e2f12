// Real gateways follow the operator's evacuations of data centres.

#define BOOST_TEST_MODULE evacuation_process
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>

#include "absl/strings/match.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

constexpr char kOperatorTopic[] = "keyed.op";
constexpr Duration kPause = milliseconds(3);

// Lists a model engine in this data centre.
void ListIn(GatewayFixture* fixture, const EngineStandin& engine, const std::string& data_centre) {
  EngineRecord record{engine.id(), "models", engine.address(), data_centre, 16, false};
  fixture->store.Put("keyed.servers", engine.id(), platform::EngineDocument(record));
}

// A fixture whose first model engine is in hall-2, and the others in hall-1 as all gateways are.
std::unique_ptr<GatewayFixture> FixtureWithTwoHalls(const GatewayFixtureOptions& options = {},
                                                    bool is_evacuated = false) {
  auto fixture = std::make_unique<GatewayFixture>(options);
  ListIn(fixture.get(), *fixture->engines[0], "hall-2");
  fixture->Publish(fixture->DefaultConfig());
  if (is_evacuated) fixture->store.Put(kOperatorTopic, "evacuate/hall-2", "{}");
  fixture->StartGateway();
  return fixture;
}

void Evacuate(GatewayFixture* fixture, const std::string& data_centre) {
  fixture->store.Put(kOperatorTopic, "evacuate/" + data_centre, "{}");
  BOOST_REQUIRE(fixture->RunUntil(
      [&] { return fixture->gateway->EvacuatedDataCentres().count(data_centre) != 0; }));
}

// Sends requests that all fail at the engines outside hall-2, so that each tries a second engine.
void SendFailingElsewhere(GatewayFixture* fixture) {
  for (size_t i = 1; i < fixture->engines.size(); ++i) {
    fixture->engines[i]->FailAll(EngineFault::kNotRun);
  }
  fixture->SendMany(10, "more", kPause,
                    [fixture](const std::string& id) { return fixture->StreamRequest(id); });
}

BOOST_AUTO_TEST_CASE(AnEvacuatedEngineGetsNoRequestsAndNoRetries) {
  auto fixture = FixtureWithTwoHalls();
  Evacuate(fixture.get(), "hall-2");
  SendFailingElsewhere(fixture.get());
  BOOST_TEST(fixture->engines[0]->received().empty());
}

BOOST_AUTO_TEST_CASE(TakenBackItGetsRequestsAgain) {
  auto fixture = FixtureWithTwoHalls();
  Evacuate(fixture.get(), "hall-2");
  fixture->store.Remove(kOperatorTopic, "evacuate/hall-2");
  BOOST_REQUIRE(
      fixture->RunUntil([&] { return fixture->gateway->EvacuatedDataCentres().empty(); }));
  SendFailingElsewhere(fixture.get());
  BOOST_TEST(!fixture->engines[0]->received().empty());
}

BOOST_AUTO_TEST_CASE(AGatewayThatStartsLaterFollowsTheEvacuation) {
  auto fixture = FixtureWithTwoHalls({}, /*is_evacuated=*/true);
  SendFailingElsewhere(fixture.get());
  BOOST_TEST(fixture->engines[0]->received().empty());
}

BOOST_AUTO_TEST_CASE(SwitchedOffItIsOnlyLogged) {
  GatewayFixtureOptions options;
  options.mechanisms.evacuation = false;
  auto fixture = FixtureWithTwoHalls(options);
  Evacuate(fixture.get(), "hall-2");
  SendFailingElsewhere(fixture.get());
  BOOST_TEST(!fixture->engines[0]->received().empty());
}

BOOST_AUTO_TEST_CASE(WhatRunsThereEndsByItself) {
  GatewayFixtureOptions options{.engines = 1};
  options.engine.events = 40;
  auto fixture = FixtureWithTwoHalls(options);
  auto running = fixture->Send(fixture->StreamRequest("running"));
  BOOST_REQUIRE(fixture->RunUntil([&] { return !running->body.empty(); }));
  Evacuate(fixture.get(), "hall-2");
  BOOST_REQUIRE(fixture->RunUntil([&] { return running->done; }));
  BOOST_TEST(running->whole());
  BOOST_TEST(fixture->RunsOf("running") == 1);
}

BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceIfAllEnginesAreEvacuated) {
  auto fixture = FixtureWithTwoHalls({.engines = 1});
  Evacuate(fixture.get(), "hall-2");
  Reply refused = fixture->Call(fixture->StreamRequest("late"));
  BOOST_TEST(refused.head.status == 503);
  BOOST_TEST(absl::StrContains(refused.body, "\"code\":2018"));
  BOOST_TEST(FindHeader(refused.head.headers, platform::kRetryAfter).has_value());
  BOOST_TEST(fixture->RunsOf("late") == 0);
  BOOST_TEST(fixture->Call(fixture->SafeRequest("look")).head.status == 200);
}

// The evacuations that can be read hold, whatever else the operator's topic has.
BOOST_AUTO_TEST_CASE(OtherRecordsOfTheTopicChangeNothing) {
  auto fixture = FixtureWithTwoHalls();
  Evacuate(fixture.get(), "hall-2");
  fixture->store.Put(kOperatorTopic, "evacuate/", "{}");
  fixture->store.Put(kOperatorTopic, "evacuate/hall-2", "not JSON");
  fixture->store.PutRaw(kOperatorTopic, "");
  Evacuate(fixture.get(), "hall-nobody-has");
  BOOST_TEST(fixture->gateway->EvacuatedDataCentres().size() == 2u);
  SendFailingElsewhere(fixture.get());
  BOOST_TEST(fixture->engines[0]->received().empty());
}

}  // namespace
}  // namespace gullward

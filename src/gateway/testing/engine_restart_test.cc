// A gateway whose engines start again under their id, or whose list holds entries that
// no engine wrote.

#define BOOST_TEST_MODULE engine_restart
#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

constexpr const char* kEngines = "keyed.servers";

std::unique_ptr<GatewayFixture> StartedWorld(const GatewayFixtureOptions& options) {
  auto world = std::make_unique<GatewayFixture>(options);
  world->Publish(world->DefaultConfig());
  world->StartGateway();
  return world;
}

// Lists a life of an engine.
void ListLife(GatewayFixture* world, const EngineStandin& engine, const std::string& service,
              int64_t born) {
  EngineRecord record{engine.id(), service, engine.address(), "hall-1", 16, false, born};
  world->store.Put(kEngines, engine.id(), platform::EngineDocument(record));
}

// Sends requests that may be repeated, a few at a time so that each idle engine gets one,
// until `engine` has got one.
bool ServesSoon(GatewayFixture* world, const EngineStandin& engine) {
  constexpr int kAtOnce = 4;
  size_t before = engine.seen().size();
  int calls = 0;
  return world->RunUntil([&] {
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < kAtOnce; ++i) {
      std::string id = absl::StrCat(engine.id(), "-", before, "-", calls++);
      replies.push_back(world->Send(world->SafeRequest(id)));
    }
    for (const auto& reply : replies) world->RunUntil([&] { return reply->done; });
    return engine.seen().size() > before;
  });
}

BOOST_AUTO_TEST_CASE(ALaterLifeElsewhereGetsTheWorkAndAnEarlierEntryDoesNotBringItBack) {
  auto world = StartedWorld({.engines = 1, .apps = 1});
  EngineStandin& first = *world->apps[0];
  EngineStandin second(&world->loop, {.id = first.id()});
  ListLife(world.get(), second, "app", 9);
  BOOST_TEST(ServesSoon(world.get(), second));
  size_t served_by_first = first.seen().size();
  ListLife(world.get(), first, "app", 5);
  // A marker behind it in the same log shows when the earlier entry has been read.
  EngineStandin marker(&world->loop, {.id = "app-marker"});
  ListLife(world.get(), marker, "app", 1);
  BOOST_TEST(ServesSoon(world.get(), marker));
  for (int i = 0; i < 10; ++i) world->Call(world->SafeRequest(absl::StrCat("after-", i)));
  BOOST_TEST(first.seen().size() == served_by_first);
}

// What may have run before the restart is never said to be not run after it.
BOOST_AUTO_TEST_CASE(WhatMayHaveRunBeforeARestartIsNotSaidToBeNotRun) {
  auto world = StartedWorld({.engines = 1, .apps = 1});
  EngineStandin& engine = *world->apps[0];
  engine.FailNext(EngineFault::kSilent);
  std::shared_ptr<Reply> reply = world->Send(world->OnceRequest("once"));
  BOOST_REQUIRE(world->RunUntil([&] { return engine.seen().size() == 1; }));
  EngineStandin again(&world->loop, {.id = engine.id()});
  ListLife(world.get(), again, "app", 9);
  BOOST_TEST(ServesSoon(world.get(), again));
  BOOST_TEST(world->RunUntil([&] { return reply->done; }));
  int status = reply->head.status;
  BOOST_TEST((status == 502 || status == 504));
  BOOST_TEST(world->RunsOf("once") <= 1);
}

// Connections to an earlier life are not used for the next one: nobody answers there.
BOOST_AUTO_TEST_CASE(TheNextLifeGetsNewConnections) {
  auto world = StartedWorld({.engines = 1, .apps = 1});
  EngineStandin& first = *world->apps[0];
  world->Call(world->SafeRequest("warm"));
  // The earlier life's machine has lost power: its connections stay open and silent.
  first.FailAll(EngineFault::kSilent);
  EngineStandin second(&world->loop, {.id = first.id()});
  ListLife(world.get(), second, "app", 9);
  BOOST_TEST(ServesSoon(world.get(), second));
  size_t silent = first.seen().size();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(world->Call(world->SafeRequest(absl::StrCat("n-", i))).head.status == 200);
  }
  BOOST_TEST(first.seen().size() == silent);
}

// An engine that has started again holds nothing; its ticket must not be asked for anew
// by what was meant to prolong it.
BOOST_AUTO_TEST_CASE(TicketsOfAnEarlierLifeAreNotProlonged) {
  GatewayFixtureOptions options;
  options.engines = 2;
  // Long enough for two prolongations.
  options.engine.events = 10;
  options.engine.event_every = milliseconds(450);
  auto world = StartedWorld(options);
  std::string request = world->StreamRequest("vast");
  request.replace(request.find("1000,80"), 7, "400000,800");
  std::shared_ptr<Reply> reply = world->Send(request);
  EngineStandin* helper = nullptr;
  BOOST_REQUIRE(world->RunUntil([&] {
    for (auto& engine : world->engines) helper = engine->tickets().empty() ? helper : engine.get();
    return helper != nullptr && !reply->body.empty();
  }));
  ListLife(world.get(), *helper, "models", 9);
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->engine_restarts() == 1; }));
  BOOST_REQUIRE(!reply->done);
  helper->ForgetTickets();
  bool prolonged = false;
  BOOST_TEST(world->RunUntil([&] {
    prolonged = prolonged || !helper->tickets().empty();
    return reply->done;
  }));
  BOOST_TEST(!prolonged);
}

struct ForeignRow {
  const char* what;
  std::string key;
  std::string value;
};

// Entries that no engine wrote cost none of the others, whether they are read with the
// whole list or as changes.
BOOST_AUTO_TEST_CASE(EntriesOfAnotherWriterCostNoEngine) {
  const ForeignRow table[] = {
      {"no JSON", "x-1", "\x01\xff\xfe"},
      {"another shape", "x-2", "[1,2]"},
      {"fields missing", "x-3", R"({"service":"app"})"},
      {"another state", "x-4", R"({"service":"app","address":"127.0.0.1:1","state":"idle"})"},
      {"key that is no name", std::string("x\r\n\xff", 4), "{}"},
      {"deep", "x-5", std::string(20'000, '[')},
  };
  for (bool before_start : {true, false}) {
    GatewayFixture world({.engines = 1, .apps = 1});
    world.Publish(world.DefaultConfig());
    if (!before_start) world.StartGateway();
    for (const ForeignRow& row : table) world.store.Put(kEngines, row.key, row.value);
    if (before_start) world.StartGateway();
    EngineStandin late(&world.loop, {.id = "app-late"});
    ListLife(&world, late, "app", 1);
    BOOST_TEST(ServesSoon(&world, late));
    BOOST_TEST(ServesSoon(&world, *world.apps[0]));
    BOOST_TEST(world.gateway->unreadable_entries() == std::size(table));
  }
}

// A record that is unreadable as such (its key's length is wrong) costs neither the rest
// of the read nor the reads after it.
BOOST_AUTO_TEST_CASE(ARecordWithoutAKeyDoesNotStopTheList) {
  auto world = StartedWorld({.engines = 1, .apps = 1});
  world->store.PutRaw(kEngines, std::string("\x09x", 2));
  EngineStandin late(&world->loop, {.id = "app-late"});
  ListLife(world.get(), late, "app", 1);
  BOOST_TEST(ServesSoon(world.get(), late));
  BOOST_TEST(world->gateway->unreadable_entries() >= 1u);
}

// An entry that has become unreadable names its engine no longer; once it is written
// well again, the engine is back.
BOOST_AUTO_TEST_CASE(AnEngineWhoseEntryWasOverwrittenIsBackWithItsNextEntry) {
  auto world = StartedWorld({.engines = 1, .apps = 2});
  EngineStandin& overwritten = *world->apps[0];
  world->store.Put(kEngines, overwritten.id(), "{}");
  BOOST_TEST(world->RunUntil([&] { return world->gateway->unreadable_entries() == 1; }));
  size_t before = overwritten.seen().size();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(world->Call(world->SafeRequest(absl::StrCat("w-", i))).head.status == 200);
  }
  BOOST_TEST(overwritten.seen().size() == before);
  world->ListEngine(overwritten, "app");
  BOOST_TEST(ServesSoon(world.get(), overwritten));
}

}  // namespace
}  // namespace gullward

// An engine that has said in an answer that it leaves gets nothing more, whatever its entry on
// the engines' list says.
//
// What was seen: an engine got requests 3.8 and 5.9 seconds after an answer of its own had told
// the gateway that sent them that it leaves; two are allowed.
//
// How it came about: the store was away, so the engine's entry still said that it was ready,
// and the gateways knew of its leaving by the list alone.
//
// The cause: what an engine says of itself in an answer was not kept.
//
// What proved it: the first case here, in which all twenty later requests reached the engine.

#define BOOST_TEST_MODULE engine_leaving
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_world.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

constexpr Duration kPause = milliseconds(3);
const EngineNotice kLeaving{.leaving = true};

std::unique_ptr<GatewayWorld> StartedWorld(const WorldOptions& options, int gateways = 1) {
  auto world = std::make_unique<GatewayWorld>(options);
  world->Publish(world->DefaultConfig());
  world->StartGateway();
  while (world->more_gateways.size() + 1 < static_cast<size_t>(gateways)) world->AddGateway();
  return world;
}

std::vector<std::shared_ptr<Reply>> SendMany(GatewayWorld* world, int count,
                                             const std::string& name) {
  return world->SendMany(count, name, kPause,
                         [world](const std::string& id) { return world->StreamRequest(id); });
}

// The engine that short requests fill first.
EngineStandin& FirstInOrder(GatewayWorld* world) {
  BOOST_REQUIRE(world->Call(world->StreamRequest("first")).head.status == 200);
  auto has_seen = [](const auto& engine) { return !engine->seen().empty(); };
  return **std::find_if(world->engines.begin(), world->engines.end(), has_seen);
}

// Has the engine tell the first gateway.
void LetTell(GatewayWorld* world, EngineStandin* engine) {
  engine->Say(kLeaving);
  size_t before = engine->seen().size();
  BOOST_REQUIRE(world->Call(world->StreamRequest("told")).head.status == 200);
  BOOST_REQUIRE(engine->seen().size() == before + 1);
}

bool AllServed(const std::vector<std::shared_ptr<Reply>>& replies) {
  return std::all_of(replies.begin(), replies.end(),
                     [](const auto& reply) { return reply->head.status == 200; });
}

BOOST_AUTO_TEST_CASE(AnEngineThatSaysItLeavesGetsNothingMore) {
  auto world = StartedWorld({.engines = 2});
  EngineStandin& leaving = FirstInOrder(world.get());
  LetTell(world.get(), &leaving);
  size_t told = leaving.seen().size();
  BOOST_TEST(AllServed(SendMany(world.get(), 20, "more")));
  BOOST_TEST(leaving.seen().size() == told);
}

// An entry that lapses in an outage comes back as ready, and copies of the list may be old.
BOOST_AUTO_TEST_CASE(NoEntryOfTheListTakesItBack) {
  auto world = StartedWorld({.engines = 2});
  EngineStandin& leaving = FirstInOrder(world.get());
  LetTell(world.get(), &leaving);
  size_t told = leaving.seen().size();
  size_t usable = world->gateway->UsableEngines();
  world->store.Remove("keyed.servers", leaving.id());
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->UsableEngines() == usable - 1; }));
  world->ListEngine(leaving, "models");
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->UsableEngines() == usable; }));
  SendMany(world.get(), 20, "more");
  BOOST_TEST(leaving.seen().size() == told);
}

// A leaving that the list has announced is no different.
BOOST_AUTO_TEST_CASE(AnAnnouncedLeavingIsNotTakenBackByTheListEither) {
  auto world = StartedWorld({.engines = 2});
  EngineStandin& leaving = FirstInOrder(world.get());
  size_t usable = world->gateway->UsableEngines();
  auto is_out = [&] { return world->gateway->UsableEngines() == usable - 1; };
  world->ListEngine(leaving, "models", /*draining=*/true);
  BOOST_REQUIRE(world->RunUntil(is_out));
  size_t told = leaving.seen().size();
  world->store.Remove("keyed.servers", leaving.id());
  world->ListEngine(leaving, "models");
  // An engine that is listed after it, so that the change before has been read.
  EngineRecord next{"engine-9", "models", leaving.address(), "hall-1", 16, false};
  world->store.Put("keyed.servers", next.id, platform::EngineDocument(next));
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->UsableEngines() >= usable; }));
  world->store.Remove("keyed.servers", next.id);
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->UsableEngines() < usable; }));
  SendMany(world.get(), 20, "more");
  BOOST_TEST(leaving.seen().size() == told);
}

BOOST_AUTO_TEST_CASE(NoRetryGoesThere) {
  auto world = StartedWorld({.engines = 2});
  EngineStandin& leaving = FirstInOrder(world.get());
  LetTell(world.get(), &leaving);
  size_t told = leaving.seen().size();
  for (const auto& engine : world->engines) {
    if (engine.get() != &leaving) engine->FailAll(EngineFault::kNotRun);
  }
  SendMany(world.get(), 20, "more");
  BOOST_TEST(leaving.seen().size() == told);
}

BOOST_AUTO_TEST_CASE(WhereAllLeaveCallersAreRefusedAtOnce) {
  auto world = StartedWorld({.engines = 1});
  LetTell(world.get(), world->engines[0].get());
  Reply refused = world->Call(world->StreamRequest("late"));
  BOOST_TEST(refused.head.status == 503);
  BOOST_TEST(absl::StrContains(refused.body, "\"code\":2017"));
  BOOST_TEST(FindHeader(refused.head.headers, platform::kRetryAfter).has_value());
  BOOST_TEST(world->RunsOf("late") == 0);
}

// All leave, as their answers to short requests say, so nobody may help with a long one.
BOOST_AUTO_TEST_CASE(ItReadsForNoOther) {
  auto world = StartedWorld({.engines = 3});
  for (const auto& engine : world->engines) engine->Say(kLeaving);
  // One after the other is told of and left alone.
  for (int i = 0; i < 3; ++i) world->Call(world->StreamRequest(absl::StrCat("told-", i)));
  std::string request = world->StreamRequest("vast");
  request.replace(request.find("1000,80"), 7, "200000,80");
  world->Call(request);
  for (const auto& engine : world->engines) {
    for (const EngineStandin::Seen& seen : engine->seen()) {
      BOOST_TEST(!FindHeader(seen.request.head.headers, platform::kReaders));
    }
  }
}

BOOST_AUTO_TEST_CASE(TheOtherGatewaysHearOfIt) {
  auto world = StartedWorld({.engines = 2}, /*gateways=*/2);
  EngineStandin& leaving = FirstInOrder(world.get());
  LetTell(world.get(), &leaving);
  size_t told = leaving.seen().size();
  BOOST_REQUIRE(world->RunUntil([&] { return world->more_gateways[0]->engines_leaving() == 1; }));
  SendMany(world.get(), 20, "more");
  BOOST_TEST(leaving.seen().size() == told);
}

// It ends by plan, though its entry still says ready: nothing that ran there is the cause.
BOOST_AUTO_TEST_CASE(ItsEndIsBlamedOnNoRequest) {
  WorldOptions options{.engines = 2};
  options.engine.events = 1000;
  auto world = StartedWorld(options);
  auto running = world->Send(world->StreamRequest("running"));
  auto runs_on = [&]() -> EngineStandin* {
    for (const auto& engine : world->engines) {
      if (!engine->seen().empty()) return engine.get();
    }
    return nullptr;
  };
  BOOST_REQUIRE(world->RunUntil([&] { return runs_on() != nullptr && !running->body.empty(); }));
  EngineStandin& leaving = *runs_on();
  leaving.Say(kLeaving);
  auto told = world->Send(world->StreamRequest("told"));
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->engines_leaving() == 1; }));
  leaving.End();
  BOOST_REQUIRE(world->RunUntil([&] { return running->done && told->done; }));
  BOOST_TEST(running->whole());
  BOOST_TEST(world->gateway->suspects() == 0u);
}

// A socket at which connections neither come about nor fail: its queue is full.
class FullListener {
 public:
  explicit FullListener(EventLoop* loop) : fd(ListenTcp({"127.0.0.1", 0}).value()) {
    listen(this->fd, 0);
    for (int i = 0; i < kFill; ++i)
      this->filling.push_back(TcpStream::Connect(loop, this->address()));
  }
  ~FullListener() { close(this->fd); }

  SocketAddress address() const { return {"127.0.0.1", LocalPort(this->fd)}; }

 private:
  // The kernel takes one more than the queue's length.
  static constexpr int kFill = 2;
  int fd;
  std::vector<std::shared_ptr<TcpStream>> filling;
};

// A request whose connection does not stand yet has reached nobody.
BOOST_AUTO_TEST_CASE(WhatWaitsForAConnectionIsTakenElsewhere) {
  // Changes of the list are read at once, long before a connection that does not come about is
  // given up.
  WorldOptions options{.apps = 1, .leaving_bound = milliseconds(100)};
  options.mechanisms.leave_silent_engines = false;
  auto world = StartedWorld(options);
  FullListener full(&world->loop);
  EngineRecord stuck{"app-9", "app", full.address(), "hall-1", 16, false};
  world->store.Put("keyed.servers", stuck.id, platform::EngineDocument(stuck));
  BOOST_REQUIRE(world->RunUntil([&] { return world->gateway->HasEngine(stuck.id); }));
  // The second finds the first at the engine that was chosen for it.
  auto one = world->Send(world->OnceRequest("one"));
  auto other = world->Send(world->OnceRequest("other"));
  BOOST_REQUIRE(world->RunUntil([&] { return one->done || other->done; }));
  BOOST_TEST(!(one->done && other->done));
  stuck.draining = true;
  world->store.Put("keyed.servers", stuck.id, platform::EngineDocument(stuck));
  BOOST_REQUIRE(world->RunUntil([&] { return one->done && other->done; }));
  for (const auto& reply : {one, other}) BOOST_TEST(reply->head.status == 200);
  BOOST_TEST(world->RunsOf("one") == 1);
  BOOST_TEST(world->RunsOf("other") == 1);
  // Not by the connection's failure.
  BOOST_TEST(world->gateway->SetAside().count(stuck.id) == 0u);
}

}  // namespace
}  // namespace gullward

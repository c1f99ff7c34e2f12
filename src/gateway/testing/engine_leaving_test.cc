// An engine that has stated in an answer that it leaves gets no more requests, whatever its entry
// on the engine list says.
//
// Failure guarded against: an engine got requests 3.8 and 5.9 seconds after its own answer to
// the sending gateway had stated that it leaves; two seconds are allowed.
//
// How it comes about: the store is away, so the engine's entry still says that it is ready.  A
// gateway that takes the state of engines from the list alone, and does not keep what engines
// state in their answers, goes on choosing the engine.

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
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

constexpr Duration kPause = milliseconds(3);
const EngineNotice kLeaving{.leaving = true};

std::vector<std::shared_ptr<Reply>> SendMany(GatewayFixture* fixture, int count,
                                             const std::string& name) {
  return fixture->SendMany(count, name, kPause,
                           [fixture](const std::string& id) { return fixture->StreamRequest(id); });
}

// Returns the engine that a gateway without load chooses first for a short request.
EngineStandin& FirstChosenEngine(GatewayFixture* fixture) {
  BOOST_REQUIRE(fixture->Call(fixture->StreamRequest("first")).head.status == 200);
  auto has_seen = [](const auto& engine) { return !engine->received().empty(); };
  return **std::find_if(fixture->engines.begin(), fixture->engines.end(), has_seen);
}

// Makes the engine state its leaving in an answer through the first gateway.
void ReportLeaving(GatewayFixture* fixture, EngineStandin* engine) {
  engine->SetNotice(kLeaving);
  size_t before = engine->received().size();
  BOOST_REQUIRE(fixture->Call(fixture->StreamRequest("notice")).head.status == 200);
  BOOST_REQUIRE(engine->received().size() == before + 1);
}

bool AllServed(const std::vector<std::shared_ptr<Reply>>& replies) {
  return std::all_of(replies.begin(), replies.end(),
                     [](const auto& reply) { return reply->head.status == 200; });
}

BOOST_AUTO_TEST_CASE(ALeavingEngineGetsNoMoreRequests) {
  auto fixture = StartedFixture({.engines = 2});
  EngineStandin& leaving = FirstChosenEngine(fixture.get());
  ReportLeaving(fixture.get(), &leaving);
  size_t seen_before = leaving.received().size();
  BOOST_TEST(AllServed(SendMany(fixture.get(), 20, "more")));
  BOOST_TEST(leaving.received().size() == seen_before);
}

// An entry that expires in an outage may be listed again as ready, and copies of the list may be
// old.
BOOST_AUTO_TEST_CASE(NoEntryOfTheListEndsALeaving) {
  auto fixture = StartedFixture({.engines = 2});
  EngineStandin& leaving = FirstChosenEngine(fixture.get());
  ReportLeaving(fixture.get(), &leaving);
  size_t seen_before = leaving.received().size();
  size_t usable = fixture->gateway->UsableEngines();
  fixture->store.Remove("keyed.servers", leaving.id());
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->UsableEngines() == usable - 1; }));
  fixture->ListEngine(leaving, "models");
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->UsableEngines() == usable; }));
  SendMany(fixture.get(), 20, "more");
  BOOST_TEST(leaving.received().size() == seen_before);
}

// The same holds for a leaving that the engine list has announced.
BOOST_AUTO_TEST_CASE(NoEntryOfTheListEndsAnAnnouncedLeaving) {
  auto fixture = StartedFixture({.engines = 2});
  EngineStandin& leaving = FirstChosenEngine(fixture.get());
  size_t usable = fixture->gateway->UsableEngines();
  auto is_unusable = [&] { return fixture->gateway->UsableEngines() == usable - 1; };
  fixture->ListEngine(leaving, "models", /*draining=*/true);
  BOOST_REQUIRE(fixture->RunUntil(is_unusable));
  size_t seen_before = leaving.received().size();
  fixture->store.Remove("keyed.servers", leaving.id());
  fixture->ListEngine(leaving, "models");
  // A later entry: once the gateway has read it, it has read the entry above too.
  EngineRecord next{"engine-9", "models", leaving.address(), "hall-1", 16, false};
  fixture->store.Put("keyed.servers", next.id, platform::EngineDocument(next));
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->UsableEngines() >= usable; }));
  fixture->store.Remove("keyed.servers", next.id);
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->UsableEngines() < usable; }));
  SendMany(fixture.get(), 20, "more");
  BOOST_TEST(leaving.received().size() == seen_before);
}

BOOST_AUTO_TEST_CASE(ALeavingEngineGetsNoRetries) {
  auto fixture = StartedFixture({.engines = 2});
  EngineStandin& leaving = FirstChosenEngine(fixture.get());
  ReportLeaving(fixture.get(), &leaving);
  size_t seen_before = leaving.received().size();
  for (const auto& engine : fixture->engines) {
    if (engine.get() != &leaving) engine->FailAll(EngineFault::kNotRun);
  }
  SendMany(fixture.get(), 20, "more");
  BOOST_TEST(leaving.received().size() == seen_before);
}

BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceIfAllEnginesLeave) {
  auto fixture = StartedFixture({.engines = 1});
  ReportLeaving(fixture.get(), fixture->engines[0].get());
  Reply refused = fixture->Call(fixture->StreamRequest("late"));
  BOOST_TEST(refused.head.status == 503);
  BOOST_TEST(absl::StrContains(refused.body, "\"code\":2017"));
  BOOST_TEST(FindHeader(refused.head.headers, platform::kRetryAfter).has_value());
  BOOST_TEST(fixture->RunsOf("late") == 0);
}

// All engines leave, as their answers to short requests state, so none may read a part of a long
// prompt for another.
BOOST_AUTO_TEST_CASE(ALeavingEngineIsNoReader) {
  auto fixture = StartedFixture({.engines = 3});
  for (const auto& engine : fixture->engines) engine->SetNotice(kLeaving);
  // Each request reaches an engine whose leaving is not known yet.
  for (int i = 0; i < 3; ++i) fixture->Call(fixture->StreamRequest(absl::StrCat("notice-", i)));
  std::string request = fixture->StreamRequest("very-long");
  request.replace(request.find("1000,80"), 7, "200000,80");
  fixture->Call(request);
  for (const auto& engine : fixture->engines) {
    for (const EngineStandin::ReceivedRequest& seen : engine->received()) {
      BOOST_TEST(!FindHeader(seen.request.head.headers, platform::kReaders));
    }
  }
}

BOOST_AUTO_TEST_CASE(TheOtherGatewaysLearnOfALeaving) {
  auto fixture = StartedFixture({.engines = 2}, /*gateways=*/2);
  EngineStandin& leaving = FirstChosenEngine(fixture.get());
  ReportLeaving(fixture.get(), &leaving);
  size_t seen_before = leaving.received().size();
  BOOST_REQUIRE(
      fixture->RunUntil([&] { return fixture->more_gateways[0]->engines_leaving() == 1; }));
  SendMany(fixture.get(), 20, "more");
  BOOST_TEST(leaving.received().size() == seen_before);
}

// The engine's end is planned, though its entry still says that it is ready, so no request that ran
// there is suspected of crashing it.
BOOST_AUTO_TEST_CASE(TheEndOfALeavingEngineMakesNoRequestSuspect) {
  GatewayFixtureOptions options{.engines = 2};
  options.engine.events = 1000;
  auto fixture = StartedFixture(options);
  auto running = fixture->Send(fixture->StreamRequest("running"));
  auto runs_on = [&]() -> EngineStandin* {
    for (const auto& engine : fixture->engines) {
      if (!engine->received().empty()) return engine.get();
    }
    return nullptr;
  };
  BOOST_REQUIRE(fixture->RunUntil([&] { return runs_on() != nullptr && !running->body.empty(); }));
  EngineStandin& leaving = *runs_on();
  leaving.SetNotice(kLeaving);
  auto with_notice = fixture->Send(fixture->StreamRequest("notice"));
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->engines_leaving() == 1; }));
  leaving.Crash();
  BOOST_REQUIRE(fixture->RunUntil([&] { return running->done && with_notice->done; }));
  BOOST_TEST(running->whole());
  BOOST_TEST(fixture->gateway->suspects() == 0u);
}

// A listening socket whose queue is full, so that connections are neither established nor refused.
class FullListener {
 public:
  explicit FullListener(EventLoop* loop) : fd(ListenTcp({"127.0.0.1", 0}).value()) {
    listen(this->fd, 0);
    for (int i = 0; i < kConnections; ++i)
      this->connections.push_back(TcpStream::Connect(loop, this->address()));
  }
  ~FullListener() { close(this->fd); }

  SocketAddress address() const { return {"127.0.0.1", LocalPort(this->fd)}; }

 private:
  // The kernel accepts one connection more than the length of the queue.
  static constexpr int kConnections = 2;
  int fd;
  std::vector<std::shared_ptr<TcpStream>> connections;
};

// A request whose connection is not established yet has not reached any engine, so it is sent to
// another engine.
BOOST_AUTO_TEST_CASE(ARequestWithoutAConnectionIsSentElsewhere) {
  // The change of the list is read long before the attempt to connect fails.
  GatewayFixtureOptions options{.apps = 1, .leaving_bound = milliseconds(100)};
  options.mechanisms.leave_silent_engines = false;
  auto fixture = StartedFixture(options);
  FullListener full(&fixture->loop);
  EngineRecord stuck{"app-9", "app", full.address(), "hall-1", 16, false};
  fixture->store.Put("keyed.servers", stuck.id, platform::EngineDocument(stuck));
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->HasEngine(stuck.id); }));
  // The second request is sent to the other engine, because the first one loads its engine.
  auto one = fixture->Send(fixture->OnceRequest("one"));
  auto other = fixture->Send(fixture->OnceRequest("other"));
  BOOST_REQUIRE(fixture->RunUntil([&] { return one->done || other->done; }));
  BOOST_TEST(!(one->done && other->done));
  stuck.draining = true;
  fixture->store.Put("keyed.servers", stuck.id, platform::EngineDocument(stuck));
  BOOST_REQUIRE(fixture->RunUntil([&] { return one->done && other->done; }));
  for (const auto& reply : {one, other}) BOOST_TEST(reply->head.status == 200);
  BOOST_TEST(fixture->RunsOf("one") == 1);
  BOOST_TEST(fixture->RunsOf("other") == 1);
  // The request was withdrawn because of the engine's entry, not because the connection failed.
  BOOST_TEST(fixture->gateway->SetAside().count(stuck.id) == 0u);
}

}  // namespace
}  // namespace gullward

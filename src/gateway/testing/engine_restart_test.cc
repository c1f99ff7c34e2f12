// Engines that restart under the same id, and entries of the engine list that no engine wrote.

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

// Lists one incarnation of an engine.  Incarnations of an id are ordered by `born`.
void ListIncarnation(GatewayFixture* fixture, const EngineStandin& engine,
                     const std::string& service, int64_t born) {
  EngineRecord record{engine.id(), service, engine.address(), "hall-1", 16, false, born};
  fixture->store.Put(kEngines, engine.id(), platform::EngineDocument(record));
}

// Sends repeatable requests until `engine` gets one; false if it does not in time.  Several are
// sent at a time, so that each idle engine gets one.
bool ServesSoon(GatewayFixture* fixture, const EngineStandin& engine) {
  constexpr int kAtOnce = 4;
  size_t before = engine.received().size();
  int calls = 0;
  return fixture->RunUntil([&] {
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < kAtOnce; ++i) {
      std::string id = absl::StrCat(engine.id(), "-", before, "-", calls++);
      replies.push_back(fixture->Send(fixture->SafeRequest(id)));
    }
    for (const auto& reply : replies) fixture->RunUntil([&] { return reply->done; });
    return engine.received().size() > before;
  });
}

BOOST_AUTO_TEST_CASE(ALaterIncarnationGetsTheRequestsDespiteAnEarlierEntry) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  EngineStandin& earlier = *fixture->apps[0];
  EngineStandin later(&fixture->loop, {.id = earlier.id()});
  ListIncarnation(fixture.get(), later, "app", 9);
  BOOST_TEST(ServesSoon(fixture.get(), later));
  size_t served_by_earlier = earlier.received().size();
  ListIncarnation(fixture.get(), earlier, "app", 5);
  // A later entry in the same topic: when the gateway uses this engine, it has read the earlier
  // entry too.
  EngineStandin marker(&fixture->loop, {.id = "app-marker"});
  ListIncarnation(fixture.get(), marker, "app", 1);
  BOOST_TEST(ServesSoon(fixture.get(), marker));
  for (int i = 0; i < 10; ++i) fixture->Call(fixture->SafeRequest(absl::StrCat("after-", i)));
  BOOST_TEST(earlier.received().size() == served_by_earlier);
}

// A request that may have run before the restart must not be reported as not run after it.
BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsNotReportedAsNotRun) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  EngineStandin& engine = *fixture->apps[0];
  engine.FailNext(EngineFault::kSilent);
  std::shared_ptr<Reply> reply = fixture->Send(fixture->OnceRequest("once"));
  BOOST_REQUIRE(fixture->RunUntil([&] { return engine.received().size() == 1; }));
  EngineStandin again(&fixture->loop, {.id = engine.id()});
  ListIncarnation(fixture.get(), again, "app", 9);
  BOOST_TEST(ServesSoon(fixture.get(), again));
  BOOST_TEST(fixture->RunUntil([&] { return reply->done; }));
  int status = reply->head.status;
  BOOST_TEST((status == 502 || status == 504));
  BOOST_TEST(fixture->RunsOf("once") <= 1);
}

// Connections to an earlier incarnation are not used for the next one, since they get no answers.
BOOST_AUTO_TEST_CASE(ALaterIncarnationGetsNewConnections) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  EngineStandin& earlier = *fixture->apps[0];
  fixture->Call(fixture->SafeRequest("warm"));
  // The box of the earlier incarnation has lost power: its connections stay open and silent.
  earlier.FailAll(EngineFault::kSilent);
  EngineStandin later(&fixture->loop, {.id = earlier.id()});
  ListIncarnation(fixture.get(), later, "app", 9);
  BOOST_TEST(ServesSoon(fixture.get(), later));
  size_t silent = earlier.received().size();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(fixture->Call(fixture->SafeRequest(absl::StrCat("n-", i))).head.status == 200);
  }
  BOOST_TEST(earlier.received().size() == silent);
}

// An engine that has restarted holds no memory for a prompt.  A renewal of an old ticket must not
// reserve memory there again.
BOOST_AUTO_TEST_CASE(TicketsOfAnEarlierIncarnationAreNotRenewed) {
  GatewayFixtureOptions options;
  options.engines = 2;
  // The answer takes long enough for two renewals of the ticket.
  options.engine.events = 10;
  options.engine.event_interval = milliseconds(450);
  auto fixture = StartedFixture(options);
  std::string request = fixture->StreamRequest("very-long");
  request.replace(request.find("1000,80"), 7, "400000,800");
  std::shared_ptr<Reply> reply = fixture->Send(request);
  EngineStandin* helper = nullptr;
  BOOST_REQUIRE(fixture->RunUntil([&] {
    for (auto& engine : fixture->engines)
      helper = engine->tickets().empty() ? helper : engine.get();
    return helper != nullptr && !reply->body.empty();
  }));
  ListIncarnation(fixture.get(), *helper, "models", 9);
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->engine_restarts() == 1; }));
  BOOST_REQUIRE(!reply->done);
  helper->DropTickets();
  bool was_renewed = false;
  BOOST_TEST(fixture->RunUntil([&] {
    was_renewed = was_renewed || !helper->tickets().empty();
    return reply->done;
  }));
  BOOST_TEST(!was_renewed);
}

struct UnreadableEntry {
  const char* what;
  std::string key;
  std::string value;
};

// Entries that no engine wrote must not remove any engine, whether they are read with the whole
// list or as changes.
BOOST_AUTO_TEST_CASE(UnreadableEntriesRemoveNoEngine) {
  const UnreadableEntry table[] = {
      {"no JSON", "x-1", "\x01\xff\xfe"},
      {"another shape", "x-2", "[1,2]"},
      {"fields missing", "x-3", R"({"service":"app"})"},
      {"another state", "x-4", R"({"service":"app","address":"127.0.0.1:1","state":"idle"})"},
      {"key that is no name", std::string("x\r\n\xff", 4), "{}"},
      {"deep", "x-5", std::string(20'000, '[')},
  };
  for (bool before_start : {true, false}) {
    GatewayFixture fixture({.engines = 1, .apps = 1});
    fixture.Publish(fixture.DefaultConfig());
    if (!before_start) fixture.StartGateway();
    for (const UnreadableEntry& row : table) fixture.store.Put(kEngines, row.key, row.value);
    if (before_start) fixture.StartGateway();
    EngineStandin late(&fixture.loop, {.id = "app-late"});
    ListIncarnation(&fixture, late, "app", 1);
    BOOST_TEST(ServesSoon(&fixture, late));
    BOOST_TEST(ServesSoon(&fixture, *fixture.apps[0]));
    BOOST_TEST(fixture.gateway->unreadable_entries() == std::size(table));
  }
}

// A record that cannot be split into key and value (its key length is wrong) must not stop the
// current read or later reads of the list.
BOOST_AUTO_TEST_CASE(ARecordWithoutAKeyDoesNotStopTheReading) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  fixture->store.PutRaw(kEngines, std::string("\x09x", 2));
  EngineStandin late(&fixture->loop, {.id = "app-late"});
  ListIncarnation(fixture.get(), late, "app", 1);
  BOOST_TEST(ServesSoon(fixture.get(), late));
  BOOST_TEST(fixture->gateway->unreadable_entries() >= 1u);
}

// An engine whose entry was overwritten by an unreadable one gets no requests until its next
// readable entry.
BOOST_AUTO_TEST_CASE(AnEngineWithAnOverwrittenEntryReturnsWithItsNextEntry) {
  auto fixture = StartedFixture({.engines = 1, .apps = 2});
  EngineStandin& overwritten = *fixture->apps[0];
  fixture->store.Put(kEngines, overwritten.id(), "{}");
  BOOST_TEST(fixture->RunUntil([&] { return fixture->gateway->unreadable_entries() == 1; }));
  size_t before = overwritten.received().size();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(fixture->Call(fixture->SafeRequest(absl::StrCat("w-", i))).head.status == 200);
  }
  BOOST_TEST(overwritten.received().size() == before);
  fixture->ListEngine(overwritten, "app");
  BOOST_TEST(ServesSoon(fixture.get(), overwritten));
}

}  // namespace
}  // namespace gullward

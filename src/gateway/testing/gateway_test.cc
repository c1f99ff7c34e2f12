// Requests through a real gateway: each fault of an engine on each kind of route, faults of the
// store, API keys, shutdown, and malformed or forged input from callers.

#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/settings.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "serving/gateway_entry.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kWholeStream[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
    "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n";

template <typename Head>
std::string HeaderOf(const Head& head, std::string_view name) {
  return std::string(FindHeader(head.headers, name).value_or(""));
}

bool IsRefusal(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// Returns an engine that the first request of any engine names as a reader; null if there is none.
EngineStandin* ReaderOfFirstRequest(const GatewayFixture& fixture) {
  for (const auto& engine : fixture.engines) {
    if (engine->received().empty()) continue;
    std::string helpers = HeaderOf(engine->received().front().request.head, platform::kReaders);
    for (const auto& other : fixture.engines) {
      if (helpers.find(other->address().ToString()) != std::string::npos) return other.get();
    }
  }
  return nullptr;
}

BOOST_AUTO_TEST_CASE(EachKindOfRequestIsServedWhole) {
  auto fixture = StartedFixture();
  Reply stream = fixture->Call(fixture->StreamRequest("s1"));
  BOOST_TEST(stream.head.status == 200);
  BOOST_TEST(stream.body == kWholeStream);
  BOOST_TEST(absl::StartsWith(HeaderOf(stream.head, platform::kSeal), "seal-of-engine-"));
  BOOST_TEST(HeaderOf(stream.head, platform::kAttemptId) == "s1");
  for (const std::string& request : {fixture->SafeRequest("s2"), fixture->OnceRequest("s3")}) {
    Reply reply = fixture->Call(request);
    BOOST_TEST(reply.head.status == 200);
    BOOST_TEST(reply.body == "the whole answer");
  }
}

// Each engine has the fault for its first request only.
BOOST_AUTO_TEST_CASE(NoFaultOfAnEngineReachesTheCallerOfARepeatableRequest) {
  for (EngineFault fault : AllEngineFaults()) {
    auto fixture = StartedFixture();
    for (auto& engine : fixture->engines) engine->FailNext(fault);
    for (auto& app : fixture->apps) app->FailNext(fault);
    // There are two attempts and each engine has the fault, so the request succeeds only if the
    // fault leaves the answer usable or does not concern this request.
    Reply stream = fixture->Call(fixture->StreamRequest("s"));
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault)) {
      if (stream.head.status == 200 && stream.whole()) {
        BOOST_TEST(stream.body == kWholeStream);
      }
      BOOST_TEST(!absl::StrContains(stream.body, "not yours"));
      BOOST_TEST(!absl::StrContains(stream.body, "da\n"));
    }
  }
}

BOOST_AUTO_TEST_CASE(AStreamResumesOnAnotherEngineAfterItsLastWholeEvent) {
  for (EngineFault fault : {EngineFault::kTornEvent, EngineFault::kResetUnanswered,
                            EngineFault::kFailed, EngineFault::kUnsealed, EngineFault::kEncoded}) {
    auto fixture = StartedFixture({.engines = 2});
    // One engine has a fault.  A second attempt goes to the engine that was not tried, which is
    // healthy.
    fixture->engines[0]->FailNext(fault);
    Reply first = fixture->Call(fixture->StreamRequest("a"));
    Reply second = fixture->Call(fixture->StreamRequest("b"));
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault)) {
      BOOST_TEST(first.body == kWholeStream);
      BOOST_TEST(second.body == kWholeStream);
    }
  }
}

BOOST_AUTO_TEST_CASE(ANonRepeatableRequestRunsAtMostOnceAndIsNeverFalselyRefused) {
  for (EngineFault fault : AllEngineFaults()) {
    auto fixture = StartedFixture();
    for (auto& app : fixture->apps) app->FailAll(fault);
    if (fault == EngineFault::kSilent)
      continue;  // Has a test of its own, which waits for the deadline.
    Reply reply = fixture->Call(fixture->OnceRequest("once"));
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault)) {
      int runs = fixture->RunsOf("once");
      BOOST_TEST(runs <= 1);
      if (reply.whole() && IsRefusal(reply.head.status)) BOOST_TEST(runs == 0);
      if (reply.whole() && reply.head.status == 200) BOOST_TEST(reply.body == "the whole answer");
    }
  }
}

BOOST_AUTO_TEST_CASE(ASilentEngineLeadsToATimeoutThatDoesNotClaimNotRun) {
  auto fixture = StartedFixture();
  for (auto& app : fixture->apps) app->FailAll(EngineFault::kSilent);
  std::string request = fixture->OnceRequest("late");
  request.replace(request.find("4000"), 4, "0300");
  Reply reply = fixture->Call(request);
  BOOST_TEST(reply.head.status == 504);
  BOOST_TEST(fixture->RunsOf("late") == 1);
  BOOST_TEST(fixture->RunUntil([&] {
    bool cancelled = false;
    for (auto& app : fixture->apps) {
      for (const auto& seen : app->received()) cancelled = cancelled || seen.cancelled;
    }
    return cancelled;
  }));
}

BOOST_AUTO_TEST_CASE(ARefusalByAllEnginesMeansNotRunAndHasARetryTime) {
  auto fixture = StartedFixture();
  for (auto& app : fixture->apps) app->FailAll(EngineFault::kNotRun);
  Reply reply = fixture->Call(fixture->OnceRequest("full"));
  BOOST_TEST(reply.head.status == 503);
  BOOST_TEST(HeaderOf(reply.head, platform::kRetryAfter) != "");
  BOOST_TEST(fixture->RunsOf("full") == 0);
}

BOOST_AUTO_TEST_CASE(ARequestOfADisconnectedCallerIsCancelledAtTheEngine) {
  GatewayFixtureOptions options;
  options.engine.events = 1'000'000;
  auto fixture = StartedFixture(options);
  std::shared_ptr<Reply> reply = fixture->Send(fixture->StreamRequest("gone"));
  BOOST_TEST(fixture->RunUntil([&] { return !reply->body.empty(); }));
  fixture->DropCallers();
  BOOST_TEST(fixture->RunUntil([&] {
    for (auto& engine : fixture->engines) {
      for (const auto& seen : engine->received()) {
        if (seen.cancelled) return true;
      }
    }
    return false;
  }));
}

BOOST_AUTO_TEST_CASE(EnginesGetTheGatewaysFieldsAndNoForgedOnes) {
  auto fixture = StartedFixture();
  fixture->Call(
      fixture->StreamRequest("f",
                             "Tenant: thief\r\nExpect-Instance: other\r\nHelpers: 1.2.3.4:5\r\n"
                             "Priority: 0\r\nX-Mine: kept\r\nTE: trailers\r\n"
                             "Connection: keep-alive, Model\r\n"));
  const RequestHead* head = nullptr;
  for (auto& engine : fixture->engines) {
    if (!engine->received().empty()) head = &engine->received().front().request.head;
  }
  BOOST_REQUIRE(head != nullptr);
  auto value = [&](std::string_view name) {
    return std::string(FindHeader(head->headers, name).value_or("none"));
  };
  BOOST_TEST(value("Tenant") == "shop");
  BOOST_TEST(absl::StartsWith(value("Expect-Instance"), "engine-"));
  BOOST_TEST(value("Helpers") == "none");
  BOOST_TEST(value("Priority") == "none");
  BOOST_TEST(value("X-Api-Key") == "none");
  BOOST_TEST(value("TE") == "none");
  BOOST_TEST(value("X-Mine") == "kept");
  BOOST_TEST(value("Model") == "m");
  BOOST_TEST(value("Prompt-Prefix") == "aa:1000");
  uint64_t left = ParseCount(value("Deadline-Ms")).value_or(0);
  BOOST_TEST(left <= 8000u);
  BOOST_TEST(left > 0u);
}

// Only where the ranks of a service's requests differ, and with the route's rank.
BOOST_AUTO_TEST_CASE(EnginesGetTheRankWhereRanksDiffer) {
  struct Case {
    const char* what;
    int other_route;
    Mechanisms mechanisms;
    std::string expected;
  };
  Mechanisms off;
  off.ranks = false;
  const Case table[] = {{"the other route is more urgent", 0, {}, "1"},
                        {"equal ranks", 1, {}, "none"},
                        {"the mechanism is off", 0, off, "none"},
                        {"an invalid rank counts as 0", 12, {}, "1"}};
  for (const Case& test_case : table) {
    GatewayFixture fixture({.engines = 1, .mechanisms = test_case.mechanisms});
    json config = fixture.DefaultConfig();
    json other = config["routes"][0];
    other["pathPrefix"] = "/other/";
    other["priority"] = test_case.other_route;
    config["routes"].push_back(other);
    fixture.Publish(config);
    fixture.StartGateway();
    Reply reply = fixture.Call(fixture.StreamRequest("r", "Priority: 7\r\n"));
    const auto& received = fixture.engines[0]->received();
    BOOST_TEST_CONTEXT(test_case.what) {
      BOOST_TEST(reply.body == kWholeStream);
      BOOST_REQUIRE(received.size() == 1u);
      std::string_view rank =
          FindHeader(received[0].request.head.headers, platform::kPriority).value_or("none");
      BOOST_TEST(rank == test_case.expected);
    }
  }
}

struct BadRequest {
  const char* what;
  std::string text;
  int status;
};

BOOST_AUTO_TEST_CASE(MalformedInputIsAnsweredAtOnceAndReachesNoEngine) {
  auto fixture = StartedFixture();
  const std::string head =
      "POST /app/order/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: bad\r\n";
  const std::string key = "X-Api-Key: key-1\r\n";
  const BadRequest table[] = {
      {"no HTTP", "nonsense\r\n\r\n", 400},
      {"two lengths", head + key + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {"length beside chunks",
       head + key + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"unknown coding", head + key + "Transfer-Encoding: xchunked\r\n\r\nGET / HTTP/1.1\r\n\r\n",
       400},
      {"no key", head + "Content-Length: 0\r\n\r\n", 401},
      {"wrong key", head + "X-Api-Key: unknown\r\nContent-Length: 0\r\n\r\n", 401},
      {"deadline no number", head + key + "Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", 400},
      {"no such host", "GET /app/look/ HTTP/1.1\r\nHost: other\r\n" + key + "\r\n", 404},
      {"no such path", "GET /nowhere/ HTTP/1.1\r\nHost: test.example\r\n" + key + "\r\n", 404},
      {"head too large", head + "X-Long: " + std::string(20'000, 'a') + "\r\n\r\n", 431},
      {"body too large", head + key + "Content-Length: 2000000\r\n\r\n", 413},
  };
  for (const BadRequest& row : table) {
    BOOST_TEST_CONTEXT(row.what) {
      Reply reply = fixture->Call(row.text);
      BOOST_TEST(reply.head.status == row.status);
      BOOST_TEST(absl::StrContains(reply.body, "\"code\":"));
    }
  }
  for (auto& app : fixture->apps) BOOST_TEST(app->received().empty());
}

BOOST_AUTO_TEST_CASE(APipelinedRequestWaitsForTheAnswerBeforeIt) {
  auto fixture = StartedFixture();
  auto reply = fixture->Send(fixture->SafeRequest("p1") + fixture->SafeRequest("p2"));
  BOOST_TEST(fixture->RunUntil([&] { return reply->done; }));
  BOOST_TEST(reply->body == "the whole answer");
  BOOST_TEST(fixture->RunUntil([&] { return fixture->RunsOf("p2") == 1; }));
}

BOOST_AUTO_TEST_CASE(ARevokedKeyIsRefusedAndAVersionNeverGoesBack) {
  auto fixture = StartedFixture();
  BOOST_TEST(fixture->Call(fixture->SafeRequest("k1")).head.status == 200);
  json config = fixture->DefaultConfig();
  config["version"] = 7;
  config["tenants"][0]["apiKeys"] = {"key-2"};
  fixture->Publish(config);
  BOOST_TEST(fixture->RunUntil(
      [&] { return fixture->Call(fixture->SafeRequest("k2")).head.status == 401; }));
  config = fixture->DefaultConfig();
  config["version"] = 6;
  fixture->Publish(config);
  config = fixture->DefaultConfig();
  config["version"] = 8;
  config["tenants"][0]["apiKeys"] = {"key-2", "key-3"};
  fixture->Publish(config);
  // When version 8 is in force, version 6 has been read and ignored.
  std::string request = fixture->SafeRequest("k3");
  request.replace(request.find("key-1"), 5, "key-3");
  BOOST_TEST(fixture->RunUntil([&] { return fixture->Call(request).head.status == 200; }));
  BOOST_TEST(fixture->Call(fixture->SafeRequest("k4")).head.status == 401);
}

BOOST_AUTO_TEST_CASE(KeysAreAcceptedOnlyIfTheStoreWasReadRecently) {
  for (StoreFault trouble : {StoreFault::kSilent, StoreFault::kBusy, StoreFault::kReset}) {
    GatewayFixtureOptions options;
    options.key_trust = milliseconds(600);
    auto fixture = StartedFixture(options);
    json config = fixture->DefaultConfig();
    config["version"] = 2;
    config["routes"][1]["public"] = true;
    fixture->Publish(config);
    std::string open = fixture->SafeRequest("open");
    open.erase(open.find("X-Api-Key: key-1\r\n"), 18);
    BOOST_TEST(fixture->RunUntil([&] { return fixture->Call(open).head.status == 200; }));
    fixture->store.SetFault(trouble);
    BOOST_TEST(fixture->RunUntil(
        [&] { return fixture->Call(fixture->StreamRequest("outage")).head.status == 503; }));
    BOOST_TEST(!fixture->gateway->IsReady());
    // Requests that need no key are still served.
    BOOST_TEST(fixture->Call(open).head.status == 200);
    fixture->store.SetFault(StoreFault::kNone);
    BOOST_TEST(fixture->RunUntil(
        [&] { return fixture->Call(fixture->StreamRequest("back")).head.status == 200; }));
  }
}

// Settings that switch mechanisms off, with the settings and errors that they result in.
BOOST_AUTO_TEST_CASE(SettingsSwitchMechanismsOffAndReportErrors) {
  struct Case {
    std::string lines;
    size_t errors;
    Mechanisms mechanisms;
    KeyTrust trust;
  };
  Mechanisms no_spread;
  no_spread.spread_reading = false;
  Mechanisms none;
  std::string all_off;
  for (const MechanismSwitch& one : kMechanismSwitches) {
    none.*one.field = false;
    absl::StrAppend(&all_off, "use_", one.name, " = false\n");
  }
  const std::vector<Case> cases = {
      {"", 0, {}, KeyTrust::kBounded},
      {"strict_revoke = \"\"\n", 0, {}, KeyTrust::kBounded},
      {"strict_revoke = \"false\"\n", 0, {}, KeyTrust::kUntilChanged},
      {"strict_revoke = \"maybe\"\n", 1, {}, KeyTrust::kBounded},
      {"use_spread_reading = false\n", 0, no_spread, KeyTrust::kBounded},
      {"use_spread_reading = 0\n", 1, {}, KeyTrust::kBounded},
      {all_off, 0, none, KeyTrust::kBounded},
  };
  const std::string required =
      "box = \"b\"\ndata_centre = \"d\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n"
      "peers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\n";
  for (const Case& one : cases) {
    std::vector<ConfigError> errors;
    std::optional<toml::table> table = ParseToml(required + one.lines, "gateway.toml", &errors);
    BOOST_TEST_REQUIRE(table.has_value());
    GatewaySettings settings = ReadGatewaySettings(*table, "gateway.toml", &errors);
    BOOST_TEST_CONTEXT(one.lines) {
      BOOST_TEST(errors.size() == one.errors);
      BOOST_TEST((settings.mechanisms == one.mechanisms));
      BOOST_TEST((settings.key_trust_mode == one.trust));
    }
  }
}

BOOST_AUTO_TEST_CASE(WithUnboundedKeyTrustASilentStoreCausesNoRefusal) {
  GatewayFixtureOptions options;
  options.key_trust = milliseconds(600);
  options.key_trust_mode = KeyTrust::kUntilChanged;
  auto fixture = StartedFixture(options);
  BOOST_TEST(fixture->RunUntil(
      [&] { return fixture->Call(fixture->StreamRequest("before")).head.status == 200; }));
  fixture->store.SetFault(StoreFault::kSilent);
  // Wait until after the bound, when keys with a bounded trust would have been refused.
  Time silent_since = Now();
  BOOST_TEST(fixture->RunUntil([&] { return Now() - silent_since > 2 * options.key_trust; }));
  BOOST_TEST(fixture->Call(fixture->StreamRequest("during")).head.status == 200);
  BOOST_TEST(fixture->gateway->IsReady());
}

// Calls to the store cost something even if they fail, so waiters share a few tries.
BOOST_AUTO_TEST_CASE(WaitersForTheStoreTryInTurnAndTheFirstAnswerReleasesAll) {
  EventLoop loop;
  StoreRecovery recovery(&loop);
  std::vector<int> tries(4, 0);
  bool answering = false;
  int released = 0;
  std::function<void(size_t)> try_once = [&](size_t who) {
    if (answering) {
      released += 1;
      return;
    }
    tries[who] += 1;
    recovery.RetryLater([&try_once, who] { try_once(who); });
  };
  for (size_t who = 0; who < tries.size(); ++who) try_once(who);
  std::fill(tries.begin(), tries.end(), 0);
  loop.RunAfter(milliseconds(2000), [&] {
    answering = true;
    recovery.OnCallSucceeded();
    loop.Stop();
  });
  loop.Run();
  // Six tries at 0.1, 0.3, 0.7, 1.1, 1.5 and 1.9 s, by the four waiters in turn.
  int all = 0;
  for (int count : tries) {
    BOOST_TEST(count <= 2);
    all += count;
  }
  BOOST_TEST(all <= 6);
  // On a busy machine timers fire late, so there may be fewer tries.
  BOOST_TEST(all >= 4);
  BOOST_TEST(released == 4);
}

// A follower of a store topic that is asked ten times a second to read again, as if peers reported
// a newer version.
struct PolledFollower {
  PolledFollower()
      : store(&loop),
        recovery(&loop),
        follower(&loop, store.address(), &recovery, {"keyed.op", seconds(10), Duration(0)},
                 {.replace = [this](const auto&) { this->loaded = true; },
                  .change = [this](const auto&) { this->has_change = true; },
                  .up_to_date = {},
                  .lost = {},
                  .regained = {},
                  .read_short = {},
                  .unreadable = {},
                  .pause_after_return = {}}) {
    this->follower.Start();
    while (!this->loaded) this->loop.RunOnce(milliseconds(20));
    this->loop.RunEvery(milliseconds(100), [this] {
      if (this->follower.RestartStalledRead()) this->renewals += 1;
    });
  }

  // Runs until a change has been read, but not longer than `max_time`.
  void RunFor(Duration max_time) {
    Time until = Now() + max_time;
    while (!this->has_change && Now() < until) this->loop.RunOnce(milliseconds(20));
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  TopicFollower follower;
  bool loaded = false;
  bool has_change = false;
  int renewals = 0;
};

// A large configuration on a slow link takes longer to read than a change should.
BOOST_AUTO_TEST_CASE(AReadInProgressIsNotAbandonedWhenAskedToReadAgain) {
  PolledFollower polled;
  polled.store.SetFault(StoreFault::kSlowBody);
  polled.store.Put("keyed.op", "config", std::string(50'000, 'x'));
  polled.RunFor(kTestTimeout);
  BOOST_TEST(polled.has_change);
}

BOOST_AUTO_TEST_CASE(AReadThatHangsIsRenewedAtGrowingIntervals) {
  PolledFollower polled;
  polled.store.SetFault(StoreFault::kSilent);
  polled.store.Put("keyed.op", "config", "x");
  polled.RunFor(milliseconds(3500));
  BOOST_TEST(!polled.has_change);
  // Renewals are due at about 0.4, 1.3 and 3.0 s.
  BOOST_TEST(polled.renewals >= 1);
  BOOST_TEST(polled.renewals <= 3);
  polled.store.SetFault(StoreFault::kNone);
  polled.RunFor(kTestTimeout);
  BOOST_TEST(polled.has_change);
}

BOOST_AUTO_TEST_CASE(AStoreThatDropsItsHistoryIsReadFromTheStart) {
  auto fixture = StartedFixture();
  json config = fixture->DefaultConfig();
  config["version"] = 9;
  config["tenants"][0]["apiKeys"] = {"new-key"};
  fixture->store.SetFault(StoreFault::kReset);
  fixture->Publish(config);
  fixture->store.Compact("keyed.op");
  fixture->store.Compact("keyed.servers");
  fixture->store.SetFault(StoreFault::kNone);
  BOOST_TEST(fixture->RunUntil(
      [&] { return fixture->Call(fixture->SafeRequest("c")).head.status == 401; }));
}

// A part of the store is down when the gateway starts: the store answers for the configuration and
// the gateways' own topics, and rejects every read of the engine list.
BOOST_AUTO_TEST_CASE(AGatewayThatStartsWithoutTheEngineListUsesTheCopy) {
  auto fixture = StartedFixture();
  const std::string topic(platform::kEnginesCopyTopic);
  BOOST_TEST_REQUIRE(
      fixture->RunUntil([&] { return !fixture->store.Newest(topic, "part-0").empty(); }));
  fixture->store.RejectTopic(std::string(platform::kEnginesTopic));
  // A gateway's timers run as long as the loop does, so the first gateway must not be destroyed.
  std::unique_ptr<GatewayServer> first = std::move(fixture->gateway);
  fixture->StartGateway();
  BOOST_TEST(fixture->Call(fixture->StreamRequest("by-the-copy")).body == kWholeStream);
  // The list replaces the copy as soon as the list can be read.
  fixture->ListEngine(*fixture->apps[0], "app", /*draining=*/true);
  fixture->ListEngine(*fixture->apps[1], "app", /*draining=*/true);
  fixture->store.RejectTopic("");
  BOOST_TEST(fixture->RunUntil(
      [&] { return fixture->Call(fixture->SafeRequest("by-the-list")).head.status == 503; }));
}

BOOST_AUTO_TEST_CASE(AListOfSeveralPagesIsReadWhole) {
  GatewayFixture fixture({.engines = 7, .apps = 1});
  fixture.store.SetPageSize(2);
  fixture.Publish(fixture.DefaultConfig());
  fixture.StartGateway();
  BOOST_TEST(fixture.Call(fixture.SafeRequest("pages")).head.status == 200);
}

BOOST_AUTO_TEST_CASE(ADrainingEngineGetsNoNewRequests) {
  auto fixture = StartedFixture({.engines = 1, .apps = 2});
  fixture->ListEngine(*fixture->apps[0], "app", /*draining=*/true);
  size_t settled = 0;
  // Once the change has been read, all requests go to the other engine.
  BOOST_TEST(fixture->RunUntil([&] {
    size_t before = fixture->apps[1]->received().size();
    fixture->Call(fixture->SafeRequest("d"));
    settled = fixture->apps[1]->received().size() > before ? settled + 1 : 0;
    return settled >= 20;
  }));
}

BOOST_AUTO_TEST_CASE(AnotherEngineAtAListedAddressIsNotUsed) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  EngineStandin other_engine(&fixture->loop, {.id = "impostor"});
  json record = {{"service", "app"}, {"address", other_engine.address().ToString()},
                 {"zone", "hall-1"}, {"version", "v1"},
                 {"slots", 16},      {"state", "ready"},
                 {"coldLeftMs", 0},  {"callSeq", 0}};
  fixture->store.Put("keyed.servers", "app-gone", record.dump());
  for (int i = 0; i < 20; ++i) {
    Reply reply = fixture->Call(fixture->SafeRequest(absl::StrCat("i", i)));
    BOOST_TEST(reply.head.status == 200);
  }
  BOOST_TEST(other_engine.received().empty());
}

BOOST_AUTO_TEST_CASE(AStopFinishesRequestsUnderWayAndThenTakesNoMore) {
  GatewayFixtureOptions options;
  options.engine.events = 100;
  auto fixture = StartedFixture(options);
  auto reply = fixture->Send(fixture->StreamRequest("stop"));
  BOOST_TEST(fixture->RunUntil([&] { return !reply->body.empty(); }));
  fixture->gateway->DrainAndStop();
  BOOST_TEST(!fixture->gateway->IsReady());
  BOOST_TEST(fixture->RunUntil([&] { return reply->done; }));
  BOOST_TEST(reply->whole());
  BOOST_TEST(absl::StrContains(reply->body, "event-100"));
  // New callers are served until the load balancer has noticed the stop, and their connections are
  // closed after the answer.
  Reply late = fixture->Call(fixture->SafeRequest("during"));
  BOOST_TEST(late.head.status == 200);
  BOOST_TEST(!late.head.keep_alive);
  BOOST_TEST(fixture->RunUntil([&] {
    return fixture->Send(fixture->SafeRequest("after"))->done || fixture->loop.stopped();
  }));
}

// A request that arrived on a kept connection seconds after the stop lost its answer when the
// process exited.
BOOST_AUTO_TEST_CASE(AnIdleConnectionIsClosedOnceTheLoadBalancerHasNoticedTheStop) {
  GatewayFixtureOptions options;
  options.engine.events = 1'000'000;
  auto fixture = StartedFixture(options);
  // A request under way, so that the process does not exit early.
  auto busy = fixture->Send(fixture->StreamRequest("busy"));
  auto channel =
      RequestChannel::Open(&fixture->loop, {"127.0.0.1", fixture->gateway->callers_port()});
  bool answered = false;
  bool closed = false;
  channel->OnIdleEnd([&] { closed = true; });
  RequestChannel::Hooks hooks;
  hooks.done = [&](ChannelResult) { answered = true; };
  channel->Send(fixture->SafeRequest("kept"), std::move(hooks), false);
  BOOST_TEST(fixture->RunUntil([&] { return answered; }));
  fixture->gateway->DrainAndStop();
  BOOST_TEST(fixture->RunUntil([&] { return closed || fixture->loop.stopped(); }));
  BOOST_TEST(!fixture->loop.stopped());
  BOOST_TEST(!busy->done);
}

// A restart at the same address causes no write to the store and no work for the other gateways.
BOOST_AUTO_TEST_CASE(ARestartedGatewayWritesItsEntryOnlyIfItsAddressHasChanged) {
  const std::string topic(platform::kPeersTopic);
  GatewayFixture fixture({});
  fixture.Publish(fixture.DefaultConfig());
  fixture.peers_address = {"127.0.0.1", 0};
  fixture.StartGateway();
  BOOST_TEST(fixture.RunUntil([&] { return !fixture.store.Newest(topic, "box-1").empty(); }));
  std::optional<Peer> entry = DecodeGatewayEntry("box-1", fixture.store.Newest(topic, "box-1"));
  BOOST_REQUIRE(entry.has_value());
  BOOST_TEST(entry->data_centre == "hall-1");
  fixture.gateway.reset();
  fixture.peers_address = entry->address;
  uint64_t written = fixture.store.appended(topic);
  fixture.StartGateway();
  // When the gateway has the new peer, it has read the topic up to that entry.
  Peer other{"box-2", {"127.0.0.1", 9}, "hall-1"};
  fixture.store.Put(topic, "box-2", EncodeGatewayEntry(other));
  BOOST_TEST(fixture.RunUntil([&] { return fixture.gateway->peers() == 1; }));
  BOOST_TEST(fixture.store.appended(topic) == written + 1);
  fixture.gateway.reset();
  fixture.peers_address = {"127.0.0.1", 0};
  fixture.StartGateway();
  BOOST_TEST(fixture.RunUntil([&] { return fixture.store.appended(topic) == written + 2; }));
}

BOOST_AUTO_TEST_CASE(APromptLargerThanOneEnginesMemoryIsSpreadAndItsMemoryReleased) {
  auto fixture = StartedFixture({.engines = 4});
  std::string request = fixture->StreamRequest("very-long");
  request.replace(request.find("1000,80"), 7, "700000,800");
  Reply reply = fixture->Call(request);
  BOOST_TEST(reply.head.status == 200);
  BOOST_TEST(reply.body == kWholeStream);
  bool helped = false;
  for (auto& engine : fixture->engines) {
    for (const auto& seen : engine->received()) {
      helped = helped || FindHeader(seen.request.head.headers, "Helpers").has_value();
    }
  }
  BOOST_TEST(helped);
  BOOST_TEST(fixture->RunUntil([&] {
    for (auto& engine : fixture->engines) {
      if (!engine->tickets().empty()) return false;
    }
    return true;
  }));
}

// One listed engine can no longer read parts of prompts, so the others refuse requests that name it
// as a reader.  The prompt must be read without it, and only this engine may be set aside.
BOOST_AUTO_TEST_CASE(OnlyTheReaderNamedAtFaultIsSetAside) {
  auto fixture = StartedFixture({.engines = 6});
  std::string request = fixture->StreamRequest("long");
  request.replace(request.find("1000,80"), 7, "200000,800");
  BOOST_REQUIRE(fixture->Call(request).whole());
  EngineStandin* gone = ReaderOfFirstRequest(*fixture);
  BOOST_REQUIRE(gone != nullptr);
  for (auto& engine : fixture->engines) engine->RefuseReader(gone->address());
  // Nothing else has changed, so the same engines are chosen first.
  Reply reply = fixture->Call(request);
  BOOST_TEST(reply.head.status == 200);
  BOOST_TEST(reply.body == kWholeStream);
  std::set<std::string> set_aside = fixture->gateway->SetAside();
  BOOST_TEST(set_aside.count(gone->id()) == 1u);
  BOOST_TEST(set_aside.size() == 1u);
}

// An engine that fails at once is always idle, so by load alone it would be chosen first for every
// request.
BOOST_AUTO_TEST_CASE(AnEngineThatFailsEveryRequestAtOnceGetsFew) {
  auto fixture = StartedFixture();
  fixture->Call(fixture->StreamRequest("first"));
  EngineStandin* chosen = nullptr;
  for (auto& engine : fixture->engines) {
    if (!engine->received().empty()) chosen = engine.get();
  }
  BOOST_REQUIRE(chosen != nullptr);
  size_t before = chosen->received().size();
  chosen->FailAll(EngineFault::kFailed);
  for (int i = 0; i < 20; ++i) fixture->Call(fixture->StreamRequest(absl::StrCat("s", i)));
  BOOST_TEST(chosen->received().size() - before <= 4u);
}

GatewaySettings SecondGateway(const GatewayFixture& fixture) {
  GatewaySettings settings;
  settings.box = "box-2";
  settings.data_centre = "hall-2";
  settings.callers = settings.ready = settings.metrics = settings.peers = {"127.0.0.1", 0};
  settings.store = fixture.store.address();
  return settings;
}

// The store does not answer the read with which the first gateway waits for changes.  A second
// gateway starts afterwards, reads the whole list, and reports how far it has read.
BOOST_AUTO_TEST_CASE(AnUnansweredReadIsSentAgainOncePeersHaveReadFurther) {
  auto fixture = StartedFixture({.engines = 1, .apps = 1});
  BOOST_TEST_REQUIRE(fixture->Call(fixture->SafeRequest("before")).head.status == 200);
  const std::string topic(platform::kEnginesTopic);
  BOOST_TEST_REQUIRE(fixture->RunUntil([&] { return fixture->store.IsAwaited(topic); }));
  fixture->store.SkipNextChange(topic);
  fixture->ListEngine(*fixture->apps[0], "app", /*draining=*/true);
  GatewayServer second(&fixture->loop, SecondGateway(*fixture), 2);
  BOOST_TEST(second.Start().ok());
  BOOST_TEST(fixture->RunUntil(
      [&] { return fixture->Call(fixture->SafeRequest("after")).head.status == 503; }));
  // The read was sent again before its timeout of five seconds.
  BOOST_TEST(fixture->RunUntil([&] { return fixture->store.reads_given_up() == 1; }));
}

BOOST_AUTO_TEST_CASE(TwoGatewaysBecomePeers) {
  auto fixture = StartedFixture();
  GatewayServer second(&fixture->loop, SecondGateway(*fixture), 2);
  BOOST_TEST(second.Start().ok());
  BOOST_TEST(
      fixture->RunUntil([&] { return second.peers() == 1 && fixture->gateway->peers() == 1; }));
}

BOOST_AUTO_TEST_CASE(OperatorsGetMetricsAndState) {
  auto fixture = StartedFixture();
  fixture->Call(fixture->StreamRequest("m1"));
  fixture->Call(fixture->SafeRequest("m2"));
  auto fetch = [&](const std::string& path) {
    auto channel =
        RequestChannel::Open(&fixture->loop, {"127.0.0.1", fixture->gateway->ready_port()});
    Reply reply;
    RequestChannel::Hooks hooks;
    hooks.head = [&](const ResponseHead& head) { reply.head = head; };
    hooks.body = [&](std::string_view bytes) { reply.body.append(bytes); };
    hooks.done = [&](ChannelResult) { reply.done = true; };
    channel->Send("GET " + path + " HTTP/1.1\r\n\r\n", std::move(hooks), false);
    BOOST_TEST(fixture->RunUntil([&] { return reply.done; }));
    return reply;
  };
  std::string metrics = fetch("/metrics").body;
  for (const char* line :
       {"gullward_requests_total 2", "gullward_first_event_seconds_bucket{prompt=\"short\"",
        "gullward_plain_answer_seconds_count 1", "gullward_config_version 1",
        "gullward_engines 5"}) {
    BOOST_TEST_CONTEXT(line) { BOOST_TEST(absl::StrContains(metrics, line)); }
  }
  // The steps of the start are noted by the gateway's next tick.
  BOOST_TEST(fixture->RunUntil([&] {
    return absl::StrContains(fetch("/metrics").body, "gullward_start_seconds{step=\"serving\"}");
  }));
  BOOST_TEST(json::parse(fetch("/state").body)["ready"] == true);
  BOOST_TEST(fetch("/readyz").head.status == 200);
  BOOST_TEST(fetch("/nothing").head.status == 404);
}

}  // namespace
}  // namespace gullward

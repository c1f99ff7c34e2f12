// The platform's store comes back from a copy that is some seconds old.
//
// What it had acknowledged since is gone, and its offsets are given out again.  The operator
// and the engines write theirs once more, the gateways theirs.  Each answer tells the epoch
// that it belongs to.  The tests bring about every moment of such a return that a gateway can
// be in: reading pages, waiting at the tail, proving, starting, cut off.

#define BOOST_TEST_MODULE store_return
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/crash_watch.h"
#include "gateway/testing/gateway_fixture.h"
#include "serving/quarantine_entry.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kTopic[] = "keyed.op";
constexpr char kEngines[] = "keyed.servers";
constexpr char kOwnTopic[] = "keyed.gullward-entries";
constexpr char kListCopy[] = "keyed.gullward-engines";

// A follower beside a store, on one loop, with what it has been told.
struct FollowedStore {
  FollowedStore()
      : store(&loop),
        recovery(&loop),
        follower(&loop, store.address(), &recovery, {kTopic, seconds(10), Duration(0)},
                 {.replace =
                      [this](const auto& records) {
                        this->told.clear();
                        for (const platform::KeyedRecord& record : records) this->Take(record);
                      },
                  .change = [this](const platform::KeyedRecord& record) { this->Take(record); },
                  .up_to_date = [this](Time) { this->proofs += 1; },
                  .lost = {},
                  .regained = {},
                  .read_short = {},
                  .unreadable = {},
                  .pause_after_return = {}}) {
    this->store.SetEpoch("1");
  }

  void Take(const platform::KeyedRecord& record) {
    if (record.value.empty()) {
      this->told.erase(record.key);
    } else {
      this->told[record.key] = record.value;
    }
  }
  void Put(const std::string& key, const std::string& value) {
    this->store.Put(kTopic, key, value);
  }
  bool RunUntil(const std::function<bool()>& condition) {
    Time until = Now() + seconds(10);
    while (!condition() && Now() < until) this->loop.RunOnce(milliseconds(5));
    return condition();
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  TopicFollower follower;
  std::map<std::string, std::string> told;
  int proofs = 0;
};

using Records = std::map<std::string, std::string>;

// A gateway that was cut off while the store came back asks later for an offset that has been
// given out anew: whatever was written below it, it has not seen.
BOOST_AUTO_TEST_CASE(AFollowerThatWasCutOffReadsWhatWasWrittenBelowItsPlace) {
  struct Row {
    int written_again;
    const char* epoch;
  };
  // Fewer records than were lost, as many, more; the epoch may have risen more than once.
  const Row table[] = {{1, "2"}, {3, "2"}, {7, "2"}, {3, "4"}};
  for (const Row& row : table) {
    FollowedStore world;
    world.Put("kept", "before");
    world.store.SaveCopy();
    for (int i = 0; i < 3; ++i) world.Put("lost", absl::StrCat("lost-", i));
    world.follower.Start();
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.told.count("lost") != 0; }));
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.store.IsAwaited(kTopic); }));
    world.store.SetFault(StoreFault::kReset);
    world.store.DropConnections();
    world.store.RestoreCopy(row.epoch);
    Records expected = {{"kept", "before"}};
    for (int i = 0; i < row.written_again; ++i) {
      std::string key = absl::StrCat("again-", i);
      world.Put(key, "after");
      expected[key] = "after";
    }
    world.store.SetFault(StoreFault::kNone);
    BOOST_TEST(world.RunUntil([&] { return world.told == expected; }),
               "written again: " << row.written_again);
  }
}

// A page of before the return and one of after it are no list.
BOOST_AUTO_TEST_CASE(PagesOfTwoEpochsAreNotPutTogether) {
  FollowedStore world;
  world.store.SetPageSize(1);
  world.Put("b", "1");
  world.store.SaveCopy();
  world.Put("a", "lost");
  world.store.HoldNextAnswer(kTopic);
  world.follower.Start();
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.store.IsHolding(); }));
  world.store.RestoreCopy("2");
  world.Put("c", "2");
  world.store.ReleaseAnswer();
  Records expected = {{"b", "1"}, {"c", "2"}};
  BOOST_TEST(world.RunUntil([&] { return world.told == expected; }));
}

// Versions of the world's configuration: each has a route of its own, and the second key only
// where it has not been taken away.
json Version(const GatewayFixture& world, int version, bool with_second_key = true) {
  json config = world.DefaultConfig();
  config["version"] = version;
  json route = config["routes"][1];
  route["pathPrefix"] = absl::StrCat("/version/", version, "/");
  route["name"] = absl::StrCat("version-", version);
  config["routes"].push_back(route);
  if (!with_second_key) config["tenants"][0]["apiKeys"] = {"key-1"};
  return config;
}

std::string RequestFor(const GatewayFixture& world, int version) {
  std::string request = world.SafeRequest(absl::StrCat("to-", version));
  const std::string old_path = "/app/look/x";
  request.replace(request.find(old_path), old_path.size(), absl::StrCat("/version/", version, "/"));
  return request;
}

bool IsServed(GatewayFixture* world, const std::string& request, size_t gateway = 0) {
  return world->Call(request, gateway).head.status == 200;
}

// Whoever says that its keys are current has the newest version, though as many records stand
// in the topic again as it had read.
BOOST_AUTO_TEST_CASE(NoProofByAnOffsetThatWasGivenOutAgain) {
  GatewayFixtureOptions options;
  options.key_trust = milliseconds(600);
  GatewayFixture world(options);
  world.store.SetEpoch("1");
  world.Publish(Version(world, 1));
  world.store.SaveCopy();
  world.Publish(Version(world, 2));
  world.Publish(Version(world, 2));
  world.StartGateway();
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return IsServed(&world, RequestFor(world, 2)); }));
  world.store.SetFault(StoreFault::kReset);
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return !world.gateway->IsReady(); }));
  world.store.DropConnections();
  world.store.RestoreCopy("2");
  world.Publish(Version(world, 2));
  world.Publish(Version(world, 3, /*with_second_key=*/false));
  world.store.SetFault(StoreFault::kNone);
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.gateway->IsReady(); }));
  BOOST_TEST(IsServed(&world, RequestFor(world, 3)));
  BOOST_TEST(world.Call(world.OnceRequest("taken-away")).head.status == 401);
}

// A version that was in force stays in force while the store has an older one, and what it
// allows is served on.
BOOST_AUTO_TEST_CASE(NothingGoesBack) {
  GatewayFixture world({});
  world.store.SetEpoch("1");
  world.Publish(Version(world, 1));
  world.store.SaveCopy();
  world.Publish(Version(world, 2, /*with_second_key=*/false));
  world.StartGateway();
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return IsServed(&world, RequestFor(world, 2)); }));
  world.store.RestoreCopy("2");
  Time until = Now() + seconds(3);
  while (Now() < until) {
    Reply taken_away = world.Call(world.OnceRequest("taken-away"));
    BOOST_TEST_REQUIRE((taken_away.head.status == 401 || taken_away.head.status == 503));
    Reply dropped = world.Call(RequestFor(world, 1));
    BOOST_TEST_REQUIRE((dropped.head.status == 404 || dropped.head.status == 503));
    world.RunUntil([next = Now() + milliseconds(50)] { return Now() >= next; });
  }
  world.Publish(Version(world, 2, /*with_second_key=*/false));
  BOOST_TEST(world.RunUntil([&] { return IsServed(&world, RequestFor(world, 2)); }));
}

// A gateway that starts before the operator has written again reads the older copy as the
// newest.  It must not vouch for a key that had been taken away, nor deny what it does not
// find there.
BOOST_AUTO_TEST_CASE(WhoStartsInTheGapDoesNotVouchForTheOlderCopy) {
  // With what a peer hands on, the newer version is in force before the store has it again;
  // without, nothing is known of it.
  for (bool from_peers : {false, true}) {
    GatewayFixtureOptions options;
    options.mechanisms.config_from_peers = from_peers;
    GatewayFixture world(options);
    world.store.SetEpoch("1");
    world.Publish(Version(world, 1));
    world.store.SaveCopy();
    world.Publish(Version(world, 2, /*with_second_key=*/false));
    world.StartGateway();
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return IsServed(&world, RequestFor(world, 2)); }));
    world.store.RestoreCopy("2");
    world.AddGatewayUnready();
    Time until = Now() + seconds(3);
    while (Now() < until) {
      int taken_away = world.Call(world.OnceRequest("taken-away"), 1).head.status;
      BOOST_TEST_REQUIRE((taken_away == 503 || (from_peers && taken_away == 401)));
      int newer = world.Call(RequestFor(world, 2), 1).head.status;
      BOOST_TEST_REQUIRE((newer == 503 || (from_peers && newer == 200)));
      world.RunUntil([next = Now() + milliseconds(50)] { return Now() >= next; });
    }
    world.Publish(Version(world, 2, /*with_second_key=*/false));
    BOOST_TEST(world.RunUntil([&] { return IsServed(&world, RequestFor(world, 2), 1); }));
    BOOST_TEST(world.Call(world.OnceRequest("now"), 1).head.status == 401);
  }
}

size_t RunsAt(const EngineStandin& engine) { return engine.received().size(); }

// That an engine leaves has been acknowledged to us: an older copy in which it is ready, or
// listed again, does not undo it.
BOOST_AUTO_TEST_CASE(AnEngineThatIsKnownToLeaveGetsNothingByAnOlderCopy) {
  for (bool says_so : {true, false}) {
    GatewayFixtureOptions options;
    options.engines = 1;
    GatewayFixture world(options);
    world.store.SetEpoch("1");
    world.Publish(world.DefaultConfig());
    world.store.SaveCopy();
    world.StartGateway();
    EngineStandin& leaving = *world.engines[0];
    if (says_so) {
      world.ListEngine(leaving, "models", /*draining=*/true);
    } else {
      world.store.Remove(kEngines, leaving.id());
    }
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.gateway->UsableEngines() == 2; }));
    world.store.DropConnections();
    world.store.RestoreCopy("2");
    size_t before = RunsAt(leaving);
    Time until = Now() + seconds(2);
    for (int i = 0; Now() < until; ++i) world.Call(world.StreamRequest(absl::StrCat("s", i)));
    BOOST_TEST(RunsAt(leaving) == before);
  }
}

// An engine that came in the seconds that the store has lost works on.
BOOST_AUTO_TEST_CASE(AnEngineThatTheCopyLacksIsNotGone) {
  GatewayFixtureOptions options;
  options.engines = 1;
  GatewayFixture world(options);
  world.store.SetEpoch("1");
  world.Publish(world.DefaultConfig());
  EngineStandin& newcomer = *world.engines[0];
  world.store.Remove(kEngines, newcomer.id());
  world.store.SaveCopy();
  world.ListEngine(newcomer, "models");
  world.StartGateway();
  BOOST_TEST_REQUIRE(world.RunUntil([&] { return IsServed(&world, world.StreamRequest("s")); }));
  world.store.DropConnections();
  world.store.RestoreCopy("2");
  Time written_again = Now() + milliseconds(1800);
  while (Now() < written_again) {
    BOOST_TEST_REQUIRE(IsServed(&world, world.StreamRequest("s")));
  }
  world.ListEngine(newcomer, "models");
  Time until = Now() + seconds(3);
  while (Now() < until) BOOST_TEST_REQUIRE(IsServed(&world, world.StreamRequest("s")));
}

// What gateways wrote in the lost seconds they write again, each its own and once.
BOOST_AUTO_TEST_CASE(GatewaysWriteTheirOwnEntriesAgainOnce) {
  GatewayFixtureOptions options;
  options.key_trust = milliseconds(600);
  GatewayFixture world(options);
  world.store.SetEpoch("1");
  world.Publish(world.DefaultConfig());
  world.store.SaveCopy();
  world.StartGateway();
  world.AddGateway();
  auto both_are_there = [&] {
    return !world.store.Newest(kOwnTopic, "box-1").empty() &&
           !world.store.Newest(kOwnTopic, "box-2").empty();
  };
  BOOST_TEST_REQUIRE(world.RunUntil(both_are_there));
  BOOST_TEST_REQUIRE(
      world.RunUntil([&] { return !world.store.Newest(kListCopy, "part-0").empty(); }));
  world.store.RestoreCopy("2");
  BOOST_TEST(world.RunUntil(both_are_there));
  BOOST_TEST(world.RunUntil([&] { return !world.store.Newest(kListCopy, "part-0").empty(); }));
  // Two entries, and what says that the epoch has been seen.
  world.RunUntil([until = Now() + seconds(8)] { return Now() >= until; });
  BOOST_TEST(world.store.appended(kOwnTopic) <= 4);
}

// A gateway's watch over contents in quarantine, beside a store that has lost their entries.
struct WatchedStore {
  WatchedStore() : store(&loop), recovery(&loop), log(STDOUT_FILENO) {
    CrashWatch::Options options;
    options.box = "box-1";
    options.store = this->store.address();
    CrashWatch::Hooks hooks;
    hooks.was_in_use = [](const EngineRecord&) { return true; };
    this->watch =
        std::make_unique<CrashWatch>(&this->loop, options, &this->recovery, &this->log, hooks);
  }

  // An entry of the topic that lasts for an hour.
  static std::string Entry() {
    QuarantineEntry entry;
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    entry.until_ms = std::chrono::duration_cast<milliseconds>(since_epoch).count() + 3'600'000;
    entry.judged_by = "box-2";
    return EncodeQuarantineEntry(entry);
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  EventLog log;
  std::unique_ptr<CrashWatch> watch;
};

constexpr ContentId kContent = 7;

BOOST_AUTO_TEST_CASE(WhatIsInQuarantineIsWrittenAgain) {
  WatchedStore world;
  Time now = Now();
  world.watch->OnRecord(kContent, WatchedStore::Entry(), now);
  BOOST_TEST(world.watch->RefusedFor(kContent, now).has_value());
  world.watch->OnStoreReturn(now);
  Time all_drawn = now + QuarantineStore::kNonWitnessDelay + QuarantineStore::kNonWitnessSpread;
  world.watch->TickSlowly(all_drawn + seconds(1));
  Time until = Now() + kTestTimeout;
  while (world.store.appended(kOwnTopic) == 0 && Now() < until) {
    world.loop.RunOnce(milliseconds(5));
  }
  BOOST_TEST(!world.store.Newest(kOwnTopic, QuarantineKey(kContent)).empty());
  // The topic shows it: nothing more is written.
  world.watch->TickSlowly(all_drawn + seconds(2));
  BOOST_TEST(world.store.appended(kOwnTopic) == 1u);
}

BOOST_AUTO_TEST_CASE(AQuarantineThatWasLiftedDoesNotReturn) {
  WatchedStore world;
  const std::string entry = WatchedStore::Entry();
  Time now = Now();
  world.watch->OnRecord(kContent, entry, now);
  world.watch->NoteAnswered(kContent, now);
  Time after_return = now + 2 * Quarantine::kClearedFor;
  world.watch->OnStoreReturn(after_return);
  world.watch->OnRecord(kContent, entry, after_return);
  BOOST_TEST(!world.watch->RefusedFor(kContent, after_return).has_value());
}

}  // namespace
}  // namespace gullward

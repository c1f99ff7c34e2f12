// Tests that a gateway catches up after missing changes of the configuration.
//
// The failure: a gateway on a thin link reported ready, and a second later answered 404 for a
// route that had been confirmed more than three seconds before.
//
// It had lost the store while the configuration changed every 0.2 to 0.8 s, and then read the
// history of all versions.  The store bounds the size of an answer, and the gateway took the end
// of the first answer for the end of the log, so it regarded the configuration as current at
// version 81 when the store had version 103.  Reading outdated versions also took longer than
// the time within which a change must be in force: 3.8 MB were transferred for 1.9 MB of
// history, because the revalidation reads fetched the same records again.

#define BOOST_TEST_MODULE catch_up
#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "serving/gateway_entry.h"
#include "serving/load_digest.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kConfigTopic[] = "keyed.op";
constexpr char kConfigKey[] = "config";
// The number of versions that the gateway misses: more than one answer of the store can hold.
constexpr int kMissedVersions = 30;
// The size of a large fleet's configuration.
constexpr size_t kVersionBytes = 100'000;

// The fixture's configuration with one more route for the version.
json LargeConfig(const GatewayFixture& fixture, int version) {
  json config = fixture.DefaultConfig();
  config["version"] = version;
  config["padding"] = std::string(kVersionBytes, 'x');
  json route = config["routes"][1];
  route["pathPrefix"] = absl::StrCat("/version/", version, "/");
  route["name"] = absl::StrCat("version-", version);
  config["routes"].push_back(route);
  return config;
}

std::string RequestFor(const GatewayFixture& fixture, int version) {
  std::string request = fixture.SafeRequest(absl::StrCat("to-", version));
  const std::string old_path = "/app/look/x";
  request.replace(request.find(old_path), old_path.size(), absl::StrCat("/version/", version, "/"));
  return request;
}

BOOST_AUTO_TEST_CASE(WhoSaysThatItIsCurrentHasTheNewestVersion) {
  for (StoreFault trouble : {StoreFault::kSilent, StoreFault::kBusy, StoreFault::kReset}) {
    GatewayFixtureOptions options;
    options.key_trust = milliseconds(600);
    GatewayFixture fixture(options);
    fixture.Publish(LargeConfig(fixture, 1));
    fixture.StartGateway();
    fixture.store.SetFault(trouble);
    BOOST_TEST_REQUIRE(fixture.RunUntil([&] { return !fixture.gateway->IsReady(); }));
    for (int version = 2; version <= kMissedVersions; ++version) {
      fixture.Publish(LargeConfig(fixture, version));
    }
    fixture.store.SetFault(StoreFault::kNone);
    BOOST_TEST_REQUIRE(fixture.RunUntil([&] { return fixture.gateway->IsReady(); }));
    BOOST_TEST(fixture.Call(RequestFor(fixture, kMissedVersions)).head.status == 200);
  }
}

// A follower of the configuration topic and a store, on one event loop.
struct FollowerFixture {
  FollowerFixture()
      : store(&loop),
        recovery(&loop),
        follower(&loop, store.address(), &recovery, {kConfigTopic, seconds(10), Duration(0)},
                 {.replace =
                      [this](const auto& records) {
                        for (const platform::KeyedRecord& record : records) this->Apply(record);
                      },
                  .change = [this](const platform::KeyedRecord& record) { this->Apply(record); },
                  .up_to_date = {},
                  .lost = {},
                  .regained = {},
                  .read_short = {},
                  .unreadable = {},
                  .pause_after_return = {}}) {}

  void Apply(const platform::KeyedRecord& record) {
    this->applied += 1;
    if (record.key == kConfigKey) this->newest = record.value;
  }
  void Publish(int version) {
    std::string value = absl::StrCat("version ", version);
    value.resize(kVersionBytes, '.');
    this->store.Put(kConfigTopic, kConfigKey, value);
    this->published = value;
  }
  bool RunUntilCurrent() {
    Time deadline = Now() + kTestTimeout;
    while (this->newest != this->published && Now() < deadline)
      this->loop.RunOnce(milliseconds(20));
    return this->newest == this->published;
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  TopicFollower follower;
  int applied = 0;
  std::string newest;
  std::string published;
};

// The time in which a change must be in force, and what it leaves after the longest time until a
// revalidation.
constexpr Duration kChangeBound = seconds(2);
constexpr Duration kLeftForReading = milliseconds(800);

// Limit for the bytes read while catching up, in versions, however many versions were missed.
constexpr uint64_t kMaxVersionsRead = 6;

BOOST_AUTO_TEST_CASE(CatchingUpAfterAPartitionReadsTheNewestVersionAndNotTheHistory) {
  FollowerFixture follower;
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  follower.store.SetFault(StoreFault::kReset);
  for (int version = 2; version <= kMissedVersions; ++version) follower.Publish(version);
  follower.store.SetFault(StoreFault::kNone);
  uint64_t before = follower.store.bytes_answered();
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.store.bytes_answered() - before <= kMaxVersionsRead * kVersionBytes);
}

// A frozen process loses no connection: its waiting read is answered as if nothing had happened.
BOOST_AUTO_TEST_CASE(CatchingUpAfterAFreezeReadsTheNewestVersionAndNotTheHistory) {
  FollowerFixture follower;
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  while (!follower.store.IsAwaited(kConfigTopic)) follower.loop.RunOnce(milliseconds(20));
  uint64_t before = follower.store.bytes_answered();
  for (int version = 2; version <= kMissedVersions; ++version) follower.Publish(version);
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.store.bytes_answered() - before <= kMaxVersionsRead * kVersionBytes);
}

// A topic with more keys than changes is read change by change, because its newest records are
// larger than the changes.
BOOST_AUTO_TEST_CASE(AFewChangesOfManyKeysAreReadAsChanges) {
  FollowerFixture follower;
  constexpr int kKeys = 400;
  for (int key = 0; key < kKeys; ++key) {
    follower.store.Put(kConfigTopic, absl::StrCat("key-", key), std::string(1000, 'x'));
  }
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  follower.store.SetFault(StoreFault::kReset);
  follower.store.Put(kConfigTopic, "key-7", "changed");
  follower.Publish(2);
  follower.store.SetFault(StoreFault::kNone);
  follower.applied = 0;
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.applied == 2);
}

BOOST_AUTO_TEST_CASE(ARevalidationDoesNotFetchTheNewerVersions) {
  EventLoop loop;
  StoreStandin store(&loop);
  StoreRecovery recovery(&loop);
  bool is_behind = false;
  TopicRevalidator revalidator(&loop, store.address(), &recovery, kConfigTopic,
                               {.key_trust = seconds(5), .change = seconds(2)}, /*seed=*/1,
                               {.position = [] { return std::optional<uint64_t>(0); },
                                .validated =
                                    [](Time) {
                                      BOOST_ERROR("validated although newer records exist");
                                      return true;
                                    },
                                .behind = [&] { is_behind = true; }});
  for (int version = 0; version < kMissedVersions; ++version) {
    store.Put(kConfigTopic, kConfigKey, std::string(kVersionBytes, 'x'));
  }
  revalidator.Tick(Time{}, Now());
  Time deadline = Now() + kTestTimeout;
  while (!is_behind && Now() < deadline) loop.RunOnce(milliseconds(20));
  BOOST_TEST(is_behind);
  BOOST_TEST(store.bytes_answered() <= 2 * kVersionBytes);
}

// Failure guarded against: each page that the silent store did not answer doubled the time until
// the next one was sent again, up to eight seconds, and what had been read before stayed in force.
BOOST_AUTO_TEST_CASE(PagesReadAnewInASilenceAreReadSoonAfterIt) {
  FollowerFixture follower;
  auto run_for = [&](Duration span) {
    Time end = Now() + span;
    while (Now() < end) follower.loop.RunOnce(milliseconds(20));
  };
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  // The follower's offset is no longer in the log, so that it reads the pages again.
  follower.store.SetFault(StoreFault::kReset);
  follower.store.DropConnections();
  follower.Publish(2);
  follower.store.Compact(kConfigTopic);
  follower.store.HoldNextAnswer(kConfigTopic);
  follower.store.SetFault(StoreFault::kNone);
  while (!follower.store.IsHolding()) follower.loop.RunOnce(milliseconds(20));
  follower.store.SetFault(StoreFault::kSilent);
  run_for(milliseconds(4000));
  follower.store.SetFault(StoreFault::kNone);
  Time end_of_silence = Now();
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(ToSeconds(Now() - end_of_silence) < ToSeconds(kChangeBound));
}

// Failure guarded against: the first report only started the clock by which a read counts as lost,
// so the read was sent again after a second revalidation.
BOOST_AUTO_TEST_CASE(OneRevalidationIsEnoughToReplaceALostRead) {
  FollowerFixture follower;
  TopicRevalidator revalidator(&follower.loop, follower.store.address(), &follower.recovery,
                               kConfigTopic, {.key_trust = seconds(5), .change = seconds(2)},
                               /*seed=*/1,
                               {.position = [&] { return follower.follower.position(); },
                                .validated = [](Time) { return true; },
                                .behind = [&] { follower.follower.RestartStalledRead(); }});
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  while (!follower.store.IsAwaited(kConfigTopic)) follower.loop.RunOnce(milliseconds(20));
  follower.store.SkipNextChange(kConfigTopic);
  follower.Publish(2);
  // A read that was sent a moment ago is not replaced.
  Time published = Now();
  while (Now() - published < TopicFollower::kMaxUpdateDelay) {
    follower.loop.RunOnce(milliseconds(20));
  }
  Time begin = Now();
  revalidator.Tick(Time{}, begin);
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(ToSeconds(Now() - begin) < ToSeconds(kLeftForReading));
}

// A peer's datagram that reports a newer version.
std::string EncodeVersionNote(uint64_t version) {
  LoadDigest digest;
  digest.box = "box-2";
  digest.incarnation = 2;
  digest.sequence = 1;
  digest.freshness = FreshnessNote{};
  digest.freshness->round = 1;
  digest.freshness->config_version = version;
  return EncodeDigest(digest);
}

// A route or key that is missing in the configuration may be present in a newer version that is
// known to exist.  Therefore it must not be denied: the caller is asked to retry later.
BOOST_AUTO_TEST_CASE(NothingIsDeniedByAConfigurationThatIsKnownToBeOld) {
  GatewayFixture fixture({});
  fixture.Publish(LargeConfig(fixture, 1));
  fixture.StartGateway();
  std::string unknown_key = fixture.SafeRequest("k");
  unknown_key.replace(unknown_key.find("key-1"), 5, "key-9");
  std::string no_key = fixture.SafeRequest("n");
  no_key.erase(no_key.find("X-Api-Key: key-1\r\n"), 18);
  struct Row {
    std::string request;
    int status_when_current;
  };
  const Row table[] = {{RequestFor(fixture, 2), 404}, {unknown_key, 401}, {no_key, 401}};
  for (const Row& row : table) {
    BOOST_TEST(fixture.Call(row.request).head.status == row.status_when_current);
  }

  UdpSocket peer;
  BOOST_TEST_REQUIRE(peer.Bind(&fixture.loop, {"127.0.0.1", 0}, [](std::string_view) {}).ok());
  const std::string peers_topic(platform::kPeersTopic);
  BOOST_TEST_REQUIRE(
      fixture.RunUntil([&] { return !fixture.store.Newest(peers_topic, "box-1").empty(); }));
  std::optional<Peer> gateway =
      DecodeGatewayEntry("box-1", fixture.store.Newest(peers_topic, "box-1"));
  BOOST_TEST_REQUIRE(gateway.has_value());
  peer.Send(gateway->address, EncodeVersionNote(2));
  BOOST_TEST(fixture.RunUntil([&] { return fixture.Call(table[0].request).head.status != 404; }));
  for (const Row& row : table) {
    Reply reply = fixture.Call(row.request);
    BOOST_TEST(reply.head.status == 503);
    BOOST_TEST(FindHeader(reply.head.headers, platform::kRetryAfter).has_value());
  }
  // Requests that the outdated configuration allows are still served.
  BOOST_TEST(fixture.Call(fixture.SafeRequest("known")).head.status == 200);

  fixture.Publish(LargeConfig(fixture, 2));
  BOOST_TEST(
      fixture.RunUntil([&] { return fixture.Call(RequestFor(fixture, 2)).head.status == 200; }));
  BOOST_TEST(fixture.Call(RequestFor(fixture, 3)).head.status == 404);
  BOOST_TEST(fixture.Call(unknown_key).head.status == 401);
}

}  // namespace
}  // namespace gullward

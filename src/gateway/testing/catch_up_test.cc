// A gateway that comes back after changes of the configuration that it did not see.
//
// What was seen: a gateway on a thin link answered 404 for a route that had been confirmed
// more than three seconds before, a second after it had begun to say that it was ready.
//
// How it came about: it had been cut off from the store while the configuration changed
// every 0.2 to 0.8 s.  Back in touch it read the history, every version whole.  The store
// answers a read with a bounded size, so the first answers held only part of it.
//
// The cause: the end of an answer was taken for the end of the log.  After the first answer
// the gateway counted the configuration as proved current and itself as ready; and reading
// versions that were out of date already, some of them twice since the proofs asked for the
// same records, took longer than the bound within which a change must be in force.
//
// What proved it: one play of such a day was clean but logged, in the same millisecond,
// "version 81" and "proved current as of 15.7 s", when the store had acknowledged version
// 103 at 15.8 s; 3.8 MB came over the link for 1.9 MB of history.

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
// Versions that the gateway misses: more than one answer of the store holds.
constexpr int kMissed = 30;
// As large as a fleet's configuration is.
constexpr size_t kVersionBytes = 100'000;

// The world's configuration with a route more.
json LargeConfig(const GatewayFixture& world, int version) {
  json config = world.DefaultConfig();
  config["version"] = version;
  config["padding"] = std::string(kVersionBytes, 'x');
  json route = config["routes"][1];
  route["pathPrefix"] = absl::StrCat("/version/", version, "/");
  route["name"] = absl::StrCat("version-", version);
  config["routes"].push_back(route);
  return config;
}

std::string RequestFor(const GatewayFixture& world, int version) {
  std::string request = world.SafeRequest(absl::StrCat("to-", version));
  const std::string old_path = "/app/look/x";
  request.replace(request.find(old_path), old_path.size(), absl::StrCat("/version/", version, "/"));
  return request;
}

BOOST_AUTO_TEST_CASE(WhoSaysThatItIsCurrentHasTheNewestVersion) {
  for (StoreFault trouble : {StoreFault::kSilent, StoreFault::kBusy, StoreFault::kReset}) {
    GatewayFixtureOptions options;
    options.key_trust = milliseconds(600);
    GatewayFixture world(options);
    world.Publish(LargeConfig(world, 1));
    world.StartGateway();
    world.store.SetFault(trouble);
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return !world.gateway->IsReady(); }));
    for (int version = 2; version <= kMissed; ++version) {
      world.Publish(LargeConfig(world, version));
    }
    world.store.SetFault(StoreFault::kNone);
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.gateway->IsReady(); }));
    BOOST_TEST(world.Call(RequestFor(world, kMissed)).head.status == 200);
  }
}

// A follower of the configuration beside a store, on one loop.
struct Follower {
  Follower()
      : store(&loop),
        recovery(&loop),
        follower(&loop, store.address(), &recovery, {kConfigTopic, seconds(10), Duration(0)},
                 {.replace =
                      [this](const auto& records) {
                        for (const platform::KeyedRecord& record : records) this->Take(record);
                      },
                  .change = [this](const platform::KeyedRecord& record) { this->Take(record); },
                  .up_to_date = {},
                  .lost = {},
                  .regained = {},
                  .read_short = {},
                  .unreadable = {},
                  .pause_after_return = {}}) {}

  void Take(const platform::KeyedRecord& record) {
    this->taken += 1;
    if (record.key == kConfigKey) this->newest = record.value;
  }
  void Publish(int version) {
    std::string value = absl::StrCat("version ", version);
    value.resize(kVersionBytes, '.');
    this->store.Put(kConfigTopic, kConfigKey, value);
    this->published = value;
  }
  bool RunUntilCurrent() {
    Time until = Now() + kTestTimeout;
    while (this->newest != this->published && Now() < until) this->loop.RunOnce(milliseconds(20));
    return this->newest == this->published;
  }

  EventLoop loop;
  StoreStandin store;
  StoreRecovery recovery;
  TopicFollower follower;
  int taken = 0;
  std::string newest;
  std::string published;
};

// What catching up may cost, in versions, however many were missed.
constexpr uint64_t kMostVersionsRead = 6;

BOOST_AUTO_TEST_CASE(CatchingUpAfterACutCostsTheNewestVersionAndNotTheHistory) {
  Follower follower;
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  follower.store.SetFault(StoreFault::kReset);
  for (int version = 2; version <= kMissed; ++version) follower.Publish(version);
  follower.store.SetFault(StoreFault::kNone);
  uint64_t before = follower.store.bytes_answered();
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.store.bytes_answered() - before <= kMostVersionsRead * kVersionBytes);
}

// A process that was frozen loses no connection: its waiting read is answered as if nothing
// had happened.
BOOST_AUTO_TEST_CASE(CatchingUpAfterAPauseCostsTheNewestVersionAndNotTheHistory) {
  Follower follower;
  follower.Publish(1);
  follower.follower.Start();
  BOOST_TEST_REQUIRE(follower.RunUntilCurrent());
  while (!follower.store.IsAwaited(kConfigTopic)) follower.loop.RunOnce(milliseconds(20));
  uint64_t before = follower.store.bytes_answered();
  for (int version = 2; version <= kMissed; ++version) follower.Publish(version);
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.store.bytes_answered() - before <= kMostVersionsRead * kVersionBytes);
}

// A topic with more keys than changes is still read change by change: its newest records
// are the larger part.
BOOST_AUTO_TEST_CASE(AFewChangesOfManyKeysAreReadAsChanges) {
  Follower follower;
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
  follower.taken = 0;
  BOOST_TEST(follower.RunUntilCurrent());
  BOOST_TEST(follower.taken == 2);
}

BOOST_AUTO_TEST_CASE(AProofDoesNotCarryTheVersionsThatItFinds) {
  EventLoop loop;
  StoreStandin store(&loop);
  StoreRecovery recovery(&loop);
  bool is_behind = false;
  ConfigRevalidator prover(&loop, store.address(), &recovery, kConfigTopic, seconds(5), /*seed=*/1,
                           {.position = [] { return std::optional<uint64_t>(0); },
                            .validated =
                                [](Time) {
                                  BOOST_ERROR("proved without the news");
                                  return true;
                                },
                            .speed_changed = [](bool, Duration) {},
                            .behind = [&] { is_behind = true; }});
  for (int version = 0; version < kMissed; ++version) {
    store.Put(kConfigTopic, kConfigKey, std::string(kVersionBytes, 'x'));
  }
  prover.Tick(Time{}, Now());
  Time until = Now() + kTestTimeout;
  while (!is_behind && Now() < until) loop.RunOnce(milliseconds(20));
  BOOST_TEST(is_behind);
  BOOST_TEST(store.bytes_answered() <= 2 * kVersionBytes);
}

// The word of a peer that has a newer version.
std::string NoteOfVersion(uint64_t version) {
  LoadDigest digest;
  digest.box = "box-2";
  digest.incarnation = 2;
  digest.sequence = 1;
  digest.freshness = FreshnessNote{};
  digest.freshness->round = 1;
  digest.freshness->config_version = version;
  return EncodeDigest(digest);
}

// What a gateway's configuration does not hold may stand in the newer one that it knows to
// exist, so it must not be denied: the caller is told to come back.
BOOST_AUTO_TEST_CASE(NothingIsDeniedByAConfigurationThatIsKnownToBeOld) {
  GatewayFixture world({});
  world.Publish(LargeConfig(world, 1));
  world.StartGateway();
  std::string unknown_key = world.SafeRequest("k");
  unknown_key.replace(unknown_key.find("key-1"), 5, "key-9");
  std::string no_key = world.SafeRequest("n");
  no_key.erase(no_key.find("X-Api-Key: key-1\r\n"), 18);
  struct Row {
    std::string request;
    int status_when_current;
  };
  const Row table[] = {{RequestFor(world, 2), 404}, {unknown_key, 401}, {no_key, 401}};
  for (const Row& row : table) {
    BOOST_TEST(world.Call(row.request).head.status == row.status_when_current);
  }

  UdpSocket peer;
  BOOST_TEST_REQUIRE(peer.Bind(&world.loop, {"127.0.0.1", 0}, [](std::string_view) {}).ok());
  const std::string peers_topic(platform::kPeersTopic);
  BOOST_TEST_REQUIRE(
      world.RunUntil([&] { return !world.store.Newest(peers_topic, "box-1").empty(); }));
  std::optional<Peer> gateway =
      DecodeGatewayEntry("box-1", world.store.Newest(peers_topic, "box-1"));
  BOOST_TEST_REQUIRE(gateway.has_value());
  peer.Send(gateway->address, NoteOfVersion(2));
  BOOST_TEST(world.RunUntil([&] { return world.Call(table[0].request).head.status != 404; }));
  for (const Row& row : table) {
    Reply reply = world.Call(row.request);
    BOOST_TEST(reply.head.status == 503);
    BOOST_TEST(FindHeader(reply.head.headers, platform::kRetryAfter).has_value());
  }
  // What the old configuration allows is served on.
  BOOST_TEST(world.Call(world.SafeRequest("known")).head.status == 200);

  world.Publish(LargeConfig(world, 2));
  BOOST_TEST(world.RunUntil([&] { return world.Call(RequestFor(world, 2)).head.status == 200; }));
  BOOST_TEST(world.Call(RequestFor(world, 3)).head.status == 404);
  BOOST_TEST(world.Call(unknown_key).head.status == 401);
}

}  // namespace
}  // namespace gullward

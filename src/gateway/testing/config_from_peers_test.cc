// The store turns one gateway away while it serves the others and the operator, and the
// operator changes the configuration: what that gateway cannot read, a peer hands on.

#define BOOST_TEST_MODULE config_from_peers
#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kOwnTopic[] = "keyed.gullward-entries";
constexpr size_t kCutOff = 1;

// The world's gateway, and one more whose store is a copy of the world's that nobody writes to.
struct TwoStores {
  explicit TwoStores(const GatewayFixtureOptions& options) : world(options), copy(&world.loop) {
    this->Publish(1);
    this->world.StartGateway();
    this->copy.Put("keyed.op", "config", this->world.store.Newest("keyed.op", "config"));
    for (const auto& engine : this->world.engines) this->CopyRecord("keyed.servers", engine->id());
    for (const auto& app : this->world.apps) this->CopyRecord("keyed.servers", app->id());
    BOOST_TEST_REQUIRE(this->world.RunUntil(
        [this] { return !this->world.store.Newest(kOwnTopic, "box-1").empty(); }));
    this->CopyRecord(kOwnTopic, "box-1");
    this->world.AddGatewayWithStore(this->copy.address());
    BOOST_TEST_REQUIRE(
        this->world.RunUntil([this] { return !this->copy.Newest(kOwnTopic, "box-2").empty(); }));
    this->world.store.Put(kOwnTopic, "box-2", this->copy.Newest(kOwnTopic, "box-2"));
    BOOST_TEST_REQUIRE(this->world.RunUntil([this] {
      return this->world.gateway->peers() == 1 && this->world.more_gateways[0]->peers() == 1;
    }));
  }

  void CopyRecord(const std::string& topic, const std::string& key) {
    this->copy.Put(topic, key, this->world.store.Newest(topic, key));
  }

  // A version with a route of its own.
  void Publish(int version) {
    json config = this->world.DefaultConfig();
    config["version"] = version;
    json route = config["routes"][1];
    route["pathPrefix"] = absl::StrCat("/version/", version, "/");
    route["name"] = absl::StrCat("version-", version);
    config["routes"].push_back(route);
    this->world.Publish(config);
  }

  int StatusFor(int version) {
    std::string request = this->world.SafeRequest(absl::StrCat("to-", version));
    const std::string old_path = "/app/look/x";
    request.replace(request.find(old_path), old_path.size(),
                    absl::StrCat("/version/", version, "/"));
    return this->world.Call(request, kCutOff).head.status;
  }

  // Calls the gateway that is cut off for so long; whether every answer was a success.
  bool IsServedFor(Duration time, int version) {
    bool all = true;
    Time until = Now() + time;
    while (Now() < until) {
      all = all && this->StatusFor(version) == 200;
      this->world.RunUntil([next = Now() + milliseconds(50)] { return Now() >= next; });
    }
    return all;
  }

  GatewayFixture world;
  StoreStandin copy;
};

BOOST_AUTO_TEST_CASE(WhatTheStoreWithholdsAPeerHandsOn) {
  for (StoreFault trouble : {StoreFault::kSilent, StoreFault::kBusy, StoreFault::kReset}) {
    GatewayFixtureOptions options;
    options.key_trust = seconds(4);
    TwoStores stores(options);
    stores.copy.SetFault(trouble);
    stores.Publish(2);
    BOOST_TEST(stores.world.RunUntil([&] { return stores.StatusFor(2) == 200; }));
    // Longer than the keys of its own last proof hold.
    BOOST_TEST(stores.IsServedFor(options.key_trust + seconds(1), 2));
    BOOST_TEST(stores.world.more_gateways[0]->IsReady());
  }
}

BOOST_AUTO_TEST_CASE(SwitchedOffItWaitsForTheStore) {
  GatewayFixtureOptions options;
  options.key_trust = seconds(2);
  options.mechanisms.config_from_peers = false;
  TwoStores stores(options);
  stores.copy.SetFault(StoreFault::kBusy);
  stores.Publish(2);
  BOOST_TEST(stores.world.RunUntil([&] { return !stores.world.more_gateways[0]->IsReady(); }));
  BOOST_TEST(stores.StatusFor(2) == 503);
}

}  // namespace
}  // namespace gullward

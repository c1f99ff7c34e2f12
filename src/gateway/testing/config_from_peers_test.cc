// Tests that a gateway fetches the configuration from a peer when the operator changes it while
// the store refuses this gateway and serves the others.

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
constexpr size_t kRefusedGateway = 1;

// The fixture's gateway, and a second gateway with its own store, a copy of the fixture's store
// that receives no further writes.
struct TwoStores {
  explicit TwoStores(const GatewayFixtureOptions& options) : fixture(options), copy(&fixture.loop) {
    this->Publish(1);
    this->fixture.StartGateway();
    this->copy.Put("keyed.op", "config", this->fixture.store.Newest("keyed.op", "config"));
    for (const auto& engine : this->fixture.engines)
      this->CopyRecord("keyed.servers", engine->id());
    for (const auto& app : this->fixture.apps) this->CopyRecord("keyed.servers", app->id());
    BOOST_TEST_REQUIRE(this->fixture.RunUntil(
        [this] { return !this->fixture.store.Newest(kOwnTopic, "box-1").empty(); }));
    this->CopyRecord(kOwnTopic, "box-1");
    this->fixture.AddGatewayWithStore(this->copy.address());
    BOOST_TEST_REQUIRE(
        this->fixture.RunUntil([this] { return !this->copy.Newest(kOwnTopic, "box-2").empty(); }));
    this->fixture.store.Put(kOwnTopic, "box-2", this->copy.Newest(kOwnTopic, "box-2"));
    BOOST_TEST_REQUIRE(this->fixture.RunUntil([this] {
      return this->fixture.gateway->peers() == 1 && this->fixture.more_gateways[0]->peers() == 1;
    }));
  }

  void CopyRecord(const std::string& topic, const std::string& key) {
    this->copy.Put(topic, key, this->fixture.store.Newest(topic, key));
  }

  // Publishes a version with one more route for the version.
  void Publish(int version) {
    json config = this->fixture.DefaultConfig();
    config["version"] = version;
    json route = config["routes"][1];
    route["pathPrefix"] = absl::StrCat("/version/", version, "/");
    route["name"] = absl::StrCat("version-", version);
    config["routes"].push_back(route);
    this->fixture.Publish(config);
  }

  int StatusFor(int version) {
    std::string request = this->fixture.SafeRequest(absl::StrCat("to-", version));
    const std::string old_path = "/app/look/x";
    request.replace(request.find(old_path), old_path.size(),
                    absl::StrCat("/version/", version, "/"));
    return this->fixture.Call(request, kRefusedGateway).head.status;
  }

  // Calls the refused gateway for this long.  Returns whether every answer was a success.
  bool IsServedFor(Duration duration, int version) {
    bool all_served = true;
    Time deadline = Now() + duration;
    while (Now() < deadline) {
      all_served = all_served && this->StatusFor(version) == 200;
      this->fixture.RunUntil([pause_end = Now() + milliseconds(50)] { return Now() >= pause_end; });
    }
    return all_served;
  }

  GatewayFixture fixture;
  StoreStandin copy;
};

BOOST_AUTO_TEST_CASE(AChangeThatTheStoreRefusesComesFromAPeer) {
  for (StoreFault trouble : {StoreFault::kSilent, StoreFault::kBusy, StoreFault::kReset}) {
    GatewayFixtureOptions options;
    options.key_trust = seconds(4);
    TwoStores stores(options);
    stores.copy.SetFault(trouble);
    stores.Publish(2);
    BOOST_TEST(stores.fixture.RunUntil([&] { return stores.StatusFor(2) == 200; }));
    // Longer than keys are accepted after the gateway's own last validation.
    BOOST_TEST(stores.IsServedFor(options.key_trust + seconds(1), 2));
    BOOST_TEST(stores.fixture.more_gateways[0]->IsReady());
  }
}

BOOST_AUTO_TEST_CASE(WithoutTheMechanismTheGatewayWaitsForTheStore) {
  GatewayFixtureOptions options;
  options.key_trust = seconds(2);
  options.mechanisms.config_from_peers = false;
  // Reading all topics from a peer has the same effect.
  options.mechanisms.topic_relay = false;
  TwoStores stores(options);
  stores.copy.SetFault(StoreFault::kBusy);
  stores.Publish(2);
  BOOST_TEST(stores.fixture.RunUntil([&] { return !stores.fixture.more_gateways[0]->IsReady(); }));
  BOOST_TEST(stores.StatusFor(2) == 503);
}

}  // namespace
}  // namespace gullward

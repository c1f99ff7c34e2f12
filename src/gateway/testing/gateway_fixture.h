// A test fixture: real gateways with stand-ins for the store and the engines, and with callers,
// all on one event loop.
//
//   GatewayFixture fixture({.engines = 3});
//   fixture.Publish(fixture.DefaultConfig());
//   fixture.StartGateway();
//   Reply reply = fixture.Call(fixture.StreamRequest("a1"));
//
// Sockets and time are real.  A test should wait for a condition and not for a time: RunUntil runs
// the loop until the condition holds, and gives up after kTestTimeout.

#ifndef GULLWARD_GATEWAY_TESTING_GATEWAY_FIXTURE_H_
#define GULLWARD_GATEWAY_TESTING_GATEWAY_FIXTURE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_server.h"
#include "http/request_channel.h"
#include "serving/attempt_result.h"
#include "serving/retry_bucket.h"
#include "standins/engine_standin.h"
#include "standins/store_standin.h"

namespace gullward {

inline constexpr Duration kTestTimeout = seconds(60);

struct GatewayFixtureOptions {
  // Engines of the service that runs models, and of the plain service.
  int engines = 3;
  int apps = 2;
  // Options of each model engine.
  EngineStandin::Options engine = {};
  // Options of each engine of the plain service.
  EngineStandin::Options app = {};
  // Settings of each gateway.
  Duration key_trust = seconds(5);
  KeyTrust key_trust_mode = KeyTrust::kBounded;
  Duration stop_grace = seconds(8);
  Duration leaving_bound = seconds(2);
  Duration registration_pause = Duration(0);
  Mechanisms mechanisms = {};
  // Allows every attempt that a request may need as soon as the gateway starts, when it has no
  // slack yet.  The bound on all retries together is tested elsewhere (retry_budget_test.cc).
  RetryBounds retry = {.window = seconds(10), .ratio = kMaxAttempts, .slack = 100};
};

// What a caller received for one request.
struct Reply {
  bool done = false;
  ChannelResult result = ChannelResult::kBroken;
  ResponseHead head;
  std::string body;

  bool whole() const { return this->result == ChannelResult::kWholeAnswer; }
};

class GatewayFixture {
 public:
  // Starts the engines and lists them in the store.  Starts no gateway.
  explicit GatewayFixture(const GatewayFixtureOptions& fixture_options);
  ~GatewayFixture();

  // The configuration that tests begin with, as a document of the store.
  nlohmann::json DefaultConfig() const;
  // Writes a configuration to the store.
  void Publish(const nlohmann::json& config);
  // Writes an engine's entry to the store.
  void ListEngine(const EngineStandin& engine, const std::string& service, bool draining = false);

  // Starts the gateway and waits until it is ready.
  void StartGateway();
  // Starts one more gateway and waits until it is ready and every gateway has all others as peers.
  void AddGateway();

  // Starts one more gateway and does not wait for it.
  void AddGatewayUnready();
  // Starts one more gateway that uses another store, and waits until it is ready.
  void AddGatewayWithStore(const SocketAddress& other_store);

  // Restarts each engine that crashes from now on, `delay` after its crash and under a new id.
  void RestartEnginesAfter(Duration delay) { this->restart_after = delay; }
  // The number of engine crashes so far.
  int engine_crashes() const { return this->crashes; }

  // Runs the loop until the condition holds.  Returns false if it does not within kTestTimeout.
  bool RunUntil(const std::function<bool()>& condition);

  // Runs the loop for this long.
  void RunFor(Duration span);

  // Whether the condition holds for every gateway.
  bool AllGateways(const std::function<bool(const GatewayServer&)>& condition) const;

  // The text of a request for the streaming route, for the plain route whose requests may be
  // repeated, and for the plain route whose requests must not run twice.
  std::string StreamRequest(const std::string& id, const std::string& more_headers = "",
                            const std::string& body = "hello") const;
  std::string SafeRequest(const std::string& id) const;
  std::string OnceRequest(const std::string& id, const std::string& body = "order") const;

  // Sends bytes to one of the gateways on a new connection, and returns at once.  Gateway 0 is
  // `gateway`, the others are `more_gateways`.
  std::shared_ptr<Reply> Send(const std::string& request, size_t gateway_number = 0);
  // Sends a request and runs the loop until its answer has ended.
  Reply Call(const std::string& request, size_t gateway_number = 0);
  // Sends `count` requests, to the gateways in turn and with a pause after each, and runs the loop
  // until all are answered.  `make` returns the request for an id; the ids are NAME-0, NAME-1, ...
  std::vector<std::shared_ptr<Reply>> SendMany(
      int count, const std::string& name, Duration pause,
      const std::function<std::string(const std::string& id)>& make);
  // Callers read nothing more of their answers.
  void StopReading();
  // Closes the connections of all callers.
  void DropCallers() { this->callers.clear(); }

  // How many times engines have run the request with this attempt id.
  int RunsOf(const std::string& id) const;

  EventLoop loop;
  StoreStandin store;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<EngineStandin>> apps;
  std::unique_ptr<GatewayServer> gateway;
  // Gateways started by the AddGateway functions; the first of them is number 1.
  std::vector<std::unique_ptr<GatewayServer>> more_gateways;
  // Boxes whose gateways use the second address of the store.  Set it before they start.
  std::set<std::string> boxes_at_second_address;
  // Where gateways receive the datagrams of their peers; with port 0 the kernel chooses a port.
  SocketAddress peers_address{"127.0.0.1", 0};

 private:
  std::unique_ptr<GatewayServer> NewGateway(size_t number, const SocketAddress& at_store);
  std::unique_ptr<GatewayServer> NewUnreadyGateway(size_t number, const SocketAddress& at_store);
  const GatewayServer& Gateway(size_t number) const;
  void OnEngineCrashed(size_t engine);

  GatewayFixtureOptions options;
  std::optional<Duration> restart_after;
  int crashes = 0;
  std::vector<std::shared_ptr<RequestChannel>> callers;
};

// Returns a fixture that has published its DefaultConfig and runs this many gateways.
std::unique_ptr<GatewayFixture> StartedFixture(const GatewayFixtureOptions& options = {},
                                               size_t gateways = 1);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TESTING_GATEWAY_FIXTURE_H_

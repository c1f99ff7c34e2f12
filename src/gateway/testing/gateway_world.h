// A gateway with a store, engines and callers around it, all on one event loop:
// what the bench plays, small enough for a test.
//
//   GatewayWorld world({.engines = 3});
//   world.Publish(world.DefaultConfig());
//   world.StartGateway();
//   Reply reply = world.Call(world.StreamRequest("a1"));
//
// Sockets are real and time is real, but no test waits for a time: RunUntil runs
// the loop until a condition holds and fails after kTestPatience.

#ifndef GULLWARD_GATEWAY_TESTING_GATEWAY_WORLD_H_
#define GULLWARD_GATEWAY_TESTING_GATEWAY_WORLD_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_server.h"
#include "http/request_channel.h"
#include "serving/attempt_result.h"
#include "serving/retry_bucket.h"
#include "standins/engine_standin.h"
#include "standins/store_standin.h"

namespace gullward {

inline constexpr Duration kTestPatience = seconds(60);

struct WorldOptions {
  int engines = 3;
  int apps = 2;
  EngineStandin::Options engine = {};
  // For the gateway.
  Duration key_trust = seconds(5);
  KeyTrust key_trust_mode = KeyTrust::kBounded;
  Duration stop_grace = seconds(8);
  Duration leaving_bound = seconds(2);
  Mechanisms mechanisms = {};
  // Every attempt that one request may need, from the first moment on, though a process
  // that has just started has no slack yet: what fleets may retry together is not what
  // tests of single requests are about.
  RetryBounds retry = {.window = seconds(10), .ratio = kMaxAttempts, .slack = 100};
};

// What a caller got.
struct Reply {
  bool done = false;
  ChannelResult result = ChannelResult::kBroken;
  ResponseHead head;
  std::string body;

  bool whole() const { return this->result == ChannelResult::kWholeAnswer; }
};

class GatewayWorld {
 public:
  explicit GatewayWorld(const WorldOptions& world_options);
  ~GatewayWorld();

  nlohmann::json DefaultConfig() const;
  void Publish(const nlohmann::json& config);
  void ListEngine(const EngineStandin& engine, const std::string& service, bool draining = false);

  // Starts the gateway and waits until it is ready.
  void StartGateway();
  // Starts one more and waits until it is ready and all of them know each other.
  void AddGateway();

  // Starts one more and does not wait.
  void AddGatewayUnready();
  // Starts one more that has a store of its own, and waits until it is ready.
  void AddGatewayAt(const SocketAddress& other_store);

  // Engines that end are back after `delay` each, under an id of their own.
  void LetEnginesReturnAfter(Duration delay) { this->return_after = delay; }
  // Engines that have ended so far.
  int engines_ended() const { return this->ended; }

  // Whether the condition came true in time.
  bool RunUntil(const std::function<bool()>& condition);

  // A request for the stream route, the route that may be repeated, and the one
  // that may not.
  std::string StreamRequest(const std::string& id, const std::string& more_headers = "",
                            const std::string& body = "hello") const;
  std::string SafeRequest(const std::string& id) const;
  std::string OnceRequest(const std::string& id, const std::string& body = "order") const;

  // Sends bytes on a new connection, to one of the gateways, and returns at once.
  std::shared_ptr<Reply> Send(const std::string& request, size_t gateway_number = 0);
  // Sends, and runs until the answer has ended.
  Reply Call(const std::string& request, size_t gateway_number = 0);
  // Sends `count` requests that `make` writes for ids NAME-0 and so on, by each gateway in turn,
  // with a pause after each, and runs until all are answered.
  std::vector<std::shared_ptr<Reply>> SendMany(
      int count, const std::string& name, Duration pause,
      const std::function<std::string(const std::string& id)>& make);
  // Closes the connections of all callers.
  void DropCallers() { this->callers.clear(); }

  // Requests that any engine has run, by attempt id.
  int RunsOf(const std::string& id) const;

  EventLoop loop;
  StoreStandin store;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<EngineStandin>> apps;
  std::unique_ptr<GatewayServer> gateway;
  // Those started by AddGateway; the first of them is number 1.
  std::vector<std::unique_ptr<GatewayServer>> more_gateways;
  // Where the gateway hears its peers; port 0 is the kernel's choice.
  SocketAddress peers_address{"127.0.0.1", 0};

 private:
  std::unique_ptr<GatewayServer> NewGateway(size_t number, const SocketAddress& at_store);
  std::unique_ptr<GatewayServer> NewUnreadyGateway(size_t number, const SocketAddress& at_store);
  const GatewayServer& Gateway(size_t number) const;
  void OnEngineEnded(size_t engine);

  WorldOptions options;
  std::optional<Duration> return_after;
  int ended = 0;
  std::vector<std::shared_ptr<RequestChannel>> callers;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TESTING_GATEWAY_WORLD_H_

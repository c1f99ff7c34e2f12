// Randomized soak test: runs the real programs, injects faults from outside, and checks the
// guarantees meanwhile.
//
// One store, several engines and several gateways run as separate processes.  Gateways reach the
// store and the engines through loopback proxies.  The seed determines which faults are injected
// and when; they may overlap.  Callers send requests without pause and reuse their connections
// until the process at the other end has ended.  These guarantees are checked; the name in the
// first column begins the report of a violation (a violation of `revoked` is reported as
// `refused`):
//
//   own      an answer has the id of its request, and a successful answer is complete
//   order    a stream delivers a prefix of the expected events, each once
//   once     a request that may not be repeated runs at most once
//   refused  a request that was refused as not run did not run and does not run later
//   on time  a gateway without a recent fault gives a final answer by the deadline
//   deadly   requests that crash engines, by their content or by a part of their prompt, reach few
//            engines and are refused with result code 2016; no other request is refused with this
//            code
//   lost     while requests come that share a part that crashes engines, at least half of the other
//            streams are begun by an engine
//   recover  while most new connections go to one gateway, the requests that are read are served at
//            least three quarters as often as at other times
//   revoked  no request runs with a key that was revoked longer ago than the key trust time
//
//   Soak soak({.seed = 7, .duration = seconds(10), .folder = "/tmp/soak"});
//   std::vector<std::string> violations = soak.Run();

#ifndef GULLWARD_SOAK_SOAK_H_
#define GULLWARD_SOAK_SOAK_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway/store_client.h"
#include "http/request_channel.h"
#include "soak/loopback_proxy.h"
#include "soak/process_set.h"

namespace gullward {

struct SoakOptions {
  uint64_t seed = 1;
  Duration duration = seconds(10);
  std::string folder;
  // Number of model engines, and of engines of the plain service "app".
  int engines = 4;
  int apps = 2;
  int gateways = 2;
  int callers = 12;
  // The first caller repeatedly sends a request that crashes every engine that runs it.
  // Gateways then connect to engines directly: a proxy would still accept connections after its
  // engine has crashed.
  bool crashing = false;
  // The first caller sends requests that differ in content and share a part that crashes every
  // engine that runs it.  All streams share their first part with them.
  bool crashing_part = false;
  // Engines send some answers without a length, and end some of these inside an event.
  bool unframed = false;
  // For some seconds at a time most new connections go to one gateway, and callers use each
  // connection once.
  bool herd = false;
  // The store is repeatedly restored from an older copy.  The operator and the engines then
  // write the lost records again.
  bool store_returns = false;
  // The gateways run with the decisions under load that are off by default (src/overload), and
  // half of the streams are long prompts of a less urgent route.
  bool overload = false;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& soak_options);

  // Runs the whole soak; returns one line for each violation.
  std::vector<std::string> Run();

  // The number of requests sent and of complete successful answers.
  uint64_t sent() const { return this->sent_count; }
  uint64_t served() const { return this->served_count; }

 private:
  enum class Kind { kStream, kSafe, kOnce };

  // One of the engines.  A restart changes its process and its id but not the proxy.
  struct EngineProcess {
    std::string service;
    std::string name;
    int incarnations = 0;
    std::unique_ptr<LoopbackProxy> proxy;
  };
  struct GatewayProcess {
    std::string name;
    std::unique_ptr<LoopbackProxy> store_proxy;
    SocketAddress callers;
    // When the last fault was injected into the gateway or it was last started.
    Time last_fault;
    bool is_stopping = false;
  };
  struct Caller {
    std::shared_ptr<RequestChannel> channel;
    size_t gateway = 0;
    std::string id;
    std::string key;
    Kind kind = Kind::kSafe;
    Time sent;
    bool is_waiting = false;
    ResponseHead head;
    std::string body;
  };
  // The requests that were read and that were served.
  struct ServedCount {
    uint64_t read = 0;
    uint64_t served = 0;
  };
  // A request that crashes engines, or another stream beside such requests.
  struct CrashingRequest {
    std::string id;
    Time sent;
    // Whether the gateway had no fault for kGraceAfterFault before the request.
    bool is_gateway_healthy = false;
  };

  void StartAll();
  void StartEngine(size_t index);
  void StartGateway(size_t index);
  void Publish();
  void PutRecord(std::string_view topic, const std::string& key, const std::string& value);
  void SendNextStoreCall();
  void RunUntil(const std::function<bool()>& condition, Duration timeout);

  void InjectFault();
  void InjectEngineFault();
  void InjectGatewayFault();
  void InjectStoreFault();
  void ScheduleStoreReturn();
  void RestoreStore();
  void RewriteRecords();
  void RunAfter(Duration delay, std::function<void()> task);
  void RestartEnded();

  void SendNext(size_t caller);
  void OnDone(size_t caller, ChannelResult result);
  void CheckAnswer(const Caller& caller, ChannelResult result);
  void CheckDeadlines();
  void CheckRuns();
  void RecordCrashingRequest(const Caller& caller);
  void CheckCrashingRequests(std::map<std::string, int>& runs);
  void CheckStreamsBesideCrashes(std::map<std::string, int>& runs, Time fifth_crash);
  void CheckHerd();
  bool HasCrashes() const { return this->options.crashing || this->options.crashing_part; }
  bool IsCrashingCaller(size_t caller) const { return this->HasCrashes() && caller == 0; }
  bool IsHerdTime(Time at) const;
  std::string PromptParts(size_t caller) const;
  void ReportViolation(const std::string& what);
  uint64_t RandomBelow(uint64_t below) { return this->random() % below; }

  SoakOptions options;
  std::mt19937_64 random;
  EventLoop loop;
  ProcessSet processes;
  std::unique_ptr<StoreClient> store;
  std::deque<std::pair<platform::StoreRequest, std::function<void()>>> store_calls;
  bool store_is_busy = false;
  // Separate random numbers for the store's returns, so that a seed gives the same other faults
  // with and without them.
  std::mt19937_64 return_random;
  Time next_return{};
  // The newest value of each record acknowledged since the store's last copy, by topic and key.
  std::map<std::pair<std::string, std::string>, std::string> appended_since_copy;
  std::vector<EngineProcess> engines;
  std::vector<GatewayProcess> gateways;
  std::vector<Caller> callers;
  Time last_deadline_check{};
  std::vector<std::string> engine_outputs;
  uint64_t config_version = 0;
  // Valid API keys, oldest first, and when the store acknowledged the revocation of others.
  std::deque<std::string> keys;
  std::map<std::string, Time> revoked;
  // Ids of requests that must not have run, with the reason, and of requests that may run at
  // most once.
  std::map<std::string, std::string> must_not_run;
  std::vector<std::string> once_ids;
  std::vector<CrashingRequest> crashing_requests;
  std::vector<CrashingRequest> streams_beside;
  Time began{};
  ServedCount in_herd;
  ServedCount outside_herd;
  uint64_t crashing_refused = 0;
  std::vector<std::string> violations;
  uint64_t sent_count = 0;
  uint64_t served_count = 0;
  bool is_ending = false;
};

}  // namespace gullward

#endif  // GULLWARD_SOAK_SOAK_H_

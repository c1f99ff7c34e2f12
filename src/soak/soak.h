// A randomized soak: real programs, faults from outside, promises checked meanwhile.
//
// One store, some engines and some gateways run as separate processes.  Gateways
// reach the store and the engines through loopback proxies.  A seed decides which
// faults come when, in series and overlapping; callers keep sending, on kept
// connections until the process behind them is gone.  What is checked:
//
//   own      an answer carries the id of its request, and a success is whole
//   order    what a stream delivers is a beginning of the right events, once each
//   once     what may not be repeated runs at most once
//   refused  what was refused with a promise did not run and does not run later
//   on time  a gateway that nobody harmed gives a final answer by the deadline
//   deadly   a request that ends engines reaches few, and is refused by a code of its own
//   revoked  no request runs with a key that was taken away longer ago than allowed
//
//   Soak soak({.seed = 7, .duration = seconds(10), .folder = "/tmp/soak"});
//   std::vector<std::string> broken = soak.Run();

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
  int engines = 4;
  int apps = 2;
  int gateways = 2;
  int callers = 12;
  // One caller more sends a request that ends each engine that runs it, over and over.
  // Gateways then reach engines directly: a proxy would hide that nobody listens any more.
  bool deadly = false;
  // The store comes back from older copies; what was written meanwhile, the operator and the
  // engines write again.
  bool returns = false;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& soak_options);

  // Plays the whole run; returns what was broken, one line each.
  std::vector<std::string> Run();

  // Requests sent, and answers of success, for the report.
  uint64_t sent() const { return this->sent_count; }
  uint64_t served() const { return this->served_count; }

 private:
  enum class Kind { kStream, kSafe, kOnce };

  // An engine's place: the process behind it and its id change, the proxy stays.
  struct EnginePlace {
    std::string service;
    std::string name;
    int lives = 0;
    std::unique_ptr<LoopbackProxy> proxy;
  };
  struct GatewayPlace {
    std::string name;
    std::unique_ptr<LoopbackProxy> store_proxy;
    SocketAddress callers;
    // When it was last harmed, or started again.
    Time harmed;
    bool stopping = false;
  };
  struct Caller {
    std::shared_ptr<RequestChannel> channel;
    size_t gateway = 0;
    std::string id;
    std::string key;
    Kind kind = Kind::kSafe;
    Time sent;
    bool waiting = false;
    ResponseHead head;
    std::string body;
  };
  // A try of the request that ends engines.
  struct DeadlyTry {
    std::string id;
    Time sent;
    // The gateway had not been harmed for long.
    bool in_touch = false;
  };

  void StartAll();
  void StartEngine(size_t place);
  void StartGateway(size_t place);
  void Publish();
  void PutRecord(std::string_view topic, const std::string& key, const std::string& value);
  void NextStoreCall();
  void RunUntil(const std::function<bool()>& condition, Duration patience);

  void HarmSomething();
  void HarmEngine();
  void HarmGateway();
  void HarmStore();
  void PlayReturns();
  void ReturnStore();
  void WriteAgain();
  void Later(Duration delay, std::function<void()> task);
  void KeepRunning();

  void SendNext(size_t caller);
  void OnDone(size_t caller, ChannelResult result);
  void CheckAnswer(const Caller& caller, ChannelResult result);
  void CheckDeadlines();
  void CheckRuns();
  void NoteDeadlyTry(const Caller& caller);
  void CheckDeadly(std::map<std::string, int>& runs);
  bool IsDeadly(size_t caller) const { return this->options.deadly && caller == 0; }
  void Broken(const std::string& what);
  uint64_t Draw(uint64_t below) { return this->random() % below; }

  SoakOptions options;
  std::mt19937_64 random;
  EventLoop loop;
  ProcessSet processes;
  std::unique_ptr<StoreClient> store;
  std::deque<std::pair<platform::StoreRequest, std::function<void()>>> store_calls;
  bool store_busy = false;
  // Returns are drawn apart, so that a seed's other faults are the same with and without.
  std::mt19937_64 return_random;
  Time next_return{};
  // The newest of each record acknowledged since the store's last copy, by topic and key.
  std::map<std::pair<std::string, std::string>, std::string> since_copy;
  std::vector<EnginePlace> engines;
  std::vector<GatewayPlace> gateways;
  std::vector<Caller> callers;
  std::vector<std::string> engine_outputs;
  uint64_t config_version = 0;
  // Keys in force, oldest first, and when others were taken away (acknowledged).
  std::deque<std::string> keys;
  std::map<std::string, Time> revoked;
  // Attempts that must not have run, with the reason; and those that may once.
  std::map<std::string, std::string> must_not_run;
  std::vector<std::string> once_ids;
  std::vector<DeadlyTry> deadly_tries;
  uint64_t deadly_refused = 0;
  std::vector<std::string> broken;
  uint64_t sent_count = 0;
  uint64_t served_count = 0;
  bool ending = false;
};

}  // namespace gullward

#endif  // GULLWARD_SOAK_SOAK_H_

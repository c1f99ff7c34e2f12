// A whole fleet in one thread on a clock of its own: real decision cores, the
// stand-in engine's time model, and links, processes, engines and a log that
// fail on demand.
//
// It drives the golden sessions, the fault matrix, the random histories and the
// routing trials.  Nothing in it decides anything: it carries messages with a
// fixed delay, calls the cores' ticks and heartbeats at fixed periods, and keeps
// what the callers got.  The same options, calls and faults give the same run.
//
//   World world(options);
//   world.Publish(config_toml);
//   size_t call = world.Submit(0, input);
//   world.RunFor(seconds(10));
//   const Call& result = world.call(call);
//   std::vector<std::string> broken = world.CheckInvariants();

#ifndef GULLWARD_TRIAL_SIMULATION_H_
#define GULLWARD_TRIAL_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/config_feed.h"
#include "endpoint/endpoint_core.h"
#include "request/entry_core.h"
#include "standins/engine_model.h"

namespace gullward {

struct SimulationOptions {
  size_t entries = 1;
  size_t endpoints = 3;
  size_t engines_per_endpoint = 1;
  // The last so many endpoints stand in front of the plain service "desk".
  size_t services = 0;
  EngineModelOptions engine;
  Duration link_delay = milliseconds(1);
  Duration service_time = milliseconds(20);
  // How old the load is that a report tells. The report itself comes in time, as
  // a heartbeat does.
  Duration report_lag{};
  // The share of cache hints in the reports that get lost.
  double hint_loss = 0;
  uint64_t seed = 1;
};

// One caller's request and what it got.
struct Call {
  size_t entry = 0;
  RequestId id;
  RequestInput input;
  Time submitted;
  Time deadline;
  std::string text;
  bool first_token = false;
  Time first_token_at;
  Time last_token_at;
  bool ended = false;
  Time ended_at;
  bool finished = false;
  FinishAnswer finish;
  FailAnswer failure;
  // The entry died, so the caller's connection broke.
  bool broken = false;
  // The caller went away by itself.
  bool gone = false;
  // Times that an engine or the service was started for it with its last piece.
  int starts = 0;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);

  // Publishes a configuration file's objects; every process has it at once.
  void Publish(const std::string& config_toml);

  // A caller sends a request to an entry now.
  size_t Submit(size_t entry, RequestInput input);
  void CallerLeaves(size_t call);

  void RunFor(Duration duration);
  void RunUntil(Time end);
  // Runs until the condition holds; false where it does not within `most`.
  bool RunUntilTrue(const std::function<bool()>& condition, Duration most);
  Time now() const { return this->clock; }
  // Runs `task` at a later time.
  void At(Time when, std::function<void()> task);

  // Faults.
  void KillEntry(size_t entry);
  void RestartEntry(size_t entry);
  void PauseEntry(size_t entry, Duration duration);
  void KillEndpoint(size_t endpoint);
  void RestartEndpoint(size_t endpoint);
  void PauseEndpoint(size_t endpoint, Duration duration);
  void KillEngine(size_t endpoint, uint32_t engine);
  void FreezeEngine(size_t endpoint, uint32_t engine, Duration duration);
  void SlowEngine(size_t endpoint, uint32_t engine, double factor);
  void CutStreams(size_t endpoint, uint32_t engine);
  // The link breaks; both sides notice, and connect again.
  void CutLink(size_t entry, size_t endpoint);
  // Packets vanish for a while; nobody is told.
  void SilenceLink(size_t entry, size_t endpoint, Duration duration);
  void SetLogDown(bool down) { this->log_down = down; }
  void DrainEndpoint(size_t endpoint);
  void DrainEntry(size_t entry);

  const Call& call(size_t index) const { return this->calls[index]; }
  const std::vector<Call>& all_calls() const { return this->calls; }
  // The cores; null while the process is dead.
  EntryCore* entry(size_t index) { return this->entry_nodes[index]->core.get(); }
  EndpointCore* endpoint(size_t index) { return this->endpoint_nodes[index]->core.get(); }
  const EngineModel& engine(size_t endpoint, uint32_t engine) const {
    return *this->endpoint_nodes[endpoint]->engines[engine]->model;
  }
  size_t endpoints() const { return this->endpoint_nodes.size(); }
  const std::vector<std::string>& service_journal() const { return this->journal; }

  // When an endpoint last started work on an engine or its service.
  Time last_start(size_t endpoint) const { return this->endpoint_nodes[endpoint]->last_start; }

  // Called with a line for each message and engine call, for golden files.
  void SetTrace(std::function<void(const std::string&)> hook) { this->trace = std::move(hook); }
  // Called for each action of an entry and endpoint before it is carried out.
  std::function<void(const EntryAction&)> on_entry_action;
  std::function<void(const EndpointAction&)> on_endpoint_action;
  // The endpoint whose action the hook is called for.
  size_t acting_endpoint() const { return this->acting; }

  // What does not hold of the promises, in words; empty where all is well.  With
  // `quiet`, also that nothing is held any more.
  std::vector<std::string> CheckInvariants(bool quiet) const;

 private:
  struct EntryNode {
    std::unique_ptr<ConfigFeed> feed;
    std::unique_ptr<EntryCore> core;
    size_t index = 0;
    uint64_t life = 0;
    bool alive = false;
    Time paused_until;
    std::vector<std::function<void()>> held;
    std::map<RequestId, size_t> calls;
    size_t next_claim = 0;
  };

  struct EngineNode {
    std::unique_ptr<EngineModel> model;
    Time frozen_until;
    // Grows when the engine dies: answers of an earlier life do not arrive.
    uint64_t life = 0;
    double slowness = 1;
    std::map<std::string, AttemptId> streams;
    // Endpoint life that each stream belongs to.
    std::map<std::string, uint64_t> stream_life;
    Time planned;
  };

  struct EndpointNode {
    std::unique_ptr<EndpointCore> core;
    size_t index = 0;
    uint64_t life = 0;
    bool alive = false;
    bool service = false;
    Time paused_until;
    std::vector<std::function<void()>> held;
    std::vector<std::unique_ptr<EngineNode>> engines;
    Time last_start;
    // Reports of the last while, for those that are told late.
    std::deque<std::pair<Time, EndpointHeartbeat>> reports;
  };

  struct Link {
    bool up = false;
    uint64_t session = 0;
    Time silent_until;
    Time last_heard;
  };

  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> task;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void StartEntry(EntryNode* node);
  void StartEndpoint(EndpointNode* node);
  std::string BoxName(size_t endpoint) const { return "box-" + std::to_string(endpoint + 1); }
  size_t BoxIndex(const std::string& name) const { return std::stoul(name.substr(4)) - 1; }
  std::string EngineAddress(size_t endpoint, uint32_t engine) const;

  // Runs a task on a node after a delay, unless the node has died by then; a
  // paused node gets it when it wakes.
  void Deliver(EntryNode* node, Duration delay, std::function<void()> task);
  void Deliver(EndpointNode* node, Duration delay, std::function<void()> task);
  template <typename Node>
  void DeliverTo(Node* node, Duration delay, std::function<void()> task);
  template <typename Node>
  void Pause(Node* node, Duration duration);

  void TickEntry(size_t entry, uint64_t life);
  void TickEndpoint(size_t endpoint, uint64_t life);
  void HeartbeatLinks();
  EndpointHeartbeat ReportOf(EndpointNode* node);
  void ConnectLink(size_t entry, size_t endpoint);
  void BreakLink(size_t entry, size_t endpoint);
  void ReadClaims(EntryNode* node);

  void Perform(EntryNode* node);
  void Perform(EndpointNode* node);
  void SendToEndpoint(size_t entry, size_t endpoint, const Message& message);
  void SendToEntry(size_t endpoint, PeerId peer, const Message& message);
  void StartEngineJob(EndpointNode* node, const StartOnEngine& start);
  void FreeEngineJob(EndpointNode* node, const FreeOnEngine& action);
  void ListEngine(EndpointNode* node, uint32_t engine);
  void RunService(EndpointNode* node, const CallService& action);
  void ScheduleEngine(EndpointNode* node, uint32_t engine);
  void AdvanceEngine(EndpointNode* node, uint32_t engine);
  void BreakStreams(EndpointNode* node, uint32_t engine, Ran ran);
  bool Frozen(const EngineNode& engine) const { return engine.frozen_until > this->clock; }
  Call* CallOf(const RequestId& id);
  void Trace(const std::string& line);

  SimulationOptions options;
  Time clock;
  uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<OffsetRecord> config_log;
  std::vector<ClaimBatch> claims_log;
  bool log_down = false;
  std::vector<std::unique_ptr<EntryNode>> entry_nodes;
  std::vector<std::unique_ptr<EndpointNode>> endpoint_nodes;
  std::map<std::pair<size_t, size_t>, Link> links;
  std::vector<Call> calls;
  std::map<RequestId, size_t> call_of;
  std::vector<std::string> journal;
  uint64_t next_incarnation = 1;
  std::mt19937_64 random;
  size_t acting = 0;
  std::function<void(const std::string&)> trace;
};

// A configuration with one class, account and model, for tests and trials.
std::string BasicConfig();

// The SHA-256 that BasicConfig's account "shop" has.
std::string BasicKey();

// A request for BasicConfig's model with a prompt of so many tokens of text that
// depends on `seed`.
RequestInput BasicRequest(uint64_t tokens, uint32_t max_tokens, uint64_t seed);

// A call of the plain service "desk" that makes an entry of `text`.
RequestInput ServiceRequest(const std::string& text);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_SIMULATION_H_

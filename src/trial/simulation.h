// Simulates a whole fleet in one thread on simulated time: the real EntryCore and EndpointCore,
// the time model of the stand-in engine, and links, processes, engines and a log that fail on
// demand.
//
// The golden sessions, the fault matrix, the random histories and the routing trials run on it.
// The simulation makes no decisions of its own.  It delivers messages after a fixed delay, calls
// the cores' ticks and heartbeats at fixed periods, and records what the callers receive.  The
// run is deterministic: the same options, calls and faults give the same run.
//
//   Simulation simulation(options);
//   simulation.Publish(config_toml);
//   size_t call = simulation.Submit(0, input);
//   simulation.RunFor(seconds(10));
//   const Call& result = simulation.call(call);
//   std::vector<std::string> broken = simulation.CheckInvariants(/*expect_idle=*/false);

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
  // The last `services` endpoints serve the plain service "desk" and have no engines.
  size_t services = 0;
  EngineModelOptions engine;
  Duration link_delay = milliseconds(1);
  Duration service_time = milliseconds(20);
  // Age of the load figures in an endpoint's report.  The report itself arrives on time, as a
  // heartbeat does.
  Duration report_lag{};
  // Share of the cache hints that are removed from the reports.
  double hint_loss = 0;
  uint64_t seed = 1;
};

// One caller's request and the answer to it.
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
  // The entry was killed, so the caller's connection broke.
  bool broken = false;
  // The caller disconnected before the answer was complete.
  bool disconnected = false;
  // How often the request was started on an engine, counting starts of its last piece only, or
  // on the service.
  int starts = 0;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);

  // Publishes the objects of a configuration file in TOML.  Every process that is running has
  // them at once.
  void Publish(const std::string& config_toml);

  // Sends a caller's request to an entry now.  Returns the call's index.
  size_t Submit(size_t entry, RequestInput input);
  void DisconnectCaller(size_t call);

  void RunFor(Duration duration);
  void RunUntil(Time end);
  // Runs until the condition holds.  Returns false if it does not hold within `timeout`.
  bool RunUntilTrue(const std::function<bool()>& condition, Duration timeout);
  Time now() const { return this->clock; }
  // Runs `task` at time `when`, or next if that time has passed.
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
  void AbortStreams(size_t endpoint, uint32_t engine);
  // Resets the connection: both sides are notified and connect again.
  void ResetLink(size_t entry, size_t endpoint);
  // Drops all packets between the two for a while without notifying either side.
  void PartitionLink(size_t entry, size_t endpoint, Duration duration);
  void SetLogDown(bool down) { this->log_down = down; }
  void DrainEndpoint(size_t endpoint);
  void DrainEntry(size_t entry);

  const Call& call(size_t index) const { return this->calls[index]; }
  const std::vector<Call>& all_calls() const { return this->calls; }
  // The cores; null while the process is not running.
  EntryCore* entry(size_t index) { return this->entry_nodes[index]->core.get(); }
  EndpointCore* endpoint(size_t index) { return this->endpoint_nodes[index]->core.get(); }
  const EngineModel& engine(size_t endpoint, uint32_t engine) const {
    return *this->endpoint_nodes[endpoint]->engines[engine]->model;
  }
  size_t endpoints() const { return this->endpoint_nodes.size(); }
  const std::vector<std::string>& service_journal() const { return this->journal; }

  // When an endpoint last started work on an engine or its service.
  Time last_start(size_t endpoint) const { return this->endpoint_nodes[endpoint]->last_start; }

  // Sets a hook that is called with one line of text for each message and each call of an
  // engine.  The golden files are made of these lines.
  void SetTrace(std::function<void(const std::string&)> hook) { this->trace = std::move(hook); }
  // Called for each action of an entry or an endpoint before the action is carried out.
  std::function<void(const EntryAction&)> on_entry_action;
  std::function<void(const EndpointAction&)> on_endpoint_action;
  // The endpoint whose action on_endpoint_action is being called for.
  size_t acting_endpoint() const { return this->acting_index; }

  // Returns one line of text for each guarantee that is broken; empty if all hold.  With
  // `expect_idle`, also checks that no request is in flight and no engine memory is held.
  std::vector<std::string> CheckInvariants(bool expect_idle) const;

 private:
  struct EntryNode {
    std::unique_ptr<ConfigFeed> feed;
    std::unique_ptr<EntryCore> core;
    size_t index = 0;
    uint64_t incarnation = 0;
    bool is_alive = false;
    Time paused_until;
    std::vector<std::function<void()>> deferred;
    std::map<RequestId, size_t> calls;
    size_t next_claim = 0;
  };

  struct EngineNode {
    std::unique_ptr<EngineModel> model;
    Time frozen_until;
    // Incremented when the engine is killed.  Answers of an earlier incarnation are dropped.
    uint64_t incarnation = 0;
    double slowdown = 1;
    std::map<std::string, AttemptId> streams;
    // The incarnation of the endpoint that started each stream.
    std::map<std::string, uint64_t> stream_incarnation;
    Time next_advance;
  };

  struct EndpointNode {
    std::unique_ptr<EndpointCore> core;
    size_t index = 0;
    uint64_t incarnation = 0;
    bool is_alive = false;
    bool is_service = false;
    Time paused_until;
    std::vector<std::function<void()>> deferred;
    std::vector<std::unique_ptr<EngineNode>> engines;
    Time last_start;
    // Recent reports with their times, kept only if `report_lag` is set.
    std::deque<std::pair<Time, EndpointHeartbeat>> reports;
  };

  struct Link {
    bool is_up = false;
    uint64_t session = 0;
    Time partitioned_until;
    Time last_received;
  };

  struct Event {
    Time at;
    uint64_t number;
    std::function<void()> task;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void StartEntry(EntryNode* node);
  void StartEndpoint(EndpointNode* node);
  std::string BoxName(size_t endpoint) const { return "box-" + std::to_string(endpoint + 1); }
  size_t BoxIndex(const std::string& name) const { return std::stoul(name.substr(4)) - 1; }
  std::string EngineAddress(size_t endpoint, uint32_t engine) const;

  // Runs a task on a node after a delay, unless the node has been killed by then.  If the node
  // is paused, the task runs when the pause ends.
  void Deliver(EntryNode* node, Duration delay, std::function<void()> task);
  void Deliver(EndpointNode* node, Duration delay, std::function<void()> task);
  template <typename Node>
  void DeliverTo(Node* node, Duration delay, std::function<void()> task);
  template <typename Node>
  void Pause(Node* node, Duration duration);

  void TickEntry(size_t entry, uint64_t incarnation);
  void TickEndpoint(size_t endpoint, uint64_t incarnation);
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
  bool IsFrozen(const EngineNode& engine) const { return engine.frozen_until > this->clock; }
  Call* CallOf(const RequestId& id);
  void Trace(const std::string& line);

  SimulationOptions options;
  Time clock;
  uint64_t next_event_number = 0;
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
  size_t acting_index = 0;
  std::function<void(const std::string&)> trace;
};

// A configuration with one class, account, model and service, for tests and trials.
std::string BasicConfig();

// The SHA-256 of the API key of BasicConfig's account "shop".
std::string BasicKey();

// A request for BasicConfig's model.  The prompt has `tokens` tokens; its text depends on
// `seed`.
RequestInput BasicRequest(uint64_t tokens, uint32_t max_tokens, uint64_t seed);

// A call of the plain service "desk" that adds the entry `text` to its journal.
RequestInput ServiceRequest(const std::string& text);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_SIMULATION_H_

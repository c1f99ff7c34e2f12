// The decisions of an endpoint process: what runs on its engines, and when.
//
// The endpoint process stands in front of a few model engines, or of one plain
// service.  It has the last word on what is started there, and it is the one
// process that may say "not run".  EndpointCore holds that state machine.  It
// does no I/O: events go in with the time, actions come out, and the shell
// (endpoint/endpoint_server) turns bytes into events and actions into bytes.
//
//   EndpointCore core(options);
//   core.OnMessage(peer, offer, now);
//   for (const EndpointAction& action : core.TakeActions()) Perform(action);
//
// An attempt's life:
//
//   Reserve -> (waits) -> reserved ------------+
//                                              v
//   Offer   -> (waits for memory) -> started -> first token -> finished
//                                        \-> kept (a piece of a large prompt)
//
// Before "started" the attempt may be handed back with Refused, which promises
// that it was not run.  The attempt is recorded before the engine is called, and
// an id that was seen is never started again: at most once.
//
// Leases.  An entry renews all of its attempts with one heartbeat.  When the
// heartbeats stop, or the connection is lost, attempts that may be repeated are
// cancelled and their memory freed.  One that may not be repeated runs to its
// end: nobody else may run it, so stopping it would only lose it.
//
// Memory is given back to the ledger only when the engine no longer holds it: a
// free that failed is tried again, and a sweep compares the engine's own list of
// allocations with the attempts here, and frees what no attempt covers.

#ifndef GULLWARD_ENDPOINT_ENDPOINT_CORE_H_
#define GULLWARD_ENDPOINT_ENDPOINT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/request_id.h"
#include "endpoint/ledger.h"
#include "endpoint/prefill_backlog.h"
#include "endpoint/speed_estimator.h"
#include "wire/messages.h"

namespace gullward {

// Names a connection to an entry, given out by the shell.
using PeerId = uint64_t;

// Finished attempts that are remembered, so that none is started again.
inline constexpr size_t kMaxRemembered = 100'000;

// Prefixes of finished prompts that are reported for each engine.
inline constexpr size_t kReportedHints = 32;

// Lists of allocations in a row that an engine may fail to answer before all of
// its attempts are given up: a frozen engine breaks no connection.
inline constexpr int kMissesUntilLost = 2;

// One engine as the settings describe it.
struct EngineOptions {
  std::string name;
  // Where other engines fetch KV cache from, "IP:PORT".
  std::string address;
  std::string model;
  uint64_t memory_tokens = 0;
  PrefillSpeed initial_speed;

  bool operator==(const EngineOptions&) const = default;
};

struct EndpointOptions {
  std::string box;
  uint64_t incarnation = 0;
  std::vector<EngineOptions> engines;
  // The plain service here; empty where there are engines.
  std::string service;
  Duration lease = seconds(3);
  Duration sweep_period = seconds(5);
  Duration free_retry = seconds(1);
  double group_memory_share = 0.9;
  uint64_t long_tokens = 32768;
  // Calls of the plain service that may run at once.
  size_t max_service_calls = 256;
};

// ------------------------------------------------------------------- actions

struct SendToPeer {
  PeerId peer = 0;
  Message message;

  bool operator==(const SendToPeer&) const = default;
};

// Start the attempt on its engine, under the allocation name ToString(id).
struct StartOnEngine {
  AttemptId id;
  uint32_t engine = 0;
  Offer offer;
  Duration time_left{};

  bool operator==(const StartOnEngine&) const = default;
};

// Cancel and free an allocation on an engine.  Safe to repeat.
struct FreeOnEngine {
  uint32_t engine = 0;
  std::string allocation;

  bool operator==(const FreeOnEngine&) const = default;
};

// Ask an engine for its list of allocations.
struct ListAllocations {
  uint32_t engine = 0;

  bool operator==(const ListAllocations&) const = default;
};

// Call the plain service.
struct CallService {
  AttemptId id;
  Offer offer;
  Duration time_left{};

  bool operator==(const CallService&) const = default;
};

// Break off a call of the plain service that may be repeated.
struct CancelService {
  AttemptId id;

  bool operator==(const CancelService&) const = default;
};

using EndpointAction = std::variant<SendToPeer, StartOnEngine, FreeOnEngine, ListAllocations,
                                    CallService, CancelService>;

// -------------------------------------------------------------------- events

// A part of an answer from the engine.
struct EngineOutput {
  std::string text;
  uint32_t tokens = 0;
};

// The engine finished an attempt well.  Unless it was a kept piece, the engine
// has freed its memory.
struct EngineFinished {
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  // Time that the engine spent computing the prompt.
  double prefill_seconds = 0;
};

// The engine did not take the attempt or broke it off.
struct EngineFailure {
  ResultCode code = ResultCode::kEngineFailed;
  // kNo where the engine is known not to have seen or taken the call.
  Ran ran = Ran::kUnknown;
};

// A plain service's whole answer.
struct ServiceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

// One allocation in an engine's own list.
struct EngineAllocation {
  std::string name;
  uint64_t tokens = 0;

  bool operator==(const EngineAllocation&) const = default;
};

struct EndpointCounters {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t failed = 0;
  uint64_t cancelled = 0;
  uint64_t leases_lapsed = 0;
  uint64_t swept = 0;
  uint64_t duplicates = 0;
};

class EndpointCore {
 public:
  EndpointCore(EndpointOptions options, Time now);

  // Peers.
  void OnHello(PeerId peer, const Hello& hello, Time now);
  void OnMessage(PeerId peer, const Message& message, Time now);
  void OnPeerLost(PeerId peer, Time now);

  // Engines and the service.
  void OnEngineOutput(const AttemptId& id, const EngineOutput& output, Time now);
  void OnEngineFinished(const AttemptId& id, const EngineFinished& finished, Time now);
  void OnEngineFailure(const AttemptId& id, const EngineFailure& broken, Time now);
  void OnEngineFreed(uint32_t engine, const std::string& allocation, bool freed, Time now);
  void OnAllocations(uint32_t engine, const std::vector<EngineAllocation>& list, Time now);
  void OnEngineUnreachable(uint32_t engine, Time now);
  void OnServiceAnswer(const AttemptId& id, const ServiceAnswer& answer, Time now);

  // Begins to leave: new work is refused, waiting work handed back, running
  // work finished.
  void Drain(Time now);

  // What the configuration says of this box, applied when it changes.
  void SetPolicy(double group_memory_share, uint64_t long_tokens, Time now);

  // Deadlines, leases, retries of frees, sweeps.  Call it every 100 ms or so.
  void Tick(Time now);

  // The report to send to the entries now.
  EndpointHeartbeat Heartbeat(int64_t config_offset, Time now);

  // What is to be done since the last call.
  std::vector<EndpointAction> TakeActions();

  // State, for dumps, metrics and tests.
  const EndpointOptions& options() const { return this->settings; }
  const EndpointCounters& counters() const { return this->counts; }
  bool draining() const { return this->leaving; }
  size_t attempts() const { return this->live.size(); }
  size_t remembered() const { return this->seen.size(); }
  size_t freeing(uint32_t engine) const { return this->engines[engine].freeing.size(); }
  bool engine_up(uint32_t engine) const { return this->engines[engine].up; }
  const Ledger& ledger(uint32_t engine) const { return this->engines[engine].ledger; }
  const PrefillSpeed& speed(uint32_t engine) const { return this->engines[engine].speed.speed(); }

 private:
  enum class State { kWaiting, kReserved, kRunning, kKept };

  struct Attempt {
    AttemptId id;
    PeerId peer = 0;
    State state = State::kWaiting;
    uint32_t engine = 0;
    uint64_t tokens = 0;
    bool group = false;
    bool reserve_only = false;
    Time deadline;
    Offer offer;
    uint64_t chunks = 0;
  };

  struct Peer {
    uint64_t incarnation = 0;
    Time last_heard;
    uint64_t last_dispatch = 0;
  };

  struct Freeing {
    AttemptId id;
    bool in_ledger = false;
    Time next_try;
  };

  struct Engine {
    explicit Engine(const EngineOptions& options, double group_share, Time now);

    EngineOptions options;
    Ledger ledger;
    SpeedEstimator speed;
    PrefillBacklog backlog;
    // Allocations that must go, by name; the ledger counts them until they do.
    std::map<std::string, Freeing> freeing;
    std::deque<CacheHint> hints;
    bool up = false;
    // Lists in a row that the engine did not answer.
    int misses = 0;
    Time next_sweep;
  };

  void OnReserve(PeerId peer, const Reserve& reserve, Time now);
  void OnOffer(PeerId peer, const Offer& offer, Time now);
  void OnServiceOffer(PeerId peer, const Offer& offer, Time now);
  void OnCancel(const Cancel& cancel, Time now);
  ResultCode CheckOffer(const Offer& offer) const;
  void AskMemory(Attempt attempt, uint32_t value, Time arrival, Time now);
  void Start(Attempt* attempt, Time now);
  void StartGranted(const std::vector<AttemptId>& granted, Time now);
  void Refuse(PeerId peer, const AttemptId& id, uint32_t engine, ResultCode code);
  void HandBack(const AttemptId& id, ResultCode code, Time now);
  void Fail(const AttemptId& id, ResultCode code, Ran ran, Time now);
  // Fails what was started and hands back what was not.
  void GiveUp(const AttemptId& id, ResultCode code, Time now);
  // Whether the attempt must not be broken off, since nobody may run it again.
  static bool MustFinish(const Attempt& attempt);
  // Ends an attempt here; `on_engine` says whether the engine may hold memory.
  void Remove(const AttemptId& id, bool on_engine, Time now);
  void Release(uint32_t engine, const AttemptId& id, Time now);
  void Remember(const AttemptId& id);
  void CancelAttemptsOf(PeerId peer, Time now);
  void CheckDeadlines(Time now);
  void CheckLeases(Time now);
  void RetryFrees(Time now);
  void Send(PeerId peer, Message message);
  uint64_t RetryAfterMillis(uint32_t engine) const;
  void LearnHints(Engine* engine, const Offer& offer);
  Attempt* Find(const AttemptId& id);

  EndpointOptions settings;
  std::vector<Engine> engines;
  std::map<PeerId, Peer> peers;
  std::map<AttemptId, Attempt> live;
  std::set<AttemptId> seen;
  std::deque<AttemptId> seen_order;
  bool leaving = false;
  size_t service_calls = 0;
  EndpointCounters counts;
  std::vector<EndpointAction> actions;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_ENDPOINT_CORE_H_

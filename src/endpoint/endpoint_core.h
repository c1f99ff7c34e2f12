// The state machine of an endpoint process, which decides what runs on its engines and when.
//
// An endpoint process serves entries on behalf of a few model engines or of one plain service.
// Only the endpoint process starts attempts there, so only it can report that an attempt was not
// run.  EndpointCore does no I/O.  Its methods take events together with the current time and queue
// actions.  The shell (endpoint/endpoint_server) converts received bytes to events and performs
// the actions.
//
//   EndpointCore core(options, now);
//   core.OnMessage(peer, offer, now);
//   for (const EndpointAction& action : core.TakeActions()) Perform(action);
//
// States of an attempt:
//
//   Reserve -> (waits) -> reserved ------------+
//                                              v
//   Offer   -> (waits for memory) -> started -> first token -> finished
//                                        \-> kept (a piece of a large prompt)
//
// Before it is started, an attempt may be returned to its entry with Refused, which guarantees
// that the attempt was not run.  The id of an attempt is recorded before the engine is called, and
// an attempt with a recorded id is never started again, so each attempt runs at most once.
//
// Leases.  One heartbeat of an entry renews the leases of all its attempts.  If the heartbeats stop
// or the connection is lost, the entry's repeatable attempts are cancelled and their memory is
// freed.  A running attempt that is not repeatable is completed: no other endpoint may run it, so
// stopping it would only lose the answer.
//
// Memory is returned to the ledger only when the engine no longer holds it.  A free that failed is
// retried.  A periodic sweep compares the engine's own list of allocations with the attempts here
// and frees allocations that belong to no attempt.

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

// Identifies a connection to an entry.  The shell assigns the ids.
using PeerId = uint64_t;

// Number of attempt ids that are recorded so that no attempt is started twice.  The oldest id is
// dropped first.
inline constexpr size_t kMaxRemembered = 100'000;

// Number of prefixes of finished prompts that are reported for each engine.
inline constexpr size_t kReportedHints = 32;

// Number of consecutive list requests that an engine must leave unanswered before all its attempts
// are ended.  A frozen engine is found in no other way, since its connections stay open.
inline constexpr int kMissesUntilLost = 2;

// One engine as the settings describe it.
struct EngineOptions {
  std::string name;
  // Address from which other engines fetch KV cache, "IP:PORT".
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
  // Name of the plain service; empty if the box has engines.
  std::string service;
  // An entry from which nothing has arrived for this time loses the leases of its attempts.
  Duration lease = seconds(3);
  // Time between two sweeps of an engine's allocations.
  Duration sweep_period = seconds(5);
  // Time after which a failed free is repeated and an unreachable engine is polled again.
  Duration free_retry = seconds(1);
  // Fraction of an engine's memory that large claims may hold (ledger.h), in [0, 1].
  double group_memory_share = 0.9;
  // Prompts of at least this many tokens count as long in the load report.
  uint64_t long_tokens = 32768;
  // Maximum number of concurrent calls of the plain service.
  size_t max_service_calls = 256;
};

// ------------------------------------------------------------------- actions

struct SendToPeer {
  PeerId peer = 0;
  Message message;

  bool operator==(const SendToPeer&) const = default;
};

// Start the attempt on its engine.  The allocation is named ToString(id).
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

// Request an engine's list of allocations.
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

// Cancel a repeatable call of the plain service.
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

// The engine completed an attempt.  The engine has freed the attempt's memory, unless the attempt
// is a piece that is kept.
struct EngineFinished {
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  // Time that the engine took to prefill the prompt.
  double prefill_seconds = 0;
};

// The engine refused the attempt or failed before the attempt was complete.
struct EngineFailure {
  ResultCode code = ResultCode::kEngineFailed;
  // kNo if the engine certainly did not receive or accept the call.
  Ran ran = Ran::kUnknown;
};

// The complete answer of a plain service.
struct ServiceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

// One allocation as the engine lists it.
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
  // Allocations that belonged to no attempt.
  uint64_t swept = 0;
  // Reserve and Offer messages for an id that was already recorded.
  uint64_t duplicates = 0;
};

class EndpointCore {
 public:
  EndpointCore(EndpointOptions options, Time now);

  // Events from entries.
  void OnHello(PeerId peer, const Hello& hello, Time now);
  void OnMessage(PeerId peer, const Message& message, Time now);
  void OnPeerLost(PeerId peer, Time now);

  // Events from the engines and the service.
  void OnEngineOutput(const AttemptId& id, const EngineOutput& output, Time now);
  void OnEngineFinished(const AttemptId& id, const EngineFinished& finished, Time now);
  void OnEngineFailure(const AttemptId& id, const EngineFailure& failure, Time now);
  void OnEngineFreed(uint32_t engine, const std::string& allocation, bool freed, Time now);
  void OnAllocations(uint32_t engine, const std::vector<EngineAllocation>& list, Time now);
  void OnEngineUnreachable(uint32_t engine, Time now);
  void OnServiceAnswer(const AttemptId& id, const ServiceAnswer& answer, Time now);

  // Starts draining: new attempts are refused, waiting attempts are returned to their entries and
  // running attempts are completed.
  void Drain(Time now);

  // Applies the values of the configuration.  To be called when the configuration changes.
  void SetPolicy(double group_memory_share, uint64_t long_tokens, Time now);

  // Checks deadlines and leases, retries frees and starts sweeps.  To be called about every 100 ms.
  void Tick(Time now);

  // Returns the load report to send to the entries.
  EndpointHeartbeat Heartbeat(int64_t config_offset, Time now);

  // Returns the actions queued since the last call.
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
    // Chunks of the answer sent so far.
    uint64_t chunks = 0;
  };

  struct Peer {
    uint64_t incarnation = 0;
    Time last_received;
    uint64_t last_dispatch = 0;
  };

  // An allocation that is being freed on the engine.
  struct PendingFree {
    AttemptId id;
    // Whether the ledger counts the allocation; false for allocations without an attempt.
    bool in_ledger = false;
    Time next_try;
  };

  struct Engine {
    explicit Engine(const EngineOptions& options, double group_share, Time now);

    EngineOptions options;
    Ledger ledger;
    SpeedEstimator speed;
    PrefillBacklog backlog;
    // Allocations to be freed, by name.  The ledger counts them until the engine has freed them.
    std::map<std::string, PendingFree> freeing;
    // Prefixes of finished prompts, the latest first.
    std::deque<CacheHint> hints;
    // Whether the engine gets work: it answers, and its memory holds only attempts of this process.
    bool up = false;
    // Consecutive list requests that the engine did not answer.
    int misses = 0;
    Time next_sweep;
  };

  void OnReserve(PeerId peer, const Reserve& reserve, Time now);
  void OnOffer(PeerId peer, const Offer& offer, Time now);
  void OnServiceOffer(PeerId peer, const Offer& offer, Time now);
  void OnCancel(const Cancel& cancel, Time now);
  ResultCode CheckOffer(const Offer& offer) const;
  void RequestMemory(Attempt attempt, uint32_t value, Time arrival, Time now);
  void Start(Attempt* attempt, Time now);
  void StartGranted(const std::vector<AttemptId>& granted, Time now);
  void Refuse(PeerId peer, const AttemptId& id, uint32_t engine, ResultCode code);
  // Returns an attempt that was not run to its entry, with Refused.
  void ReturnAsNotRun(const AttemptId& id, ResultCode code, Time now);
  void Fail(const AttemptId& id, ResultCode code, Ran ran, Time now);
  // Fails the attempt if it was started; otherwise returns it as not run.
  void EndAttempt(const AttemptId& id, ResultCode code, Time now);
  // Whether the attempt must not be cancelled, because it is running, may not be repeated and
  // produces the answer (it is the last piece of its prompt).
  static bool MustFinish(const Attempt& attempt);
  // Removes an attempt.  `on_engine` states whether the engine may still hold memory for it.
  void Remove(const AttemptId& id, bool on_engine, Time now);
  void Release(uint32_t engine, const AttemptId& id, Time now);
  void Remember(const AttemptId& id);
  void CancelAttemptsOf(PeerId peer, Time now);
  void CheckDeadlines(Time now);
  void CheckLeases(Time now);
  void RetryFrees(Time now);
  void Send(PeerId peer, Message message);
  uint64_t RetryAfterMillis(uint32_t engine) const;
  void RecordHints(Engine* engine, const Offer& offer);
  Attempt* Find(const AttemptId& id);

  EndpointOptions settings;
  std::vector<Engine> engines;
  std::map<PeerId, Peer> peers;
  // Attempts that have not ended.
  std::map<AttemptId, Attempt> live;
  // Recorded ids of live and ended attempts, and the order in which they were recorded.
  std::set<AttemptId> seen;
  std::deque<AttemptId> seen_order;
  bool leaving = false;
  size_t service_calls = 0;
  EndpointCounters counts;
  std::vector<EndpointAction> actions;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_ENDPOINT_CORE_H_

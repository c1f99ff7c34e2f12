// The decisions of an entry: the life of every request that callers send it.
//
// EntryCore does no I/O.  Events go in with the time, actions come out; the
// shell (entry/entry_server) talks HTTP to callers and frames to endpoint boxes.
//
//   EntryCore core(options);
//   RequestId id = core.Submit(std::move(input), now);
//   core.OnMessage("box-3", chunk, now);
//   for (const EntryAction& action : core.TakeActions()) Perform(action);
//
// A request's life:
//
//   Submit: account, model, limits, estimate  --refused at once, not run-->
//     |  with an Idempotency-Key: claim it in the log, wait for the outcome
//     v
//   dispatch: one offer, or for a prompt larger than any engine a group:
//     |  reserve every piece, then prefill piece by piece, then the answer
//     v
//   chunks pass to the caller in order  -->  finished
//     |  endpoint lost, engine broken: continue elsewhere (if repeatable)
//     v
//   failed, with what is known of whether it ran
//
// Attempts.  Every try has an attempt number of its own, and so has every piece
// of a group.  Only messages of the attempts under way count; a late chunk of an
// earlier attempt is dropped and its attempt cancelled, so answers cannot cross
// or double.  Chunks carry an index; a gap breaks the attempt.
//
// Continuing.  When an attempt breaks half way, a repeatable request goes on
// elsewhere with the prompt and what was already passed on as its prompt.  The
// caller sees one whole answer.
//
// "ran".  A refusal by an endpoint process means that nothing was started.  An
// offer that was neither accepted nor refused leaves it unknown.  Only when
// nothing is unknown does a failure say "no".
//
// Time.  Every request has a deadline from its stated time.  What cannot finish
// by then by estimate is refused at once; what passes it anyway fails in Tick.

#ifndef GULLWARD_REQUEST_ENTRY_CORE_H_
#define GULLWARD_REQUEST_ENTRY_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admission/account_limits.h"
#include "base/clock.h"
#include "base/prefix_hash.h"
#include "base/request_id.h"
#include "base/result_code.h"
#include "claims/claimer.h"
#include "config/config_feed.h"
#include "request/model_stats.h"
#include "request/retry_budget.h"
#include "routing/fleet_view.h"
#include "routing/group_plan.h"
#include "routing/policy.h"
#include "wire/messages.h"

namespace gullward {

// Endpoints that one request is offered to before it is given up.
inline constexpr int kMaxRefusals = 4;

// How long an offer may stay unanswered before a repeatable request tries
// another endpoint.
inline constexpr Duration kOfferTimeout = milliseconds(1000);

// How much lower than its class a long prompt runs.
inline constexpr uint32_t kLongPriorityStep = 4;

// How long a process may lag behind a configuration it has heard of and still
// take requests.
inline constexpr Duration kMaxConfigLag = seconds(5);

struct EntryOptions {
  std::string box;
  uint64_t incarnation = 0;
  uint64_t seed = 1;
  size_t max_in_flight = 4096;
  ClaimerOptions claimer;
};

// What a caller asks for.
struct RequestInput {
  // SHA-256 of the API key in hexadecimal; empty where none was sent.
  std::string key_sha256;
  std::string model;
  std::shared_ptr<const std::string> prompt;
  std::vector<PrefixHash> prefixes;
  uint32_t max_tokens = 0;
  // Sampling parameters, as a JSON object that only the engine reads.
  std::string sampling;
  // The stated time, where the caller gave one.
  std::optional<Duration> timeout;
  bool repeatable = true;
  // Hash of account and Idempotency-Key; 0 where none was sent.
  uint64_t idempotency_key = 0;
  // For a plain service; prompt is then the call's body.
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
};

// ------------------------------------------------------------------- actions

struct SendToBox {
  std::string box;
  Message message;

  bool operator==(const SendToBox&) const = default;
};

// Pass a part of the answer on to the caller.
struct DeliverText {
  RequestId id;
  std::string text;
  uint32_t tokens = 0;

  bool operator==(const DeliverText&) const = default;
};

// The answer is whole.
struct FinishAnswer {
  RequestId id;
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  // For a plain service.
  uint32_t status = 0;
  std::string content_type;

  bool operator==(const FinishAnswer&) const = default;
};

// The request is given up; nothing more comes.
struct FailAnswer {
  RequestId id;
  ResultCode code = ResultCode::kInternal;
  Ran ran = Ran::kUnknown;
  // When to come back; 0 where that does not help.
  uint64_t retry_after_ms = 0;

  bool operator==(const FailAnswer&) const = default;
};

// Append a batch to the claims stream.
struct AppendClaims {
  ClaimBatch batch;

  bool operator==(const AppendClaims&) const = default;
};

using EntryAction = std::variant<SendToBox, DeliverText, FinishAnswer, FailAnswer, AppendClaims>;

struct EntryCounters {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  uint64_t finished = 0;
  uint64_t failed = 0;
  uint64_t callers_gone = 0;
  uint64_t offers = 0;
  uint64_t offers_refused = 0;
  uint64_t retries = 0;
  uint64_t continued = 0;
  uint64_t groups = 0;
  uint64_t stale_messages = 0;
  uint64_t gaps = 0;
};

class EntryCore {
 public:
  // `config` is the process's configuration; it must outlive the core.
  EntryCore(EntryOptions options, const ConfigFeed* config, Time now);

  // Takes a request.  Its answer comes as actions, perhaps before this returns.
  RequestId Submit(RequestInput input, Time now);

  // Whether a key names an account that may send requests: kOk, kMissingKey,
  // kWrongKey or kAccountSuspended.
  ResultCode CheckKey(const std::string& key_sha256) const;

  // The caller has gone: its work is cancelled.
  void OnCallerGone(const RequestId& id, Time now);

  // Endpoint boxes.
  void OnMessage(const std::string& box, const Message& message, Time now);
  void OnBoxLost(const std::string& box, Time now);

  // The platform's list: entries that live, boxes that are leaving.
  void OnBoxList(size_t entries, const std::set<std::string>& leaving);

  // Called when the configuration has changed.
  void OnConfigChanged();

  // A record of the claims stream.
  void OnClaimRecord(const ClaimBatch& batch, Time now);

  // Refuses new requests; those under way are finished.
  void Drain();

  // Deadlines, retries, claims.  Call it every 20 ms or so.
  void Tick(Time now);

  std::vector<EntryAction> TakeActions();

  // State, for dumps, metrics and tests.
  uint64_t incarnation() const { return this->options.incarnation; }
  size_t in_flight() const { return this->requests.size(); }
  bool draining() const { return this->leaving; }
  const EntryCounters& counters() const { return this->counts; }
  const FleetView& fleet() const { return this->view; }
  const Claimer& claimer() const { return this->claims; }
  const AccountLimits& limits() const { return this->account_limits; }
  double retry_budget() const { return this->budget.left(); }

  struct RequestInfo {
    RequestId id;
    std::string account;
    std::string model;
    uint64_t prompt_tokens = 0;
    uint64_t delivered_tokens = 0;
    uint32_t attempts = 0;
    std::string phase;
    std::vector<EngineRef> engines;
  };
  std::vector<RequestInfo> Describe() const;

 private:
  enum class Phase { kClaiming, kBackoff, kReserving, kRunning };

  // One attempt under way: the whole request, or one piece of a group.
  struct Piece {
    uint32_t attempt = 0;
    GroupPiece plan;
    bool reserved = false;
    bool offered = false;
    bool accepted = false;
    bool done = false;
    Time offered_at;
    uint64_t dispatch = 0;
    // What was known before this piece was offered.
    Ran ran_before = Ran::kNo;
    KvContext kept;
  };

  struct Request {
    RequestId id;
    RequestInput input;
    std::string account;
    std::string model;
    uint32_t priority = 0;
    uint32_t value = 0;
    uint64_t prompt_tokens = 0;
    std::vector<CacheHint> hints;
    Time arrival;
    Time deadline;
    Phase phase = Phase::kRunning;
    Time retry_at;
    uint32_t next_attempt = 1;
    std::vector<Piece> pieces;
    size_t current_piece = 0;
    // Bytes of the prompt that earlier pieces have taken.
    size_t prompt_bytes_sent = 0;
    uint64_t next_chunk = 0;
    Time first_chunk_at;
    std::string delivered_text;
    uint64_t delivered_tokens = 0;
    int refusals = 0;
    uint32_t reserve_tries = 0;
    std::set<EngineRef> excluded;
    Ran ran = Ran::kNo;
    bool holds_key = false;
  };

  // Submit, step by step; each returns kOk or why the request is refused.
  ResultCode CheckAccount(Request* request);
  ResultCode CheckTarget(Request* request);
  ResultCode CheckLimits(Request* request, Time now, Duration* retry_after);
  ResultCode CheckEstimate(const Request& request, Time now, Duration* retry_after);

  void Dispatch(Request* request, Time now);
  void DispatchService(Request* request, Time now);
  void StartSingle(Request* request, const Choice& choice, Time now);
  void StartGroup(Request* request, const std::vector<EngineView>& candidates, Time now);
  void OfferPiece(Request* request, Time now);
  void RetryGroupLater(Request* request, Time now);
  RoutingRequest RoutingOf(const Request& request) const;

  void OnReserved(const std::string& box, const Reserved& reserved, Time now);
  void OnAccepted(const std::string& box, const Accepted& accepted);
  void OnRefused(const std::string& box, const Refused& refused, Time now);
  void OnChunk(const std::string& box, const Chunk& chunk, Time now);
  void OnDone(const std::string& box, const Done& done, Time now);
  void OnFailed(const std::string& box, const Failed& failed, Time now);

  // The request and its piece that the attempt belongs to; null, and a cancel
  // sent to the box, where the attempt is not under way.
  Request* FindCurrent(const std::string& box, const AttemptId& id, Piece** piece);
  Request* Find(const RequestId& id);

  // An attempt broke after it may have started.
  void OnBroken(Request* request, const EngineRef& engine, ResultCode code, Time now);
  // Cancels all pieces and forgets them.
  void DropPieces(Request* request);
  void Finish(Request* request, const Done& done, Time now);
  void Fail(Request* request, ResultCode code, Duration retry_after);
  void End(Request* request);
  void SettleClaims(Time now);
  Duration TimeLeft(const Request& request, Time now) const { return request.deadline - now; }

  EntryOptions options;
  const ConfigFeed* config;
  FleetView view;
  AccountLimits account_limits;
  RetryBudget budget;
  Claimer claims;
  std::map<std::string, ModelStats> model_stats;
  std::string policy_name;
  Policy policy;
  std::mt19937_64 random;
  std::map<RequestId, Request> requests;
  uint64_t next_sequence = 1;
  bool leaving = false;
  Time last_prune;
  EntryCounters counts;
  std::vector<EntryAction> actions;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_ENTRY_CORE_H_

// The state machine of an entry, which handles each request from its arrival to its answer.
//
// EntryCore does no I/O.  Its methods take events together with the current time and queue
// actions.  The shell (entry/entry_server) performs the actions: it speaks HTTP with callers and
// exchanges frames with endpoint boxes.
//
//   EntryCore core(options, &config_feed, now);
//   RequestId id = core.Submit(std::move(input), now);
//   core.OnMessage("box-3", chunk, now);
//   for (const EntryAction& action : core.TakeActions()) Perform(action);
//
// States of a request:
//
//   Submit: check account, model, estimate, limits  --refused at once, not run-->
//     |  with an Idempotency-Key: claim the key in the log, wait for the outcome
//     v
//   dispatch: one offer, or a group for a prompt larger than any engine:
//     |  reserve memory for every piece, then prefill the pieces in order
//     v
//   pass chunks to the caller in order  -->  finished
//     |  endpoint lost or engine failed: continue elsewhere (if repeatable)
//     v
//   failed; the answer states whether the request ran, as far as is known
//
// Attempts.  Each attempt and each piece of a group has its own attempt number.  Only messages of
// current attempts count.  A late chunk of an earlier attempt is dropped and that attempt is
// cancelled, so the answers of two attempts or two requests cannot mix and no text is passed on
// twice.  Chunks carry an index; a gap in the indices fails the attempt.
//
// Continuing.  When an attempt fails half way, a repeatable request continues on another engine.
// The new prompt is the old one followed by the text already passed to the caller, who receives
// one complete answer.
//
// "ran" states whether a request ran: "no" before the first offer, "unknown" after an offer, "yes"
// after a chunk of the answer.  A refusal by the endpoint process restores the value before the
// offer, since nothing was started.  So a failure reports "no" only if every offer was refused.
//
// Time.  The deadline of a request is its arrival plus its stated time.  A request that by
// estimate cannot finish before its deadline is refused at once; a request that exceeds its
// deadline fails in Tick.

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

// Refusals after which a request fails.
inline constexpr int kMaxRefusals = 4;

// How long an offer may remain unanswered before a repeatable request is offered to another
// endpoint.  Large prompts get more time on top.
inline constexpr Duration kOfferTimeout = milliseconds(1000);

// Added to the priority of a long prompt; a higher number is less urgent.
inline constexpr uint32_t kLongPriorityStep = 4;

// How long a process may be without a configuration record that it knows to exist and still
// accept requests.
inline constexpr Duration kMaxConfigLag = seconds(5);

struct EntryOptions {
  std::string box;
  uint64_t incarnation = 0;
  uint64_t seed = 1;
  size_t max_in_flight = 4096;
  ClaimerOptions claimer;
};

// A request as a caller has sent it.
struct RequestInput {
  // SHA-256 of the API key in hexadecimal; empty if no key was sent.
  std::string key_sha256;
  std::string model;
  std::shared_ptr<const std::string> prompt;
  std::vector<PrefixHash> prefixes;
  uint32_t max_tokens = 0;
  // Sampling parameters, a JSON object that is passed to the engine unread.
  std::string sampling;
  // The time that the caller allows for the answer, if stated.
  std::optional<Duration> timeout;
  bool repeatable = true;
  // Hash of the account and the Idempotency-Key; 0 if no key was sent.
  uint64_t idempotency_key = 0;
  // The service, method, path and content type of a call to a plain service; `prompt` is then
  // the call's body.
  std::string service;
  std::string method;
  std::string path;
  std::string content_type;
};

// ------------------------------------------------------------------- actions

// Send a message to an endpoint box.
struct SendToBox {
  std::string box;
  Message message;

  bool operator==(const SendToBox&) const = default;
};

// Pass a part of the answer to the caller.
struct DeliverText {
  RequestId id;
  std::string text;
  uint32_t tokens = 0;

  bool operator==(const DeliverText&) const = default;
};

// The answer is complete.
struct FinishAnswer {
  RequestId id;
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
  // HTTP status and type of a plain service's answer.
  uint32_t status = 0;
  std::string content_type;

  bool operator==(const FinishAnswer&) const = default;
};

// The request has failed or was refused.  No further action names it.
struct FailAnswer {
  RequestId id;
  ResultCode code = ResultCode::kInternal;
  Ran ran = Ran::kUnknown;
  // After how long a retry may succeed; 0 if a retry does not help.
  uint64_t retry_after_ms = 0;

  bool operator==(const FailAnswer&) const = default;
};

// Append a batch to the claims stream of the log.
struct AppendClaims {
  ClaimBatch batch;

  bool operator==(const AppendClaims&) const = default;
};

using EntryAction = std::variant<SendToBox, DeliverText, FinishAnswer, FailAnswer, AppendClaims>;

// Event counts since the start.
struct EntryCounters {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  uint64_t finished = 0;
  uint64_t failed = 0;
  // Requests whose caller disconnected early.
  uint64_t callers_gone = 0;
  uint64_t offers = 0;
  uint64_t offers_refused = 0;
  uint64_t retries = 0;
  // Retries that continued an answer of which a part had been passed on.
  uint64_t continued = 0;
  // Attempts to reserve a group.
  uint64_t groups = 0;
  // Messages of earlier attempts, and repeated chunks.
  uint64_t stale_messages = 0;
  // Attempts that failed because a chunk was missing.
  uint64_t gaps = 0;
};

class EntryCore {
 public:
  // `config` is the process's configuration and must outlive the core.
  EntryCore(EntryOptions options, const ConfigFeed* config, Time now);

  // Starts a request.  Its answer follows as actions; a refusal is queued before this returns.
  RequestId Submit(RequestInput input, Time now);

  // Returns kOk if the key belongs to an account that may send requests, else kMissingKey,
  // kWrongKey or kAccountSuspended.
  ResultCode CheckKey(const std::string& key_sha256) const;

  // The caller has disconnected: cancels the request.
  void OnCallerGone(const RequestId& id, Time now);

  // A message from an endpoint box has arrived, or the connection to the box is lost.
  void OnMessage(const std::string& box, const Message& message, Time now);
  void OnBoxLost(const std::string& box, Time now);

  // The platform's list of boxes: the number of running entries, and the boxes that are leaving.
  void OnBoxList(size_t entries, const std::set<std::string>& leaving);

  // The configuration has changed.
  void OnConfigChanged();

  // A record of the claims stream has been read.
  void OnClaimRecord(const ClaimBatch& batch, Time now);

  // Refuses new requests from now on.  Current requests are completed.
  void Drain();

  // Handles deadlines, retries and claims that are due.  To be called about every 20 ms.
  void Tick(Time now);

  // Returns the queued actions in order and empties the queue.
  std::vector<EntryAction> TakeActions();

  // State, for status pages, metrics and tests.
  uint64_t incarnation() const { return this->options.incarnation; }
  size_t in_flight() const { return this->requests.size(); }
  bool draining() const { return this->is_draining; }
  const EntryCounters& counters() const { return this->counts; }
  const FleetView& fleet() const { return this->fleet_view; }
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

  // One current attempt: the whole request, or one piece of a group.
  struct Piece {
    uint32_t attempt = 0;
    GroupPiece plan;
    bool reserved = false;
    bool offered = false;
    bool accepted = false;
    bool done = false;
    Time offered_at;
    uint64_t dispatch = 0;
    // Request::ran before this piece was offered, to be restored if the offer is refused.
    Ran ran_before = Ran::kNo;
    // Where the KV cache of this piece is kept after its prefill.
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
    // Bytes of the prompt that have been offered so far.
    size_t prompt_bytes_sent = 0;
    // Index of the next chunk expected from the current attempt.
    uint64_t next_chunk = 0;
    Time first_chunk_at;
    std::string delivered_text;
    uint64_t delivered_tokens = 0;
    int refusals = 0;
    uint32_t reserve_tries = 0;
    // Engines that failed or refused this request.
    std::set<EngineRef> excluded;
    Ran ran = Ran::kNo;
    // Whether the request has won the claim of its idempotency key.
    bool holds_key = false;
  };

  // The steps of Submit.  Each returns kOk or the reason for refusing the request.
  ResultCode CheckAccount(Request* request);
  ResultCode CheckTarget(Request* request);
  ResultCode CheckLimits(Request* request, Time now, Duration* retry_after);
  ResultCode CheckEstimate(const Request& request, Time now, Duration* retry_after);

  void Dispatch(Request* request, Time now);
  void DispatchService(Request* request, Time now);
  void StartSingle(Request* request, const Choice& choice, Time now);
  void StartGroup(Request* request, const std::vector<EngineView>& candidates, Time now);
  // Offers the current piece to its engine.
  void OfferPiece(Request* request, Time now);
  // Releases the reservations of a group and plans the group again after a random delay.
  void RetryGroupLater(Request* request, Time now);
  RoutingRequest MakeRoutingRequest(const Request& request) const;

  void OnReserved(const std::string& box, const Reserved& reserved, Time now);
  void OnAccepted(const std::string& box, const Accepted& accepted);
  void OnRefused(const std::string& box, const Refused& refused, Time now);
  void OnChunk(const std::string& box, const Chunk& chunk, Time now);
  void OnDone(const std::string& box, const Done& done, Time now);
  void OnFailed(const std::string& box, const Failed& failed, Time now);

  // Returns the request and its piece that a current attempt on this box belongs to.  Counts a
  // stale message and returns null if the attempt is not current.
  Request* FindCurrent(const std::string& box, const AttemptId& id, Piece** piece);
  Request* Find(const RequestId& id);

  // Retries or fails a request whose attempt failed after it may have started.
  void OnAttemptFailed(Request* request, const EngineRef& engine, ResultCode code, Time now);
  // Cancels and removes all pieces.
  void DropPieces(Request* request);
  void Finish(Request* request, const Done& done, Time now);
  void Fail(Request* request, ResultCode code, Duration retry_after);
  // Removes the request.
  void Remove(Request* request);
  void HandleClaimOutcomes(Time now);
  Duration TimeLeft(const Request& request, Time now) const { return request.deadline - now; }

  EntryOptions options;
  const ConfigFeed* config;
  FleetView fleet_view;
  AccountLimits account_limits;
  RetryBudget budget;
  Claimer claims;
  std::map<std::string, ModelStats> model_stats;
  std::string policy_name;
  Policy policy;
  std::mt19937_64 random;
  std::map<RequestId, Request> requests;
  uint64_t next_sequence = 1;
  bool is_draining = false;
  Time last_prune;
  EntryCounters counts;
  std::vector<EntryAction> actions;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_ENTRY_CORE_H_

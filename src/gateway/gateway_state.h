// The state that all exchanges of a gateway process share.

#ifndef GULLWARD_GATEWAY_GATEWAY_STATE_H_
#define GULLWARD_GATEWAY_GATEWAY_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "base/byte_budget.h"
#include "base/result_code.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_pool.h"
#include "gateway/request_memory.h"
#include "gateway/room_price.h"
#include "gateway/settings.h"
#include "gateway/start_steps.h"
#include "overload/account_share.h"
#include "overload/ranks.h"
#include "overload/return_book.h"
#include "process/event_log.h"
#include "process/histogram.h"
#include "serving/config_index.h"
#include "serving/fleet.h"
#include "serving/freshness.h"

namespace gullward {

// Counters since the process began.  The server copies them into the metrics page.
struct GatewayCounters {
  uint64_t requests = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  // Requests that waited for the decision whether their content crashes engines.
  uint64_t decisions_awaited = 0;
  // Answers of engines that were forwarded whole, and answers that were broken off.
  uint64_t answers_whole = 0;
  uint64_t answers_broken = 0;
  // Attempts that were ended because what the engine sent did not end (exchange.h).
  uint64_t answers_abandoned = 0;
  uint64_t callers_gone = 0;
  // Connections that were closed unread for other gateways to read (caller_handoff.h).
  uint64_t callers_handed_off = 0;
  // Connections that were closed to keep within the bound on them (descriptor_shares.h): those
  // without a request under way, and new ones where each had one.
  uint64_t callers_closed_idle = 0;
  uint64_t callers_refused = 0;
  // Uploads that were rejected to make room for others.
  uint64_t uploads_displaced = 0;
  uint64_t events_forwarded = 0;
  // Orders to engines for memory (ticket_set.h).
  uint64_t orders = 0;
  // Attempts sent to engines of other cells.
  uint64_t spilled = 0;
  // Refused callers that were told when to return, that then were run on time, and that were
  // refused again on time.
  uint64_t returns_promised = 0;
  uint64_t returns_kept = 0;
  uint64_t returns_refused_again = 0;
  // Unreadable entries of the engine list, and incarnations that replaced an earlier one of the
  // same engine id.
  uint64_t entries_unreadable = 0;
  uint64_t engine_restarts = 0;
  // Changes by notices of engines (serving/engine_notices.h), by the kind of notice, and notices
  // that could not be decoded.
  uint64_t limit_changes = 0;
  uint64_t leaving_changes = 0;
  uint64_t rest_changes = 0;
  uint64_t notices_unreadable = 0;
  // Records of the operator whose key could not be decoded.
  uint64_t operator_records_unreadable = 0;
  // By the length of the prompt (PromptLengthLabel).
  std::map<std::string, LatencyHistogram> first_event;
  std::map<std::string, LatencyHistogram> longest_pause;
  // Whole answers that are not streams.
  LatencyHistogram plain_answer;
  std::map<ResultCode, uint64_t> failures;
  // Refusals for overload of services whose requests differ in rank, by rank.
  std::map<int, uint64_t> refusals_by_rank;

  bool operator==(const GatewayCounters&) const = default;
};

// Returns the label by which the metrics group prompt lengths in tokens.  The bounds are those
// of the users' requirements.
inline const char* PromptLengthLabel(double prompt_tokens) {
  if (prompt_tokens < 24'000) return "short";
  return prompt_tokens < 110'000 ? "middle" : "vast";
}

// A plain answer, a failure, or an unfinished event of up to kMaxHeldAnswerBytes is held until it
// is whole, so that the request can be sent to another engine without any effect on the caller. All
// requests together hold at most kMaxHeldBytes.
inline constexpr size_t kMaxHeldAnswerBytes = 256 << 10;
inline constexpr size_t kMaxHeldBytes = 16 << 20;
// While a caller has more unread bytes than kMaxUnreadBytes, or callers have kMaxAllUnreadBytes
// together, nothing more is read for that caller from its engine.
inline constexpr size_t kMaxUnreadBytes = 256 << 10;
inline constexpr size_t kMaxAllUnreadBytes = 32 << 20;

struct GatewayState {
  GatewayState(EventLoop* event_loop, const GatewaySettings& gateway_settings, EventLog* event_log,
               uint64_t random_seed, Time started)
      : loop(event_loop),
        settings(gateway_settings),
        log(event_log),
        keys(gateway_settings.key_trust, gateway_settings.key_trust_mode),
        fleet(gateway_settings.retry, gateway_settings.box, gateway_settings.data_centre,
              gateway_settings.mechanisms, started),
        room_price(gateway_settings.mechanisms.learned_price, event_log),
        pool(event_loop),
        request_memory(std::make_shared<RequestMemory>(gateway_settings.mechanisms.bound_requests
                                                           ? gateway_settings.request_memory_bytes
                                                           : RequestMemory::kUnlimited)),
        start(started),
        random(random_seed),
        incarnation(random_seed) {}

  EventLoop* loop;
  GatewaySettings settings;
  EventLog* log;
  // Null until a configuration has been read.
  std::shared_ptr<const ConfigIndex> config;
  // The record from which `config` was decoded.
  std::shared_ptr<const std::string> config_record;
  // The newest configuration version that a peer has reported, and when it was reported.
  uint64_t newest_peer_version = 0;
  Time newest_peer_version_at{};
  KeyFreshness keys;
  Fleet fleet;
  // What ranks have lately lost here, by service; only services whose requests differ in rank.
  std::map<std::string, RankLosses> rank_losses;
  // Engine time of client accounts, for the same services.
  std::map<std::string, AccountShares> account_shares;
  // The promises to refused callers; empty unless kept_returns is on.
  ReturnBook returns;
  // What engine time is worth, and how much of each route is served.
  RoomPrice room_price;
  EnginePool pool;
  // What requests hold until they are answered.
  std::shared_ptr<RequestMemory> request_memory;
  // What requests hold of answers that are not whole, and what callers have not read yet.
  std::shared_ptr<ByteBudget> held_answers =
      std::make_shared<ByteBudget>(kMaxHeldAnswerBytes, kMaxHeldBytes);
  std::shared_ptr<ByteBudget> unread_answers =
      std::make_shared<ByteBudget>(kMaxUnreadBytes, kMaxAllUnreadBytes);
  StartSteps start;
  std::mt19937_64 random;
  // A random number that distinguishes this process from earlier ones of the same box.
  uint64_t incarnation;
  GatewayCounters counters;
  // Whether requests that no engine has are refused, because this process is about to stop.
  bool refuses_unsent = false;
  // Detects requests that crash engines; set by the server.
  CrashWatch* crash_watch = nullptr;
  // Sends the load to the peers at once rather than at the next tick.  Called when new work
  // begins.
  std::function<void()> send_to_peers;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_GATEWAY_STATE_H_

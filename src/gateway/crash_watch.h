// Detects requests that crash engines, and refuses them.
//
// A few requests crash every engine that runs them, and callers send them again, or send others
// that share a part of their prompt.  Requests are compared by their suspects: their content, a
// hash of the account, method, path and body, and the parts of their prompt (serving/suspect.h).
// When the connection of an attempt breaks, the crash watch tests
// whether the engine still accepts connections (lost_engine_check.h).  If the engine is gone
// and was in use, the crash counts against the request's suspects, and all gateways receive a
// report of it by gossip (serving/shared_quarantine.h).  Every gateway refuses requests with a
// suspect that is in quarantine, and the store holds the quarantine for gateways that start later
// (quarantine_store.h).
//
//   if (std::optional<Duration> wait = watch.RefusedFor(suspects, now)) ...   // refuse
//   watch.NoteBrokenAttempt(engine, suspects, sent, line);
//   watch.NoteAnswered(suspects, now);             // a request was answered whole
//   watch.Tick(now);

#ifndef GULLWARD_GATEWAY_CRASH_WATCH_H_
#define GULLWARD_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "gateway/lost_engine_check.h"
#include "gateway/quarantine_store.h"
#include "process/event_log.h"
#include "serving/shared_quarantine.h"

namespace gullward {

class CrashWatch {
 public:
  struct Options {
    // If false, no crash is recorded, reported or acted on, and nothing is refused.
    bool is_enabled = true;
    // This gateway's box; names the source of its quarantine decisions.
    std::string box;
    // Whether crashes count against the parts of prompts as well.
    bool covers_parts = true;
    // How long a suspect stays in quarantine.
    Duration quarantine_duration = std::chrono::hours(1);
    SocketAddress store;
    uint64_t seed = 0;
  };
  struct Hooks {
    // Whether an engine was listed and had not announced that it would leave.  The end of an
    // engine that was leaving is planned, so no request is the cause.
    std::function<bool(const EngineRecord&)> was_in_use;
  };

  CrashWatch(EventLoop* event_loop, const Options& watch_options, StoreRecovery* store_recovery,
             EventLog* event_log, Hooks watch_hooks);

  // If false, no content need be computed for this class.
  bool is_enabled() const { return this->options.is_enabled; }

  // The suspects of a request.
  std::vector<Suspect> SuspectsOfRequest(ContentId content, const std::vector<PartId>& parts) const;

  // For how long a request must not be sent; nullopt if it may be sent.
  std::optional<Duration> RefusedFor(const std::vector<Suspect>& suspects, Time now) const;

  // Whether anything is suspected or in quarantine.  While nothing is, the suspects of a request
  // need not be computed.
  bool has_records() const { return this->quarantine().has_records(); }
  // Whether a request may be sent to a second engine after its first attempt broke off.
  bool AllowsSecondAttempt(const std::vector<Suspect>& suspects) const;
  // Whether an engine has crashed while it had a request of this content.
  bool IsSuspect(ContentId content) const {
    return this->quarantine().UnexplainedCrashCount(content) > 0;
  }

  // Records that an attempt broke off that was sent to `engine` at `sent`, and tests the engine.
  // `line` is written to the log when the test ends, with its result.
  void NoteBrokenAttempt(const EngineRecord& engine, const std::vector<Suspect>& suspects,
                         Time sent, const LogLine& line);

  // Tests whether the engine still accepts connections, and calls `done` once, after this call
  // returns.
  void CheckEngine(const EngineRecord& engine, LostEngineCheck::Done done) {
    this->check.Start(engine, std::move(done));
  }

  // Records that a request was answered whole, which clears its suspects.
  void NoteAnswered(const std::vector<Suspect>& suspects, Time now);

  // Takes in a peer's gossip: crash reports, suspects answered whole, and quarantine reports.
  // Returns the gossip to be sent back to the peer.
  CrashGossip ReceiveGossip(const std::string& peer, const CrashGossip& gossip, Time now);

  // Returns gossip to be sent to a few peers; empty if there is none.
  CrashGossip TakeGossip() { return this->shared.TakeGossip(); }

  // Takes in an entry of the store topic that holds the quarantine.
  void OnRecord(const Suspect& suspect, const std::string& value, Time now);

  // To be called when the store has returned without its latest writes.  Writes every suspect
  // that is in quarantine again.
  void OnStoreReturn(Time now);

  // Takes the quarantine decisions that are due.  To be called often.
  void Tick(Time now) { this->shared.Tick(now); }
  // Removes records that have expired and sends due writes to the store.  To be called a few
  // times a second.
  void TickSlowly(Time now);

  // The number of attempts that broke off, by the state in which the engine was found.
  const std::map<EngineFinding, uint64_t>& broken_attempts() const { return this->broken_count; }
  // Connections opened to test engines.
  uint64_t connections() const { return this->check.connections(); }
  // Calls to the store for quarantine entries.
  uint64_t store_calls() const { return this->quarantine_store.store_calls(); }
  // Items of gossip that were dropped because the queue was full.
  uint64_t gossip_dropped() const { return this->shared.gossip_dropped(); }
  // Quarantine entries for which the store topic had no room.
  uint64_t unstored_entries() const { return this->quarantine_store.dropped_entries(); }
  const Quarantine& quarantine() const { return this->shared.suspects(); }

 private:
  SharedQuarantine::Hooks EventHooks();
  void OnQuarantined(const QuarantineReport& report, const std::string& by);
  void StoreEntry(const QuarantineReport& report, const std::string& by, bool is_witness, Time now);

  Options options;
  EventLog* log;
  Hooks hooks;
  LostEngineCheck check;
  SharedQuarantine shared;
  QuarantineStore quarantine_store;
  // Suspects of requests from this process that were on an engine when it crashed.
  std::unordered_set<Suspect, SuspectHash> witnessed;
  std::map<EngineFinding, uint64_t> broken_count;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CRASH_WATCH_H_

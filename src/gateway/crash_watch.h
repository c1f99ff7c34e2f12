// What a gateway does about requests that end engines: it notes them, tells the others, refuses
// them.
//
// An attempt that breaks off has its engine looked at (lost_engine_check.h).  Where the engine
// is gone without having said that it would go, that counts against the request's content, and
// all gateways hear of it (serving/shared_quarantine.h).  Once a content is in quarantine, every
// gateway refuses it at once, and the store keeps it (quarantine_store.h).
//
//   if (std::optional<Duration> wait = watch.RefusedFor(content, now)) ...   // refuse
//   watch.NoteBroken(engine, content, sent, line); // an attempt broke off
//   watch.NoteAnswered(content, now);              // one was answered whole
//   watch.Tick(now);

#ifndef GULLWARD_GATEWAY_CRASH_WATCH_H_
#define GULLWARD_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "gateway/lost_engine_check.h"
#include "gateway/quarantine_store.h"
#include "process/event_log.h"
#include "serving/shared_quarantine.h"

namespace gullward {

class CrashWatch {
 public:
  struct Options {
    // Off: nothing is noted, told or refused.
    bool is_on = true;
    std::string box;
    // How long a quarantine lasts.
    Duration lasts = std::chrono::hours(1);
    SocketAddress store;
    uint64_t seed = 0;
  };
  struct Hooks {
    // Whether an engine was in use and had not said that it would leave.
    std::function<bool(const EngineRecord&)> was_in_use;
  };

  CrashWatch(EventLoop* event_loop, const Options& watch_options, StoreRecovery* store_recovery,
             EventLog* event_log, Hooks watch_hooks);

  // For how long a content is not to be sent; nothing where it may be.
  std::optional<Duration> RefusedFor(ContentId content, Time now) const;

  // Whether any content is under suspicion or in quarantine; while none is, nobody needs to
  // work out the content of a request.
  bool knows_any() const { return this->contents().knows_any(); }
  // Whether a second engine may get a request that the first broke off.
  bool AllowsSecondAttempt(ContentId content) const {
    return this->contents().AllowsSecondAttempt(content);
  }
  bool IsSuspect(ContentId content) const { return this->contents().CrashesOf(content) > 0; }

  // An attempt at `engine` broke off that had been sent then; `line` tells of it and is written
  // with what was found.
  void NoteBroken(const EngineRecord& engine, ContentId content, Time sent, const LogLine& line);

  // A request was answered whole.
  void NoteAnswered(ContentId content, Time now);

  // What a peer tells, and what it should be told in turn.
  CrashNews Hear(const std::string& peer, const CrashNews& news, Time now);

  // News to be told to a few peers; empty where there is none.
  CrashNews TakeNews() { return this->shared.TakeNews(); }

  // An entry of the topic that the quarantine is kept in.
  void OnRecord(ContentId content, const std::string& value, Time now);

  // The store has returned without what was written lately: what is in quarantine is kept
  // there again.
  void OnStoreReturn(Time now);

  // Often: judges what is due.
  void Tick(Time now) { this->shared.Tick(now); }
  // A few times a second: forgets what is over, writes to the store.
  void TickSlowly(Time now);

  // Attempts that broke off, by what had become of the engine.
  const std::map<EngineFinding, uint64_t>& broken() const { return this->broken_count; }
  uint64_t connections() const { return this->check.connections(); }
  uint64_t store_calls() const { return this->kept.store_calls(); }
  uint64_t news_dropped() const { return this->shared.news_dropped(); }
  uint64_t unkept() const { return this->kept.dropped_entries(); }
  const Quarantine& contents() const { return this->shared.contents(); }

 private:
  SharedQuarantine::Hooks EventHooks();
  void OnQuarantined(const QuarantineWord& word, const std::string& by);
  void Keep(const QuarantineWord& word, const std::string& by, bool is_witness, Time now);

  Options options;
  EventLog* log;
  Hooks hooks;
  LostEngineCheck check;
  SharedQuarantine shared;
  QuarantineStore kept;
  // Contents under which this process itself lost an engine.
  std::unordered_set<ContentId> witnessed;
  std::map<EngineFinding, uint64_t> broken_count;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CRASH_WATCH_H_

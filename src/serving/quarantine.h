// Finds requests that crash the engines that run them, and keeps these requests away from
// further engines.
//
// An engine crashes now and then: because its rack fails, because of a release, or through a
// fault of its own.  All requests that ran on it are lost and sent to other engines, and most
// of them are served there.  But a few requests are the cause of the crash: an engine that
// starts to work on such a request crashes a moment later, and the caller sends the request
// again.  Or requests that differ in content share a part of their prompt that crashes engines.
// Nothing in a request itself shows this.  It shows only in that one engine after another crashes
// while running the same content or the same part, and that no engine ever answers it.
//
// The content of a request and the parts of its prompt are its suspects (suspect.h).  Each gateway
// records, for each suspect that was running on an engine that crashed lately, which engines those
// were.  Gateways exchange these records.  The rules are:
//
//   - A complete answer clears the suspects of its request: a suspect that crashes every engine
//     never gets one.
//   - A crash of an engine that was running a suspect already in quarantine is explained by that
//     suspect.  It does not count against others on the same engine.
//   - Engines that crashed within kBurstWindow count as one, because a rack failure takes down
//     many engines at once.  They count separately if one of them received the request after
//     the crash of another engine under it was recorded.
//   - A suspect with kMinCrashes unexplained crashes is held back for kDecisionDelay, while the
//     reports of other gateways arrive.  It is then put into quarantine if at least kMinCrashes
//     of these crashes are attributed to it: it has lost more engines than any other suspect
//     that was running on the crashed engine.  Otherwise it may be sent again, because the next
//     crash will tell the suspects apart; the placement sends such contents to different engines
//     (Demand::scatter_hash).
//   - A content with kMaxCrashes crashes is put into quarantine even if other suspects shared
//     the engines or explain the crashes.
//   - A suspect that was answered lately (recent_contents.h) or since its first crash is trusted
//     more than one that never was: a crash that both share is attributed to the other, however
//     many each has.  A content that many callers send runs on most engines and so shares the
//     crashes of every crashing one.  The two rules above apply to it only by the crashes that are
//     attributed to it.  When a gateway gets a crash report about a suspect that it has answered,
//     it tells the others so, since one that has just started has answered nothing itself.
//
// Many requests hold a part, most of them harmless, so parts must not be refused for the company
// that they keep:
//
//   - Each burst counts once against a part, not only the first one.  Requests with a part that was
//     never answered and has lost kMinCrashes engines are therefore held back until a burst is
//     over.
//   - A part that was answered lately needs kMaxCrashes attributed crashes instead of kMinCrashes,
//     is not taken from a peer's report unless the crashes recorded here say the same, and yields
//     its crashes only to suspects that have kMinCrashes themselves: every request has a content
//     that was never answered.
//   - No number of shared crashes puts a part into quarantine.
//
// Two suspects that always came together, two parts or a content and its part, cannot be told apart
// by crashes until one of them is answered or crashes an engine without the other.  Until then,
// only requests that have both are refused.
//
// A quarantine ends after the time in the settings, since engines get new software.  It ends at
// once if an attempt that was already running returns a complete answer.
//
//   Quarantine quarantine(std::chrono::hours(1));
//   quarantine.NoteCrash({content, EngineKeyOf(incarnation)}, now);
//   quarantine.NoteCrash({Suspect::OfPart(part), EngineKeyOf(incarnation)}, now);
//   for (const Suspect& suspect : quarantine.Evaluate(now)) ...      // newly quarantined
//   if (std::optional<Duration> wait = quarantine.RefusedFor(suspects, now)) ...
//
// Memory is bounded to kMaxSuspects suspects, of which the ones with the fewest crashes
// are evicted first, and kMaxQuarantined suspects in quarantine.  forgotten() counts evictions.

#ifndef GULLWARD_SERVING_QUARANTINE_H_
#define GULLWARD_SERVING_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "serving/recent_contents.h"
#include "serving/suspect.h"

namespace gullward {

// Identifies one incarnation of an engine: a hash of EngineRecord::Incarnation().
using EngineKey = uint64_t;
EngineKey EngineKeyOf(std::string_view incarnation);

// An engine crashed while it was running a request with this suspect.
struct CrashReport {
  Suspect suspect;
  EngineKey engine = 0;

  auto operator<=>(const CrashReport&) const = default;
};

class Quarantine {
 public:
  // Crashes before a suspect is refused.  Two may be a coincidence: a request from an engine that
  // crashed is sent to another engine, and that engine may crash for another reason.
  static constexpr size_t kMinCrashes = 3;
  // Crashes after which a content is quarantined whatever else may explain them, since each
  // further crash costs the answers of all requests on that engine.  The users accept three
  // more lost engines after the third.  The limit is one lower than that, because two gateways
  // may each send the content once more before they receive each other's crash report.
  static constexpr size_t kMaxCrashes = 5;
  // Time from a crash until the reports of all gateways have arrived: four hops of 25 ms reach
  // 300 gateways, and the rest is a margin for a slow event loop.
  static constexpr Duration kDecisionDelay = milliseconds(300);
  // The longest time that a request waits for a decision.  A crash that is reported meanwhile
  // delays the decision once.
  static constexpr Duration kMaxDecisionWait = 2 * kDecisionDelay;
  // Crashes within this time may have one common cause: the engines of a rack crash within a
  // few milliseconds, and the reports spread over the hops above.
  static constexpr Duration kBurstWindow = milliseconds(150);
  // Crash reports that arrive within this time after a complete answer are ignored: they were
  // already under way.
  static constexpr Duration kClearedFor = seconds(2);
  // A suspect is forgotten after this time without another crash or answer.
  static constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
  // 100 bytes each.  A crash adds a content for each request on the engine, at most about
  // twenty, and the parts of their prompts, so this is enough for 100 crashes in ten minutes.
  static constexpr size_t kMaxSuspects = 4096;
  static constexpr size_t kMaxQuarantined = 1024;
  // Crashes recorded for one suspect; the latest are kept.
  static constexpr size_t kMaxEnginesKept = 32;

  explicit Quarantine(Duration quarantine_duration) : duration(quarantine_duration) {}

  // Records a crash that was seen here or reported by a peer.  `sent` is the time at which the
  // engine received the request; it is set only for crashes seen here.  Returns false if the
  // crash is already recorded or the suspect was cleared less than kClearedFor ago.
  bool NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent = std::nullopt);

  // Clears a suspect of a request that was answered completely.  To be called for each such answer,
  // also for suspects without recorded crashes.  Returns whether the suspect had recorded
  // crashes or was in quarantine.
  bool NoteAnswered(const Suspect& suspect, Time now);

  // Records that a peer has answered a request with the suspect, lately or since its first crash.
  // The recorded crashes stay: the answer may be older than they are.
  void NoteAnsweredByPeer(const Suspect& suspect);

  // Whether peers are to be told that the suspect was answered.  True once after each crash report
  // about a suspect that was cleared or had no record.
  bool TakeAnsweredReport(const Suspect& suspect);

  // Whether the suspect has or had crashes, so that an answer must be recorded.
  bool HasRecordOf(const Suspect& suspect) const { return this->records.count(suspect) != 0; }
  bool has_records() const { return !this->records.empty(); }

  // Decides on every suspect whose last crash report is at least kDecisionDelay old, puts those
  // that cause the crashes into quarantine, and returns them.
  std::vector<Suspect> Evaluate(Time now);

  // Puts a suspect into quarantine on a peer's report.  The quarantine lasts for `left`, but at
  // most as long as one that was decided here.  Returns false if the suspect is already in
  // quarantine, was cleared less than kClearedFor ago, or is a part that is trusted here.
  bool AdoptFromPeer(const Suspect& suspect, Duration left, Time now);

  // How much longer requests with the suspect must not be sent to an engine, because it is in
  // quarantine or the decision is pending.  Empty if they may be sent.
  std::optional<Duration> RefusedFor(const Suspect& suspect, Time now) const;
  // The same for a request with all these suspects.
  std::optional<Duration> RefusedFor(const std::vector<Suspect>& suspects, Time now) const;

  // Whether a request whose attempt just failed may be sent to a second engine at once.  False if
  // this failure may be the third crash: the decision is made before the caller retries.
  bool AllowsSecondAttempt(const Suspect& suspect) const;

  // The time left in quarantine; empty if the suspect is not in quarantine.
  std::optional<Duration> QuarantinedFor(const Suspect& suspect, Time now) const;
  bool IsQuarantined(const Suspect& suspect, Time now) const {
    return this->QuarantinedFor(suspect, now).has_value();
  }

  // The number of engines that crashed while running the suspect, and how many of these crashes
  // are not explained by a suspect in quarantine.
  size_t CrashCount(const Suspect& suspect) const;
  size_t UnexplainedCrashCount(const Suspect& suspect) const;

  // Removes expired quarantines and expired suspects.
  void Tick(Time now);

  // All suspects that are in quarantine at `now`.
  std::vector<Suspect> Quarantined(Time now) const;

  size_t suspects() const { return this->records.size() - this->quarantined_count; }
  size_t quarantined() const { return this->quarantined_count; }
  // Suspects that were evicted because a memory bound was reached.
  uint64_t forgotten() const { return this->forgotten_count; }

 private:
  struct Crash {
    EngineKey engine;
    Time received_at;
    // When the engine received the request; empty if a peer saw the crash.
    std::optional<Time> sent;
  };
  struct Record {
    // In the order in which the reports arrived.
    std::vector<Crash> crashes;
    Time last_report_at{};
    // Whether an engine received the request after another had crashed under it.
    bool was_resent = false;
    std::optional<Time> cleared_at;
    // Whether it was answered completely, lately before its first crash or since then.
    bool was_answered = false;
    // Whether peers were told that it was answered.
    bool answer_is_reported = false;
    std::optional<Time> quarantined_until;
  };
  using Records = std::unordered_map<Suspect, Record, SuspectHash>;

  RecentContents& AnsweredOf(SuspectKind kind);
  Record& RecordOf(const Suspect& suspect);
  std::vector<Crash> UnexplainedCrashes(const Record& record) const;
  size_t UnexplainedCount(const Record& record) const;
  static size_t CrashesThatCount(const Suspect& suspect, const std::vector<Crash>& crashes);
  static size_t CrashesNeeded(const Suspect& suspect, const Record& record);
  bool NeedsDecision(const Suspect& suspect, const Record& record) const;
  void QueueDecisions();
  static bool IsBurst(const Record& record);
  bool IsCause(const Suspect& suspect, const Record& record) const;
  bool TakesCrashesOf(const Suspect& suspect, const Record& record, const Suspect& other,
                      const Record& other_record) const;
  std::vector<Crash> AttributedCrashes(const Suspect& suspect, const Record& record) const;
  Duration HoldTime(const Suspect& suspect, const Record& record) const;
  bool HoldsInseparable(const std::vector<Suspect>& suspects) const;
  void StartQuarantine(Record* record, Duration left, Time now);
  void MarkExplained(const Record& record);
  void RecomputeExplained();
  void EvictSuspects();
  void EvictQuarantined();
  void Erase(Records::iterator where);

  Duration duration;
  Records records;
  // Engines that crashed while running a suspect in quarantine.
  std::unordered_set<EngineKey> explained;
  // Suspects with enough crashes that are not decided yet.
  std::unordered_set<Suspect, SuspectHash> undecided;
  // Apart, since most contents come once and would push out the parts.
  RecentContents answered_contents;
  RecentContents answered_parts;
  size_t quarantined_count = 0;
  uint64_t forgotten_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_QUARANTINE_H_

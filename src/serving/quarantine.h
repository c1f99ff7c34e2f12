// Tells the requests that end the engines that run them, and keeps them from more.
//
// An engine ends now and then: with its rack, with a release, by a fault of its own.  All that
// ran there is lost with it and is sent elsewhere, and most of it is served there.  But a few
// requests are the cause: an engine that begins to work on one is gone a moment later, and the
// caller sends it again.  Nothing in such a request shows it.  What shows it is that engine
// after engine ends under one content, and that no engine ever answers it.
//
// So each gateway keeps, for each content under which an engine has ended lately, which engines
// those were (told by all gateways to each other), and judges:
//
//   - A whole answer clears the content: whatever ends every engine never has one.
//   - An engine that ended under a content already in quarantine has its explanation, and
//     counts against nobody else that ran there.
//   - Engines that ended within kOneMoment count as one: a rack takes many at once.  Unless
//     one of them got the request after another was known to have ended under it.
//   - A content with kCrashesNeeded unexplained engines is refused for kSettle, in which the
//     words of the other gateways come in.  Then it is put into quarantine if so many of them
//     point at it: it has lost more engines than anything else that was there.  Else it is sent
//     on, since the next engine will tell; the placement sends such contents to different
//     engines (Demand::scatter_by).
//   - With kMostCrashes engines it is put into quarantine in spite of company and explanations.
//
// A quarantine ends by itself after the time that the settings say, since engines get new
// software; by an answer that had been under way, at once.
//
//   Quarantine quarantine(std::chrono::hours(1));
//   quarantine.NoteCrash({content, EngineKey(incarnation)}, now);
//   for (ContentId content : quarantine.Judge(now)) ...      // those put into it
//   if (std::optional<Duration> wait = quarantine.RefusedFor(content, now)) ...
//
// Memory is bounded: kMostSuspects contents, of which those under which one engine has ended
// are forgotten first, and kMostQuarantined.  forgotten() counts what went too early.

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
#include "serving/request_content.h"

namespace gullward {

// Names one life of an engine in few bytes; a hash of EngineRecord::Incarnation.
using EngineKey = uint64_t;
EngineKey EngineKeyOf(std::string_view incarnation);

// An engine that ended while it had a request of that content.
struct CrashReport {
  ContentId content = 0;
  EngineKey engine = 0;

  auto operator<=>(const CrashReport&) const = default;
};

class Quarantine {
 public:
  // Engines lost under one content before it is kept from others.  Two may be chance: what is
  // on an engine that ends is sent to another, and that one may end as well.
  static constexpr size_t kMinCrashes = 3;
  // Where neither chance nor company counts as the reason any more: each further engine costs
  // everybody who is on it an answer.  The users allow three engines more after the third; two
  // gateways may each send a content on before they hear of one another's.
  static constexpr size_t kMaxCrashes = 5;
  // From an engine's end until its news has come from all gateways: four hops of 25 ms each
  // reach 300 of them; the rest is room for a slow loop.
  static constexpr Duration kDecisionDelay = milliseconds(300);
  // Engines that are lost in this time may be lost together: a rack's end within a few
  // milliseconds, and the news of it is spread over the hops above.
  static constexpr Duration kBurstWindow = milliseconds(150);
  // After a whole answer, news that was still on its way counts for nothing.
  static constexpr Duration kClearedFor = seconds(2);
  // Without another end, what is held against a content is forgotten.
  static constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
  // 100 bytes each.  An end of an engine leaves as many suspects as it had requests, at most
  // some twenty, so this is room for the ends of 200 engines in ten minutes.
  static constexpr size_t kMaxSuspects = 4096;
  static constexpr size_t kMaxQuarantined = 1024;
  // Engines kept for one content, the latest.
  static constexpr size_t kMaxEnginesKept = 32;

  explicit Quarantine(Duration quarantine_lasts) : lasts(quarantine_lasts) {}

  // Takes an engine's end under a content, seen here or told.  `sent` says when the engine got
  // the request, where it was seen here.  Whether it was news.
  bool NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent = std::nullopt);

  // A request of that content was answered whole.  Whether anything was held against it.
  bool NoteAnswered(ContentId content, Time now);

  // Whether the content is or was under suspicion: an answer to it is worth noting.
  bool HasRecordOf(ContentId content) const { return this->records.count(content) != 0; }
  bool has_records() const { return !this->records.empty(); }

  // Puts those into quarantine whose time to be judged has come, and returns them.
  std::vector<ContentId> Evaluate(Time now);

  // Puts a content into quarantine on another's word, for that long from now on (at most as
  // long as our own would last).  Whether it was not in it yet.
  bool AdoptFromPeer(ContentId content, Duration left, Time now);

  // For how long a content is not to be sent; nothing where it may be.  A quarantine, or the
  // moment until one is decided.
  std::optional<Duration> RefusedFor(ContentId content, Time now) const;

  // Whether a request whose attempt just broke off may be sent to a second engine at once.  Not
  // where this may have been the third: its caller comes back, and by then it is known.
  bool AllowsSecondAttempt(ContentId content) const {
    return this->CrashCount(content) + 1 < kMinCrashes;
  }

  // The rest of its quarantine; nothing where it is in none.
  std::optional<Duration> QuarantinedFor(ContentId content, Time now) const;
  bool IsQuarantined(ContentId content, Time now) const {
    return this->QuarantinedFor(content, now).has_value();
  }

  // Engines that have ended under it, and those of them that nothing else explains.
  size_t CrashCount(ContentId content) const;
  size_t UnexplainedCrashCount(ContentId content) const;

  // Forgets what is over.
  void Tick(Time now);

  // All contents now in quarantine.
  std::vector<ContentId> Quarantined(Time now) const;

  size_t suspects() const { return this->records.size() - this->quarantined_count; }
  size_t quarantined() const { return this->quarantined_count; }
  // Contents that were forgotten for want of room.
  uint64_t forgotten() const { return this->forgotten_count; }

 private:
  struct Crash {
    EngineKey engine;
    Time received_at;
  };
  struct Record {
    // In the order in which they were heard.
    std::vector<Crash> crashes;
    Time last_report_at{};
    // Some engine got the request after another had ended under it.
    bool was_resent = false;
    std::optional<Time> cleared_at;
    std::optional<Time> quarantined_until;
  };
  using Records = std::unordered_map<ContentId, Record>;

  std::vector<Crash> UnexplainedCrashes(const Record& record) const;
  bool NeedsDecision(const Record& record) const;
  void QueueDecisions();
  static bool IsBurst(const Record& record);
  bool IsCause(ContentId content, const Record& record) const;
  size_t AttributedCrashes(ContentId content, const std::vector<Crash>& crashes) const;
  void StartQuarantine(Record* record, Duration how_long, Time now);
  void MarkExplained(const Record& record);
  void RecomputeExplained();
  void EvictSuspects();
  void EvictQuarantined();
  void Erase(Records::iterator where);

  Duration lasts;
  Records records;
  // Engines that ended under a content in quarantine.
  std::unordered_set<EngineKey> explained;
  // Contents with enough engines, until they are judged.
  std::unordered_set<ContentId> undecided;
  size_t quarantined_count = 0;
  uint64_t forgotten_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_QUARANTINE_H_

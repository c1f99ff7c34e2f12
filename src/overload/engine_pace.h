// How many times longer than published each engine takes for its work: its pace.
//
// The configuration publishes one speed for all engines of a service, but some are slower for a
// time.  The answers that a gateway passes on show it (pace_evidence.h).  Each observation bounds
// the pace from both sides.  The pace rises to the least of the lower bounds of several
// observations in a row, which follow one another in time, so a single bad answer, or many streams
// in one long pass, change nothing.  It falls to the larger upper bound of the last two.  Without
// observations it decays towards 1, so that an engine which nobody uses is tried again.
//
// Gateways tell each other the paces that they have measured.  A pace of which this gateway has no
// recent observation of its own is taken from the reports: the lower median of several, and half of
// the excess over 1 of a single one, whose sender may have a slow link.
//
//   EnginePaces paces;
//   paces.Observe(engine, observation);
//   double pace = paces.PaceOf(engine, now);
//
// Engines are named by their incarnation, so an engine that starts again begins at 1.  The state
// expires by itself and is bounded in size.

#ifndef GULLWARD_OVERLOAD_ENGINE_PACE_H_
#define GULLWARD_OVERLOAD_ENGINE_PACE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "overload/pace_evidence.h"

namespace gullward {

// A pace that a gateway has measured, and the age of the newest observation behind it.
struct PaceReport {
  double pace = 1;
  Duration age{};

  bool operator==(const PaceReport&) const = default;
};

// Bounds of a pace.  An engine is never regarded as faster than published.
inline constexpr double kMinPace = 1;
inline constexpr double kMaxPace = 8;

// Whether a report's values are in range: a finite pace within the bounds, and an age of at most a
// day.
bool IsValid(const PaceReport& report);

// A change of the pace used for an engine, for the log.
struct PaceChange {
  std::string engine;
  double pace = 1;
  // Own observations that the pace rests on, and the box that reported it; empty if none did.
  size_t observations = 0;
  std::string told_by;

  bool operator==(const PaceChange&) const = default;
};

class EnginePaces {
 public:
  // Observations in a row by which a pace rises, and by which it falls.
  static constexpr size_t kToRise = 3;
  static constexpr size_t kToFall = 2;
  // Smaller paces are within the errors of measurement.
  static constexpr double kClearlySlow = 1.25;
  // The pace from which an engine counts as slow in the metrics and is not offered elsewhere.
  static constexpr double kSlow = 1.5;
  // Time in which the excess over 1 halves without observations.
  static constexpr Duration kHalfLife = seconds(3);
  // Observations further apart are not in a row, and for this long own observations take precedence
  // over reports.
  static constexpr Duration kRecent = seconds(2);
  // After this time without observations and reports an engine is forgotten.
  static constexpr Duration kRetention = seconds(30);
  static constexpr size_t kMaxEngines = 4096;
  static constexpr size_t kMaxReportsPerEngine = 8;
  // The log gets at most one line per engine in this time, and this many lines at a time.
  static constexpr Duration kLogPause = seconds(1);
  static constexpr size_t kMaxChanges = 8;

  // Records an observation of an answer of this gateway.  An observation that begins before the end
  // of the previous one of the same engine is ignored: both may show the same pass.
  void Observe(const std::string& engine, const PaceObservation& seen);

  // Records a peer's report.  Invalid and outdated ones are ignored.
  void ReceiveReport(const std::string& engine, const std::string& peer, const PaceReport& report,
                     Time now);

  // The pace of an engine, from kMinPace to kMaxPace; 1 if nothing is known of it.
  double PaceOf(const std::string& engine, Time now) const;

  // Own paces to send to peers: those that are clearly slow and have changed since they were last
  // sent, or all clearly slow ones, and once more those that an observation has brought down.
  std::map<std::string, PaceReport> ReportsToSend(bool all, Time now);

  // The engines whose pace has crossed a step (1.5, 2.5, 4 or 6) since the last call.
  std::vector<PaceChange> TakeChanges(Time now);

  // Number of engines of at least kSlow, and the highest pace of all.
  size_t slow(Time now) const;
  double highest(Time now) const;

  // Drops engines that are not on the list and state that has expired.
  void Forget(const std::set<std::string>& listed, Time now);

  size_t size() const { return this->entries.size(); }

 private:
  // A pace as it was at a time.
  struct Measured {
    double pace = kMinPace;
    Time at{};
  };
  struct Entry {
    // The last observations in a row, oldest first.
    std::deque<PaceObservation> seen;
    Measured own;
    // By peer.
    std::map<std::string, Measured> reports;
    // The pace last sent to peers; kMinPace if none.
    double sent = kMinPace;
    // The step of the pace last logged, and when.
    size_t logged_step = 0;
    Time logged_at{};
    Time touched{};
  };
  // The pace used, and the peer whose report it is; empty if it is own knowledge.
  struct Used {
    double pace = kMinPace;
    std::string told_by;
  };

  static double Decayed(const Measured& measured, Time now);
  static Used UsedPace(const Entry& entry, Time now);
  static Used ToldPace(const Entry& entry, Time now);
  Entry* FindOrAdd(const std::string& engine, Time now);

  std::map<std::string, Entry> entries;
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_ENGINE_PACE_H_

#include "overload/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/half_life.h"

namespace gullward {
namespace {

constexpr Duration kMaxReportAge = std::chrono::hours(24);
// A pace is sent again when it has changed by this factor.
constexpr double kChangeToTell = 1.2;

// The steps of the pace that are logged.
constexpr double kSteps[] = {EnginePaces::kSlow, 2.5, 4, 6};

size_t StepOf(double pace) {
  return static_cast<size_t>(std::count_if(std::begin(kSteps), std::end(kSteps),
                                           [&](double step) { return pace >= step; }));
}

// The pace after an observation, from the one before it and the last observations in a row.
double PaceAfter(double before, const std::deque<PaceObservation>& seen) {
  double pace = before;
  if (seen.size() >= EnginePaces::kToFall) {
    auto first = seen.end() - EnginePaces::kToFall;
    double at_most = 0;
    for (auto it = first; it != seen.end(); ++it) at_most = std::max(at_most, it->at_most);
    pace = std::min(pace, at_most);
  }
  if (seen.size() >= EnginePaces::kToRise) {
    double at_least = kMaxPace;
    for (const PaceObservation& each : seen) at_least = std::min(at_least, each.at_least);
    if (at_least >= EnginePaces::kClearlySlow) pace = std::max(pace, at_least);
  }
  return std::clamp(pace, kMinPace, kMaxPace);
}

}  // namespace

bool IsValid(const PaceReport& report) {
  bool is_pace_valid =
      std::isfinite(report.pace) && report.pace >= kMinPace && report.pace <= kMaxPace;
  return is_pace_valid && report.age >= Duration(0) && report.age <= kMaxReportAge;
}

double EnginePaces::Decayed(const Measured& measured, Time now) {
  return kMinPace + (measured.pace - kMinPace) * HalfLifeDecay(now - measured.at, kHalfLife);
}

EnginePaces::Entry* EnginePaces::FindOrAdd(const std::string& engine, Time now) {
  auto found = this->entries.find(engine);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxEngines) return nullptr;
    found = this->entries.emplace(engine, Entry{}).first;
  }
  found->second.touched = now;
  return &found->second;
}

void EnginePaces::Observe(const std::string& engine, const PaceObservation& seen) {
  bool is_valid = std::isfinite(seen.at_least) && std::isfinite(seen.at_most);
  if (!is_valid || seen.end < seen.begin) return;
  Entry* entry = this->FindOrAdd(engine, seen.end);
  if (entry == nullptr) return;
  std::deque<PaceObservation>& row = entry->seen;
  if (!row.empty() && seen.begin < row.back().end) return;
  if (!row.empty() && seen.end - row.back().end > kRecent) row.clear();
  row.push_back(seen);
  if (row.size() > kToRise) row.pop_front();
  entry->own = {PaceAfter(Decayed(entry->own, seen.end), row), seen.end};
}

void EnginePaces::ReceiveReport(const std::string& engine, const std::string& peer,
                                const PaceReport& report, Time now) {
  if (!IsValid(report) || report.age > kRetention) return;
  Entry* entry = this->FindOrAdd(engine, now);
  if (entry == nullptr) return;
  Time at = now - report.age;
  auto known = entry->reports.find(peer);
  if (known == entry->reports.end()) {
    if (entry->reports.size() >= kMaxReportsPerEngine) return;
    entry->reports[peer] = {report.pace, at};
  } else if (known->second.at <= at) {
    known->second = {report.pace, at};
  }
}

// The pace by the reports of peers.
EnginePaces::Used EnginePaces::ToldPace(const Entry& entry, Time now) {
  std::vector<std::pair<double, std::string>> paces;
  for (const auto& [peer, report] : entry.reports) paces.emplace_back(Decayed(report, now), peer);
  if (paces.empty()) return {};
  if (paces.size() == 1) return {(kMinPace + paces[0].first) / 2, paces[0].second};
  std::sort(paces.begin(), paces.end());
  const auto& [pace, peer] = paces[(paces.size() - 1) / 2];
  return {pace, peer};
}

EnginePaces::Used EnginePaces::UsedPace(const Entry& entry, Time now) {
  Used own{Decayed(entry.own, now), ""};
  // A few observations are needed before they say more than what peers have measured.
  bool is_known = entry.seen.size() >= kToFall && now - entry.own.at < kRecent;
  if (is_known) return own;
  Used told = ToldPace(entry, now);
  return told.pace > own.pace ? told : own;
}

double EnginePaces::PaceOf(const std::string& engine, Time now) const {
  auto found = this->entries.find(engine);
  return found == this->entries.end() ? kMinPace : UsedPace(found->second, now).pace;
}

std::map<std::string, PaceReport> EnginePaces::ReportsToSend(bool all, Time now) {
  std::map<std::string, PaceReport> reports;
  for (auto& [engine, entry] : this->entries) {
    double pace = Decayed(entry.own, now);
    PaceReport report{entry.own.pace, std::max(now - entry.own.at, Duration(0))};
    if (pace < kClearlySlow) {
      // Where the pace has merely decayed, it has decayed at the peers as well.
      bool was_brought_down = entry.sent >= kClearlySlow && entry.own.pace < kClearlySlow;
      if (was_brought_down) reports[engine] = report;
      entry.sent = kMinPace;
      continue;
    }
    double change = std::max(entry.own.pace / entry.sent, entry.sent / entry.own.pace);
    if (!all && change < kChangeToTell) continue;
    reports[engine] = report;
    entry.sent = entry.own.pace;
  }
  return reports;
}

std::vector<PaceChange> EnginePaces::TakeChanges(Time now) {
  std::vector<PaceChange> changes;
  for (auto& [engine, entry] : this->entries) {
    if (changes.size() >= kMaxChanges) break;
    Used used = UsedPace(entry, now);
    size_t step = StepOf(used.pace);
    bool is_due = entry.logged_at == Time{} || now - entry.logged_at >= kLogPause;
    if (step == entry.logged_step || !is_due) continue;
    entry.logged_step = step;
    entry.logged_at = now;
    changes.push_back({engine, used.pace, entry.seen.size(), used.told_by});
  }
  return changes;
}

size_t EnginePaces::slow(Time now) const {
  return static_cast<size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [&](const auto& item) { return UsedPace(item.second, now).pace >= kSlow; }));
}

double EnginePaces::highest(Time now) const {
  double pace = kMinPace;
  for (const auto& [engine, entry] : this->entries) {
    pace = std::max(pace, UsedPace(entry, now).pace);
  }
  return pace;
}

void EnginePaces::Forget(const std::set<std::string>& listed, Time now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return listed.count(item.first) == 0 || now - item.second.touched > kRetention;
  });
  for (auto& [engine, entry] : this->entries) {
    std::erase_if(entry.reports,
                  [&](const auto& report) { return now - report.second.at > kRetention; });
  }
}

}  // namespace gullward

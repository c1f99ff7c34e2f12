// Entries are changed in place; expired ones are removed by Forget only.

#include "serving/engine_notices.h"

#include <algorithm>

namespace gullward {
namespace {

bool IsEmpty(const EngineNotice& notice) {
  return !notice.limit_per_s && !notice.leaving && !notice.rest;
}

}  // namespace

const EngineNotices::Entry* EngineNotices::Find(const std::string& engine) const {
  if (this->entries.empty()) return nullptr;
  auto found = this->entries.find(engine);
  return found == this->entries.end() ? nullptr : &found->second;
}

EngineNotices::Entry* EngineNotices::Find(const std::string& engine) {
  auto found = this->entries.find(engine);
  return found == this->entries.end() ? nullptr : &found->second;
}

EngineNotices::Entry& EngineNotices::FindOrAdd(const std::string& engine, Time now) {
  auto found = this->entries.find(engine);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kCapacity) this->EvictOldest();
    found = this->entries.try_emplace(engine).first;
  }
  found->second.last_updated = now;
  return found->second;
}

void EngineNotices::EvictOldest() {
  auto updated_earlier = [](const auto& left, const auto& right) {
    return left.second.last_updated < right.second.last_updated;
  };
  this->entries.erase(
      std::min_element(this->entries.begin(), this->entries.end(), updated_earlier));
  this->dropped += 1;
}

// Stores a limit (no value: lifted) that is valid as of `as_of`, unless the stored value is from
// that time or later.  Returns whether the limit changed.
bool EngineNotices::UpdateLimit(const std::optional<double>& limit, Time as_of, Entry* entry) {
  if (as_of <= entry->limit_as_of) return false;
  bool changed = entry->limit_per_s != limit;
  entry->limit_per_s = limit;
  entry->limit_as_of = as_of;
  return changed;
}

EngineNotices::Change EngineNotices::Receive(const std::string& engine, const EngineNotice& notice,
                                             Time sent, Time now) {
  Change change;
  if (IsEmpty(notice) && !this->Has(engine)) return change;
  Entry& entry = this->FindOrAdd(engine, now);
  entry.last_answer = now;
  bool may_be_lifted = entry.limit_per_s && notice.is_own_success && !notice.malformed;
  if (notice.limit_per_s) {
    change.limit = UpdateLimit(notice.limit_per_s, now, &entry);
  } else if (may_be_lifted) {
    change.limit = UpdateLimit(std::nullopt, sent, &entry);
  }
  entry.is_unsent = entry.is_unsent || change.limit;
  change.leaving = notice.leaving && !entry.leaving;
  entry.leaving = entry.leaving || notice.leaving;
  entry.is_unsent = entry.is_unsent || change.leaving;
  if (notice.rest) {
    change.rest = entry.rests_until <= now;
    entry.rests_until = std::max(entry.rests_until, now + *notice.rest);
  }
  return change;
}

EngineNotices::Change EngineNotices::ReceiveReport(const std::string& engine,
                                                   const NoticeReport& report, Time now) {
  Change change;
  bool is_new = report.leaving || (report.limit && report.limit->per_s);
  if (!is_new && !this->Has(engine)) return change;
  Entry& entry = this->FindOrAdd(engine, now);
  if (report.limit && report.limit->age <= kMaxReportAge) {
    change.limit = UpdateLimit(report.limit->per_s, now - report.limit->age, &entry);
  }
  change.leaving = report.leaving && !entry.leaving;
  entry.leaving = entry.leaving || report.leaving;
  return change;
}

std::map<std::string, NoticeReport> EngineNotices::ReportsToSend(
    bool all, const std::function<bool(const std::string& engine)>& is_sharer, Time now) {
  std::map<std::string, NoticeReport> reports;
  for (auto& [engine, entry] : this->entries) {
    bool is_due = all && (now - entry.last_answer < kRepeatPeriod || is_sharer(engine));
    if (!entry.is_unsent && !is_due) continue;
    entry.is_unsent = false;
    NoticeReport report;
    Duration age = now - entry.limit_as_of;
    if (age <= kMaxReportAge) report.limit = LimitReport{entry.limit_per_s, age};
    report.leaving = entry.leaving;
    if (report != NoticeReport{}) reports[engine] = report;
  }
  return reports;
}

std::optional<double> EngineNotices::LowestLimit(const Entry& entry,
                                                 std::optional<double> other_limit) {
  if (!entry.limit_per_s) return other_limit;
  return other_limit ? std::min(*entry.limit_per_s, *other_limit) : entry.limit_per_s;
}

double EngineNotices::AvailableCredit(Entry* entry, double limit_per_s, double share, Time now) {
  return entry->credit.Available(share * std::max(limit_per_s, kMinPerSecond), now);
}

bool EngineNotices::Admits(const std::string& engine, double share, Time now,
                           std::optional<double> other_limit) {
  Entry* entry = other_limit ? &this->FindOrAdd(engine, now) : this->Find(engine);
  if (entry == nullptr) return true;
  if (other_limit) entry->other_limit_at = now;
  if (entry->leaving || entry->rests_until > now) return false;
  std::optional<double> limit = LowestLimit(*entry, other_limit);
  return !limit || AvailableCredit(entry, *limit, share, now) >= 1;
}

void EngineNotices::NoteSent(const std::string& engine, double share, Time now,
                             std::optional<double> other_limit) {
  Entry* entry = this->Find(engine);
  if (entry == nullptr) return;
  std::optional<double> limit = LowestLimit(*entry, other_limit);
  if (!limit) return;
  AvailableCredit(entry, *limit, share, now);
  entry->credit.Take();
}

std::optional<Duration> EngineNotices::TimeUntilAdmission(const std::string& engine, double share,
                                                          Time now,
                                                          std::optional<double> other_limit) {
  Entry* entry = this->Find(engine);
  if (entry == nullptr) return Duration::zero();
  if (entry->leaving) return std::nullopt;
  Duration rest = std::max(entry->rests_until - now, Duration::zero());
  std::optional<double> limit = LowestLimit(*entry, other_limit);
  if (!limit) return rest;
  if (share <= 0) return std::nullopt;
  AvailableCredit(entry, *limit, share, now);
  return std::max(rest, entry->credit.TimeUntilOne());
}

bool EngineNotices::IsLeaving(const std::string& engine) const {
  const Entry* entry = this->Find(engine);
  return entry != nullptr && entry->leaving;
}

Duration EngineNotices::RestLeft(const std::string& engine, Time now) const {
  const Entry* entry = this->Find(engine);
  if (entry == nullptr || entry->rests_until <= now) return Duration::zero();
  return entry->rests_until - now;
}

std::optional<double> EngineNotices::LimitOf(const std::string& engine) const {
  const Entry* entry = this->Find(engine);
  return entry == nullptr ? std::nullopt : entry->limit_per_s;
}

bool EngineNotices::IsExpired(const Entry& entry, Time now) {
  bool recently_limited = now - entry.limit_as_of < kLiftedRetention;
  // The credit is kept while another limit applies.
  bool is_limited = entry.limit_per_s || now - entry.other_limit_at < kRepeatPeriod;
  bool is_empty = !is_limited && !recently_limited && !entry.leaving && entry.rests_until <= now;
  return is_empty || now - entry.last_updated >= kRetention;
}

void EngineNotices::Forget(const std::set<std::string>& listed, Time now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (listed.count(it->first) != 0) it->second.last_updated = now;
    it = IsExpired(it->second, now) ? this->entries.erase(it) : std::next(it);
  }
}

size_t EngineNotices::limited() const {
  return static_cast<size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& entry) { return entry.second.limit_per_s.has_value(); }));
}

size_t EngineNotices::leaving() const {
  return static_cast<size_t>(std::count_if(this->entries.begin(), this->entries.end(),
                                           [](const auto& entry) { return entry.second.leaving; }));
}

size_t EngineNotices::resting(Time now) const {
  return static_cast<size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [now](const auto& entry) { return entry.second.rests_until > now; }));
}

}  // namespace gullward

// engine_notices.h tells the rules.

#include "serving/engine_notices.h"

#include <algorithm>

namespace gullward {
namespace {

bool SaysNothing(const EngineNotice& notice) {
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
    if (this->entries.size() >= kCapacity) this->MakeRoom();
    found = this->entries.try_emplace(engine).first;
  }
  found->second.kept_since = now;
  return found->second;
}

void EngineNotices::MakeRoom() {
  auto heard_earlier = [](const auto& left, const auto& right) {
    return left.second.kept_since < right.second.kept_since;
  };
  this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(), heard_earlier));
  this->dropped += 1;
}

// Takes what the engine said of its limit at `said`, unless something later is known; tells
// whether that changed anything.
bool EngineNotices::TakeLimit(const std::optional<double>& limit, Time said, Entry* entry) {
  if (said <= entry->limit_said) return false;
  bool changed = entry->limit_per_s != limit;
  entry->limit_per_s = limit;
  entry->limit_said = said;
  return changed;
}

EngineNotices::Change EngineNotices::Receive(const std::string& engine, const EngineNotice& notice,
                                             Time sent, Time now) {
  Change change;
  if (SaysNothing(notice) && !this->Has(engine)) return change;
  Entry& entry = this->FindOrAdd(engine, now);
  entry.heard_at = now;
  bool may_be_lifted = entry.limit_per_s && notice.is_own_success && !notice.malformed;
  if (notice.limit_per_s) {
    change.limit = TakeLimit(notice.limit_per_s, now, &entry);
  } else if (may_be_lifted) {
    change.limit = TakeLimit(std::nullopt, sent, &entry);
  }
  entry.is_untold = entry.is_untold || change.limit;
  change.leaving = notice.leaving && !entry.leaving;
  entry.leaving = entry.leaving || notice.leaving;
  entry.is_untold = entry.is_untold || change.leaving;
  if (notice.rest) {
    change.rest = entry.rests_until <= now;
    entry.rests_until = std::max(entry.rests_until, now + *notice.rest);
  }
  return change;
}

EngineNotices::Change EngineNotices::ReceiveReport(const std::string& engine,
                                                   const NoticeReport& word, Time now) {
  Change change;
  bool is_new = word.leaving || (word.limit && word.limit->per_s);
  if (!is_new && !this->Has(engine)) return change;
  Entry& entry = this->FindOrAdd(engine, now);
  if (word.limit && word.limit->age <= kOldestWord) {
    change.limit = TakeLimit(word.limit->per_s, now - word.limit->age, &entry);
  }
  change.leaving = word.leaving && !entry.leaving;
  entry.leaving = entry.leaving || word.leaving;
  return change;
}

std::map<std::string, NoticeReport> EngineNotices::ReportsToSend(
    bool all, const std::function<bool(const std::string& engine)>& is_sharer, Time now) {
  std::map<std::string, NoticeReport> words;
  for (auto& [engine, entry] : this->entries) {
    bool is_due = all && (now - entry.heard_at < kOwnWordLasts || is_sharer(engine));
    if (!entry.is_untold && !is_due) continue;
    entry.is_untold = false;
    NoticeReport word;
    Duration age = now - entry.limit_said;
    if (age <= kOldestWord) word.limit = LimitReport{entry.limit_per_s, age};
    word.leaving = entry.leaving;
    if (word != NoticeReport{}) words[engine] = word;
  }
  return words;
}

double EngineNotices::CreditLeft(Entry* entry, double share, Time now) const {
  return entry->credit.Left(share * std::max(*entry->limit_per_s, kLeastPerSecond), now);
}

bool EngineNotices::Admits(const std::string& engine, double share, Time now) {
  Entry* entry = this->Find(engine);
  if (entry == nullptr) return true;
  if (entry->leaving || entry->rests_until > now) return false;
  return !entry->limit_per_s || this->CreditLeft(entry, share, now) >= 1;
}

void EngineNotices::NoteSent(const std::string& engine, double share, Time now) {
  Entry* entry = this->Find(engine);
  if (entry == nullptr || !entry->limit_per_s) return;
  this->CreditLeft(entry, share, now);
  entry->credit.Take();
}

std::optional<Duration> EngineNotices::TimeUntilAdmission(const std::string& engine, double share,
                                                          Time now) {
  Entry* entry = this->Find(engine);
  if (entry == nullptr) return Duration::zero();
  if (entry->leaving) return std::nullopt;
  Duration rest = std::max(entry->rests_until - now, Duration::zero());
  if (!entry->limit_per_s) return rest;
  if (share <= 0) return std::nullopt;
  this->CreditLeft(entry, share, now);
  return std::max(rest, entry->credit.UntilOne());
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

bool EngineNotices::IsOver(const Entry& entry, Time now) {
  bool was_limited = now - entry.limit_said < kLiftedKeptFor;
  bool says_nothing =
      !entry.limit_per_s && !was_limited && !entry.leaving && entry.rests_until <= now;
  return says_nothing || now - entry.kept_since >= kRetention;
}

void EngineNotices::Forget(const std::set<std::string>& listed, Time now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (listed.count(it->first) != 0) it->second.kept_since = now;
    it = IsOver(it->second, now) ? this->entries.erase(it) : std::next(it);
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

// quarantine.h tells the method.  Few contents are ever under suspicion at a time, so rivals
// are found by looking at all of them.

#include "serving/quarantine.h"

#include <algorithm>
#include <utility>

namespace gullward {

EngineKey EngineKeyOf(std::string_view incarnation) {
  return XXH3_64bits(incarnation.data(), incarnation.size());
}

bool Quarantine::NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent) {
  auto found = this->records.find(report.content);
  if (found == this->records.end()) {
    this->EvictSuspects();
    found = this->records.try_emplace(report.content).first;
  }
  Record& record = found->second;
  if (record.cleared_at && now - *record.cleared_at < kClearedFor) return false;
  auto is_same = [&](const Crash& crash) { return crash.engine == report.engine; };
  if (std::any_of(record.crashes.begin(), record.crashes.end(), is_same)) return false;
  // From now on the content is remembered as a suspect, no longer as one that was answered.
  record.cleared_at.reset();
  if (record.crashes.size() == kMaxEnginesKept) record.crashes.erase(record.crashes.begin());
  bool sent_on = sent && !record.crashes.empty() && *sent > record.crashes.front().received_at;
  record.was_resent = record.was_resent || sent_on;
  record.crashes.push_back({report.engine, now});
  record.last_report_at = now;
  if (record.quarantined_until) {
    this->explained.insert(report.engine);
  } else if (this->NeedsDecision(record)) {
    this->undecided.insert(report.content);
  }
  return true;
}

bool Quarantine::NoteAnswered(ContentId content, Time now) {
  auto found = this->records.find(content);
  if (found == this->records.end()) return false;
  Record& record = found->second;
  bool was_held = !record.crashes.empty() || record.quarantined_until;
  bool was_quarantined = record.quarantined_until.has_value();
  bool was_rival = record.crashes.size() >= kMinCrashes;
  record = Record{};
  record.cleared_at = now;
  record.last_report_at = now;
  this->undecided.erase(content);
  if (was_quarantined) {
    this->quarantined_count -= 1;
    this->RecomputeExplained();
  }
  if (was_rival) this->QueueDecisions();
  return was_held;
}

// Those whose engines pointed at another as well are to be judged anew.
void Quarantine::QueueDecisions() {
  for (const auto& [other, other_record] : this->records) {
    bool is_open = !other_record.quarantined_until;
    if (is_open && this->NeedsDecision(other_record)) this->undecided.insert(other);
  }
}

std::vector<Quarantine::Crash> Quarantine::UnexplainedCrashes(const Record& record) const {
  std::vector<Crash> crashes;
  for (const Crash& crash : record.crashes) {
    if (this->explained.count(crash.engine) == 0) crashes.push_back(crash);
  }
  return crashes;
}

bool Quarantine::IsBurst(const Record& record) {
  if (record.was_resent) return false;
  return record.crashes.back().received_at - record.crashes.front().received_at < kBurstWindow;
}

bool Quarantine::NeedsDecision(const Record& record) const {
  bool enough = this->UnexplainedCrashes(record).size() >= kMinCrashes ||
                record.crashes.size() >= kMaxCrashes;
  return enough && !IsBurst(record);
}

// How many of the engines point at this content: it has lost more engines than anything else
// that was there.
size_t Quarantine::AttributedCrashes(ContentId content, const std::vector<Crash>& crashes) const {
  std::unordered_set<EngineKey> shared_blame;
  for (const auto& [other, record] : this->records) {
    if (other == content || record.quarantined_until) continue;
    if (this->UnexplainedCrashes(record).size() < crashes.size()) continue;
    for (const Crash& crash : record.crashes) shared_blame.insert(crash.engine);
  }
  auto points = [&](const Crash& crash) { return shared_blame.count(crash.engine) == 0; };
  return static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(), points));
}

bool Quarantine::IsCause(ContentId content, const Record& record) const {
  if (!this->NeedsDecision(record)) return false;
  if (record.crashes.size() >= kMaxCrashes) return true;
  return this->AttributedCrashes(content, this->UnexplainedCrashes(record)) >= kMinCrashes;
}

// Those with most engines come first: they may explain the engines of the others.
std::vector<ContentId> Quarantine::Evaluate(Time now) {
  std::vector<std::pair<size_t, ContentId>> due;
  for (ContentId content : this->undecided) {
    const Record& record = this->records[content];
    if (now - record.last_report_at < kDecisionDelay) continue;
    due.emplace_back(this->UnexplainedCrashes(record).size(), content);
  }
  std::sort(due.rbegin(), due.rend());
  std::vector<ContentId> guilty;
  for (const auto& [engines, content] : due) {
    this->undecided.erase(content);
    Record& record = this->records[content];
    if (!this->IsCause(content, record)) continue;
    this->StartQuarantine(&record, this->lasts, now);
    guilty.push_back(content);
  }
  return guilty;
}

bool Quarantine::AdoptFromPeer(ContentId content, Duration left, Time now) {
  if (this->IsQuarantined(content, now)) return false;
  auto found = this->records.find(content);
  if (found == this->records.end()) {
    this->EvictSuspects();
    found = this->records.try_emplace(content).first;
  }
  Record& record = found->second;
  if (record.cleared_at && now - *record.cleared_at < kClearedFor) return false;
  record.cleared_at.reset();
  record.last_report_at = now;
  this->undecided.erase(content);
  this->StartQuarantine(&record, std::min(left, this->lasts), now);
  return true;
}

void Quarantine::StartQuarantine(Record* record, Duration how_long, Time now) {
  if (!record->quarantined_until) {
    this->EvictQuarantined();
    this->quarantined_count += 1;
  }
  record->quarantined_until = now + how_long;
  this->MarkExplained(*record);
}

void Quarantine::MarkExplained(const Record& record) {
  for (const Crash& crash : record.crashes) this->explained.insert(crash.engine);
}

void Quarantine::RecomputeExplained() {
  this->explained.clear();
  for (const auto& [content, record] : this->records) {
    if (record.quarantined_until) this->MarkExplained(record);
  }
}

std::optional<Duration> Quarantine::RefusedFor(ContentId content, Time now) const {
  auto found = this->records.find(content);
  if (found == this->records.end()) return std::nullopt;
  const Record& record = found->second;
  if (record.quarantined_until) return this->QuarantinedFor(content, now);
  if (!this->NeedsDecision(record)) return std::nullopt;
  Duration left = record.last_report_at + kDecisionDelay - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

std::optional<Duration> Quarantine::QuarantinedFor(ContentId content, Time now) const {
  auto found = this->records.find(content);
  if (found == this->records.end() || !found->second.quarantined_until) return std::nullopt;
  Duration left = *found->second.quarantined_until - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

size_t Quarantine::CrashCount(ContentId content) const {
  auto found = this->records.find(content);
  return found == this->records.end() ? 0 : found->second.crashes.size();
}

size_t Quarantine::UnexplainedCrashCount(ContentId content) const {
  auto found = this->records.find(content);
  return found == this->records.end() ? 0 : this->UnexplainedCrashes(found->second).size();
}

void Quarantine::Erase(Records::iterator where) {
  this->undecided.erase(where->first);
  if (where->second.quarantined_until) this->quarantined_count -= 1;
  this->records.erase(where);
}

void Quarantine::Tick(Time now) {
  bool any_ended = false;
  for (auto it = this->records.begin(); it != this->records.end();) {
    auto next = std::next(it);
    const Record& record = it->second;
    bool was_quarantined = record.quarantined_until.has_value();
    Duration kept_for = record.cleared_at ? kClearedFor : kSuspicionLifetime;
    bool is_over = was_quarantined ? *record.quarantined_until <= now
                                   : now - record.last_report_at >= kept_for;
    if (is_over) this->Erase(it);
    any_ended = any_ended || (is_over && was_quarantined);
    it = next;
  }
  if (any_ended) this->RecomputeExplained();
}

std::vector<ContentId> Quarantine::Quarantined(Time now) const {
  std::vector<ContentId> all;
  for (const auto& [content, record] : this->records) {
    if (this->IsQuarantined(content, now)) all.push_back(content);
  }
  return all;
}

// Where there are too many suspects, half of them go: those with fewest engines, and among
// them the oldest.
void Quarantine::EvictSuspects() {
  if (this->suspects() < kMaxSuspects) return;
  std::vector<std::pair<std::pair<size_t, Time>, ContentId>> order;
  for (const auto& [content, record] : this->records) {
    if (record.quarantined_until) continue;
    order.push_back({{record.crashes.size(), record.last_report_at}, content});
  }
  auto middle = order.begin() + static_cast<ptrdiff_t>(order.size() / 2);
  std::nth_element(order.begin(), middle, order.end());
  for (auto it = order.begin(); it != middle; ++it) {
    this->Erase(this->records.find(it->second));
    this->forgotten_count += 1;
  }
}

void Quarantine::EvictQuarantined() {
  if (this->quarantined_count < kMaxQuarantined) return;
  auto first = this->records.end();
  for (auto it = this->records.begin(); it != this->records.end(); ++it) {
    if (!it->second.quarantined_until) continue;
    bool is_earlier = first == this->records.end() ||
                      *it->second.quarantined_until < *first->second.quarantined_until;
    if (is_earlier) first = it;
  }
  this->Erase(first);
  this->forgotten_count += 1;
  this->RecomputeExplained();
}

}  // namespace gullward

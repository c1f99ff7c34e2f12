// quarantine.h describes the rules.  Few contents are suspected at a time, so the contents that
// shared an engine with another one are found by scanning all records.

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
    found->second.was_answered = this->answered.Contains(report.content);
  }
  Record& record = found->second;
  if (record.cleared_at && now - *record.cleared_at < kClearedFor) return false;
  auto is_same = [&](const Crash& crash) { return crash.engine == report.engine; };
  if (std::any_of(record.crashes.begin(), record.crashes.end(), is_same)) return false;
  // The record becomes that of a suspect again and is kept for kSuspicionLifetime.
  record.cleared_at.reset();
  if (record.crashes.size() == kMaxEnginesKept) record.crashes.erase(record.crashes.begin());
  bool is_resend = sent && !record.crashes.empty() && *sent > record.crashes.front().received_at;
  record.was_resent = record.was_resent || is_resend;
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
  this->answered.Add(content, now);
  auto found = this->records.find(content);
  if (found == this->records.end()) return false;
  Record& record = found->second;
  bool had_evidence = !record.crashes.empty() || record.quarantined_until;
  bool was_quarantined = record.quarantined_until.has_value();
  bool had_min_crashes = record.crashes.size() >= kMinCrashes;
  bool is_reported = !had_evidence && record.answer_is_reported;
  record = Record{};
  record.answer_is_reported = is_reported;
  record.cleared_at = now;
  record.was_answered = true;
  record.last_report_at = now;
  this->undecided.erase(content);
  if (was_quarantined) {
    this->quarantined_count -= 1;
    this->RecomputeExplained();
  }
  if (had_min_crashes) this->QueueDecisions();
  return had_evidence;
}

void Quarantine::NoteAnsweredByPeer(ContentId content) {
  auto found = this->records.find(content);
  if (found != this->records.end()) found->second.was_answered = true;
}

bool Quarantine::TakeAnsweredReport(ContentId content) {
  auto found = this->records.find(content);
  if (found == this->records.end() || !found->second.was_answered) return false;
  return !std::exchange(found->second.answer_is_reported, true);
}

// Queues all contents that need a decision: a cleared content no longer shares their crashes.
void Quarantine::QueueDecisions() {
  for (const auto& [other, other_record] : this->records) {
    bool is_unquarantined = !other_record.quarantined_until;
    if (is_unquarantined && this->NeedsDecision(other_record)) this->undecided.insert(other);
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

// Counts the crashes that are attributed to this content: on their engines it has more
// unexplained crashes than any other content that was running there.  An answered content yields to
// one that was not, and never the reverse.
size_t Quarantine::AttributedCrashes(ContentId content, const std::vector<Crash>& crashes) const {
  bool was_answered = this->records.at(content).was_answered;
  std::unordered_set<EngineKey> shared_engines;
  for (const auto& [other, record] : this->records) {
    if (other == content || record.quarantined_until) continue;
    bool has_as_many = this->UnexplainedCrashes(record).size() >= crashes.size();
    bool takes_shared = record.was_answered == was_answered ? has_as_many : was_answered;
    if (!takes_shared) continue;
    for (const Crash& crash : record.crashes) shared_engines.insert(crash.engine);
  }
  auto is_attributed = [&](const Crash& crash) { return shared_engines.count(crash.engine) == 0; };
  return static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(), is_attributed));
}

bool Quarantine::IsCause(ContentId content, const Record& record) const {
  if (!this->NeedsDecision(record)) return false;
  if (record.crashes.size() >= kMaxCrashes && !record.was_answered) return true;
  return this->AttributedCrashes(content, this->UnexplainedCrashes(record)) >= kMinCrashes;
}

// Contents with most crashes are decided first: they may explain the crashes of the others.
std::vector<ContentId> Quarantine::Evaluate(Time now) {
  std::vector<std::pair<size_t, ContentId>> due;
  for (ContentId content : this->undecided) {
    const Record& record = this->records[content];
    if (now - record.last_report_at < kDecisionDelay) continue;
    due.emplace_back(this->UnexplainedCrashes(record).size(), content);
  }
  std::sort(due.rbegin(), due.rend());
  std::vector<ContentId> quarantined;
  for (const auto& [engines, content] : due) {
    this->undecided.erase(content);
    Record& record = this->records[content];
    if (!this->IsCause(content, record)) continue;
    this->StartQuarantine(&record, this->duration, now);
    quarantined.push_back(content);
  }
  return quarantined;
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
  this->StartQuarantine(&record, std::min(left, this->duration), now);
  return true;
}

void Quarantine::StartQuarantine(Record* record, Duration left, Time now) {
  if (!record->quarantined_until) {
    this->EvictQuarantined();
    this->quarantined_count += 1;
  }
  record->quarantined_until = now + left;
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
  bool is_pending =
      this->NeedsDecision(record) && (!record.was_answered || this->IsCause(content, record));
  if (!is_pending) return std::nullopt;
  Duration left = record.last_report_at + kDecisionDelay - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

std::optional<Duration> Quarantine::QuarantinedFor(ContentId content, Time now) const {
  auto found = this->records.find(content);
  if (found == this->records.end() || !found->second.quarantined_until) return std::nullopt;
  Duration left = *found->second.quarantined_until - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

bool Quarantine::AllowsSecondAttempt(ContentId content) const {
  auto found = this->records.find(content);
  if (found == this->records.end()) return true;
  const Record& record = found->second;
  size_t crashes = record.was_answered
                       ? this->AttributedCrashes(content, this->UnexplainedCrashes(record))
                       : record.crashes.size();
  return crashes + 1 < kMinCrashes;
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
  bool any_quarantine_ended = false;
  for (auto it = this->records.begin(); it != this->records.end();) {
    auto next = std::next(it);
    const Record& record = it->second;
    bool was_quarantined = record.quarantined_until.has_value();
    bool is_expired = was_quarantined ? *record.quarantined_until <= now
                                      : now - record.last_report_at >= kSuspicionLifetime;
    if (is_expired) this->Erase(it);
    any_quarantine_ended = any_quarantine_ended || (is_expired && was_quarantined);
    it = next;
  }
  if (any_quarantine_ended) this->RecomputeExplained();
}

std::vector<ContentId> Quarantine::Quarantined(Time now) const {
  std::vector<ContentId> all;
  for (const auto& [content, record] : this->records) {
    if (this->IsQuarantined(content, now)) all.push_back(content);
  }
  return all;
}

// When the bound is reached, evicts half of the suspects: those with the fewest crashes first,
// and among equals those whose last report is oldest.
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

// quarantine.h describes the rules.  There are few suspects at a time, so those that shared an
// engine with another one are found by scanning all records.

#include "serving/quarantine.h"

#include <algorithm>
#include <utility>

namespace gullward {

EngineKey EngineKeyOf(std::string_view incarnation) {
  return XXH3_64bits(incarnation.data(), incarnation.size());
}

RecentContents& Quarantine::AnsweredOf(SuspectKind kind) {
  return kind == SuspectKind::kPart ? this->answered_parts : this->answered_contents;
}

Quarantine::Record& Quarantine::RecordOf(const Suspect& suspect) {
  auto found = this->records.find(suspect);
  if (found == this->records.end()) {
    this->EvictSuspects();
    found = this->records.try_emplace(suspect).first;
    found->second.was_answered = this->AnsweredOf(suspect.kind).Contains(suspect.hash);
  }
  return found->second;
}

bool Quarantine::NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent) {
  Record& record = this->RecordOf(report.suspect);
  if (record.cleared_at && now - *record.cleared_at < kClearedFor) return false;
  auto is_same = [&](const Crash& crash) { return crash.engine == report.engine; };
  if (std::any_of(record.crashes.begin(), record.crashes.end(), is_same)) return false;
  // The record becomes that of a suspect again and is kept for kSuspicionLifetime.
  record.cleared_at.reset();
  if (record.crashes.size() == kMaxEnginesKept) record.crashes.erase(record.crashes.begin());
  bool is_resend = sent && !record.crashes.empty() && *sent > record.crashes.front().received_at;
  record.was_resent = record.was_resent || is_resend;
  record.crashes.push_back({report.engine, now, sent});
  record.last_report_at = now;
  if (record.quarantined_until) {
    this->explained.insert(report.engine);
  } else if (this->NeedsDecision(report.suspect, record)) {
    this->undecided.insert(report.suspect);
  }
  return true;
}

bool Quarantine::NoteAnswered(const Suspect& suspect, Time now) {
  this->AnsweredOf(suspect.kind).Add(suspect.hash, now);
  auto found = this->records.find(suspect);
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
  this->undecided.erase(suspect);
  if (was_quarantined) {
    this->quarantined_count -= 1;
    this->RecomputeExplained();
  }
  if (had_min_crashes) this->QueueDecisions();
  return had_evidence;
}

void Quarantine::NoteAnsweredByPeer(const Suspect& suspect) {
  auto found = this->records.find(suspect);
  if (found == this->records.end()) return;
  bool was_known = std::exchange(found->second.was_answered, true);
  if (!was_known && found->second.crashes.size() >= kMinCrashes) this->QueueDecisions();
}

bool Quarantine::TakeAnsweredReport(const Suspect& suspect) {
  auto found = this->records.find(suspect);
  if (found == this->records.end() || !found->second.was_answered) return false;
  return !std::exchange(found->second.answer_is_reported, true);
}

// Queues all suspects that need a decision: one that was answered no longer takes their crashes.
void Quarantine::QueueDecisions() {
  for (const auto& [other, other_record] : this->records) {
    bool is_unquarantined = !other_record.quarantined_until;
    if (is_unquarantined && this->NeedsDecision(other, other_record)) this->undecided.insert(other);
  }
}

std::vector<Quarantine::Crash> Quarantine::UnexplainedCrashes(const Record& record) const {
  std::vector<Crash> crashes;
  for (const Crash& crash : record.crashes) {
    if (this->explained.count(crash.engine) == 0) crashes.push_back(crash);
  }
  return crashes;
}

size_t Quarantine::UnexplainedCount(const Record& record) const {
  return static_cast<size_t>(std::count_if(
      record.crashes.begin(), record.crashes.end(),
      [this](const Crash& crash) { return !this->explained.contains(crash.engine); }));
}

bool Quarantine::IsBurst(const Record& record) {
  if (record.was_resent) return false;
  return record.crashes.back().received_at - record.crashes.front().received_at < kBurstWindow;
}

// Against a part, crashes within kBurstWindow count as one unless the engine received the request
// after the last crash that counts.
size_t Quarantine::CrashesThatCount(const Suspect& suspect, const std::vector<Crash>& crashes) {
  if (!suspect.is_part()) return crashes.size();
  size_t count = 0;
  Time last{};
  for (const Crash& crash : crashes) {
    bool is_separate =
        crash.received_at - last >= kBurstWindow || (crash.sent && *crash.sent > last);
    if (count > 0 && !is_separate) continue;
    count += 1;
    last = crash.received_at;
  }
  return count;
}

size_t Quarantine::CrashesNeeded(const Suspect& suspect, const Record& record) {
  return suspect.is_part() && record.was_answered ? kMaxCrashes : kMinCrashes;
}

bool Quarantine::NeedsDecision(const Suspect& suspect, const Record& record) const {
  size_t unexplained = CrashesThatCount(suspect, this->UnexplainedCrashes(record));
  if (suspect.is_part()) return unexplained >= CrashesNeeded(suspect, record);
  bool enough = unexplained >= kMinCrashes || record.crashes.size() >= kMaxCrashes;
  return enough && !IsBurst(record);
}

// Whether a crash that both share is attributed to the other suspect: if it has as many, and if it
// is trusted less.
bool Quarantine::TakesCrashesOf(const Suspect& suspect, const Record& record, const Suspect& other,
                                const Record& other_record) const {
  size_t others = this->UnexplainedCount(other_record);
  if (record.was_answered == other_record.was_answered) {
    // The gateways' reports about the parts on one engine arrive one after the other.
    size_t late = suspect.is_part() && other.is_part() ? 1 : 0;
    return others + late >= this->UnexplainedCount(record);
  }
  bool both_contents = !suspect.is_part() && !other.is_part();
  return record.was_answered && (both_contents || others >= kMinCrashes);
}

// Returns the unexplained crashes on whose engines no other suspect was running that takes them.
std::vector<Quarantine::Crash> Quarantine::AttributedCrashes(const Suspect& suspect,
                                                             const Record& record) const {
  std::unordered_set<EngineKey> taken;
  for (const auto& [other, other_record] : this->records) {
    if (other == suspect || other_record.quarantined_until) continue;
    if (!this->TakesCrashesOf(suspect, record, other, other_record)) continue;
    for (const Crash& crash : other_record.crashes) taken.insert(crash.engine);
  }
  std::vector<Crash> crashes = this->UnexplainedCrashes(record);
  std::erase_if(crashes, [&](const Crash& crash) { return taken.count(crash.engine) != 0; });
  return crashes;
}

bool Quarantine::IsCause(const Suspect& suspect, const Record& record) const {
  if (!this->NeedsDecision(suspect, record)) return false;
  bool is_certain = record.crashes.size() >= kMaxCrashes && !record.was_answered;
  if (is_certain && !suspect.is_part()) return true;
  return CrashesThatCount(suspect, this->AttributedCrashes(suspect, record)) >=
         CrashesNeeded(suspect, record);
}

// Suspects with most crashes are decided first: they may explain the crashes of the others.
std::vector<Suspect> Quarantine::Evaluate(Time now) {
  std::vector<std::pair<size_t, Suspect>> due;
  for (const Suspect& suspect : this->undecided) {
    const Record& record = this->records[suspect];
    if (now - record.last_report_at < kDecisionDelay) continue;
    due.emplace_back(this->UnexplainedCount(record), suspect);
  }
  std::sort(due.rbegin(), due.rend());
  std::vector<Suspect> quarantined;
  for (const auto& [engines, suspect] : due) {
    this->undecided.erase(suspect);
    Record& record = this->records[suspect];
    if (!this->IsCause(suspect, record)) continue;
    this->StartQuarantine(&record, this->duration, now);
    quarantined.push_back(suspect);
  }
  return quarantined;
}

bool Quarantine::AdoptFromPeer(const Suspect& suspect, Duration left, Time now) {
  if (this->IsQuarantined(suspect, now)) return false;
  Record& record = this->RecordOf(suspect);
  if (record.cleared_at && now - *record.cleared_at < kClearedFor) return false;
  bool is_trusted = suspect.is_part() && record.was_answered;
  if (is_trusted && !this->IsCause(suspect, record)) return false;
  record.cleared_at.reset();
  record.last_report_at = now;
  this->undecided.erase(suspect);
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
  for (const auto& [suspect, record] : this->records) {
    if (record.quarantined_until) this->MarkExplained(record);
  }
}

std::optional<Duration> Quarantine::RefusedFor(const Suspect& suspect, Time now) const {
  auto found = this->records.find(suspect);
  if (found == this->records.end()) return std::nullopt;
  const Record& record = found->second;
  if (record.quarantined_until) return this->QuarantinedFor(suspect, now);
  Duration left = record.last_report_at + this->HoldTime(suspect, record) - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

// For how long after the last crash report requests with a suspect are held back that is not in
// quarantine.
Duration Quarantine::HoldTime(const Suspect& suspect, const Record& record) const {
  bool is_trusted = suspect.is_part() || record.was_answered;
  bool is_pending =
      this->NeedsDecision(suspect, record) && (!is_trusted || this->IsCause(suspect, record));
  if (is_pending) return kDecisionDelay;
  // So that the next crash counts separately.
  bool lost_many =
      suspect.is_part() && !record.was_answered && this->UnexplainedCount(record) >= kMinCrashes;
  return lost_many ? kBurstWindow : Duration(0);
}

std::optional<Duration> Quarantine::RefusedFor(const std::vector<Suspect>& suspects,
                                               Time now) const {
  std::optional<Duration> longest;
  for (const Suspect& suspect : suspects) {
    longest = std::max(longest, this->RefusedFor(suspect, now));
  }
  if (!longest && this->HoldsInseparable(suspects)) return kDecisionDelay;
  return longest;
}

// Whether the request has two suspects that crashes cannot tell apart: neither was ever answered,
// and each has enough crashes to be the cause.
bool Quarantine::HoldsInseparable(const std::vector<Suspect>& suspects) const {
  auto is_candidate = [this](const Suspect& suspect) {
    auto found = this->records.find(suspect);
    if (found == this->records.end()) return false;
    const Record& record = found->second;
    return !record.quarantined_until && !record.was_answered &&
           this->NeedsDecision(suspect, record);
  };
  return std::count_if(suspects.begin(), suspects.end(), is_candidate) >= 2;
}

std::optional<Duration> Quarantine::QuarantinedFor(const Suspect& suspect, Time now) const {
  auto found = this->records.find(suspect);
  if (found == this->records.end() || !found->second.quarantined_until) return std::nullopt;
  Duration left = *found->second.quarantined_until - now;
  return left.count() > 0 ? std::optional<Duration>(left) : std::nullopt;
}

bool Quarantine::AllowsSecondAttempt(const Suspect& suspect) const {
  auto found = this->records.find(suspect);
  if (found == this->records.end()) return true;
  const Record& record = found->second;
  size_t crashes =
      record.was_answered ? this->AttributedCrashes(suspect, record).size() : record.crashes.size();
  return crashes + 1 < CrashesNeeded(suspect, record);
}

size_t Quarantine::CrashCount(const Suspect& suspect) const {
  auto found = this->records.find(suspect);
  return found == this->records.end() ? 0 : found->second.crashes.size();
}

size_t Quarantine::UnexplainedCrashCount(const Suspect& suspect) const {
  auto found = this->records.find(suspect);
  return found == this->records.end() ? 0 : this->UnexplainedCount(found->second);
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

std::vector<Suspect> Quarantine::Quarantined(Time now) const {
  std::vector<Suspect> all;
  for (const auto& [suspect, record] : this->records) {
    if (this->IsQuarantined(suspect, now)) all.push_back(suspect);
  }
  return all;
}

// When the bound is reached, evicts half of the suspects: those with the fewest crashes first,
// and among equals those whose last report is oldest.
void Quarantine::EvictSuspects() {
  if (this->suspects() < kMaxSuspects) return;
  std::vector<std::pair<std::pair<size_t, Time>, Suspect>> order;
  for (const auto& [suspect, record] : this->records) {
    if (record.quarantined_until) continue;
    order.push_back({{record.crashes.size(), record.last_report_at}, suspect});
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

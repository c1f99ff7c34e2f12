// Entries are held by content.  There are few of them, so sums are taken over all.

#include "overload/return_book.h"

#include <algorithm>
#include <cmath>

namespace gullward {

bool ReturnBook::IsValid(const ReturnPromise& promise) {
  bool is_due_valid = promise.due_in >= -kGrace && promise.due_in <= kMaxDue;
  bool is_work_valid = std::isfinite(promise.engine_seconds) && promise.engine_seconds >= 0 &&
                       promise.engine_seconds <= kMaxEngineSeconds;
  bool is_rank_valid = promise.rank_steps >= 0 && promise.rank_steps <= kMaxRankSteps;
  bool is_service_valid = !promise.service.empty() && promise.service.size() <= kMaxServiceBytes;
  return is_due_valid && is_work_valid && is_rank_valid && is_service_valid;
}

bool ReturnBook::IsOpen(const Entry& entry, Time now) {
  return !entry.is_kept && now <= entry.due + kGrace;
}

const ReturnBook::Entry* ReturnBook::FindOpen(uint64_t content, Time now) const {
  auto found = this->entries.find(content);
  bool is_open = found != this->entries.end() && IsOpen(found->second, now);
  return is_open ? &found->second : nullptr;
}

bool ReturnBook::Add(const ReturnPromise& promise, bool is_own, Time now) {
  this->DropLapsed(now);
  if (!IsValid(promise) || this->entries.size() >= kMaxPromises) return false;
  Entry entry{promise.service,        promise.rank_steps, now + promise.due_in,
              promise.engine_seconds, promise.is_kept,    is_own,
              /*is_unsent=*/is_own};
  return this->entries.try_emplace(promise.content, std::move(entry)).second;
}

bool ReturnBook::Promise(const ReturnPromise& promise, Time now) {
  return this->Add(promise, /*is_own=*/true, now);
}

void ReturnBook::Receive(const ReturnPromise& promise, Time now) {
  if (this->Add(promise, /*is_own=*/false, now) || !promise.is_kept || !IsValid(promise)) return;
  auto found = this->entries.find(promise.content);
  if (found != this->entries.end()) found->second.is_kept = true;
}

ReturnMatch ReturnBook::Match(uint64_t content, Time now) const {
  const Entry* entry = this->FindOpen(content, now);
  if (entry == nullptr) return ReturnMatch::kUnknown;
  return now + kEarlySlack < entry->due ? ReturnMatch::kEarly : ReturnMatch::kOnTime;
}

std::optional<Duration> ReturnBook::TimeUntilDue(uint64_t content, Time now) const {
  if (this->Match(content, now) != ReturnMatch::kEarly) return std::nullopt;
  return this->FindOpen(content, now)->due - now;
}

void ReturnBook::Keep(uint64_t content, Time now) {
  if (this->FindOpen(content, now) == nullptr) return;
  Entry& entry = this->entries.at(content);
  entry.is_kept = true;
  entry.is_unsent = true;
}

bool ReturnBook::GoesFirst(const Entry& entry, const std::string& service, int rank_steps,
                           Time now) {
  return entry.rank_steps <= rank_steps && entry.service == service && IsOpen(entry, now);
}

double ReturnBook::PromisedSeconds(const std::string& service, int rank_steps, Time now) const {
  double promised = 0;
  for (const auto& [content, entry] : this->entries) {
    if (GoesFirst(entry, service, rank_steps, now)) promised += entry.engine_seconds;
  }
  return promised;
}

double ReturnBook::ShareKept(const Entry& entry, Time now) {
  bool is_before = now < entry.due;
  double distance = ToSeconds(is_before ? entry.due - now : now - entry.due);
  return std::max(1 - distance / ToSeconds(is_before ? kAhead : kGrace), 0.0);
}

double ReturnBook::SecondsKept(const std::string& service, int rank_steps, Time now) const {
  double kept = 0;
  for (const auto& [content, entry] : this->entries) {
    if (!GoesFirst(entry, service, rank_steps, now)) continue;
    kept += ShareKept(entry, now) * entry.engine_seconds;
  }
  return kept;
}

bool ReturnBook::IsEmpty(Time now) {
  this->DropLapsed(now);
  return this->entries.empty();
}

std::vector<ReturnPromise> ReturnBook::TakeUnsent(Time now) {
  this->DropLapsed(now);
  std::vector<ReturnPromise> unsent;
  for (auto& [content, entry] : this->entries) {
    if (!entry.is_unsent) continue;
    entry.is_unsent = false;
    unsent.push_back({content, entry.service, entry.rank_steps, entry.due - now,
                      entry.engine_seconds, entry.is_kept});
  }
  return unsent;
}

void ReturnBook::DropLapsed(Time now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    if (now <= entry.due + kGrace) {
      ++it;
      continue;
    }
    if (entry.is_own && !entry.is_kept) this->lapsed_count += 1;
    it = this->entries.erase(it);
  }
}

}  // namespace gullward

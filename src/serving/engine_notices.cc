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

EngineNotices::Change EngineNotices::Hear(const std::string& engine, const EngineNotice& notice,
                                          Time sent, Time now) {
  Change change;
  if (SaysNothing(notice) && !this->Has(engine)) return change;
  Entry& entry = this->FindOrAdd(engine, now);
  bool is_lifted = !notice.limit_per_s && !notice.malformed && sent > entry.limit_said;
  if (notice.limit_per_s || is_lifted) {
    change.limit = entry.limit_per_s != notice.limit_per_s;
    entry.limit_per_s = notice.limit_per_s;
    entry.limit_said = notice.limit_per_s ? now : sent;
  }
  change.leaving = notice.leaving && !entry.leaving;
  entry.leaving = entry.leaving || notice.leaving;
  if (notice.rest) {
    change.rest = entry.rests_until <= now;
    entry.rests_until = std::max(entry.rests_until, now + *notice.rest);
  }
  return change;
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

void EngineNotices::Forget(const std::set<std::string>& listed, Time now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    Entry& entry = it->second;
    if (listed.count(it->first) != 0) entry.kept_since = now;
    bool says_nothing = !entry.limit_per_s && !entry.leaving && entry.rests_until <= now;
    bool is_over = says_nothing || now - entry.kept_since >= kKeptFor;
    it = is_over ? this->entries.erase(it) : std::next(it);
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

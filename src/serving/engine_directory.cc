// engine_directory.h tells the rules.

#include "serving/engine_directory.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gullward {

namespace {

// What is announced holds for good: a life's name is never used again.
constexpr Time kForGood{};

}  // namespace

// No id has an "@" (platform/documents.h).
std::string EngineRecord::Incarnation() const {
  return this->started_at_ms == 0 ? this->id : absl::StrCat(this->id, "@", this->started_at_ms);
}

void EngineDirectory::Update(const EngineRecord& record) {
  const EngineRecord* known = this->Find(record.id);
  bool is_late = known != nullptr && record.started_at_ms < known->started_at_ms;
  std::string life = record.Incarnation();
  if (record.draining) this->announced.Add(life, kForGood);
  bool undoes_leaving = !record.draining && this->announced.Contains(life, kForGood);
  if (is_late || undoes_leaving) return;
  this->doubted.erase(record.id);
  bool is_same = known != nullptr && *known == record;
  if (!is_same) this->changes += 1;
  this->engines[record.id] = Entry{record, std::nullopt};
}

void EngineDirectory::RemoveIncarnation(const EngineRecord& record) {
  if (!this->IsListed(record)) return;
  this->engines.erase(record.id);
  this->changes += 1;
}

void EngineDirectory::Remove(const std::string& id, Time now, Time keep_until) {
  this->doubted.erase(id);
  auto found = this->engines.find(id);
  if (found == this->engines.end()) return;
  bool keep = keep_until > now && !found->second.record.draining;
  if (!keep) {
    this->departures.Add(found->second.record.Incarnation(), now);
    this->engines.erase(found);
    this->changes += 1;
    return;
  }
  if (found->second.gone_at) return;
  found->second.gone_at = keep_until;
  this->next_gone = std::min(this->next_gone, keep_until);
}

void EngineDirectory::Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until) {
  for (const EngineRecord& record : records) this->Update(record);
  this->RemoveMissing(records, now, keep_until);
}

void EngineDirectory::ReplaceFromStaleList(const std::vector<EngineRecord>& records, Time now,
                                           Time settled_at) {
  this->doubted.clear();
  this->doubted_until = settled_at;
  for (const EngineRecord& record : records) {
    if (this->departures.Contains(record.Incarnation(), now)) {
      this->doubted[record.id] = record;
    } else {
      this->Update(record);
    }
  }
  this->RemoveMissing(records, now, settled_at);
}

void EngineDirectory::RemoveMissing(const std::vector<EngineRecord>& listed, Time now,
                                    Time keep_until) {
  std::set<std::string> ids;
  for (const EngineRecord& record : listed) ids.insert(record.id);
  std::vector<std::string> missing;
  for (const auto& [id, engine] : this->engines) {
    if (ids.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) this->Remove(id, now, keep_until);
}

// An engine whose entry had only lapsed does not write what stands there already.
void EngineDirectory::TakeDoubted(Time now) {
  if (this->doubted.empty() || now < this->doubted_until) return;
  for (const auto& [id, record] : std::exchange(this->doubted, {})) this->Update(record);
}

void EngineDirectory::Expire(Time now) {
  this->TakeDoubted(now);
  if (now < this->next_gone) return;
  this->next_gone = Time::max();
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    const std::optional<Time>& gone_at = it->second.gone_at;
    bool gone = gone_at && *gone_at <= now;
    if (gone) this->changes += 1;
    if (gone) this->departures.Add(it->second.record.Incarnation(), now);
    if (gone_at && !gone) this->next_gone = std::min(this->next_gone, *gone_at);
    it = gone ? this->engines.erase(it) : std::next(it);
  }
}

std::vector<const EngineRecord*> EngineDirectory::Usable() const {
  std::vector<const EngineRecord*> usable;
  for (const auto& [id, entry] : this->engines) {
    if (!entry.record.draining) usable.push_back(&entry.record);
  }
  return usable;
}

std::vector<const EngineRecord*> EngineDirectory::Usable(const std::string& service, Time now) {
  this->Expire(now);
  std::vector<const EngineRecord*> usable = this->Usable();
  std::erase_if(usable, [&](const EngineRecord* engine) { return engine->service != service; });
  return usable;
}

const EngineRecord* EngineDirectory::Find(const std::string& id) const {
  auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : &found->second.record;
}

const EngineRecord* EngineDirectory::FindIncarnation(const std::string& incarnation) const {
  const EngineRecord* known = this->Find(incarnation.substr(0, incarnation.find('@')));
  return known != nullptr && known->Incarnation() == incarnation ? known : nullptr;
}

bool EngineDirectory::IsListed(const EngineRecord& record) const {
  const EngineRecord* known = this->Find(record.id);
  return known != nullptr && known->started_at_ms == record.started_at_ms;
}

std::set<std::string> EngineDirectory::Incarnations() const {
  std::set<std::string> incarnations;
  for (const auto& [id, entry] : this->engines) incarnations.insert(entry.record.Incarnation());
  return incarnations;
}

std::vector<EngineRecord> EngineDirectory::Listed() const {
  std::vector<EngineRecord> listed;
  for (const auto& [id, entry] : this->engines) listed.push_back(entry.record);
  return listed;
}

}  // namespace gullward

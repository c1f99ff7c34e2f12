// A missing engine that is kept for its grace is marked by Entry::remove_at; Expire removes it.

#include "serving/engine_directory.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gullward {

namespace {

// The time passed for `announced`, whose entries do not expire: the name of an incarnation is
// never used again.
constexpr Time kNoExpiry{};

}  // namespace

// Ids contain no "@" (platform/documents.h).
std::string EngineRecord::Incarnation() const {
  return this->started_at_ms == 0 ? this->id : absl::StrCat(this->id, "@", this->started_at_ms);
}

void EngineDirectory::Update(const EngineRecord& record) {
  const EngineRecord* known = this->Find(record.id);
  bool is_outdated = known != nullptr && record.started_at_ms < known->started_at_ms;
  std::string incarnation = record.Incarnation();
  if (record.draining) this->announced.Add(incarnation, kNoExpiry);
  bool undoes_leaving = !record.draining && this->announced.Contains(incarnation, kNoExpiry);
  if (is_outdated || undoes_leaving) return;
  this->unconfirmed.erase(record.id);
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
  this->unconfirmed.erase(id);
  auto found = this->engines.find(id);
  if (found == this->engines.end()) return;
  bool keep = keep_until > now && !found->second.record.draining;
  if (!keep) {
    this->departed.Add(found->second.record.Incarnation(), now);
    this->engines.erase(found);
    this->changes += 1;
    return;
  }
  if (found->second.remove_at) return;
  found->second.remove_at = keep_until;
  this->next_removal = std::min(this->next_removal, keep_until);
}

void EngineDirectory::Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until) {
  for (const EngineRecord& record : records) this->Update(record);
  this->RemoveMissing(records, now, keep_until);
}

void EngineDirectory::ReplaceFromStaleList(const std::vector<EngineRecord>& records, Time now,
                                           Time settled_at) {
  this->unconfirmed.clear();
  this->unconfirmed_until = settled_at;
  for (const EngineRecord& record : records) {
    if (this->departed.Contains(record.Incarnation(), now)) {
      this->unconfirmed[record.id] = record;
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

// A departed incarnation that is still on the settled list is running: its entry had only lapsed,
// and the engine does not write an entry that is already in the list.
void EngineDirectory::AddUnconfirmed(Time now) {
  if (this->unconfirmed.empty() || now < this->unconfirmed_until) return;
  for (const auto& [id, record] : std::exchange(this->unconfirmed, {})) this->Update(record);
}

void EngineDirectory::Expire(Time now) {
  this->AddUnconfirmed(now);
  if (now < this->next_removal) return;
  this->next_removal = Time::max();
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    const std::optional<Time>& remove_at = it->second.remove_at;
    bool gone = remove_at && *remove_at <= now;
    if (gone) this->changes += 1;
    if (gone) this->departed.Add(it->second.record.Incarnation(), now);
    if (remove_at && !gone) this->next_removal = std::min(this->next_removal, *remove_at);
    it = gone ? this->engines.erase(it) : std::next(it);
  }
}

void EngineDirectory::SetEvacuated(std::set<std::string> data_centres) {
  if (data_centres == this->evacuated) return;
  this->evacuated = std::move(data_centres);
  this->changes += 1;
}

size_t EngineDirectory::CountIn(const std::string& data_centre) const {
  return static_cast<size_t>(std::count_if(
      this->engines.begin(), this->engines.end(),
      [&](const auto& engine) { return engine.second.record.data_centre == data_centre; }));
}

bool EngineDirectory::HasEvacuated(const std::string& service) const {
  return std::any_of(this->engines.begin(), this->engines.end(), [&](const auto& engine) {
    const EngineRecord& record = engine.second.record;
    return record.service == service && !record.draining && !this->IsUsable(record);
  });
}

std::vector<const EngineRecord*> EngineDirectory::Usable() const {
  std::vector<const EngineRecord*> usable;
  for (const auto& [id, entry] : this->engines) {
    if (this->IsUsable(entry.record)) usable.push_back(&entry.record);
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

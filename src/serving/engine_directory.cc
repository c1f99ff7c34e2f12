// engine_directory.h tells the rules.

#include "serving/engine_directory.h"

#include "absl/strings/str_cat.h"

namespace gullward {

// No id has an "@" (platform/documents.h).
std::string EngineRecord::Incarnation() const {
  return this->born == 0 ? this->id : absl::StrCat(this->id, "@", this->born);
}

void EngineDirectory::Update(const EngineRecord& record) {
  const EngineRecord* known = this->Find(record.id);
  bool is_late = known != nullptr && record.born < known->born;
  if (is_late) return;
  this->engines[record.id] = Entry{record, std::nullopt};
}

void EngineDirectory::Forget(const EngineRecord& record) {
  if (this->IsListed(record)) this->engines.erase(record.id);
}

void EngineDirectory::Remove(const std::string& id, Time now, Time keep_until) {
  auto found = this->engines.find(id);
  if (found == this->engines.end()) return;
  bool keep = keep_until > now && !found->second.record.draining;
  if (!keep) {
    this->engines.erase(found);
    return;
  }
  if (!found->second.gone_at) found->second.gone_at = keep_until;
}

void EngineDirectory::Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until) {
  std::set<std::string> listed;
  for (const EngineRecord& record : records) {
    listed.insert(record.id);
    this->Update(record);
  }
  std::vector<std::string> missing;
  for (const auto& [id, engine] : this->engines) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) this->Remove(id, now, keep_until);
}

std::vector<const EngineRecord*> EngineDirectory::Usable(const std::string& service, Time now) {
  std::vector<const EngineRecord*> usable;
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    const Entry& engine = it->second;
    if (engine.gone_at && *engine.gone_at <= now) {
      it = this->engines.erase(it);
      continue;
    }
    bool wanted = engine.record.service == service && !engine.record.draining;
    if (wanted) usable.push_back(&engine.record);
    ++it;
  }
  return usable;
}

const EngineRecord* EngineDirectory::Find(const std::string& id) const {
  auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : &found->second.record;
}

bool EngineDirectory::IsListed(const EngineRecord& record) const {
  const EngineRecord* known = this->Find(record.id);
  return known != nullptr && known->born == record.born;
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

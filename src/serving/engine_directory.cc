// engine_directory.h tells the rules.

#include "serving/engine_directory.h"

namespace gullward {

void EngineDirectory::Update(const EngineRecord& record) {
  this->engines[record.id] = Entry{record, std::nullopt};
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

std::vector<EngineRecord> EngineDirectory::Listed() const {
  std::vector<EngineRecord> listed;
  for (const auto& [id, entry] : this->engines) listed.push_back(entry.record);
  return listed;
}

}  // namespace gullward

// See config_state.h for the rules.

#include "config/config_state.h"

#include <set>
#include <utility>

namespace gullward {
namespace {

// Stands for the file name in errors of records, which come from no file.
constexpr char kLogSource[] = "log";

ApplyResult Rejected(ResultCode code, std::vector<ConfigError> errors = {}) {
  ApplyResult result;
  result.code = code;
  result.errors = std::move(errors);
  return result;
}

}  // namespace

std::shared_ptr<const ConfigObject> ParseStoredObject(const ObjectName& id, int64_t version,
                                                      const std::string& body,
                                                      std::vector<ConfigError>* errors) {
  std::optional<toml::table> table = ParseToml(body, kLogSource, errors);
  if (!table) return nullptr;
  size_t errors_before = errors->size();
  ObjectSpec spec =
      ParseObject(id.kind, *table, kLogSource, id.kind + " " + id.name + ": ", errors);
  if (errors->size() > errors_before) return nullptr;
  return std::make_shared<const ConfigObject>(ConfigObject{id, version, body, std::move(spec)});
}

ApplyResult ConfigState::Apply(int64_t record_offset, const LogRecord& record) {
  ApplyResult result;
  if (record_offset <= this->last_offset) {
    result.ignored = true;
    return result;
  }
  if (const auto* change = std::get_if<ConfigChange>(&record)) {
    result = this->ApplyChange(record_offset, *change);
  } else if (!std::holds_alternative<ConfigSnapshot>(record)) {
    ++this->counts.unknown;
    result.code = ResultCode::kUnknownSchema;
  }
  this->last_offset = record_offset;
  return result;
}

ApplyResult ConfigState::ApplyChange(int64_t record_offset, const ConfigChange& change) {
  if (this->Conflicts(change)) {
    ++this->counts.conflicts;
    return Rejected(ResultCode::kConfigConflict);
  }
  std::vector<ConfigError> errors;
  std::map<ObjectName, ObjectPtr> changes;
  for (const ObjectChange& object : change.objects) {
    ObjectName id{object.kind, object.name};
    ObjectPtr replacement;
    if (!object.deleted) {
      replacement = ParseStoredObject(id, record_offset, object.body, &errors);
    }
    changes[id] = std::move(replacement);
  }
  if (errors.empty()) this->CheckReferences(changes, &errors);
  if (!errors.empty()) {
    ++this->counts.invalid;
    return Rejected(ResultCode::kConfigInvalid, std::move(errors));
  }
  for (const auto& [id, replacement] : changes) this->Replace(id, replacement);
  ++this->counts.accepted;
  return {};
}

bool ConfigState::Conflicts(const ConfigChange& change) const {
  std::set<ObjectName> seen;
  for (const ObjectChange& object : change.objects) {
    ObjectName id{object.kind, object.name};
    // One record cannot change an object twice.
    if (!seen.insert(id).second) return true;
    const ConfigObject* current = this->Find(id);
    int64_t version = current == nullptr ? -1 : current->version;
    if (object.based_on != version) return true;
  }
  return false;
}

void ConfigState::CheckReferences(const std::map<ObjectName, ObjectPtr>& changes,
                                  std::vector<ConfigError>* errors) const {
  auto exists = [&](const ObjectName& id) {
    auto changed = changes.find(id);
    if (changed != changes.end()) return changed->second != nullptr;
    return this->Find(id) != nullptr;
  };
  // By how much this change alters the number of references to each object.
  std::map<ObjectName, int64_t> differences;
  for (const auto& [id, replacement] : changes) {
    if (const ConfigObject* old = this->Find(id)) {
      for (const ObjectName& referenced : References(old->spec)) --differences[referenced];
    }
    if (replacement == nullptr) continue;
    for (const ObjectName& referenced : References(replacement->spec)) {
      ++differences[referenced];
      if (exists(referenced)) continue;
      errors->push_back({kLogSource, 0, id.kind + " " + id.name,
                         "refers to the " + referenced.kind + " \"" + referenced.name +
                             "\", which does not exist"});
    }
    const auto* account = std::get_if<AccountSpec>(&replacement->spec);
    const ConfigObject* holder =
        account == nullptr ? nullptr : this->AccountOfKey(account->key_sha256);
    bool is_key_taken = holder != nullptr && holder->id != id && changes.count(holder->id) == 0;
    if (is_key_taken) {
      errors->push_back({kLogSource, 0, id.kind + " " + id.name,
                         "has the key of the account \"" + holder->id.name + "\""});
    }
  }
  for (const auto& [id, replacement] : changes) {
    if (replacement != nullptr) continue;
    auto counted = this->reference_counts.find(id);
    int64_t count = counted == this->reference_counts.end() ? 0 : counted->second;
    auto difference = differences.find(id);
    if (difference != differences.end()) count += difference->second;
    if (count <= 0) continue;
    errors->push_back(
        {kLogSource, 0, id.kind + " " + id.name, "cannot be deleted: other objects refer to it"});
  }
}

bool ConfigState::Load(const ConfigSnapshot& snapshot) {
  if (snapshot.offset <= this->last_offset) return false;
  std::vector<ConfigError> errors;
  std::map<ObjectName, ObjectPtr> loaded;
  for (const SnapshotObject& object : snapshot.objects) {
    ObjectName id{object.kind, object.name};
    ObjectPtr parsed = ParseStoredObject(id, object.version, object.body, &errors);
    if (parsed != nullptr) loaded[id] = std::move(parsed);
  }
  if (!errors.empty()) {
    ++this->counts.invalid;
    return false;
  }
  this->objects.clear();
  this->reference_counts.clear();
  this->accounts_by_key.clear();
  for (const auto& [id, object] : loaded) this->Replace(id, object);
  this->last_offset = snapshot.offset;
  ++this->counts.snapshots;
  return true;
}

void ConfigState::Replace(const ObjectName& id, const ObjectPtr& replacement) {
  auto found = this->objects.find(id);
  if (found != this->objects.end()) {
    this->CountReferences(*found->second, -1);
    if (const auto* account = std::get_if<AccountSpec>(&found->second->spec)) {
      auto indexed = this->accounts_by_key.find(account->key_sha256);
      // Two accounts may swap keys in one change, so only the account's own entry is erased.
      if (indexed != this->accounts_by_key.end() && indexed->second->id == id) {
        this->accounts_by_key.erase(indexed);
      }
    }
    this->objects.erase(found);
  }
  if (replacement == nullptr) return;
  this->CountReferences(*replacement, +1);
  if (const auto* account = std::get_if<AccountSpec>(&replacement->spec)) {
    this->accounts_by_key[account->key_sha256] = replacement;
  }
  this->objects[id] = replacement;
}

void ConfigState::CountReferences(const ConfigObject& object, int64_t difference) {
  for (const ObjectName& referenced : References(object.spec)) {
    int64_t& count = this->reference_counts[referenced];
    count += difference;
    if (count == 0) this->reference_counts.erase(referenced);
  }
}

ConfigSnapshot ConfigState::Snapshot() const {
  ConfigSnapshot snapshot;
  snapshot.offset = this->last_offset;
  snapshot.objects.reserve(this->objects.size());
  for (const auto& [id, object] : this->objects) {
    snapshot.objects.push_back({id.kind, id.name, object->version, object->body});
  }
  return snapshot;
}

const ConfigObject* ConfigState::Find(const ObjectName& id) const {
  auto found = this->objects.find(id);
  return found == this->objects.end() ? nullptr : found->second.get();
}

std::vector<const ConfigObject*> ConfigState::All(const std::string& kind) const {
  std::vector<const ConfigObject*> all;
  for (auto it = this->objects.lower_bound({kind, ""}); it != this->objects.end(); ++it) {
    if (it->first.kind != kind) break;
    all.push_back(it->second.get());
  }
  return all;
}

const ConfigObject* ConfigState::AccountOfKey(const std::string& key_sha256) const {
  auto found = this->accounts_by_key.find(key_sha256);
  return found == this->accounts_by_key.end() ? nullptr : found->second.get();
}

const RoutingSpec& ConfigState::Routing() const {
  static const RoutingSpec* const built_in = new RoutingSpec;
  const RoutingSpec* spec = this->Get<RoutingSpec>("routing", "default");
  return spec == nullptr ? *built_in : *spec;
}

}  // namespace gullward

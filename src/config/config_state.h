// The configuration in force: what replaying the log's stream gives.
//
// Every process feeds the same records in the same order into a ConfigState and
// so holds the same configuration, without talking to any other.  A change names
// for each object the version that it replaces (the offset of the record that
// last wrote it).  If any of its objects has moved on meanwhile, the whole
// change is rejected, by every process alike: that is how races between
// operators are settled.  A change whose objects do not parse, that names an
// object that does not exist, or that deletes one still named, is rejected too.
//
//   ConfigState state;
//   ApplyResult result = state.Apply(offset, record);
//   const AccountSpec* account = state.AccountOfKey(sha256);
//
// Applying a change costs time for the objects it changes, not for all objects:
// references are counted and keys indexed as objects come and go.
//
// Offsets only rise: a record at or below the offset in force is ignored, so a
// peer with an older copy cannot take the configuration back.

#ifndef GULLWARD_CONFIG_CONFIG_STATE_H_
#define GULLWARD_CONFIG_CONFIG_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/result_code.h"
#include "config/objects.h"
#include "wire/log_records.h"

namespace gullward {

// An object in force.  version is the offset of the record that wrote it.
struct ConfigObject {
  ObjectName id;
  int64_t version = -1;
  std::string body;
  ObjectSpec spec;

  bool operator==(const ConfigObject&) const = default;
};

// What became of one record.
struct ApplyResult {
  // kOk, kConfigConflict, kConfigInvalid or kUnknownSchema.
  ResultCode code = ResultCode::kOk;
  // Whether the record was at or below the offset in force and was ignored.
  bool ignored = false;
  std::vector<ConfigError> errors;
};

// Counts of records by what became of them.
struct ConfigCounters {
  uint64_t accepted = 0;
  uint64_t conflicts = 0;
  uint64_t invalid = 0;
  uint64_t unknown = 0;
  uint64_t snapshots = 0;

  bool operator==(const ConfigCounters&) const = default;
};

class ConfigState {
 public:
  // Applies the record that the log holds at `offset`.  Offsets must come one
  // by one; a snapshot among them changes nothing, since it repeats its prefix.
  ApplyResult Apply(int64_t offset, const LogRecord& record);

  // Takes over a snapshot that is newer than what is in force; records after
  // the snapshot's own offset are applied next.  Returns whether it was taken.
  bool Load(const ConfigSnapshot& snapshot);

  // The offset of the last record applied, accepted or not; -1 for none.
  int64_t offset() const { return this->last_offset; }

  // Everything in force, as a record for the log or for a peer.
  ConfigSnapshot Snapshot() const;

  // The object, or null.
  const ConfigObject* Find(const ObjectName& id) const;

  // All objects of a kind, by name.
  std::vector<const ConfigObject*> All(const std::string& kind) const;

  // Number of objects of all kinds.
  size_t size() const { return this->objects.size(); }

  // The typed body of an object, or null.
  template <typename Spec>
  const Spec* Get(const std::string& kind, const std::string& name) const {
    const ConfigObject* object = this->Find({kind, name});
    return object == nullptr ? nullptr : std::get_if<Spec>(&object->spec);
  }

  // The account with this hash of an API key, or null.
  const ConfigObject* AccountOfKey(const std::string& key_sha256) const;

  // The routing object "default", or the built-in one.
  const RoutingSpec& Routing() const;

  const ConfigCounters& counters() const { return this->counts; }

 private:
  using ObjectPtr = std::shared_ptr<const ConfigObject>;

  ApplyResult ApplyChange(int64_t record_offset, const ConfigChange& change);
  bool Conflicts(const ConfigChange& change) const;
  void CheckReferences(const std::map<ObjectName, ObjectPtr>& changes,
                       std::vector<ConfigError>* errors) const;
  void Replace(const ObjectName& id, const ObjectPtr& replacement);
  void CountReferences(const ConfigObject& object, int64_t difference);

  int64_t last_offset = -1;
  std::map<ObjectName, ObjectPtr> objects;
  // How many objects name this one.
  std::map<ObjectName, int64_t> reference_counts;
  std::unordered_map<std::string, ObjectPtr> accounts_by_key;
  ConfigCounters counts;
};

// Reads one object's body (TOML text) as it stands in a record.
std::shared_ptr<const ConfigObject> ParseStoredObject(const ObjectName& id, int64_t version,
                                                      const std::string& body,
                                                      std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_STATE_H_

// The configuration in force, which results from replaying the configuration stream of the log.
//
// Each process applies the same records in the same order to a ConfigState and so holds the same
// configuration, without communication.  A change states for each object the version that it
// replaces: the offset of the record that last wrote the object.  If any of the objects has another
// version by now, all processes reject the whole change.  This resolves races between operators.  A
// change is also rejected if one of its objects does not parse or refers to an object that does not
// exist, or if it deletes an object to which others refer.
//
//   ConfigState state;
//   ApplyResult result = state.Apply(offset, record);
//   const AccountSpec* account = state.AccountOfKey(sha256);
//
// The time to apply a change depends on the number of objects in it, not on the size of the
// configuration: reference counts and an index of API keys are updated with each object.
//
// Offsets only increase.  A record at or below the current offset is ignored, so a peer with an
// older configuration cannot revert a newer one.

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

// An object in force.
struct ConfigObject {
  ObjectName id;
  // Offset of the record that wrote the object.
  int64_t version = -1;
  // TOML text of the object.
  std::string body;
  ObjectSpec spec;

  bool operator==(const ConfigObject&) const = default;
};

// The result of applying one record.
struct ApplyResult {
  // kOk, kConfigConflict, kConfigInvalid or kUnknownSchema.
  ResultCode code = ResultCode::kOk;
  // Whether the record was ignored because its offset was not above the current one.
  bool ignored = false;
  std::vector<ConfigError> errors;
};

// Counts of records by result.
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
  // Applies the record that the log holds at `offset`.  Offsets must be consecutive.  A snapshot
  // changes nothing, since it repeats the records before it.
  ApplyResult Apply(int64_t offset, const LogRecord& record);

  // Replaces the configuration by a newer snapshot.  The record after the snapshot's offset is to
  // be applied next.  Returns false, and changes nothing, if the snapshot is not newer or does not
  // parse.
  bool Load(const ConfigSnapshot& snapshot);

  // The offset of the last record applied, accepted or not; -1 if there was none.
  int64_t offset() const { return this->last_offset; }

  // Returns the whole configuration as a record for the log or for a peer.
  ConfigSnapshot Snapshot() const;

  // Returns the object, or null if it does not exist.
  const ConfigObject* Find(const ObjectName& id) const;

  // Returns all objects of a kind, ordered by name.
  std::vector<const ConfigObject*> All(const std::string& kind) const;

  // The number of objects of all kinds.
  size_t size() const { return this->objects.size(); }

  // Returns the typed content of an object, or null if there is no such object of that type.
  template <typename Spec>
  const Spec* Get(const std::string& kind, const std::string& name) const {
    const ConfigObject* object = this->Find({kind, name});
    return object == nullptr ? nullptr : std::get_if<Spec>(&object->spec);
  }

  // Returns the account whose API key has this SHA-256 hash, or null.
  const ConfigObject* AccountOfKey(const std::string& key_sha256) const;

  // Returns the routing object "default", or the built-in defaults if it does not exist.
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
  // The number of objects that refer to each object.
  std::map<ObjectName, int64_t> reference_counts;
  std::unordered_map<std::string, ObjectPtr> accounts_by_key;
  ConfigCounters counts;
};

// Parses an object's body, the TOML text of a record.  Returns null and appends to `errors` if it
// is invalid.
std::shared_ptr<const ConfigObject> ParseStoredObject(const ObjectName& id, int64_t version,
                                                      const std::string& body,
                                                      std::vector<ConfigError>* errors);

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_STATE_H_

// The engines that the platform lists, and which of them may get work.
//
// The list comes as whole pages at first and as single changes afterwards.  An
// engine that says it is leaving gets nothing new from that moment.  One that
// drops off the list is gone too, except right after the list itself was out of
// reach: then entries of living engines lapse and come back a moment later, so
// an engine is kept that long on its old record.
//
//   EngineDirectory directory;
//   directory.Update(record);
//   directory.Remove(id, now, KeepUntil(list_regained_at));
//   for (const EngineRecord* engine : directory.Usable("pool", now)) ...

#ifndef GULLWARD_SERVING_ENGINE_DIRECTORY_H_
#define GULLWARD_SERVING_ENGINE_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/socket_address.h"

namespace gullward {

// One life of one engine; a restart has a new id.
struct EngineRecord {
  std::string id;
  std::string service;
  SocketAddress address;
  std::string data_centre;
  int slots = 1;
  // It is leaving and takes no new work.
  bool draining = false;

  bool operator==(const EngineRecord&) const = default;
};

class EngineDirectory {
 public:
  // How long after the list's return an engine that lapsed meanwhile is kept.  The
  // platform says that the living are back in about two seconds; an engine that
  // really left must be left alone two seconds after the list said so, and both
  // the list's return and its word reach us late by a few tenths.
  static constexpr Duration kLapseGrace = milliseconds(1400);

  // Until when removals that are read after the list's return are not believed.
  static Time KeepUntil(Time list_regained_at) { return list_regained_at + kLapseGrace; }

  void Update(const EngineRecord& record);
  // Removes an engine, at `keep_until` if that is later than now.
  void Remove(const std::string& id, Time now, Time keep_until);

  // Takes a whole list: what is not on it is removed.
  void Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until);

  // An engine that is not what its address once was: gone at once.
  void Forget(const std::string& id) { this->engines.erase(id); }

  // The engines of a service that may get new work.
  std::vector<const EngineRecord*> Usable(const std::string& service, Time now);

  const EngineRecord* Find(const std::string& id) const;

  // All that are listed, in the order of their ids.
  std::vector<EngineRecord> Listed() const;

  size_t size() const { return this->engines.size(); }

 private:
  struct Entry {
    EngineRecord record;
    // Set while the engine is missing from the list: when it counts as gone.
    std::optional<Time> gone_at;
  };

  std::map<std::string, Entry> engines;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_DIRECTORY_H_

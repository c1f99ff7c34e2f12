// Holds the engines that the platform lists, and which of them may get work.
//
// The list arrives first as whole pages and then as single changes.
//
//   - An engine whose entry says that it is leaving (`draining`) gets no new work from then on,
//     even if its entry lapses and returns without that flag.
//   - An engine that drops off the list is removed at once, except shortly after the list itself
//     was unreachable: then entries of running engines lapse and return a moment later, so such
//     an engine is kept on its last record until KeepUntil.
//   - After the store has returned from an older copy (serving/store_epoch.h), the list may be
//     older than this directory.  Until the engines have written their entries again,
//     incarnations that have left stay removed and engines missing from the list are kept.
//   - The engines of a data centre that the operator evacuates stay listed and get no new work.
//   - An engine may start again under its id.  A later incarnation replaces an earlier one, never
//     the reverse, although the list and its copy may be read in any order.
//
//   EngineDirectory directory;
//   directory.Update(record);
//   directory.Remove(id, now, KeepUntil(list_regained_at));
//   for (const EngineRecord* engine : directory.Usable("pool", now)) ...

#ifndef GULLWARD_SERVING_ENGINE_DIRECTORY_H_
#define GULLWARD_SERVING_ENGINE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/departed_engines.h"
#include "transport/socket_address.h"

namespace gullward {

// One incarnation of an engine: the time from one start of its process to its end.
struct EngineRecord {
  // Names the engine.  An engine that starts again keeps its id.
  std::string id;
  std::string service;
  SocketAddress address;
  std::string data_centre;
  // Requests that the engine runs at a time.
  int slots = 1;
  // The engine is leaving and takes no new work.
  bool draining = false;
  // When this incarnation started, in milliseconds of Unix time by the engine's own clock; 0 if
  // not stated.  Used only to compare incarnations of one id: the later one has the higher value.
  int64_t started_at_ms = 0;

  // The unique name of this incarnation.  All state about an engine (work, health, connections,
  // reports of peers) is keyed by this name, so that a late message about an earlier incarnation
  // does not affect the next one.
  std::string Incarnation() const;

  bool operator==(const EngineRecord&) const = default;
};

class EngineDirectory {
 public:
  // How long after the list's return an engine that lapsed in the meantime is kept.  By the
  // platform's statement running engines are listed again within about two seconds.  An engine
  // that really left must get no work two seconds after the list said so, and both the list's
  // return and the removal arrive here a few tenths of a second late.
  static constexpr Duration kLapseGrace = milliseconds(1400);

  // The time until which removals that are read after the list's return are not applied.
  static Time KeepUntil(Time list_regained_at) { return list_regained_at + kLapseGrace; }

  // Adds or replaces one entry.  An entry of an earlier incarnation than the stored one is
  // ignored, as is one that would undo the leaving of its incarnation.
  void Update(const EngineRecord& record);
  // Removes an engine now, or at `keep_until` if that is later and the engine is not draining.
  void Remove(const std::string& id, Time now, Time keep_until);

  // Takes a whole list: updates what is on it and removes what is not, as Update and Remove do.
  void Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until);

  // Takes a whole list that may be from an older copy, to which the store has returned.  From
  // `settled_at` on, the engines have written their current entries again.
  void ReplaceFromStaleList(const std::vector<EngineRecord>& records, Time now, Time settled_at);

  // Removes an incarnation that was found not to be at its address any more.  A later
  // incarnation of the same id stays.
  void RemoveIncarnation(const EngineRecord& record);

  // Removes the engines that are missing from the list and whose grace is over.  Adds the
  // departed incarnations that a stale list had and that are still listed when it has settled.
  void Expire(Time now);

  // Sets the data centres whose engines get no new work.
  void SetEvacuated(std::set<std::string> data_centres);
  // Number of engines in a data centre, whether or not they may get work.
  size_t CountIn(const std::string& data_centre) const;
  // Whether an engine of the service gets no new work only because its data centre is evacuated.
  bool HasEvacuated(const std::string& service) const;

  // Whether the engine may get new work: it is neither leaving nor in an evacuated data centre.
  bool IsUsable(const EngineRecord& record) const {
    return !record.draining && this->evacuated.count(record.data_centre) == 0;
  }

  // All engines that may get new work, ordered by id.
  std::vector<const EngineRecord*> Usable() const;
  // The same for one service, after Expire(now).
  std::vector<const EngineRecord*> Usable(const std::string& service, Time now);

  // Increases with every change of the engines.
  uint64_t revision() const { return this->changes; }

  const EngineRecord* Find(const std::string& id) const;
  // The record whose Incarnation() is `incarnation`, or null.
  const EngineRecord* FindIncarnation(const std::string& incarnation) const;

  // Whether the stored record of this id is of this incarnation.
  bool IsListed(const EngineRecord& record) const;

  // The names of all stored incarnations.
  std::set<std::string> Incarnations() const;

  // All engines, ordered by id.
  std::vector<EngineRecord> Listed() const;

  size_t size() const { return this->engines.size(); }

 private:
  void RemoveMissing(const std::vector<EngineRecord>& listed, Time now, Time keep_until);
  void AddUnconfirmed(Time now);

  struct Entry {
    EngineRecord record;
    // When the engine is removed; set while it is missing from the list.
    std::optional<Time> remove_at;
  };

  std::map<std::string, Entry> engines;
  std::set<std::string> evacuated;
  DepartedEngines departed;
  // Incarnations that the list has said to be leaving.
  DepartedEngines announced;
  // Departed incarnations that a stale list had, by id.  Those that are left at
  // `unconfirmed_until` are added to the engines.
  std::map<std::string, EngineRecord> unconfirmed;
  Time unconfirmed_until{};
  uint64_t changes = 0;
  // The earliest remove_at of all entries; Time::max() if there is none.
  Time next_removal = Time::max();
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_DIRECTORY_H_

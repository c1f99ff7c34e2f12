// The engines that the platform lists, and which of them may get work.
//
// The list comes as whole pages at first and as single changes afterwards.  An
// engine that says it is leaving gets nothing new from that moment, also where its entry lapses
// and comes back without that word.  One that
// drops off the list is gone too, except right after the list itself was out of
// reach: then entries of living engines lapse and come back a moment later, so
// an engine is kept that long on its old record.
//
// After the store's return from an older copy the list is older than what is known
// (serving/store_epoch.h): lives that have left stay away, and engines that it lacks are kept,
// until the engines have written again.
//
// An engine may start again under its id.  The later life replaces the earlier one
// whole, and never the other way round, though the list and its copy may be read in
// any order.
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

// One life of one engine.
struct EngineRecord {
  // Names the engine; it may start again under the same one.
  std::string id;
  std::string service;
  SocketAddress address;
  std::string data_centre;
  int slots = 1;
  // It is leaving and takes no new work.
  bool draining = false;
  // When this life began, in milliseconds of Unix time by the engine's own clock: only
  // good for telling two lives of one id apart, the later one having more.  0: not said.
  int64_t started_at_ms = 0;

  // Names this life alone.  All that is believed of an engine or kept for it (work,
  // health, connections, the words of peers) is kept under this, so that what is said
  // of an earlier life, however late, changes nothing of the next one.
  std::string Incarnation() const;

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

  // Takes one entry.  One of an earlier life than the known one is dropped, as is one that
  // would undo the leaving of its life.
  void Update(const EngineRecord& record);
  // Removes an engine, at `keep_until` if that is later than now.
  void Remove(const std::string& id, Time now, Time keep_until);

  // Takes a whole list: what is not on it is removed.
  void Replace(const std::vector<EngineRecord>& records, Time now, Time keep_until);

  // Takes a whole list of which it is not known whether it is as old as a copy from which the
  // store has returned.  At `settled_at` what it says will have been put right.
  void ReplaceFromStaleList(const std::vector<EngineRecord>& records, Time now, Time settled_at);

  // A life that is not what its address once was: gone at once.  A later life of the
  // same id stays.
  void RemoveIncarnation(const EngineRecord& record);

  // Drops the engines that are missing from the list and whose time has come, and takes those
  // that an older list had, that had left before, and that are listed still.
  void Expire(Time now);

  // All that may get new work, in the order of their ids.
  std::vector<const EngineRecord*> Usable() const;
  // Those of one service, as of now.
  std::vector<const EngineRecord*> Usable(const std::string& service, Time now);

  // Rises with every change of what may get work.
  uint64_t revision() const { return this->changes; }

  const EngineRecord* Find(const std::string& id) const;
  // The life of that name (EngineRecord::Incarnation), if it is the one that is known.
  const EngineRecord* FindIncarnation(const std::string& incarnation) const;

  // Whether this very life is the one that is known.
  bool IsListed(const EngineRecord& record) const;

  // The names of all lives that are known.
  std::set<std::string> Incarnations() const;

  // All that are listed, in the order of their ids.
  std::vector<EngineRecord> Listed() const;

  size_t size() const { return this->engines.size(); }

 private:
  void RemoveMissing(const std::vector<EngineRecord>& listed, Time now, Time keep_until);
  void TakeDoubted(Time now);

  struct Entry {
    EngineRecord record;
    // Set while the engine is missing from the list: when it counts as gone.
    std::optional<Time> gone_at;
  };

  std::map<std::string, Entry> engines;
  DepartedEngines departures;
  // Lives that the list has said to be leaving.
  DepartedEngines announced;
  // Lives on an older list that had left, by id, and when they are believed after all.
  std::map<std::string, EngineRecord> doubted;
  Time doubted_until{};
  uint64_t changes = 0;
  // When the next engine that is missing from the list counts as gone; never: the end of
  // time.
  Time next_gone = Time::max();
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_DIRECTORY_H_

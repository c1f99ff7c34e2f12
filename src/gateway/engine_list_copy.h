// A copy of the engines' list in a topic of our own.
//
// The platform's store may turn away the reads of one topic and serve another.  A
// gateway that starts in such a time knows the configuration but no engine, and would
// refuse every request until the list can be read.  So the gateways keep the list a
// second time (serving/copy_schedule.h tells who writes and when), and one that cannot
// read the list at its start reads the copy.  The list replaces it as soon as it comes.
//
// A list of more than kEnginesInPart engines takes several records, since the store
// bounds a record's size.
//
// A gateway reads the copy first, since it takes a third of the list's bytes: where 300
// start at once beside 3,000 engines, the lists are 390 MB and the copies 120 MB.
//
//   EngineListCopy copy(&loop, store, &recovery, &log, seed, hooks);
//   copy.NoteList(engines, now);      // after each change of the list
//   copy.Tick(now);                   // a few times a second
//   copy.Read();                      // the list cannot be read
//
// It costs the fleet a call of the store for each change of the list, at most about one every
// two seconds.

#ifndef GULLWARD_GATEWAY_ENGINE_LIST_COPY_H_
#define GULLWARD_GATEWAY_ENGINE_LIST_COPY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "process/event_log.h"
#include "serving/copy_schedule.h"
#include "serving/engine_directory.h"

namespace gullward {

class EngineListCopy {
 public:
  // An entry takes 100 bytes, and a record 256 KiB at most.
  static constexpr size_t kEnginesPerPart = 1000;

  struct Hooks {
    // Whether the engines are unknown, so that the copy is wanted.
    std::function<bool()> is_needed;
    // What the copy holds.
    std::function<void(const std::vector<EngineRecord>&)> use;
    // The first reading has ended, with the copy or without.
    std::function<void()> first_read_done;
  };

  EngineListCopy(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                 EventLog* event_log, uint64_t seed, Hooks copy_hooks);

  // The list as it is now.
  void SetList(std::vector<EngineRecord> engines, Time now);
  // The store has returned without what was written lately; it is written again.
  void OnStoreReturn() {
    this->schedule.NoteStoreReturn(this->recovery->returns().epoch().settled_at());
  }
  // A peer's word on the content of the copy.
  void OnPeerCopy(const CopyVersion& mark, Time now) { this->schedule.NoteCopy(mark, now); }
  // What we tell peers of it.
  const CopyVersion& copied() const { return this->schedule.copy(); }
  // How many gateways tell each other of it.
  void SetGateways(size_t count) { this->schedule.SetGateways(count); }

  // Writes the copy when that is due.
  void Tick(Time now);

  // Reads the copy, again and again while it is wanted and does not come.
  void Read();

  uint64_t store_calls() const { return this->client.calls(); }

 private:
  void WriteNext();
  void OnPage(const StoreAnswer& answer);
  void ReadAfter(const std::string& key);
  void RetryRead();
  void ReportFirstRead();

  StoreClient client;
  StoreRecovery* recovery;
  EventLog* log;
  CopySchedule schedule;
  Hooks hooks;
  std::vector<EngineRecord> list;
  // Records that are still to be written, by key.
  std::map<std::string, std::string> unwritten;
  size_t parts_written = 0;
  bool is_busy = false;
  bool first_read_reported = false;
  std::vector<EngineRecord> found;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_LIST_COPY_H_

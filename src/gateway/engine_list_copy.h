// Keeps a copy of the engine list in a topic that the gateways write.
//
// The platform's store may refuse reads of one topic and serve another.  A gateway that starts
// at that time has the configuration but no engines, and would refuse every request until the
// list can be read.  Therefore the gateways store the list a second time
// (serving/copy_schedule.h decides which gateway writes, and when), and a starting gateway uses
// the copy until it has read the list.
//
// A starting gateway always reads the copy first, because the copy has a third of the list's
// bytes: for 300 gateways that start together beside 3,000 engines, the reads of the list total
// 390 MB and the reads of the copy 120 MB.
//
// The store bounds the size of a record, so a list of more than kEnginesPerPart engines takes
// several records.
//
//   EngineListCopy copy(&loop, store, &recovery, &log, seed, hooks);
//   copy.SetList(engines, now);       // after each change of the list
//   copy.Tick(now);                   // a few times a second
//   copy.Read();                      // when the list cannot be read
//
// The copy costs the whole fleet one store call per record for each change of the list, at most
// once in about two seconds.

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
  // The maximum number of engines in one record.  An engine takes 100 bytes, and a record may
  // have 256 KiB.
  static constexpr size_t kEnginesPerPart = 1000;

  struct Hooks {
    // Returns whether the engines are still unknown, so that the copy is needed.
    std::function<bool()> is_needed;
    // Called with the engines of the copy.
    std::function<void(const std::vector<EngineRecord>&)> use;
    // Called when the first read has ended, successfully or not.
    std::function<void()> first_read_done;
  };

  EngineListCopy(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                 EventLog* event_log, uint64_t seed, Hooks copy_hooks);

  // Sets the current engine list.
  void SetList(std::vector<EngineRecord> engines, Time now);
  // Handles the store's return from an older copy: the list is written again.
  void OnStoreReturn() {
    this->schedule.NoteStoreReturn(this->recovery->returns().epoch().settled_at());
  }
  // Handles a peer's report of the version of the copy.
  void OnPeerCopy(const CopyVersion& version, Time now) { this->schedule.NoteCopy(version, now); }
  // The version of the copy to report to peers.
  const CopyVersion& copied() const { return this->schedule.copy(); }
  // Sets the number of gateways that report the version of the copy to each other.
  void SetGateways(size_t count) { this->schedule.SetGateways(count); }

  // Writes the copy if that is due.
  void Tick(Time now);

  // Reads the copy, and retries while it is needed and the read fails.
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
  // The records that remain to be written, by key.
  std::map<std::string, std::string> unwritten;
  size_t parts_written = 0;
  bool is_busy = false;
  bool first_read_reported = false;
  std::vector<EngineRecord> found;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_LIST_COPY_H_

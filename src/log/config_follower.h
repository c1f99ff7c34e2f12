// Feeds a ConfigFeed from the log and from peers.
//
// Entries read the log all the time by long polling; there are few of them.
// Endpoint processes are many, so they read it themselves only while no entry
// has spoken to them for a while, and else learn from the offset in the entries'
// heartbeats that they are behind, and fetch what they lack from that entry.
//
//   ConfigFollower follower(&loop, &log, options, [&] { core.OnConfigChanged(); });
//   follower.Start();
//   follower.OnPeerOffset(heartbeat.config_offset, send_to_that_peer);
//   follower.OnPeerRecords(records);
//
// A snapshot is appended when the newest one has grown old.  Any process may do
// it; each waits a random while first and looks again, so usually one does.

#ifndef GULLWARD_LOG_CONFIG_FOLLOWER_H_
#define GULLWARD_LOG_CONFIG_FOLLOWER_H_

#include <functional>
#include <random>

#include "config/config_feed.h"
#include "log/log_client.h"
#include "transport/event_loop.h"

namespace gullward {

struct ConfigFollowerOptions {
  // Whether to read the log even while peers feed this process.
  bool always_read = true;
  // Whether this process cuts snapshots.
  bool cut_snapshots = true;
  int64_t snapshot_records = kSnapshotEveryRecords;
  uint64_t seed = 1;
};

class ConfigFollower {
 public:
  // `changed` runs whenever the offset in force has moved.
  ConfigFollower(EventLoop* loop, LogClient* log, const ConfigFollowerOptions& options,
                 std::function<void()> changed);

  // Begins to read the log.
  void Start();

  // A peer said what it holds; `send` sends it a message.
  void OnPeerOffset(int64_t offset, const std::function<void(const Message&)>& send);

  // A peer sent what we lacked.
  void OnPeerRecords(const ConfigRecords& records);

  const ConfigFeed& feed() const { return this->config; }
  const ConfigState& state() const { return this->config.state(); }

  // Whether the last read of the log was answered.
  bool log_reachable() const { return this->reachable; }

 private:
  void ReadOnce();
  void AfterRead(const LogRead& read);
  void NoteMoved(int64_t offset_before);
  void MaybeCutSnapshot();

  EventLoop* loop;
  LogClient* log;
  ConfigFollowerOptions options;
  std::function<void()> changed;
  ConfigFeed config;
  bool reachable = false;
  bool snapshot_planned = false;
  Time fed_at;
  Time fetched_at;
  std::mt19937_64 random;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_CONFIG_FOLLOWER_H_

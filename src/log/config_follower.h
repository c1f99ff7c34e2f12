// Reads configuration records from the log and from peers into a ConfigFeed.
//
// Entries are few, so they read the log continuously by long polling.  Endpoint processes are many,
// so they read the log only if no entry has sent them a heartbeat for some time.  Otherwise the
// offset in an entry's heartbeat shows an endpoint process that it is behind, and it fetches the
// missing records from that entry.
//
//   ConfigFollower follower(&loop, &log, options, [&] { core.OnConfigChanged(); });
//   follower.Start();
//   follower.OnPeerOffset(heartbeat.config_offset, send_to_that_peer);
//   follower.OnPeerRecords(records);
//
// A snapshot is appended to the log when the newest one is old enough.  Any process with
// `write_snapshots` may append it.  Each waits for a random delay and checks again, so usually only
// one of them appends a snapshot.

#ifndef GULLWARD_LOG_CONFIG_FOLLOWER_H_
#define GULLWARD_LOG_CONFIG_FOLLOWER_H_

#include <functional>
#include <random>

#include "config/config_feed.h"
#include "log/log_client.h"
#include "transport/event_loop.h"

namespace gullward {

struct ConfigFollowerOptions {
  // Whether to read the log even while peers send offsets.
  bool always_read = true;
  // Whether this process appends snapshots.
  bool write_snapshots = true;
  // Number of records after which a snapshot is due.
  int64_t snapshot_records = kSnapshotEveryRecords;
  // Seed of the random delay before a snapshot.
  uint64_t seed = 1;
};

class ConfigFollower {
 public:
  // `changed` runs whenever the offset of the configuration in force has changed.
  ConfigFollower(EventLoop* loop, LogClient* log, const ConfigFollowerOptions& options,
                 std::function<void()> changed);

  // Starts to read the log.
  void Start();

  // A peer has reported the offset of its configuration.  Fetches the missing records with `send`,
  // which must send a message to this peer.
  void OnPeerOffset(int64_t offset, const std::function<void(const Message&)>& send);

  // A peer has sent records that this process lacks.
  void OnPeerRecords(const ConfigRecords& records);

  const ConfigFeed& feed() const { return this->config; }
  const ConfigState& state() const { return this->config.state(); }

  // Whether the last read of the log was answered.
  bool log_reachable() const { return this->reachable; }

 private:
  void ReadOnce();
  void AfterRead(const LogRead& read);
  // Reports the change if the offset differs from `offset_before`.
  void NoteOffset(int64_t offset_before);
  void MaybeAppendSnapshot();

  EventLoop* loop;
  LogClient* log;
  ConfigFollowerOptions options;
  std::function<void()> changed;
  ConfigFeed config;
  bool reachable = false;
  bool snapshot_planned = false;
  // When a peer last reported its offset, and when records were last fetched from a peer.
  Time last_peer_report;
  Time last_fetch;
  std::mt19937_64 random;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_CONFIG_FOLLOWER_H_

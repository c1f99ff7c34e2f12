// Keeps a process's configuration up to date from the log and from its peers.
//
// A process reads records from the log, and it can fetch missing records from a peer with a newer
// configuration, which is the only source while the log is unreachable.  ConfigFeed accepts
// records from both sources, in any order and repeatedly, and only ever moves its ConfigState
// forward:
//
//   ConfigFeed feed;
//   feed.ApplyLogRecords(earliest, records);     // after each read of the log
//   feed.ApplyPeerRecords(records);              // after a ConfigRecords message
//   int64_t next = feed.next_offset();          // read the log from here
//   ConfigRecords answer = feed.RecordsAfter(fetch.after);
//
// The log keeps records for a limited time.  If the next record needed has been trimmed, the feed
// buffers the records that it reads until it finds a snapshot whose successor can still be read,
// loads the snapshot and replays the buffer.  A snapshot depends only on the records before it, so
// all processes write equal snapshots and any number of them does no harm.  Any process writes one
// when the last snapshot is old enough (IsSnapshotDue).
//
// Memory: the configuration, kKeptRecords recent records and, while catching up, the records of
// the log up to its next snapshot.

#ifndef GULLWARD_CONFIG_CONFIG_FEED_H_
#define GULLWARD_CONFIG_CONFIG_FEED_H_

#include <deque>
#include <functional>
#include <vector>

#include "base/clock.h"
#include "config/config_state.h"
#include "wire/messages.h"

namespace gullward {

// Recent records kept for peers.  A peer that lacks older records gets a snapshot.
inline constexpr size_t kKeptRecords = 256;

// Number of records after which a new snapshot is due.
inline constexpr int64_t kSnapshotEveryRecords = 1000;

class ConfigFeed {
 public:
  // Called for each record that is applied, accepted or not.
  using AppliedHook =
      std::function<void(int64_t offset, const LogRecord& record, const ApplyResult& result)>;

  explicit ConfigFeed(AppliedHook applied = nullptr);

  // Applies records that were read from the log.  `earliest` is the lowest offset that the log
  // still holds.
  void ApplyLogRecords(int64_t earliest, const std::vector<OffsetRecord>& records);

  // Applies records that a peer sent: consecutive records, possibly with a snapshot before them.
  void ApplyPeerRecords(const std::vector<OffsetRecord>& records);

  // Returns the records of this process that a peer lacks whose last offset is `after`: the
  // records themselves, or a snapshot if they are not kept any more.  Empty if the peer is not
  // behind.
  ConfigRecords RecordsAfter(int64_t after) const;

  // Returns the offset from which the log is to be read next.
  int64_t next_offset() const;

  // Records that another process holds the configuration up to `offset`.
  void ObserveOffset(int64_t offset, Time now);

  // The highest offset that another process is known to hold; -1 if none is known.
  int64_t highest_known_offset() const { return this->known_offset; }

  // Whether requests may be served: there is a configuration, and it has not been behind the
  // highest known offset for `max_lag` or longer.
  bool IsReady(Time now, Duration max_lag) const;

  // Whether a snapshot should be written now: the newest one is `max_records` or more records old.
  bool IsSnapshotDue(int64_t max_records) const;

  const ConfigState& state() const { return this->config; }

 private:
  void ApplyRecord(const OffsetRecord& record);
  void BufferRecord(const OffsetRecord& record);
  // Applies the buffered records if no record before them is missing.
  void ReplayBuffer();

  AppliedHook applied;
  ConfigState config;
  // The last kKeptRecords records applied, for peers.
  std::deque<OffsetRecord> recent;
  // Consecutive records read after a gap, kept until a snapshot covers the gap.
  std::vector<OffsetRecord> buffered;
  // Offset that the newest known snapshot covers.
  int64_t newest_snapshot = -1;
  int64_t known_offset = -1;
  // When this process last fell behind `known_offset`.
  Time behind_since;
};

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_FEED_H_

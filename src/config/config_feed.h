// Keeps a process's configuration up to date from the log and from its peers.
//
// Records reach a process from two sides: it reads the log itself, and a peer
// that is further ahead can hand it what it lacks, which is all there is while
// the log is out.  ConfigFeed takes both, in any order and any number of times,
// and lets the ConfigState only move forward:
//
//   ConfigFeed feed;
//   feed.ApplyLogRecords(earliest, records);     // after each read of the log
//   feed.ApplyPeerRecords(records);              // after a ConfigRecords message
//   int64_t next = feed.next_offset();          // where to read the log from
//   ConfigRecords answer = feed.RecordsAfter(fetch.after);
//
// The log keeps records for a limited time.  Where the next record needed has
// been trimmed, the feed buffers what it reads until it meets a snapshot whose
// successor can still be read, loads that, and replays what it buffered.  A
// snapshot is a pure function of its prefix, so whose snapshot it is does not
// matter, nor how many there are; any process cuts one when the last has grown
// old (IsSnapshotDue).
//
// Memory: the configuration, kKeptRecords recent records, and, while catching
// up, what the log holds up to its next snapshot.

#ifndef GULLWARD_CONFIG_CONFIG_FEED_H_
#define GULLWARD_CONFIG_CONFIG_FEED_H_

#include <deque>
#include <functional>
#include <vector>

#include "base/clock.h"
#include "config/config_state.h"
#include "wire/messages.h"

namespace gullward {

// Recent records kept to hand on to peers; one further behind gets a snapshot.
inline constexpr size_t kKeptRecords = 256;

// Records after which a new snapshot is due, whatever the time.
inline constexpr int64_t kSnapshotEveryRecords = 1000;

class ConfigFeed {
 public:
  // Called for every record that is applied, with its outcome.
  using AppliedHook =
      std::function<void(int64_t offset, const LogRecord& record, const ApplyResult& result)>;

  explicit ConfigFeed(AppliedHook applied = nullptr);

  // Takes records just read from the log.  `earliest` is the lowest offset that
  // the log still holds.
  void ApplyLogRecords(int64_t earliest, const std::vector<OffsetRecord>& records);

  // Takes records that a peer sent: perhaps a snapshot, then its successors.
  void ApplyPeerRecords(const std::vector<OffsetRecord>& records);

  // What a peer that holds everything up to `after` lacks, as far as this
  // process knows.  Empty where the peer is not behind.
  ConfigRecords RecordsAfter(int64_t after) const;

  // The offset from which the log is to be read next.
  int64_t next_offset() const;

  // Notes that some process holds the configuration up to `offset`.
  void ObserveOffset(int64_t offset, Time now);

  // The highest offset heard of, and since when this process has been behind.
  int64_t highest_known_offset() const { return this->heard; }

  // Whether requests may be served: there is a configuration, and it is not
  // behind an offset heard of for longer than `patience`.
  bool IsReady(Time now, Duration patience) const;

  // Whether a snapshot should be cut now: the newest one is `max_records` or
  // more records old.
  bool IsSnapshotDue(int64_t max_records) const;

  const ConfigState& state() const { return this->config; }

 private:
  void ApplyRecord(const OffsetRecord& record);
  void BufferRecord(const OffsetRecord& record);
  // Applies what was buffered once nothing is missing in front of it.
  void ReplayBuffer();

  AppliedHook applied;
  ConfigState config;
  std::deque<OffsetRecord> recent;
  // Records read beyond a gap, waiting for a snapshot that bridges it.
  std::vector<OffsetRecord> buffered;
  int64_t newest_snapshot = -1;
  int64_t heard = -1;
  Time behind_since;
};

}  // namespace gullward

#endif  // GULLWARD_CONFIG_CONFIG_FEED_H_

// See config_feed.h for how gaps are closed by snapshots.

#include "config/config_feed.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace gullward {

ConfigFeed::ConfigFeed(AppliedHook hook) : applied(std::move(hook)) {}

void ConfigFeed::ApplyLogRecords(int64_t earliest, const std::vector<OffsetRecord>& records) {
  for (const OffsetRecord& record : records) {
    if (record.offset <= this->config.offset()) continue;
    bool has_gap = record.offset > this->config.offset() + 1;
    // No gap is possible before offset 0, since the offset of an empty state is -1.
    if (!has_gap) {
      this->ApplyRecord(record);
      continue;
    }
    this->BufferRecord(record);
    LogRecord decoded = DecodeRecord(record.body);
    const auto* snapshot = std::get_if<ConfigSnapshot>(&decoded);
    // All records that the snapshot does not cover must be in the buffer.
    bool closes_gap = snapshot != nullptr && snapshot->offset + 1 >= earliest &&
                      snapshot->offset + 1 >= this->buffered.front().offset;
    if (!closes_gap || !this->config.Load(*snapshot)) continue;
    this->newest_snapshot = std::max(this->newest_snapshot, snapshot->offset);
    this->recent.clear();
    this->ReplayBuffer();
  }
}

void ConfigFeed::ApplyPeerRecords(const std::vector<OffsetRecord>& records) {
  for (const OffsetRecord& record : records) {
    LogRecord decoded = DecodeRecord(record.body);
    const auto* snapshot = std::get_if<ConfigSnapshot>(&decoded);
    if (snapshot != nullptr && snapshot->offset == record.offset) {
      // A snapshot made by the peer has the offset of the last record that it covers.  It is not a
      // record of the log, so it is loaded and not applied.
      if (this->config.Load(*snapshot)) this->recent.clear();
      continue;
    }
    if (record.offset == this->config.offset() + 1) this->ApplyRecord(record);
  }
  this->ReplayBuffer();
}

void ConfigFeed::ReplayBuffer() {
  bool is_consecutive =
      !this->buffered.empty() && this->buffered.front().offset <= this->config.offset() + 1;
  if (!is_consecutive) return;
  std::vector<OffsetRecord> replay = std::move(this->buffered);
  this->buffered.clear();
  for (const OffsetRecord& record : replay) this->ApplyRecord(record);
}

void ConfigFeed::ApplyRecord(const OffsetRecord& record) {
  if (record.offset != this->config.offset() + 1) return;
  LogRecord decoded = DecodeRecord(record.body);
  ApplyResult result = this->config.Apply(record.offset, decoded);
  if (const auto* snapshot = std::get_if<ConfigSnapshot>(&decoded)) {
    this->newest_snapshot = std::max(this->newest_snapshot, snapshot->offset);
  }
  this->recent.push_back(record);
  if (this->recent.size() > kKeptRecords) this->recent.pop_front();
  if (this->applied) this->applied(record.offset, decoded, result);
}

void ConfigFeed::BufferRecord(const OffsetRecord& record) {
  if (!this->buffered.empty() && record.offset <= this->buffered.back().offset) return;
  bool is_consecutive = this->buffered.empty() || record.offset == this->buffered.back().offset + 1;
  // The log was trimmed again during the read: start over from this record.
  if (!is_consecutive) this->buffered.clear();
  this->buffered.push_back(record);
}

ConfigRecords ConfigFeed::RecordsAfter(int64_t after) const {
  ConfigRecords answer;
  if (after >= this->config.offset()) return answer;
  bool is_kept = !this->recent.empty() && this->recent.front().offset <= after + 1;
  if (!is_kept) {
    ConfigSnapshot snapshot = this->config.Snapshot();
    answer.records.push_back({snapshot.offset, EncodeRecord(snapshot)});
    return answer;
  }
  for (const OffsetRecord& record : this->recent) {
    if (record.offset > after) answer.records.push_back(record);
  }
  return answer;
}

int64_t ConfigFeed::next_offset() const {
  if (!this->buffered.empty()) return this->buffered.back().offset + 1;
  return this->config.offset() + 1;
}

void ConfigFeed::ObserveOffset(int64_t offset, Time now) {
  if (offset <= this->known_offset) return;
  bool was_behind = this->config.offset() < this->known_offset;
  this->known_offset = offset;
  if (!was_behind) this->behind_since = now;
}

bool ConfigFeed::IsReady(Time now, Duration max_lag) const {
  if (this->config.size() == 0) return false;
  if (this->config.offset() >= this->known_offset) return true;
  return now - this->behind_since < max_lag;
}

bool ConfigFeed::IsSnapshotDue(int64_t max_records) const {
  return this->config.size() > 0 && this->config.offset() - this->newest_snapshot >= max_records;
}

}  // namespace gullward

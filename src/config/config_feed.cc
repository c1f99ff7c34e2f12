// config_feed.h tells the method.

#include "config/config_feed.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace gullward {

ConfigFeed::ConfigFeed(AppliedHook hook) : applied(std::move(hook)) {}

void ConfigFeed::ApplyLogRecords(int64_t earliest, const std::vector<OffsetRecord>& records) {
  for (const OffsetRecord& record : records) {
    if (record.offset <= this->config.offset()) continue;
    bool gap = record.offset > this->config.offset() + 1;
    // Offset 0 has no predecessor that could be missing.
    if (!gap) {
      this->ApplyRecord(record);
      continue;
    }
    this->BufferRecord(record);
    LogRecord decoded = DecodeRecord(record.body);
    const auto* snapshot = std::get_if<ConfigSnapshot>(&decoded);
    // Everything after the snapshot's prefix must be at hand in the buffer.
    bool bridges = snapshot != nullptr && snapshot->offset + 1 >= earliest &&
                   snapshot->offset + 1 >= this->buffered.front().offset;
    if (!bridges || !this->config.Load(*snapshot)) continue;
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
      // A peer's own snapshot stands at its prefix's end: it is no log record.
      if (this->config.Load(*snapshot)) this->recent.clear();
      continue;
    }
    if (record.offset == this->config.offset() + 1) this->ApplyRecord(record);
  }
  this->ReplayBuffer();
}

void ConfigFeed::ReplayBuffer() {
  bool bridged =
      !this->buffered.empty() && this->buffered.front().offset <= this->config.offset() + 1;
  if (!bridged) return;
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
  bool consecutive = this->buffered.empty() || record.offset == this->buffered.back().offset + 1;
  // The log was trimmed again while we read: start over from here.
  if (!consecutive) this->buffered.clear();
  this->buffered.push_back(record);
}

ConfigRecords ConfigFeed::RecordsAfter(int64_t after) const {
  ConfigRecords answer;
  if (after >= this->config.offset()) return answer;
  bool kept = !this->recent.empty() && this->recent.front().offset <= after + 1;
  if (!kept) {
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
  if (offset <= this->heard) return;
  bool was_behind = this->config.offset() < this->heard;
  this->heard = offset;
  if (!was_behind) this->behind_since = now;
}

bool ConfigFeed::IsReady(Time now, Duration patience) const {
  if (this->config.size() == 0) return false;
  if (this->config.offset() >= this->heard) return true;
  return now - this->behind_since < patience;
}

bool ConfigFeed::IsSnapshotDue(int64_t max_records) const {
  return this->config.size() > 0 && this->config.offset() - this->newest_snapshot >= max_records;
}

}  // namespace gullward

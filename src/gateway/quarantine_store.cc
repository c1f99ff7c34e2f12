// One write at a time; a wish that the topic has fulfilled meanwhile is dropped.

#include "gateway/quarantine_store.h"

#include <utility>

namespace gullward {

void QuarantineStore::ScheduleWrite(ContentId content, std::string value, Duration wait,
                                    Duration spread, Time now) {
  std::uniform_int_distribution<int64_t> draw(0, spread.count());
  this->pending[content] = {std::move(value), now + wait + Duration(draw(this->random))};
}

void QuarantineStore::ScheduleWriteByRole(ContentId content, std::string value, bool is_witness,
                                          Time now) {
  Duration wait = is_witness ? Duration(0) : kNonWitnessDelay;
  this->ScheduleWrite(content, std::move(value), wait,
                      is_witness ? kWitnessSpread : kNonWitnessSpread, now);
}

void QuarantineStore::Keep(ContentId content, const QuarantineEntry& entry, bool is_witness,
                           Time now) {
  if (this->stored.count(content) != 0) return;
  if (this->stored.size() + this->pending.size() >= kMaxEntries) {
    this->dropped_count += 1;
    return;
  }
  this->ScheduleWriteByRole(content, EncodeQuarantineEntry(entry), is_witness, now);
}

void QuarantineStore::Remove(ContentId content, bool is_witness, Time now) {
  this->pending.erase(content);
  auto entry = this->stored.find(content);
  if (entry == this->stored.end()) return;
  if (this->removed.size() >= kMaxEntries) this->removed.erase(this->removed.begin());
  this->removed[content] = entry->second;
  this->ScheduleWriteByRole(content, "", is_witness, now);
}

bool QuarantineStore::OnRecord(ContentId content, const std::optional<QuarantineEntry>& entry) {
  if (entry) {
    this->stored[content] = entry->until_ms;
  } else {
    this->stored.erase(content);
  }
  auto write = this->pending.find(content);
  bool is_fulfilled =
      write != this->pending.end() && write->second.value.empty() == !entry.has_value();
  if (is_fulfilled) this->pending.erase(write);
  auto before = this->removed.find(content);
  bool is_back = entry && before != this->removed.end() && entry->until_ms <= before->second;
  if (is_back && this->pending.count(content) == 0) {
    this->ScheduleWriteByRole(content, "", /*is_witness=*/false, Now());
  }
  return !is_back;
}

void QuarantineStore::ScheduleExpiredRemovals(Time now, int64_t unix_ms) {
  std::erase_if(this->removed, [&](const auto& entry) { return entry.second <= unix_ms; });
  for (const auto& [content, until_ms] : this->stored) {
    bool is_over = until_ms <= unix_ms;
    if (!is_over || this->pending.count(content) != 0) continue;
    this->ScheduleWrite(content, "", Duration(0), kRemovalSpread, now);
  }
}

void QuarantineStore::Tick(Time now, int64_t unix_ms) {
  this->ScheduleExpiredRemovals(now, unix_ms);
  if (this->is_busy) return;
  for (const auto& [content, write] : this->pending) {
    if (write.due > now) continue;
    this->Write(content, write.value);
    return;
  }
}

void QuarantineStore::Write(ContentId content, const std::string& value) {
  this->is_busy = true;
  platform::KeyedRecord record{QuarantineKey(content), value};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerTimeout, [this, content, value](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        this->recovery->RetryLater([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->recovery->OnCallSucceeded();
                      this->OnRecord(content, DecodeQuarantineEntry(value));
                    });
}

}  // namespace gullward

// Writes are sent one at a time.  A pending write is dropped when the topic already shows its
// result.

#include "gateway/quarantine_store.h"

#include <utility>

namespace gullward {

void QuarantineStore::ScheduleWrite(const Suspect& suspect, std::string value, Duration wait,
                                    Duration spread, Time now) {
  std::uniform_int_distribution<int64_t> jitter(0, spread.count());
  this->pending[suspect] = {std::move(value), now + wait + Duration(jitter(this->random))};
}

void QuarantineStore::ScheduleWriteByRole(const Suspect& suspect, std::string value,
                                          bool is_witness, Time now) {
  Duration wait = is_witness ? Duration(0) : kNonWitnessDelay;
  this->ScheduleWrite(suspect, std::move(value), wait,
                      is_witness ? kWitnessSpread : kNonWitnessSpread, now);
}

void QuarantineStore::Keep(const Suspect& suspect, const QuarantineEntry& entry, bool is_witness,
                           Time now) {
  if (this->stored.count(suspect) != 0) return;
  if (this->stored.size() + this->pending.size() >= kMaxEntries) {
    this->dropped_count += 1;
    return;
  }
  this->ScheduleWriteByRole(suspect, EncodeQuarantineEntry(entry), is_witness, now);
}

void QuarantineStore::Remove(const Suspect& suspect, bool is_witness, Time now) {
  this->pending.erase(suspect);
  auto entry = this->stored.find(suspect);
  if (entry == this->stored.end()) return;
  if (this->removed.size() >= kMaxEntries) this->removed.erase(this->removed.begin());
  this->removed[suspect] = entry->second;
  this->ScheduleWriteByRole(suspect, "", is_witness, now);
}

bool QuarantineStore::OnRecord(const Suspect& suspect,
                               const std::optional<QuarantineEntry>& entry) {
  if (entry) {
    this->stored[suspect] = entry->until_ms;
  } else {
    this->stored.erase(suspect);
  }
  auto write = this->pending.find(suspect);
  bool is_done = write != this->pending.end() && write->second.value.empty() == !entry.has_value();
  if (is_done) this->pending.erase(write);
  auto before = this->removed.find(suspect);
  bool was_removed = entry && before != this->removed.end() && entry->until_ms <= before->second;
  if (was_removed && this->pending.count(suspect) == 0) {
    this->ScheduleWriteByRole(suspect, "", /*is_witness=*/false, Now());
  }
  return !was_removed;
}

void QuarantineStore::ScheduleExpiredRemovals(Time now, int64_t unix_ms) {
  std::erase_if(this->removed, [&](const auto& entry) { return entry.second <= unix_ms; });
  for (const auto& [suspect, until_ms] : this->stored) {
    bool is_expired = until_ms <= unix_ms;
    if (!is_expired || this->pending.count(suspect) != 0) continue;
    this->ScheduleWrite(suspect, "", Duration(0), kRemovalSpread, now);
  }
}

void QuarantineStore::Tick(Time now, int64_t unix_ms) {
  this->ScheduleExpiredRemovals(now, unix_ms);
  if (this->is_busy) return;
  for (const auto& [suspect, write] : this->pending) {
    if (write.due > now) continue;
    this->Write(suspect, write.value);
    return;
  }
}

void QuarantineStore::Write(const Suspect& suspect, const std::string& value) {
  this->is_busy = true;
  platform::KeyedRecord record{QuarantineKey(suspect), value};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerTimeout, [this, suspect, value](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        this->recovery->RetryLater([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->recovery->OnCallSucceeded();
                      this->OnRecord(suspect, DecodeQuarantineEntry(value));
                    });
}

}  // namespace gullward

// Implementation of settled_epoch_writer.h.

#include "gateway/settled_epoch_writer.h"

#include "serving/settled_epoch.h"

namespace gullward {

void SettledEpochWriter::OnRecord(const std::string& value) {
  this->stored_epoch = DecodeSettledEpoch(value);
  if (this->stored_epoch) this->recovery->returns().Settle(*this->stored_epoch);
}

void SettledEpochWriter::Tick(Time now) {
  const StoreEpoch& epoch = this->recovery->returns().epoch();
  std::optional<uint64_t> current = epoch.current();
  bool is_wanted = current && epoch.IsSettledFor(now) && this->stored_epoch != current;
  if (!is_wanted) {
    this->due.reset();
    return;
  }
  if (!this->due) {
    std::uniform_int_distribution<int64_t> draw(0, kWriteSpread.count());
    this->due = now + Duration(draw(this->random));
  }
  if (now >= *this->due && !this->is_busy) this->Write(*current);
}

void SettledEpochWriter::Write(uint64_t epoch) {
  this->is_busy = true;
  platform::KeyedRecord record{std::string(kSettledEpochKey), EncodeSettledEpoch(epoch)};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerTimeout, [this, epoch](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        this->recovery->RetryLater([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->recovery->OnCallSucceeded();
                      // One written after the next return is wrong, and is written anew.
                      if (answer.epoch == epoch) this->stored_epoch = epoch;
                    });
}

}  // namespace gullward

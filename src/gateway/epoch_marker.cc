// epoch_marker.h tells the method.

#include "gateway/epoch_marker.h"

#include "serving/epoch_mark.h"

namespace gullward {

void EpochMarker::OnRecord(const std::string& value) {
  this->marked = DecodeEpochMark(value);
  if (this->marked) this->recovery->returns().Settle(*this->marked);
}

void EpochMarker::Tick(Time now) {
  const StoreEpoch& epoch = this->recovery->returns().epoch();
  std::optional<uint64_t> current = epoch.current();
  bool is_wanted = current && epoch.IsSettledFor(now) && this->marked != current;
  if (!is_wanted) {
    this->due.reset();
    return;
  }
  if (!this->due) {
    std::uniform_int_distribution<int64_t> draw(0, kSpread.count());
    this->due = now + Duration(draw(this->random));
  }
  if (now >= *this->due && !this->is_busy) this->Write(*current);
}

void EpochMarker::Write(uint64_t epoch) {
  this->is_busy = true;
  platform::KeyedRecord record{std::string(kEpochMarkKey), EncodeEpochMark(epoch)};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerPatience, [this, epoch](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        this->recovery->Wait([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->recovery->NoteAnswer();
                      // One written after the next return is wrong, and is written anew.
                      if (answer.epoch == epoch) this->marked = epoch;
                    });
}

}  // namespace gullward

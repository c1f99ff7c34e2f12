// One write at a time; a wish that the topic has fulfilled meanwhile is dropped.

#include "gateway/quarantine_store.h"

#include <utility>

namespace gullward {

void QuarantineStore::WishFor(ContentId content, std::string value, Duration wait, Duration spread,
                              Time now) {
  std::uniform_int_distribution<int64_t> draw(0, spread.count());
  this->wishes[content] = {std::move(value), now + wait + Duration(draw(this->random))};
}

void QuarantineStore::WishInTurn(ContentId content, std::string value, bool is_witness, Time now) {
  Duration wait = is_witness ? Duration(0) : kOthersWait;
  this->WishFor(content, std::move(value), wait, is_witness ? kWitnessSpread : kOthersSpread, now);
}

void QuarantineStore::Keep(ContentId content, const QuarantineEntry& entry, bool is_witness,
                           Time now) {
  if (this->kept.count(content) != 0) return;
  if (this->kept.size() + this->wishes.size() >= kMostKept) {
    this->unkept_count += 1;
    return;
  }
  this->WishInTurn(content, EncodeQuarantineEntry(entry), is_witness, now);
}

void QuarantineStore::Remove(ContentId content, bool is_witness, Time now) {
  this->wishes.erase(content);
  auto entry = this->kept.find(content);
  if (entry == this->kept.end()) return;
  if (this->removed.size() >= kMostKept) this->removed.erase(this->removed.begin());
  this->removed[content] = entry->second;
  this->WishInTurn(content, "", is_witness, now);
}

bool QuarantineStore::OnRecord(ContentId content, const std::optional<QuarantineEntry>& entry) {
  if (entry) {
    this->kept[content] = entry->until_ms;
  } else {
    this->kept.erase(content);
  }
  auto wish = this->wishes.find(content);
  bool is_fulfilled =
      wish != this->wishes.end() && wish->second.value.empty() == !entry.has_value();
  if (is_fulfilled) this->wishes.erase(wish);
  auto before = this->removed.find(content);
  bool is_back = entry && before != this->removed.end() && entry->until_ms <= before->second;
  if (is_back && this->wishes.count(content) == 0) {
    this->WishInTurn(content, "", /*is_witness=*/false, Now());
  }
  return !is_back;
}

void QuarantineStore::RemoveEnded(Time now, int64_t unix_ms) {
  std::erase_if(this->removed, [&](const auto& entry) { return entry.second <= unix_ms; });
  for (const auto& [content, until_ms] : this->kept) {
    bool is_over = until_ms <= unix_ms;
    if (!is_over || this->wishes.count(content) != 0) continue;
    this->WishFor(content, "", Duration(0), kRemovalSpread, now);
  }
}

void QuarantineStore::Tick(Time now, int64_t unix_ms) {
  this->RemoveEnded(now, unix_ms);
  if (this->is_busy) return;
  for (const auto& [content, wish] : this->wishes) {
    if (wish.due > now) continue;
    this->Write(content, wish.value);
    return;
  }
}

void QuarantineStore::Write(ContentId content, const std::string& value) {
  this->is_busy = true;
  platform::KeyedRecord record{QuarantineKey(content), value};
  this->client.Call(platform::AppendRecordRequest(platform::kPeersTopic, record),
                    StoreClient::kAnswerPatience,
                    [this, content, value](const StoreAnswer& answer) {
                      if (!answer.ok()) {
                        this->recovery->Wait([this] { this->is_busy = false; });
                        return;
                      }
                      this->is_busy = false;
                      this->recovery->NoteAnswer();
                      this->OnRecord(content, DecodeQuarantineEntry(value));
                    });
}

}  // namespace gullward

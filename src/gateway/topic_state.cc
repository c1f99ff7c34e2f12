// Implementation of topic_state.h.  Updates are encoded with FlatBuffers; the schema is
// gullward.fbs.

#include "gateway/topic_state.h"

#include <algorithm>
#include <chrono>

#include "wire/gullward_generated.h"

namespace gullward {
namespace {

// One day.  A larger age is reduced to this: it proves nothing that is still of use.
constexpr Duration kMaxAge = std::chrono::hours(24);

uint64_t Microseconds(Duration age) {
  return static_cast<uint64_t>(std::clamp(age, Duration::zero(), kMaxAge).count());
}

Duration AgeFrom(uint64_t microseconds) {
  return Duration(
      static_cast<int64_t>(std::min(microseconds, static_cast<uint64_t>(kMaxAge.count()))));
}

size_t SizeOf(const platform::KeyedRecord& record) {
  return record.key.size() + record.value.size();
}

}  // namespace

std::string EncodeTopicUpdate(const TopicUpdate& update) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::TopicRecord>> records;
  for (const platform::KeyedRecord& record : update.records) {
    auto value = builder.CreateVector(reinterpret_cast<const uint8_t*>(record.value.data()),
                                      record.value.size());
    records.push_back(fb::CreateTopicRecord(builder, builder.CreateString(record.key), value));
  }
  auto packed_records = builder.CreateVector(records);
  flatbuffers::Optional<uint64_t> epoch = flatbuffers::nullopt;
  if (update.epoch) epoch = *update.epoch;
  builder.Finish(fb::CreateTopicUpdate(builder, epoch, update.end, update.is_snapshot,
                                       packed_records, Microseconds(update.proved_ago),
                                       Microseconds(update.regained_ago), update.hops,
                                       update.has_store, Microseconds(update.held)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<TopicUpdate> DecodeTopicUpdate(std::string_view bytes) {
  auto data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<fb::TopicUpdate>(nullptr)) return std::nullopt;
  const fb::TopicUpdate* packed = flatbuffers::GetRoot<fb::TopicUpdate>(data);
  TopicUpdate update;
  if (packed->epoch()) update.epoch = *packed->epoch();
  update.end = packed->end();
  update.is_snapshot = packed->is_snapshot();
  update.proved_ago = AgeFrom(packed->proved_ago_us());
  update.regained_ago = AgeFrom(packed->regained_ago_us());
  update.hops = packed->hops();
  update.has_store = packed->has_store();
  update.held = AgeFrom(packed->held_us());
  if (packed->records() == nullptr) return update;
  for (const fb::TopicRecord* record : *packed->records()) {
    if (record->key() == nullptr || record->value() == nullptr) return std::nullopt;
    update.records.push_back(
        {record->key()->str(),
         {reinterpret_cast<const char*>(record->value()->data()), record->value()->size()}});
  }
  return update;
}

void TopicState::Replace(const std::vector<platform::KeyedRecord>& records, uint64_t end,
                         std::optional<uint64_t> epoch) {
  this->newest.clear();
  for (const platform::KeyedRecord& record : records) this->newest[record.key] = record.value;
  this->changes.clear();
  this->change_bytes = 0;
  this->next_offset = end;
  this->store_epoch = epoch;
  this->proved_at = Time{};
  this->loaded = true;
}

void TopicState::Append(const platform::KeyedRecord& record) {
  this->next_offset += 1;
  if (record.value.empty()) {
    this->newest.erase(record.key);
  } else {
    this->newest[record.key] = record.value;
  }
  this->changes.push_back(record);
  this->change_bytes += SizeOf(record);
  while (this->change_bytes > kMaxChangeBytes) {
    this->change_bytes -= SizeOf(this->changes.front());
    this->changes.pop_front();
  }
}

TopicUpdate TopicState::UpdateSince(std::optional<uint64_t> reader_epoch,
                                    std::optional<uint64_t> from, Time now) const {
  TopicUpdate update;
  update.epoch = this->store_epoch;
  update.end = this->next_offset;
  update.proved_ago = now - this->proved_at;
  update.regained_ago = now - this->regained_at;
  update.hops = this->hops + 1;
  update.has_store = this->store_answers;
  uint64_t first_kept = this->next_offset - this->changes.size();
  bool has_changes = reader_epoch == this->store_epoch && from && *from >= first_kept;
  if (has_changes) {
    uint64_t read = std::min(*from, this->next_offset) - first_kept;
    auto begin = this->changes.begin() + static_cast<std::ptrdiff_t>(read);
    update.records.assign(begin, this->changes.end());
    return update;
  }
  update.is_snapshot = true;
  for (const auto& [key, value] : this->newest) update.records.push_back({key, value});
  return update;
}

}  // namespace gullward

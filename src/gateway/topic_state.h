// A topic of the store as one gateway has read it, kept so that other gateways can read it from
// there.
//
// It holds the newest record of each key and, for readers that are up to date, the last changes.
// A reader states the epoch and the offset up to which it has read, and gets the changes since then
// or, if they are no longer kept, all newest records.
//
// Each update states what it proves: that nothing newer than its end existed at the store at some
// moment.  The moment is passed on as an age, since clocks differ.  The reader counts the age from
// when it sent its read, which is earlier than the update was written, so a slow network makes a
// proof older and never newer.
//
//   TopicState state;
//   state.Replace(records, end, epoch);
//   state.Append(record);
//   state.Prove(read_sent_at);
//   TopicUpdate update = state.UpdateSince(reader_epoch, reader_offset, now);
//
// Memory is bounded by the topic's newest records and kMaxChangeBytes of changes.

#ifndef GULLWARD_GATEWAY_TOPIC_STATE_H_
#define GULLWARD_GATEWAY_TOPIC_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "platform/store_calls.h"

namespace gullward {

// What a gateway passes on to another one.
struct TopicUpdate {
  // The store's epoch to which `end` belongs; empty if the store states none.
  std::optional<uint64_t> epoch = std::nullopt;
  // The offset after the last record of the update.
  uint64_t end = 0;
  // Whether `records` are the newest records of all keys, or the changes up to `end`.  A change
  // with an empty key could not be decoded.
  bool is_snapshot = false;
  std::vector<platform::KeyedRecord> records;
  // How long ago nothing newer than `end` existed at the store.
  Duration proved_ago{};
  // How long ago the sender, or the gateway from which it reads, regained the store.
  Duration regained_ago{};
  // Number of gateways over which the update came from the store, without the receiver.
  uint32_t hops = 0;
  // Whether the store answered the gateway that read from it at its last call.
  bool has_store = false;
  // How long the read had waited at the sender, which answered it that long after its arrival.
  Duration held{};

  bool operator==(const TopicUpdate&) const = default;
};

std::string EncodeTopicUpdate(const TopicUpdate& update);
// Empty if the bytes are no valid update.
std::optional<TopicUpdate> DecodeTopicUpdate(std::string_view bytes);

class TopicState {
 public:
  // The changes that are kept, in bytes of keys and values.
  static constexpr size_t kMaxChangeBytes = 512 << 10;

  // Takes all newest records, read up to offset `end`.
  void Replace(const std::vector<platform::KeyedRecord>& records, uint64_t end,
               std::optional<uint64_t> epoch);
  // Takes the record at the end.
  void Append(const platform::KeyedRecord& record);
  // Records that nothing newer than the end existed at the store at `at`.
  void Prove(Time at) { this->proved_at = std::max(this->proved_at, at); }
  // Sets over how many gateways the state came, and when the store was last regained.
  void SetHops(uint32_t new_hops) { this->hops = new_hops; }
  void SetRegained(Time at) { this->regained_at = at; }
  // Sets whether the store answers the gateway from which all of this comes.
  void SetHasStore(bool answers) { this->store_answers = answers; }

  bool is_loaded() const { return this->loaded; }
  uint64_t end() const { return this->next_offset; }
  std::optional<uint64_t> epoch() const { return this->store_epoch; }
  Time proved() const { return this->proved_at; }
  bool has_store() const { return this->store_answers; }

  // Whether a reader that has read up to `from` in `reader_epoch` lacks records.  A reader that
  // has read further than this gateway lacks none.
  bool HasNews(std::optional<uint64_t> reader_epoch, std::optional<uint64_t> from) const {
    return !from || *from < this->next_offset || reader_epoch != this->store_epoch;
  }

  // The update for such a reader; no `from`: it has read nothing.  A reader that has read further
  // gets an update without records.  is_loaded() must be true.
  TopicUpdate UpdateSince(std::optional<uint64_t> reader_epoch, std::optional<uint64_t> from,
                          Time now) const;

 private:
  bool loaded = false;
  std::map<std::string, std::string> newest;
  // The last changes; the first one has the offset `next_offset` - changes.size().
  std::deque<platform::KeyedRecord> changes;
  size_t change_bytes = 0;
  uint64_t next_offset = 0;
  std::optional<uint64_t> store_epoch;
  Time proved_at{};
  Time regained_at{};
  uint32_t hops = 0;
  bool store_answers = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TOPIC_STATE_H_

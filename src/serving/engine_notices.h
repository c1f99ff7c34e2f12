// What engines have said of themselves, as far as it still holds.
//
// An engine's notice binds whoever has it, until the engine itself takes it back: neither the
// engines' list nor the store nor a failure of either changes anything here.
//
//   - A limit holds until an answer no longer names it.  Answers may pass one another on the
//     way, so only one to a request that was sent after the limit was last named counts.
//   - Leaving holds for the rest of the engine's life.
//   - A pause holds until its time is over.
//
// All is kept under the engine's incarnation (EngineRecord::Incarnation), so that a later life
// begins without notices.
//
//   EngineNotices notices;
//   notices.Hear(engine, notice, request_sent, now);
//   if (notices.IsLeaving(engine)) ...
//
// Memory is bounded: notices of engines that are no longer listed are dropped after kKeptFor,
// and where there are kCapacity engines the one heard of longest ago makes room; forgotten()
// counts those.

#ifndef GULLWARD_SERVING_ENGINE_NOTICES_H_
#define GULLWARD_SERVING_ENGINE_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "serving/engine_notice.h"

namespace gullward {

class EngineNotices {
 public:
  // An engine may drop off the list and come back, or leave for minutes.
  static constexpr Duration kKeptFor = std::chrono::minutes(10);
  // 200 bytes each.
  static constexpr size_t kCapacity = 4096;

  // Which notices of an engine an answer has changed.
  struct Change {
    bool limit = false;
    bool leaving = false;
    // The engine has begun a pause; one that is prolonged is no change.
    bool rest = false;

    bool any() const { return limit || leaving || rest; }
    bool operator==(const Change&) const = default;
  };

  // Takes what an engine has said in an answer that arrived at `now` to a request sent at
  // `sent`.
  Change Hear(const std::string& engine, const EngineNotice& notice, Time sent, Time now);

  // Whether anything is known of the engine.
  bool Has(const std::string& engine) const { return this->Find(engine) != nullptr; }
  bool IsLeaving(const std::string& engine) const;
  // What is left of the pause that the engine has asked for; none: zero.
  Duration RestLeft(const std::string& engine, Time now) const;
  std::optional<double> LimitOf(const std::string& engine) const;

  // Drops what is over.  `listed`: the incarnations that are on the engines' list.
  void Forget(const std::set<std::string>& listed, Time now);

  // Engines by what they have said.
  size_t limited() const;
  size_t leaving() const;
  size_t resting(Time now) const;
  // Engines dropped for want of room.
  uint64_t forgotten() const { return this->dropped; }

 private:
  struct Entry {
    std::optional<double> limit_per_s;
    // Of what is known of the limit: when the answer that named it arrived, or when the
    // request was sent whose answer did not.
    Time limit_said{};
    bool leaving = false;
    Time rests_until{};
    // When it was last heard of, or was on the list.
    Time kept_since{};
  };

  const Entry* Find(const std::string& engine) const;
  Entry& FindOrAdd(const std::string& engine, Time now);
  void MakeRoom();

  std::unordered_map<std::string, Entry> entries;
  uint64_t dropped = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_NOTICES_H_

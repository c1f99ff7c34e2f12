// Remembers incarnations of engines that have left, so that an older list does not restore them.
//
// An engine that leaves is acknowledged once and must get no work from then on.  A list that is
// read later may still have the engine's entry, if the store has returned from an older copy.
//
//   DepartedEngines departed;
//   departed.Add(record.Incarnation(), now);
//   if (departed.Contains(record.Incarnation(), now)) ...
//
// Memory is bounded: each incarnation is kept for kRetention, and at most kMaxEntries are kept; the
// oldest are dropped first.

#ifndef GULLWARD_SERVING_DEPARTED_ENGINES_H_
#define GULLWARD_SERVING_DEPARTED_ENGINES_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/clock.h"

namespace gullward {

class DepartedEngines {
 public:
  // The store returns with a copy that is seconds old, after an outage of seconds.
  static constexpr Duration kRetention = std::chrono::minutes(2);
  // Each entry takes about 100 bytes.  A third of 10,000 engines may be replaced within
  // kRetention.
  static constexpr size_t kMaxEntries = 4096;

  void Add(const std::string& incarnation, Time now) {
    this->DropExpired(now);
    if (this->departed_at.size() >= kMaxEntries) this->DropOldest();
    bool is_new = this->departed_at.try_emplace(incarnation, now).second;
    if (is_new) this->order.emplace_back(now, incarnation);
  }

  bool Contains(const std::string& incarnation, Time now) const {
    auto found = this->departed_at.find(incarnation);
    return found != this->departed_at.end() && now - found->second < kRetention;
  }

  size_t size() const { return this->departed_at.size(); }

 private:
  void DropExpired(Time now) {
    while (!this->order.empty() && now - this->order.front().first >= kRetention)
      this->DropOldest();
  }
  void DropOldest() {
    this->departed_at.erase(this->order.front().second);
    this->order.pop_front();
  }

  // By incarnation.
  std::unordered_map<std::string, Time> departed_at;
  // The entries of `departed_at`, oldest first.
  std::deque<std::pair<Time, std::string>> order;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_DEPARTED_ENGINES_H_

// Lives of engines that have left, so that nothing older brings them back.
//
// That an engine leaves is acknowledged once and binds from then on.  A list that is read
// later may be older, where the store has come back from a copy: then it still has the entry.
//
//   Departures departures;
//   departures.Note(record.Incarnation(), now);
//   if (departures.Has(record.Incarnation(), now)) ...
//
// Memory is bounded: kMost lives, of which the earliest go first, each for kKeptFor.

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
  // A store returns with a copy that is seconds old, after an outage of seconds.
  static constexpr Duration kRetention = std::chrono::minutes(2);
  // 100 bytes each; a third of 10,000 engines may be replaced in that time.
  static constexpr size_t kMaxEntries = 4096;

  void Add(const std::string& incarnation, Time now) {
    this->Forget(now);
    if (this->lives.size() >= kMaxEntries) this->ForgetFirst();
    bool is_new = this->lives.try_emplace(incarnation, now).second;
    if (is_new) this->order.emplace_back(now, incarnation);
  }

  bool Contains(const std::string& incarnation, Time now) const {
    auto found = this->lives.find(incarnation);
    return found != this->lives.end() && now - found->second < kRetention;
  }

  size_t size() const { return this->lives.size(); }

 private:
  void Forget(Time now) {
    while (!this->order.empty() && now - this->order.front().first >= kRetention)
      this->ForgetFirst();
  }
  void ForgetFirst() {
    this->lives.erase(this->order.front().second);
    this->order.pop_front();
  }

  std::unordered_map<std::string, Time> lives;
  std::deque<std::pair<Time, std::string>> order;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_DEPARTED_ENGINES_H_

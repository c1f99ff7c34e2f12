// Keeps which engines are cold.
//
// An engine that has just started, or whose caches were emptied, bears only a few requests a second
// and fails if it gets many more.  Its entry in the engine list states for how long it will stay
// cold.  While it does, all gateways together keep to the service's rate for cold engines: they
// share it like a limit that the engine names itself (limit_share.h), so a gateway that does not
// know its peers sends the engine nothing.
//
//   ColdEngines cold;
//   cold.Note(engine, cold_left, now);
//   if (cold.IsCold(engine, now)) ...
//
// Engines are named by their incarnation.  Memory is bounded: an engine is dropped when it is no
// longer cold, and the time that an engine may state is bounded by kMaxCold.

#ifndef GULLWARD_SERVING_COLD_ENGINES_H_
#define GULLWARD_SERVING_COLD_ENGINES_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace gullward {

class ColdEngines {
 public:
  // An engine that states a longer time states it again in its next entry.
  static constexpr Duration kMaxCold = std::chrono::minutes(5);

  // Records that the engine stays cold for `left` from `now` on; zero if it is warm.
  void Note(const std::string& engine, Duration left, Time now) {
    if (left <= Duration::zero()) {
      this->cold_until.erase(engine);
    } else {
      this->cold_until[engine] = now + std::min(left, kMaxCold);
    }
  }

  bool IsCold(const std::string& engine, Time now) const {
    if (this->cold_until.empty()) return false;
    auto found = this->cold_until.find(engine);
    return found != this->cold_until.end() && found->second > now;
  }

  // Drops the engines that are no longer cold.
  void Forget(Time now) {
    std::erase_if(this->cold_until, [now](const auto& engine) { return engine.second <= now; });
  }

  size_t size() const { return this->cold_until.size(); }

 private:
  std::unordered_map<std::string, Time> cold_until;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_COLD_ENGINES_H_

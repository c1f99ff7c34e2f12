// Until when this process may vouch for API keys.
//
// An operator who takes a key away must be able to rely on it after a fixed
// time, also where a process has lost touch with the configuration.  A read of
// the newest configuration proves what was in force when the read was *sent*;
// so a process may accept keys for the bound from that moment and not longer.
//
//   KeyFreshness freshness(seconds(5));
//   freshness.Confirm(read_sent_at);
//   if (!freshness.IsFresh(now)) ...     // answer 503, not 401

#ifndef GULLWARD_SERVING_FRESHNESS_H_
#define GULLWARD_SERVING_FRESHNESS_H_

#include <algorithm>

#include "base/clock.h"

namespace gullward {

class KeyFreshness {
 public:
  // Kept back for the way from the check to the engine and for a slow clock.
  static constexpr Duration kMargin = milliseconds(100);

  explicit KeyFreshness(Duration bound_on_trust) : bound(bound_on_trust) {}

  // A read that was sent at `sent` has come back whole.
  void Confirm(Time sent) { this->confirmed = std::max(this->confirmed, sent); }

  bool IsFresh(Time now) const { return now - this->confirmed <= this->bound - kMargin; }

  Time confirmed_at() const { return this->confirmed; }

 private:
  Duration bound;
  Time confirmed{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_FRESHNESS_H_

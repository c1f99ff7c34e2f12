// Until when this process may vouch for API keys.
//
// An operator who takes a key away may need to rely on it after a fixed time,
// also where a process has lost touch with the configuration.  A read of the
// newest configuration proves what was in force when the read was *sent*; so a
// process may accept keys for the bound from that moment and not longer.
//
// An operator who does not bound the taking away of keys is served better by
// keys that hold until a newer configuration says otherwise: while the store is
// down, every box would otherwise refuse every request that needs a key once the
// bound has passed, though all engines are free.
//
//   KeyFreshness freshness(seconds(5), KeyTrust::kBounded);
//   freshness.Confirm(read_sent_at);
//   if (!freshness.IsFresh(now)) ...     // answer 503, not 401

#ifndef GULLWARD_SERVING_FRESHNESS_H_
#define GULLWARD_SERVING_FRESHNESS_H_

#include <algorithm>

#include "base/clock.h"

namespace gullward {

// How long keys are vouched for after the configuration was proved current.
enum class KeyTrust {
  // For the bound; then not until the next proof.
  kBounded,
  // Until a newer configuration changes them: the operator has not bounded the
  // time in which a key that is taken away stops working.
  kUntilChanged,
};

class KeyFreshness {
 public:
  // Kept back for the way from the check to the engine and for a slow clock.
  static constexpr Duration kMargin = milliseconds(100);

  explicit KeyFreshness(Duration bound_on_trust, KeyTrust how_long = KeyTrust::kBounded)
      : bound(bound_on_trust), trust(how_long) {}

  // A read that was sent at `sent` has come back whole.
  void Confirm(Time sent) { this->confirmed = std::max(this->confirmed, sent); }

  // Whether keys may be accepted at `now`.  Never before the first proof.
  bool IsFresh(Time now) const {
    if (this->confirmed == Time{}) return false;
    if (this->trust == KeyTrust::kUntilChanged) return true;
    return now - this->confirmed <= this->bound - kMargin;
  }

  Time confirmed_at() const { return this->confirmed; }

 private:
  Duration bound;
  KeyTrust trust;
  Time confirmed{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_FRESHNESS_H_

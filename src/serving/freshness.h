// Decides until when this process may accept API keys.
//
// An operator who revokes a key may rely on the key being refused after a fixed time, also by a
// process that has lost its connection to the configuration.  A read of the newest configuration
// proves what was in force when the read was *sent*.  A process may therefore accept keys for the
// bounded time from that moment, and no longer.
//
// An operator who sets no bound on revocation is better served by keys that stay valid until a
// newer configuration changes them.  With a bound, a store that is down longer than the bound
// makes every box refuse every request that needs a key, although all engines are free.
//
// Once the bound has passed, only a read that was sent later counts.  A read that was sent before
// may wait at the store and be answered with the first of many missed versions; it would make the
// process ready for the little time that is left of that read's bound.
//
//   KeyFreshness freshness(seconds(5), KeyTrust::kBounded);
//   freshness.Confirm(read_sent_at, now);
//   if (!freshness.IsFresh(now)) ...     // answer 503, not 401

#ifndef GULLWARD_SERVING_FRESHNESS_H_
#define GULLWARD_SERVING_FRESHNESS_H_

#include <algorithm>

#include "base/clock.h"

namespace gullward {

// How long keys are accepted after the configuration was validated.
enum class KeyTrust {
  // For the bounded time, and then not until the next validation.
  kBounded,
  // Until a newer configuration changes them: the operator has set no bound on the time in which
  // a revoked key stops working.
  kUntilChanged,
};

class KeyFreshness {
 public:
  // Subtracted from the bound, for the time from the check to the engine and for a slow clock.
  static constexpr Duration kMargin = milliseconds(100);

  explicit KeyFreshness(Duration trust_bound, KeyTrust trust_mode = KeyTrust::kBounded)
      : bound(trust_bound), trust(trust_mode) {}

  // Records at `now` that a read sent at `sent` was answered completely.
  void Confirm(Time sent, Time now) {
    bool has_lapsed = this->confirmed != Time{} && !this->IsFresh(now);
    if (has_lapsed && sent <= this->confirmed + this->bound - kMargin) return;
    this->confirmed = std::max(this->confirmed, sent);
  }

  // Whether keys may be accepted at `now`.  False before the first validation.
  bool IsFresh(Time now) const {
    if (this->confirmed == Time{}) return false;
    if (this->trust == KeyTrust::kUntilChanged) return true;
    return now - this->confirmed <= this->bound - kMargin;
  }

  // The sending time of the newest confirmed read.
  Time confirmed_at() const { return this->confirmed; }

 private:
  Duration bound;
  KeyTrust trust;
  Time confirmed{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_FRESHNESS_H_

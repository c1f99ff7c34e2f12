// Divides an engine's limit among gateways, without a coordinator.
//
// An engine under load names the number of requests a second that it takes from all gateways
// together.  If every gateway had an equal share, the shares in a large fleet would be small
// fractions of a request, and once each gateway had saved up one whole request, all might send it
// in the same instant.  Therefore at most kSharers gateways share a limit, however many there are:
//
//   - Gateways that work on the engine are ordered by a hash of the engine's and the gateway's
//     name.  The first kSharers have an equal share each, and the others send the engine nothing.
//     Every gateway computes this by itself, and different engines have different sharers.
//   - A sharer earns credit at its share of the limit.  It saves at most one request plus its share
//     of one second, and begins with no credit.
//
// In any window of T seconds an engine thus gets at most kSharers + limit * (T + 1) requests; for
// four seconds that is 5 + 5 * limit.  Engines allow 5 + 6 * limit.  The difference covers the
// times when gateways know different sets of gateways and one more of them shares.
//
//   double share = ShareOfLimit(engine, "box-1", boxes_of_the_others);
//   if (credit.Available(share * limit_per_s, now) >= 1) credit.Take();

#ifndef GULLWARD_SERVING_LIMIT_SHARE_H_
#define GULLWARD_SERVING_LIMIT_SHARE_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// Maximum number of gateways that share an engine's limit.
inline constexpr size_t kSharers = 5;

// The share, 0 to 1, of an engine's limit that the gateway on `own_box` has.  `others` are the
// boxes of the other gateways that work on the engine.
double ShareOfLimit(const std::string& engine, const std::string& own_box,
                    const std::vector<std::string>& others);

// The credit of one gateway for requests to one engine.
class LimitCredit {
 public:
  // Seconds of the share of the limit that may be saved in addition to one request.
  static constexpr double kSavedSeconds = 1;

  // The credit at `now`, in requests; from then on it grows by `per_s` requests a second.  An
  // increased rate applies from `now` only, since it is unknown when the increase happened.
  double Available(double per_s, Time now) {
    double seconds_passed = std::max(ToSeconds(now - this->updated_at), 0.0);
    double earned = std::min(per_s, this->rate) * seconds_passed;
    double max_saved = per_s > 0 ? 1 + per_s * kSavedSeconds : 0;
    this->saved = std::min(this->saved + earned, max_saved);
    this->rate = per_s;
    this->updated_at = std::max(this->updated_at, now);
    return this->saved;
  }

  // Spends the credit of one request.
  void Take() { this->saved = std::max(this->saved - 1, 0.0); }

  // Time until there is credit for one request, at the rate of the last call of Available.
  // Duration::max() if that rate is zero, since no credit is earned then.
  Duration TimeUntilOne() const {
    if (this->saved >= 1) return Duration::zero();
    return this->rate > 0 ? FromSeconds((1 - this->saved) / this->rate) : Duration::max();
  }

 private:
  double saved = 0;
  double rate = 0;
  Time updated_at{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_LIMIT_SHARE_H_

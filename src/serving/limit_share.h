// How gateways keep together to an engine's limit, without a coordinator.
//
// An engine in need names the requests a second that it takes from all gateways together.
// If each gateway took an equal part, the parts of a large fleet would be small fractions of a
// request, and as soon as each has saved up a whole one all may be sent in the same moment.  So
// few gateways share a limit, however many there are:
//
//   - of the gateways that work on the engine, the kSharers that come first in an order by a
//     hash of both names have an equal part each, and the others send it nothing.  Every
//     gateway works that out by itself, and the engines fall to different ones;
//   - a sharer earns credit at its part of the limit, saves one request and the part of one
//     second at the most, and begins with none.
//
// In any window of T seconds an engine then gets no more than kSharers + limit * (T + 1)
// requests.  For four seconds that is 5 + 5 * limit.  Engines allow 5 + 6 * limit; the difference
// is for moments in which gateways know of different gateways, and one more shares.
//
//   double share = ShareOfLimit(engine, "box-1", boxes_of_the_others);
//   if (credit.Left(share * limit_per_s, now) >= 1) credit.Take();

#ifndef GULLWARD_SERVING_LIMIT_SHARE_H_
#define GULLWARD_SERVING_LIMIT_SHARE_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// Gateways that share an engine's limit.
inline constexpr size_t kSharers = 5;

// The part of an engine's limit, 0 to 1, that is of the gateway on `own_box`, where those on
// `others` work on the engine too.
double ShareOfLimit(const std::string& engine, const std::string& own_box,
                    const std::vector<std::string>& others);

// Credit of one gateway for requests to one engine.
class LimitCredit {
 public:
  // Of how much time the part of the limit may be saved besides one request.
  static constexpr double kSavedSeconds = 1;

  // What has been saved, where `per_s` flows in from now on.  A rate that has risen counts
  // from now, since it is not known from when it held.
  double Left(double per_s, Time now) {
    double seconds_passed = std::max(ToSeconds(now - this->filled_at), 0.0);
    double flowed = std::min(per_s, this->rate) * seconds_passed;
    double most = per_s > 0 ? 1 + per_s * kSavedSeconds : 0;
    this->saved = std::min(this->saved + flowed, most);
    this->rate = per_s;
    this->filled_at = std::max(this->filled_at, now);
    return this->saved;
  }

  // Takes one request's credit.
  void Take() { this->saved = std::max(this->saved - 1, 0.0); }

  // From now until there is credit for a request, at the rate of the last Left; nothing flows
  // in at a rate of zero, and then this is the longest time that there is.
  Duration UntilOne() const {
    if (this->saved >= 1) return Duration::zero();
    return this->rate > 0 ? FromSeconds((1 - this->saved) / this->rate) : Duration::max();
  }

 private:
  double saved = 0;
  double rate = 0;
  Time filled_at{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_LIMIT_SHARE_H_

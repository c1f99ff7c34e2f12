// Decides which new connections of callers a gateway closes unread, so that they are read
// elsewhere.
//
// The load balancer may send most new connections of a data centre to one gateway for a while.  If
// that gateway cannot keep up, each request waits behind all others and is late.  A connection that
// is closed before its request was read costs the caller little: it tries again at once, and the
// balancer sends it to another gateway.
//
// A gateway hands connections off while two things hold: its event loop has not been idle for
// kMaxBacklog, so that what arrives now waits at least that long, and connections arrive kSurge
// times as often as usual.  Where all gateways are equally busy, a second try would find nothing
// better. One connection per kMinReadInterval is read all the same, since a gateway that is ready
// must not turn everyone away.
//
//   CallerHandoff handoff;
//   if (handoff.ShouldHandOff(loop.last_idle_at(), now)) ...   // for each new connection

#ifndef GULLWARD_GATEWAY_CALLER_HANDOFF_H_
#define GULLWARD_GATEWAY_CALLER_HANDOFF_H_

#include <cmath>
#include <optional>

#include "base/clock.h"
#include "base/half_life.h"

namespace gullward {

class CallerHandoff {
 public:
  static constexpr Duration kMaxBacklog = milliseconds(500);
  static constexpr Duration kMinReadInterval = milliseconds(200);
  static constexpr double kSurge = 1.5;
  // Half-lives of the counts by which the present rate and the usual rate of connections are known.
  static constexpr Duration kPresent = seconds(1);
  static constexpr Duration kUsual = seconds(20);

  // Counts a new connection, and returns whether it is to be closed unread.  `last_idle_at` is when
  // the event loop last had nothing to do.
  bool ShouldHandOff(Time last_idle_at, Time now) {
    this->Count(now);
    bool is_behind = now - last_idle_at >= kMaxBacklog;
    bool read_lately = this->last_read && now - *this->last_read < kMinReadInterval;
    bool hands_off = is_behind && read_lately && this->IsSurge(now);
    if (!hands_off) this->last_read = now;
    return hands_off;
  }

 private:
  void Count(Time now) {
    if (!this->first) this->first = now;
    this->present = this->present * HalfLifeDecay(now - this->counted_at, kPresent) + 1;
    this->usual = this->usual * HalfLifeDecay(now - this->counted_at, kUsual) + 1;
    this->counted_at = now;
  }

  // After `age` of a constant rate, a count is the rate times its half-life, times
  // (1 - HalfLifeDecay(age)) / ln 2.
  bool IsSurge(Time now) const {
    Duration age = now - *this->first;
    if (age < kUsual) return false;
    double usual_rate = this->usual / ToSeconds(kUsual) / (1 - HalfLifeDecay(age, kUsual));
    return this->present / ToSeconds(kPresent) >= kSurge * usual_rate;
  }

  std::optional<Time> first;
  std::optional<Time> last_read;
  Time counted_at{};
  double present = 0;
  double usual = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CALLER_HANDOFF_H_

// What engines in need get from a fleet of gateways, against the limits that they name.
//
// Each gateway is a real Fleet with its engines' notices, its directory of peers and its
// liveness; around it engines that name a limit for a while, callers, and datagrams that take
// time and are lost now and then.  Gateways may be killed, cut off, suspended or added meanwhile.
//
//   LimitTrialResult result = PlayLimits({.gateways = 103, .engines = 150});
//   // result.most_of_allowed: at most 1, by the users' bound
//
// A run depends on its options only, not on the machine.

#ifndef GULLWARD_TRIAL_LIMIT_TRIAL_H_
#define GULLWARD_TRIAL_LIMIT_TRIAL_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

struct LimitTrialOptions {
  size_t gateways = 5;
  // Of the gateways, how many start during the need.
  size_t added = 0;
  size_t engines = 18;
  size_t data_centres = 3;
  // Requests a second, of each gateway's callers.
  double requests_per_s = 10;
  // The share of the engines that name a limit from `need_from` until `need_to`, and the limit:
  // requests a second from all gateways.
  double limited_share = 0.25;
  double limit_per_s = 2.5;
  Duration need_from = seconds(5);
  Duration need_to = seconds(35);
  Duration length = seconds(50);
  // What engines work on a request before its answer begins.
  Duration work = milliseconds(80);
  // How long a datagram takes, and the share that is lost.
  Duration told_after = milliseconds(10);
  double datagrams_lost = 0.01;
  // Every so often each gateway in turn is killed and started again, cut off from the others,
  // or suspended, for `trouble_for`.
  Duration kill_every{};
  Duration kill_all_every{};
  Duration cut_every{};
  Duration suspend_every{};
  Duration trouble_for = seconds(2);
  // A gateway in trouble is excused until so long after it.
  Duration excused_for = seconds(3);
  bool engine_notices = true;
  uint64_t seed = 1;
};

struct LimitTrialResult {
  uint64_t requests = 0;
  // Refused, since no engine takes one now.
  uint64_t refused = 0;
  // Of all windows of four seconds and all engines: what the engine got from gateways that it
  // had told, against one and a half times its limit and five requests; the greatest.
  double most_of_allowed = 0;
  // What engines in need got of what they were ready to take, from the moment on from which the
  // users' bound counts.
  double limit_used = 0;
  // From the end of the need until the last gateway knew it, in milliseconds; negative where
  // some never did.
  double lifted_after_ms = 0;
  // Sent for notices, by one gateway, a second of the need.
  double datagrams_per_s = 0;
  double bytes_per_s = 0;

  bool operator==(const LimitTrialResult&) const = default;
};

LimitTrialResult PlayLimits(const LimitTrialOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_LIMIT_TRIAL_H_

// Simulates a fleet in which engines state a limit of requests per second for a while, and
// measures how many requests the gateways send to these engines.
//
// Each gateway is a real Fleet with its engine notices, PeerDirectory and PeerLiveness.  The
// simulation adds the engines, callers, and datagrams that take time and of which some are lost.
// Gateways may be killed, partitioned, suspended or added during the run.
//
//   LimitTrialResult result = PlayLimits({.gateways = 103, .engines = 150});
//   // result.max_of_allowed: at most 1, by the users' bound
//
// Runs are deterministic: the result depends on the options only.

#ifndef GULLWARD_TRIAL_LIMIT_TRIAL_H_
#define GULLWARD_TRIAL_LIMIT_TRIAL_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

struct LimitTrialOptions {
  size_t gateways = 5;
  // How many of the gateways start only while the limit is in force.
  size_t added = 0;
  size_t engines = 18;
  size_t data_centres = 3;
  // Requests per second from the callers of each gateway.
  double requests_per_s = 10;
  // Share of the engines that state a limit from `limited_from` until `limited_until`, and the
  // limit in requests per second from all gateways together.
  double limited_share = 0.25;
  double limit_per_s = 2.5;
  Duration limited_from = seconds(5);
  Duration limited_until = seconds(35);
  Duration duration = seconds(50);
  // Time that an engine works on a request before it answers.
  Duration work = milliseconds(80);
  // Delay of a datagram, and the share of datagrams that is lost.
  Duration datagram_delay = milliseconds(10);
  double datagram_loss = 0.01;
  // Intervals at which the next gateway in turn is killed and restarted, partitioned from its
  // peers, or suspended, for `fault_duration`; `kill_all_interval` kills all gateways at once.
  // Zero means never.
  Duration kill_interval{};
  Duration kill_all_interval{};
  Duration partition_interval{};
  Duration suspend_interval{};
  Duration fault_duration = seconds(2);
  // Requests from a gateway are not counted against the bound during its fault and for this
  // long afterwards.
  Duration excluded_for = seconds(3);
  bool engine_notices = true;
  uint64_t seed = 1;
};

struct LimitTrialResult {
  uint64_t requests = 0;
  // Requests refused because no engine could take one.
  uint64_t refused = 0;
  // Requests that an engine received within four seconds from gateways that had received its
  // limit, divided by the number allowed: one and a half times the limit plus five requests.
  // The maximum over all engines and all windows of four seconds.
  double max_of_allowed = 0;
  // Requests that the limited engines received, divided by the number that their limits allow,
  // over the time in which the users' bound applies.
  double limit_used = 0;
  // Time from the end of the limit until no gateway applies it, in milliseconds; negative if
  // some gateway still applies it at the end of the run.
  double lifted_after_ms = 0;
  // Datagrams and bytes that one gateway sends for notices, per second while the limit is in
  // force.
  double datagrams_per_s = 0;
  double bytes_per_s = 0;

  bool operator==(const LimitTrialResult&) const = default;
};

LimitTrialResult PlayLimits(const LimitTrialOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_LIMIT_TRIAL_H_

// Measures how a topic of the store reaches all gateways as a fleet grows: how many calls to the
// store and how many reads between gateways it costs, and how long a change takes.
//
// The simulation runs without a network.  Each gateway uses the real PlaceInTree, TopicSources and
// RevalidationSchedule; the simulation adds the store, the reads that wait there and at peers,
// delays, gateways that are killed, frozen, or refused by the store for a while, and a store that
// is silent for a while, to all gateways or to the roots: it never answers the calls of that time.
//
//   RelayTrialResult result = PlayRelay({.gateways = 300});
//
// Runs are deterministic: the result depends on the options only.

#ifndef GULLWARD_TRIAL_RELAY_TRIAL_H_
#define GULLWARD_TRIAL_RELAY_TRIAL_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

struct RelayTrialOptions {
  size_t gateways = 30;
  size_t data_centres = 5;
  // Off: each gateway reads from the store.
  bool is_relayed = true;
  // Changes of the topic begin after `settled_after` and follow each other at this interval.
  Duration change_interval = seconds(2);
  Duration settled_after = seconds(4);
  Duration duration = seconds(40);
  // One way between two gateways, with the time that a slow box needs for a message; and from a
  // gateway to the store and back.
  Duration hop_delay = milliseconds(10);
  Duration store_delay = milliseconds(4);
  // Intervals at which a random gateway is killed and restarted, or frozen, for `fault_duration`.
  // Zero means never.
  Duration kill_interval{};
  Duration freeze_interval{};
  Duration fault_duration = seconds(3);
  // Share of the gateways that the store refuses from `refused_from` until `refused_until`.
  double refused_share = 0;
  Duration refused_from = seconds(10);
  Duration refused_until = seconds(20);
  // The store is silent for this long from `silent_from`.  No change is made meanwhile, unless it
  // is silent to the roots only.
  Duration silent_from = seconds(10);
  Duration silent_for{};
  bool is_silent_to_roots_only = false;
  // Off: a read that waits at the store is not sent again when the store answers after a silence.
  bool renews_reads = true;
  // Off: the roots do not ask the store now and then whether there is something newer; or the other
  // gateways never do.
  bool revalidates = true;
  bool revalidates_as_reader = true;
  // The time within which a change must be in force, from which the interval of that follows.
  Duration change_bound = seconds(2);
  uint64_t seed = 1;
};

struct RelayTrialResult {
  // Calls to the store: in all, those that were refused, and a second after `settled_after`.
  uint64_t store_calls = 0;
  uint64_t refused_calls = 0;
  double store_calls_per_s = 0;
  // Reads from peers, a second and gateway; and the answers of the busiest gateway relative to the
  // mean.
  double peer_reads_per_s = 0;
  double busiest_to_mean = 0;
  // Longest time from a change until a gateway that was up and not frozen all the while had it, and
  // the time until the first read of all gateways was complete.
  Duration longest_change{};
  Duration started_after{};

  bool operator==(const RelayTrialResult&) const = default;
};

RelayTrialResult PlayRelay(const RelayTrialOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_RELAY_TRIAL_H_

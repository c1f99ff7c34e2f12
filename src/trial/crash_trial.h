// Simulates a fleet in which some requests crash the engines that run them, and measures how
// many engines crash until these requests are in quarantine (serving/quarantine.h).
//
// Each gateway is a real SharedQuarantine.  The simulation adds engines with slots, callers that
// retry once, datagrams that take 1 to 5 ms and of which some are lost, and the store, which
// keeps what is in quarantine.  Some contents crash every engine that runs them, and some parts of
// prompts do, in requests that differ in content.  Harmless requests run beside them on the same
// engines and may share other parts with them, and racks of engines crash for other reasons.
// Gateways may be killed, partitioned or suspended during the run.
//
//   CrashTrialResult result = PlayCrashes({.gateways = 103, .engines = 150});
//   // result.max_sent_after: at most 3, by the users' bound
//
// Runs are deterministic: the result depends on the options only.

#ifndef GULLWARD_TRIAL_CRASH_TRIAL_H_
#define GULLWARD_TRIAL_CRASH_TRIAL_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

struct CrashTrialOptions {
  size_t gateways = 5;
  size_t engines = 18;
  int slots = 16;
  // Number of contents that crash engines, and requests per second with each of them.
  size_t crashing_contents = 1;
  double crashing_per_s = 4;
  // Number of parts that crash engines, and requests per second with each of them.  No two of these
  // requests have the same content.
  size_t crashing_parts = 0;
  double crashing_part_per_s = 4;
  // Number of harmless parts.  If it is not 0, each request holds one of them, before the part that
  // crashes engines.  If `one_first_part` is set, the requests that crash engines all hold the
  // same.
  size_t shared_parts = 0;
  bool one_first_part = false;
  // Time from the start of such a request on an engine until the engine crashes.
  Duration crash_after = milliseconds(60);
  // Time until an engine that crashed is up again, as a new incarnation.
  Duration restart_after = seconds(3);
  // Rate of all harmless requests together, and the time that an engine needs for one.  Each has
  // a content of its own, except for `hot_share`.
  double harmless_per_s = 40;
  Duration harmless_work = milliseconds(1500);
  // Share of the harmless requests that have one common content.
  double hot_share = 0;
  // Interval at which a third of the engines crashes at the same time.  Zero means never, here
  // and for the other intervals.
  Duration rack_crash_interval{};
  // Intervals at which the next gateway in turn is killed, partitioned from peers and store, or
  // suspended, for `fault_duration`.
  Duration kill_interval{};
  // Interval at which all gateways are killed at the same time.
  Duration kill_all_interval{};
  Duration partition_interval{};
  Duration suspend_interval{};
  Duration fault_duration = seconds(2);
  double datagram_loss = 0.01;
  Duration duration = seconds(60);
  // The users' bound counts what a gateway sends only if the gateway has been healthy for this
  // long.
  Duration healthy_after = seconds(3);
  bool quarantine = true;
  uint64_t seed = 1;
};

struct CrashTrialResult {
  // Engines that crashing requests have crashed; rack crashes are not counted.
  uint64_t engines_crashed = 0;
  // Requests that healthy gateways sent to engines later than `healthy_after` after the content
  // had crashed its third engine, or the part its fifth; the maximum over all that crash engines.
  uint64_t max_sent_after = 0;
  uint64_t crashing_requests = 0;
  uint64_t crashing_refused = 0;
  uint64_t harmless_requests = 0;
  uint64_t harmless_served = 0;
  // Harmless requests that were refused as crashing.
  uint64_t harmless_refused = 0;
  // Harmless contents and parts that at least one gateway had in quarantine at the end.
  uint64_t harmless_quarantined = 0;
  // Harmless requests that arrived later than twice `healthy_after` after a part had crashed its
  // fifth engine, and how many of them an engine began at the caller's first try.
  uint64_t later_harmless = 0;
  uint64_t later_harmless_begun = 0;
  // Time from the third crash of a content, or the fifth of a part, until every healthy gateway has
  // it in quarantine, in milliseconds; the maximum over all.  0 if none was in quarantine at all of
  // them.
  double quarantined_everywhere_ms = 0;
  // Datagrams and bytes of crash gossip that one gateway sent in the whole run; the mean over
  // all gateways.
  double datagrams_per_gateway = 0;
  double bytes_per_gateway = 0;

  bool operator==(const CrashTrialResult&) const = default;
};

CrashTrialResult PlayCrashes(const CrashTrialOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_CRASH_TRIAL_H_

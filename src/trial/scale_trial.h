// What the choice of engines costs, and how well it spreads work, as a fleet grows.
//
// Gateways choose for themselves, on what they have heard of each other a moment ago.
// This trial plays that without a network: each gateway is a real Fleet, arrivals are a
// Poisson process at each, every change of a gateway's work is told to whom
// PeerDirectory names, and arrives after a delay.  What the engines really run is kept
// beside it and compared with nothing else: the same arrivals, the same delay, whatever
// mechanisms are on.
//
//   ScaleResult result = PlayScale({.gateways = 100, .engines = 1000});
//
// A run depends on its options only, not on the machine.

#ifndef GULLWARD_TRIAL_SCALE_TRIAL_H_
#define GULLWARD_TRIAL_SCALE_TRIAL_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "serving/mechanisms.h"

namespace gullward {

struct ScaleOptions {
  size_t gateways = 30;
  size_t engines = 300;
  size_t data_centres = 5;
  // Requests that one engine runs at a time.
  int slots = 10;
  // Requests a second at each gateway, of `prompt_tokens` and `answer_ms` each.
  double requests_per_s = 2.7;
  double prompt_tokens = 5000;
  Duration answer = milliseconds(1700);
  // From a change of a gateway's work until a peer counts it: the network, and the time
  // that a slow box needs to get to it.
  Duration told_after = milliseconds(30);
  Duration length = seconds(6);
  uint64_t seed = 1;
  Mechanisms mechanisms;
};

struct ScaleResult {
  uint64_t requests = 0;
  // Engines that a decision priced, mean.
  double candidates = 0;
  // Datagrams that a gateway sent a second, mean, and bytes of them.
  double datagrams_per_s = 0;
  double bytes_per_s = 0;
  // Words of peers that one gateway kept at the end, the most.
  size_t words_kept = 0;
  // Arrivals at the engine that got most, over the mean.
  double busiest_to_mean = 0;
  // Share of arrivals that found every slot taken, though there was room elsewhere.
  double found_full = 0;

  bool operator==(const ScaleResult&) const = default;
};

ScaleResult PlayScale(const ScaleOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_SCALE_TRIAL_H_

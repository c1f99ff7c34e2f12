// Measures what the choice of engines costs, and how evenly it spreads work, as a fleet grows.
//
// Each gateway chooses engines independently, based on the loads that its peers sent a moment
// ago.  The simulation runs without a network: each gateway is a real Fleet, requests arrive at
// each gateway as a Poisson process, and every change of a gateway's load is sent to the members
// that PeerDirectory selects and arrives after a delay.  The trial also tracks the requests that
// each engine really runs.  Arrivals and delays are the same whichever mechanisms are on.
//
//   ScaleResult result = PlayScale({.gateways = 100, .engines = 1000});
//
// Runs are deterministic: the result depends on the options only.

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
  // Requests that one engine runs at the same time.
  int slots = 10;
  // Requests per second at each gateway; each has a prompt of `prompt_tokens` and occupies its
  // slot for `answer`.
  double requests_per_s = 2.7;
  double prompt_tokens = 5000;
  Duration answer = milliseconds(1700);
  // Time from a change of a gateway's load until a peer has applied it: the network delay, and
  // the time until a slow box processes the datagram.
  Duration datagram_delay = milliseconds(30);
  Duration duration = seconds(6);
  uint64_t seed = 1;
  Mechanisms mechanisms;
};

struct ScaleResult {
  uint64_t requests = 0;
  // Mean number of engines whose cost was computed for one request.
  double candidates = 0;
  // Mean number of datagrams, and of bytes in them, that a gateway sent per second.
  double datagrams_per_s = 0;
  double bytes_per_s = 0;
  // Loads of peers that one gateway kept at the end; the maximum over all gateways.
  size_t peer_loads_kept = 0;
  // Arrivals at the engine with the most arrivals, divided by the mean over all engines.
  double busiest_to_mean = 0;
  // Share of the arrivals at an engine with no free slot while another engine had one.
  double found_full = 0;

  bool operator==(const ScaleResult&) const = default;
};

ScaleResult PlayScale(const ScaleOptions& options);

}  // namespace gullward

#endif  // GULLWARD_TRIAL_SCALE_TRIAL_H_

// Chooses the engine, or the engines, that a request costs least on.
//
// Short and vast prompts share the engines.  An engine works in passes: it reads
// the prompts that wait, then writes a few tokens for every running request.  So
// a vast prompt that one engine reads makes every stream on that engine pause
// for the whole of the reading.  Each candidate is therefore priced by what it
// does to the request itself (the wait for its first event, against its
// objective) and to the streams that already run there (a pause that gets longer
// than they tolerate).  A prompt may be read by several engines in equal parts;
// every number of parts up to a bound is priced too, and the cheapest wins.
//
// Shorts are packed: a decode step costs nearly the same for one stream as for
// many, so among equals the engine that comes first in an order that all
// processes share is taken.  Engines at the end of that order stay free of
// streams, and vast prompts are read there.  Nobody sets the border: it moves
// with the load.
//
//   Placement placement = Choose(candidates, speed, demand);
//   if (placement.engines.empty()) ...      // none would do
//
// Choose decides by its arguments only.

#ifndef GULLWARD_SERVING_PLACEMENT_H_
#define GULLWARD_SERVING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/engine_load.h"
#include "serving/serving_config.h"

namespace gullward {

// What a request asks of an engine.
struct Demand {
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // The route's aims for the first event and for the longest pause.
  double objective_ms = 300;
  double pause_ms = 0;
  // Whether the caller seems to have been refused before: it waits for a shorter
  // time than the route allows.
  bool was_refused_before = false;
  // Set where the request was on an engine that ended: such requests do not fill engines in
  // the shared order but in one of their own each, by this hash.  They would meet again on
  // the next engine, and if one of them ends that too, nobody could tell which.
  std::optional<uint64_t> scatter_hash;

  bool operator==(const Demand&) const = default;
};

// An engine that may run a request, or help to read its prompt.
struct Candidate {
  std::string engine;
  EngineLoad load;
  // Requests that it runs at a time.
  int slots = 1;
  bool same_data_centre = false;
  // 0 to 1: how often it has failed of late.
  double failure_rate = 0;
  // Its place in the order that all processes share, 0 to 1.
  double rank = 0;
  // Whether it may read parts of prompts that run on other engines.
  bool may_help = true;

  bool operator==(const Candidate&) const = default;
};

// Which engines a request goes to, and what is expected of that.
struct Placement {
  // The first runs the request; the others help to read its prompt.  Indices
  // into the candidates.
  std::vector<size_t> engines;
  // Whether the readers also hold a share of the prompt in their memory.
  bool spreads_memory = false;
  // Tokens of memory that each engine holds; where not spread, the first alone.
  double memory_tokens = 0;
  // Milliseconds that each of them reads.
  double part_reading_ms = 0;
  // Milliseconds for which a slot has to be waited for; more than none only where every
  // engine's are taken.
  double slot_wait_ms = 0;
  // When the first event is expected, in milliseconds from now.
  double first_event_ms = 0;
  // In units of a short request's worth.
  double cost = 0;
  // The part of the cost that streams on the engines bear.
  double cost_to_streams = 0;
  // How busy all candidates are, 0 to 1, and the engine time that it takes, in
  // seconds.
  double utilization = 0;
  double engine_seconds = 0;

  bool operator==(const Placement&) const = default;
};

// Most engines that may read one prompt together.
inline constexpr int kMostReaders = 16;

// Milliseconds that one engine needs to read a whole prompt.
double ReadingMs(const EngineSpeed& speed, double prompt_tokens);

// Milliseconds that an engine spends on writing in one pass.
double WritingPassMs(const EngineSpeed& speed, const EngineLoad& load);

// Which parts of the method are used; mechanisms.h tells what each falls back to.
struct PlacementOptions {
  bool spread_reading = true;
  bool gather_streams = true;

  bool operator==(const PlacementOptions&) const = default;
};

// For engines that run models.
Placement Choose(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                 const Demand& demand, const PlacementOptions& options = {});

// For plain services: the least loaded for its slots.
Placement ChooseLeastLoaded(const std::vector<Candidate>& candidates);

}  // namespace gullward

#endif  // GULLWARD_SERVING_PLACEMENT_H_

// Chooses the engine or engines on which a request has the lowest cost.
//
// Short and very long prompts share the engines.  An engine works in passes: it reads the prompts
// that wait, then writes a few tokens for every running request.  A very long prompt that is read
// by one engine therefore makes every stream on that engine pause for the whole reading.
//
// Each candidate is priced by the loss it causes (engine_costs.h): to the request itself, whose
// first event may come later than its objective, and to the streams that already run there, whose
// pause may become longer than they tolerate.  A prompt may be read by several engines in equal
// parts.  Every number of readers up to a bound is priced, and the cheapest placement is taken.
//
// Short prompts are packed: a decode step takes nearly the same time for one stream as for many.
// Among engines of equal cost the first in an order that all gateways share is taken.  Engines at
// the end of that order stay free of streams, and very long prompts are read there.  There is no
// fixed border between the two; it moves with the load.
//
//   Placement placement = Choose(candidates, speed, demand);
//   if (placement.engines.empty()) ...      // no candidate can run the request
//
// The functions here are pure: the result depends on the arguments only.

#ifndef GULLWARD_SERVING_PLACEMENT_H_
#define GULLWARD_SERVING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/engine_load.h"
#include "serving/serving_config.h"

namespace gullward {

// The value earned in one second of an engine when all engines are busy, averaged over the kinds
// of requests that share them, where nothing else is known.  The unit is the value of a short
// request.
inline constexpr double kDefaultValuePerEngineSecond = 8;

// The terms on which a request may be refused for its cost to others.
struct RefusalTerms {
  // What a second of an engine is worth to the other requests of the service.
  double value_per_engine_second = kDefaultValuePerEngineSecond;
  // The request may cost others this many times its own value.
  double value_factor = 1;
  // Engine seconds, per engine of the service, that are kept for callers who were told to return
  // and go before this request.
  double reserved_seconds_per_engine = 0;
  // Whether the caller returns at the time that it was told, and so goes before newcomers.
  bool is_promised = false;
  // Time left until the caller gives up, in milliseconds; 0 if unknown.
  double time_left_ms = 0;
  // How many times more than to requests of its own rank the engine time is worth to more urgent
  // ones that were refused or late lately (overload/ranks.h).
  double engine_time_factor = 1;

  bool operator==(const RefusalTerms&) const = default;
};

// What a request needs of an engine.
struct Demand {
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // The route's objective for the first event and for the longest pause, in milliseconds.
  double objective_ms = 300;
  double pause_ms = 0;
  // Whether the caller has probably been refused before: its timeout is shorter than the route
  // allows.
  bool was_refused_before = false;
  // Set if the request was on an engine that crashed.  Each such request ranks the engines in an
  // order of its own, by this hash, instead of the shared order.  In the shared order they would
  // all be packed onto the same next engine, and if one of them crashed it, the crashing request
  // could not be told from the others.
  std::optional<uint64_t> scatter_hash;
  // How many ranks the request is behind the most urgent one of its service; 0 where ranks are
  // equal (overload/ranks.h).
  int rank_steps = 0;
  // The same for the least urgent request of the service; 0 where ranks are equal.
  int last_rank_steps = 0;
  // What refusal.h weighs the request by.
  RefusalTerms refusal = {};

  bool operator==(const Demand&) const = default;
};

// An engine that may run a request or read a part of its prompt.
struct Candidate {
  std::string engine;
  EngineLoad load;
  // Requests that the engine runs at a time.
  int slots = 1;
  bool same_data_centre = false;
  // Recent failure rate, 0 to 1.
  double failure_rate = 0;
  // Position in the order that all gateways share, 0 to 1.
  double rank = 0;
  // Whether the engine may read parts of prompts of requests that run on other engines.
  bool may_help = true;
  // How many times longer than published the engine takes for its work (overload/engine_pace.h).
  double pace = 1;

  bool operator==(const Candidate&) const = default;
};

// The engines that a request goes to, and the expected times and costs.
struct Placement {
  // Indices into the candidates.  The first engine runs the request; the others are readers, each
  // of which reads a part of the prompt.
  std::vector<size_t> engines;
  // Whether the readers also hold a part of the prompt in their memory.
  bool spreads_memory = false;
  // Tokens of memory on each engine, or on the first alone if the memory is not spread.
  double memory_tokens = 0;
  // Reading time on each engine at the published speed, in milliseconds.
  double part_reading_ms = 0;
  // Expected wait for a slot, in milliseconds; above zero only if all slots of every engine are
  // in use.
  double slot_wait_ms = 0;
  // Expected time from now to the first event, in milliseconds.
  double first_event_ms = 0;
  // Total cost.  The unit is the value of a short request.
  double cost = 0;
  // The part of `cost` that is caused to streams already on the engines.
  double cost_to_streams = 0;
  // Mean utilization of all candidates, 0 to 1.
  double utilization = 0;
  // Engine time that the request takes, in seconds.
  double engine_seconds = 0;

  bool operator==(const Placement&) const = default;
};

// Maximum number of engines that read one prompt together.
inline constexpr int kMaxReaders = 16;

// Milliseconds that one engine takes to read a whole prompt.
double ReadingMs(const EngineSpeed& speed, double prompt_tokens);

// Milliseconds of one pass that an engine spends on writing.
double WritingPassMs(const EngineSpeed& speed, const EngineLoad& load);

// Parts of the method that can be switched off; mechanisms.h describes the fallbacks.
struct PlacementOptions {
  bool spread_reading = true;
  bool gather_streams = true;

  bool operator==(const PlacementOptions&) const = default;
};

// Chooses among engines that run models.
Placement Choose(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                 const Demand& demand, const PlacementOptions& options = {});

// Chooses the engine with the fewest requests per slot, for services that do not run models.
Placement ChooseLeastLoaded(const std::vector<Candidate>& candidates);

}  // namespace gullward

#endif  // GULLWARD_SERVING_PLACEMENT_H_

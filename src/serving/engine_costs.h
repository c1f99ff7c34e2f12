// The cost model of placement.h: what a request costs on an engine.
//
// A cost is a loss of value, and its unit is the value of a short request of the same rank; streams
// of other ranks weigh more or less (overload/ranks.h).  Each function below prices one cause of
// loss: the request waits, its own stream pauses, other streams pause, memory or slots are short,
// or the engine fails.  placement.cc adds the costs up and compares them.

#ifndef GULLWARD_SERVING_ENGINE_COSTS_H_
#define GULLWARD_SERVING_ENGINE_COSTS_H_

#include <vector>

#include "serving/engine_load.h"
#include "serving/placement.h"
#include "serving/serving_config.h"

namespace gullward {

// Share of its value that an answer loses by being late (three quarters, by the data sheets of both
// users).
inline constexpr double kLateLoss = 0.75;
// A small preference for the own data centre, which decides among engines of equal cost only.
inline constexpr double kOtherDataCentreCost = 0.01;
// Multiplies the failure rate.  An engine that always fails costs more than the whole value of
// the request.
inline constexpr double kFailureWeight = 2.0;
// An engine with this much reading left counts as fully used.
inline constexpr double kFullUseReadingMs = 1000;

// Milliseconds of one decode step with so many running requests and tokens of context.
double StepMs(const EngineSpeed& speed, int requests, double context_tokens);

// Time in milliseconds that the engine still reads, at its pace.  The load counts the time that has
// passed, of which a slow engine needs more than the published reading time.
double RemainingReadingMs(const Candidate& candidate);

// The value of a request with a prompt of `tokens` tokens.
double RequestValue(double tokens);

// How late `ms` is for an objective of `aim` milliseconds, from 0 (in time) to 1.  Lateness
// begins at the share `safety` of the objective and rises linearly from there, since both figures
// are estimates.
double Lateness(double ms, double aim, double safety);

// The cost to the streams on an engine of `reading_ms` more reading, for a request that is
// `rank_steps` behind the most urgent rank.
double CostToOthers(const EngineSpeed& speed, const Candidate& candidate, double reading_ms,
                    int rank_steps);

// How much `reading_ms` of reading delays the streams on an engine: the sum of their values, each
// times the ratio of the reading to the pause that the stream tolerates.  A delay is not a loss by
// itself, but the streams end later and are still there at the next reading.
double StreamDelayCost(const EngineLoad& load, double reading_ms, int rank_steps);

// Milliseconds that a new request waits for a slot.  Slots become free one by one, as answers
// end.
double SlotWaitMs(const EngineSpeed& speed, const Candidate& candidate);

// Milliseconds to the first event of a request if the candidate reads for `reading_ms` of it.
double FirstEventMs(const EngineSpeed& speed, const Candidate& candidate, double reading_ms);

// The cost to the request itself of a first event after `first_event_ms`.
double CostOfWaiting(const EngineSpeed& speed, const Demand& demand, double first_event_ms);

// The maximum number of engines that are useful for reading a prompt in parts.  It is 1 for a
// prompt that is read within one pass.
int UsefulReaders(const EngineSpeed& speed, const Demand& demand);

// The cost of running the request itself on a candidate, without CostOfWaiting.  `shares` states
// how the reading and the memory are divided.
double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares);

// The cost of a candidate's reading a part of a prompt for another engine, without CostOfWaiting.
double CostAsReader(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                    const Placement& shares);

// The mean utilization of the candidates, 0 to 1.
double MeanUtilization(const std::vector<Candidate>& candidates);

// Engine time that a request takes, in seconds.
double EngineSeconds(const EngineSpeed& speed, const Demand& demand);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_COSTS_H_

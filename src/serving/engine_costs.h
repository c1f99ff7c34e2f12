// The cost model of placement.h: what a request costs on an engine, in units of a
// short request's worth.
//
// A cost is worth that is lost.  Each function below prices one cause of loss:
// the request waits, its stream pauses, other streams pause, memory or slots are
// short, the engine fails.  placement.cc adds them up and compares.

#ifndef GULLWARD_SERVING_ENGINE_COSTS_H_
#define GULLWARD_SERVING_ENGINE_COSTS_H_

#include <vector>

#include "serving/engine_load.h"
#include "serving/placement.h"
#include "serving/serving_config.h"

namespace gullward {

// Share of the worth that a late answer loses (both users' sheets: three quarters).
inline constexpr double kLateLoss = 0.75;
// Small preferences, that decide among equals only: here, for the own data centre.
inline constexpr double kOtherDataCentreCost = 0.01;
// An engine that always fails costs as much as the request is worth, and more.
inline constexpr double kFailureWeight = 2.0;

// What a request with a prompt of so many tokens is worth.
double RequestValue(double tokens);

// How late `ms` is against `aim` (milliseconds too), from 0 (in time) to 1, with a
// slope around the aim since both are estimates.  Lateness begins at the share
// `safety` of the aim.
double Lateness(double ms, double aim, double safety);

// The cost of adding `reading_ms` to one engine, for the streams already there.
double CostToOthers(const EngineSpeed& speed, const Candidate& candidate, double reading_ms);

// How much streams are held up by so much reading: their worth times the reading's
// share of the pause that they tolerate.  No loss yet, but they end later and are there
// for the next reading too.
double StreamDelayCost(const EngineLoad& load, double reading_ms);

// Milliseconds that a newcomer waits for a slot: they come free one by one, as
// answers end.
double SlotWaitMs(const EngineSpeed& speed, const Candidate& candidate);

// Milliseconds to the first event of a request of which the candidate reads
// `reading_ms`.
double FirstEventMs(const EngineSpeed& speed, const Candidate& candidate, double reading_ms);

// What it costs the request itself to wait so long for its first event.
double CostOfWaiting(const EngineSpeed& speed, const Demand& demand, double first_event_ms);

// How many engines, at most, a prompt gains by being read in parts: one that is read
// within a pass gains nothing.
int UsefulReaders(const EngineSpeed& speed, const Demand& demand);

// The cost of running the request itself on a candidate, but for its waiting.
// `shares` says how the reading and the memory are divided.
double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares);

// The cost of a candidate's reading a part of a prompt of this worth for another
// engine, but for the request's waiting.
double CostAsReader(const EngineSpeed& speed, const Candidate& candidate, double worth,
                    const Placement& shares);

// How busy engines are, 0 to 1, on the mean.
double Busy(const std::vector<Candidate>& candidates);

// Engine time that a request takes, in seconds.
double EngineSeconds(const EngineSpeed& speed, const Demand& demand);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_COSTS_H_

// The figures are from the users' sheets and from the published speeds of engines.

#include "serving/engine_costs.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gullward {
namespace {

// What a request is worth, by its size: the users' sheets give 1.3 for 5,000
// tokens, 3.1 for 45,000 and 22 for 210,000.
constexpr double kWorthBase = 0.8;
constexpr double kWorthPerToken = 1e-4;
// Predictions run this much short: a pass begins before the request arrives.
constexpr double kPauseSafety = 0.85;
// Share of the aim over which lateness rises from nothing to whole.
constexpr double kLatenessSlope = 0.5;
// Callers give up a stream that pauses for two seconds, and come back with the
// whole of it.
constexpr double kCallersLeaveMs = 1700;
// Share of the aim from which a first event is taken for late: it has more to wait
// for than is known, such as work that others sent in the same instant.
constexpr double kWaitSafety = 0.6;
// The same for prompts that take longer to read than one pass: others that come right
// after are read first, so that under bursts of them a first event may take twice the
// predicted time.  More engines then read each of them.
constexpr double kLongReadSafety = 0.3;
// Small preferences, that decide among equals only: for an early first event, for a
// place in the shared order, for each reader.
constexpr double kWaitWeight = 0.05;
constexpr double kRankWeight = 0.15;
constexpr double kReaderCost = 0.01;
// Slots kept free of packing, since the others' newest work is not known yet.
constexpr int kSpareSlots = 2;
// Cost of each request beyond that, as a share of the request's worth.
constexpr double kCrowdWeight = 0.2;
// An engine with so much to read counts as busy.
constexpr double kBusyReadingMs = 1000;
// Share of an engine's memory that is given out: answers grow while they run.
constexpr double kMemoryShare = 0.95;

// What the streams of an engine lose if their pause becomes `pause_ms`.
double HarmToStreams(const EngineLoad& load, double pause_ms) {
  double harm = 0;
  for (const PauseClass& streams : load.streams) {
    double mean_context = streams.context_tokens / streams.streams;
    double worth = RequestValue(mean_context) * streams.streams;
    double late = kLateLoss * Lateness(pause_ms, streams.pause_ms, kPauseSafety);
    harm += worth * (pause_ms > kCallersLeaveMs ? 1 : late);
  }
  return harm;
}

// The cost of memory that the engine has not got: it would put the request, or
// another one, back to its start.
double MemoryCost(const EngineSpeed& speed, const Candidate& candidate, double tokens,
                  double worth) {
  if (speed.memory_tokens <= 0) return 0;
  double most = kMemoryShare * speed.memory_tokens;
  // More than even an empty engine has: not to be chosen at any price.
  if (tokens > most) return std::numeric_limits<double>::infinity();
  return candidate.load.context_tokens + tokens > most ? worth : 0;
}

// The cost of taking one of the last free slots, or none.
double CrowdCost(const Candidate& candidate, double worth) {
  int over = candidate.load.requests + 1 - std::max(candidate.slots - kSpareSlots, 1);
  return over > 0 ? kCrowdWeight * worth * over : 0;
}

}  // namespace

double ReadingMs(const EngineSpeed& speed, double prompt_tokens) {
  double million_pairs = prompt_tokens * prompt_tokens / 2 / 1e6;
  return prompt_tokens / speed.prefill_tokens_per_ms +
         speed.prefill_ms_per_million_pairs * million_pairs;
}

double WritingPassMs(const EngineSpeed& speed, const EngineLoad& load) {
  if (load.writers == 0) return 0;
  double step = speed.step_ms + speed.step_ms_per_request * load.writers +
                speed.step_ms_per_thousand_context * load.context_tokens / 1000;
  return step * speed.steps_per_pass;
}

double RequestValue(double tokens) { return kWorthBase + kWorthPerToken * tokens; }

double Lateness(double ms, double aim, double safety) {
  if (aim <= 0) return 0;
  return std::clamp((ms / aim - safety) / kLatenessSlope, 0.0, 1.0);
}

double CostToOthers(const EngineSpeed& speed, const Candidate& candidate, double reading_ms) {
  double pass_ms = WritingPassMs(speed, candidate.load) + candidate.load.RemainingReadingMs();
  double before = HarmToStreams(candidate.load, pass_ms);
  return HarmToStreams(candidate.load, pass_ms + reading_ms) - before;
}

double StreamDelayCost(const EngineLoad& load, double reading_ms) {
  double hold_up = 0;
  for (const PauseClass& streams : load.streams) {
    double worth = RequestValue(streams.context_tokens / streams.streams) * streams.streams;
    hold_up += worth * reading_ms / std::max(streams.pause_ms, 1.0);
  }
  return hold_up;
}

double SlotWaitMs(const EngineSpeed& speed, const Candidate& candidate) {
  int over = candidate.load.requests + 1 - candidate.slots;
  if (over <= 0) return 0;
  double step = speed.step_ms + speed.step_ms_per_request * candidate.slots +
                speed.step_ms_per_thousand_context * candidate.load.context_tokens / 1000;
  double answer_ms = speed.usual_answer_tokens * step;
  return over * answer_ms / candidate.slots;
}

double FirstEventMs(const EngineSpeed& speed, const Candidate& candidate, double reading_ms) {
  double pass_ms = WritingPassMs(speed, candidate.load);
  // Half of a running pass, what waits to be read, the reading, and the steps
  // that come before the event of its own.
  double wait_ms = candidate.load.writers > 0 ? pass_ms / 2 : 0;
  double steps_ms = std::max(pass_ms, speed.steps_per_pass * speed.step_ms);
  return wait_ms + SlotWaitMs(speed, candidate) + candidate.load.RemainingReadingMs() + reading_ms +
         steps_ms;
}

int UsefulReaders(const EngineSpeed& speed, const Demand& demand) {
  double pass_ms = speed.step_ms * speed.steps_per_pass;
  double reading_ms = ReadingMs(speed, demand.prompt_tokens);
  double passes = std::ceil(reading_ms / std::max(pass_ms, 1.0));
  return static_cast<int>(std::clamp<double>(passes, 1, kMostReaders));
}

double CostOfWaiting(const EngineSpeed& speed, const Demand& demand, double first_event_ms) {
  bool long_read = UsefulReaders(speed, demand) > 1;
  double safety = long_read ? kLongReadSafety : kWaitSafety;
  double late = Lateness(first_event_ms, demand.objective_ms, safety);
  double small = kWaitWeight * first_event_ms / std::max(demand.objective_ms, 1.0);
  return kLateLoss * RequestValue(demand.prompt_tokens) * late + small;
}

double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares) {
  double worth = RequestValue(demand.prompt_tokens);
  double cost = kFailureWeight * worth * candidate.failure_rate;
  cost += CrowdCost(candidate, worth);
  cost += MemoryCost(speed, candidate, shares.memory_tokens, worth);
  cost += candidate.same_data_centre ? 0 : kOtherDataCentreCost;
  // Vast prompts go to the far end of the order that shorts fill from the front.
  bool vast = ReadingMs(speed, demand.prompt_tokens) > demand.pause_ms / 2;
  cost += kRankWeight * (vast ? 1 - candidate.rank : candidate.rank);
  // What is being read there now will have been read when this request writes.
  double own_pause = WritingPassMs(speed, candidate.load);
  cost += kLateLoss * worth * Lateness(own_pause, demand.pause_ms, kPauseSafety);
  return cost + CostToOthers(speed, candidate, shares.part_reading_ms);
}

double CostAsReader(const EngineSpeed& speed, const Candidate& candidate, double worth,
                    const Placement& shares) {
  double cost = kReaderCost + kRankWeight * (1 - candidate.rank);
  cost += kFailureWeight * worth * candidate.failure_rate;
  if (shares.spreads_memory) cost += MemoryCost(speed, candidate, shares.memory_tokens, worth);
  return cost + CostToOthers(speed, candidate, shares.part_reading_ms);
}

double Busy(const std::vector<Candidate>& candidates) {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    double slots = static_cast<double>(candidate.load.requests) / std::max(candidate.slots, 1);
    double reading = candidate.load.RemainingReadingMs() / kBusyReadingMs;
    sum += std::min(std::max(slots, reading), 1.0);
  }
  return sum / static_cast<double>(std::max<size_t>(candidates.size(), 1));
}

double EngineSeconds(const EngineSpeed& speed, const Demand& demand) {
  // A step is made for all who write, so one more costs only what it adds to each.
  double added_per_step =
      speed.step_ms_per_request + speed.step_ms_per_thousand_context * demand.prompt_tokens / 1000;
  double writing_ms = speed.usual_answer_tokens * added_per_step;
  return (ReadingMs(speed, demand.prompt_tokens) + writing_ms) / 1000;
}

}  // namespace gullward

// The constants come from the users' data sheets and from the published speeds of engines.

#include "serving/engine_costs.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "overload/ranks.h"

namespace gullward {
namespace {

// The value of a request is linear in the length of its prompt.  The users' data sheets give 1.3
// for 5,000 tokens, 3.1 for 45,000 and 22 for 210,000.
constexpr double kValueBase = 0.8;
constexpr double kValuePerToken = 1e-4;
// The share of the tolerated pause at which lateness begins.  Predicted pauses are too short,
// since a pass begins before the request arrives.
constexpr double kPauseSafety = 0.85;
// Share of the objective over which lateness rises from 0 to 1.
constexpr double kLatenessSlope = 0.5;
// The pause above which a stream's whole value counts as lost.  Callers give up a stream that
// pauses for two seconds and then send the whole request again.
constexpr double kMaxToleratedPauseMs = 1700;
// Share of the objective from which a first event counts as late.  The true wait is longer than
// the known load suggests, for instance because of work that other gateways have just sent.
constexpr double kFirstEventSafety = 0.6;
// The same for prompts that take longer to read than one pass.  Prompts that arrive right
// after are read first, so in a burst a first event may take twice the predicted time.  The lower
// share also makes more engines read each of these prompts.
constexpr double kLongReadSafety = 0.3;
// Small preferences, which decide among engines of equal cost only: for an early first event, for
// a position in the shared order, and for fewer readers.
constexpr double kEarlyEventWeight = 0.05;
constexpr double kRankWeight = 0.15;
constexpr double kReaderCost = 0.01;
// Slots that packing leaves free, since the newest work of other gateways is not known yet.
constexpr int kSpareSlots = 2;
// Cost of each request that uses one of these slots or waits for a slot, as a share of its
// value.
constexpr double kCrowdingWeight = 0.2;
// Share of an engine's memory that is assigned to requests; the rest is left free because
// answers grow while they run.
constexpr double kMemoryShare = 0.95;

// The value of a class of streams to a request that is `rank_steps` behind the most urgent rank.
double StreamValue(const PauseClass& streams, int rank_steps) {
  double mean_context = streams.context_tokens / streams.streams;
  return RelativeWeight(streams.rank_steps, rank_steps) * RequestValue(mean_context) *
         streams.streams;
}

// The value that the streams on an engine lose if their pause becomes `pause_ms`.
double StreamLoss(const EngineLoad& load, double pause_ms, int rank_steps) {
  double loss = 0;
  for (const PauseClass& streams : load.streams) {
    double value = StreamValue(streams, rank_steps);
    double late_loss = kLateLoss * Lateness(pause_ms, streams.pause_ms, kPauseSafety);
    loss += value * (pause_ms > kMaxToleratedPauseMs ? 1 : late_loss);
  }
  return loss;
}

// The cost of a request for which the engine lacks memory.  The engine would restart this request
// or another one from its beginning, so the cost is the value of the request.
double MemoryCost(const EngineSpeed& speed, const Candidate& candidate, double tokens,
                  double value) {
  if (speed.memory_tokens <= 0) return 0;
  double usable = kMemoryShare * speed.memory_tokens;
  // Even an empty engine does not have this much memory, so it is never chosen.
  if (tokens > usable) return std::numeric_limits<double>::infinity();
  return candidate.load.context_tokens + tokens > usable ? value : 0;
}

// The cost of taking one of the last free slots, or of waiting for a slot.
double CrowdingCost(const Candidate& candidate, double value) {
  int excess = candidate.load.requests + 1 - std::max(candidate.slots - kSpareSlots, 1);
  return excess > 0 ? kCrowdingWeight * value * excess : 0;
}

}  // namespace

double ReadingMs(const EngineSpeed& speed, double prompt_tokens) {
  double million_pairs = prompt_tokens * prompt_tokens / 2 / 1e6;
  return prompt_tokens / speed.prefill_tokens_per_ms +
         speed.prefill_ms_per_million_pairs * million_pairs;
}

double StepMs(const EngineSpeed& speed, int requests, double context_tokens) {
  return speed.step_ms + speed.step_ms_per_request * requests +
         speed.step_ms_per_thousand_context * context_tokens / 1000;
}

double WritingPassMs(const EngineSpeed& speed, const EngineLoad& load) {
  if (load.writers == 0) return 0;
  return StepMs(speed, load.writers, load.context_tokens) * speed.steps_per_pass;
}

double RemainingReadingMs(const Candidate& candidate) {
  return std::max(candidate.pace * candidate.load.reading_ms - candidate.load.read_ms, 0.0);
}

double RequestValue(double tokens) { return kValueBase + kValuePerToken * tokens; }

double Lateness(double ms, double aim, double safety) {
  if (aim <= 0) return 0;
  return std::clamp((ms / aim - safety) / kLatenessSlope, 0.0, 1.0);
}

double CostToOthers(const EngineSpeed& speed, const Candidate& candidate, double reading_ms,
                    int rank_steps) {
  double pass_ms =
      candidate.pace * WritingPassMs(speed, candidate.load) + RemainingReadingMs(candidate);
  double loss_before = StreamLoss(candidate.load, pass_ms, rank_steps);
  double pass_after_ms = pass_ms + candidate.pace * reading_ms;
  return StreamLoss(candidate.load, pass_after_ms, rank_steps) - loss_before;
}

double StreamDelayCost(const EngineLoad& load, double reading_ms, int rank_steps) {
  double delay = 0;
  for (const PauseClass& streams : load.streams) {
    delay += StreamValue(streams, rank_steps) * reading_ms / std::max(streams.pause_ms, 1.0);
  }
  return delay;
}

double SlotWaitMs(const EngineSpeed& speed, const Candidate& candidate) {
  int excess = candidate.load.requests + 1 - candidate.slots;
  if (excess <= 0) return 0;
  double step_ms = StepMs(speed, candidate.slots, candidate.load.context_tokens);
  double answer_ms = candidate.pace * speed.usual_answer_tokens * step_ms;
  return excess * answer_ms / candidate.slots;
}

double FirstEventMs(const EngineSpeed& speed, const Candidate& candidate, double reading_ms) {
  double pass_ms = candidate.pace * WritingPassMs(speed, candidate.load);
  // The sum of: half of the running pass, the wait for a slot, the reading that is queued, the
  // reading of this prompt, and the decode steps before the first event.
  double wait_ms = candidate.load.writers > 0 ? pass_ms / 2 : 0;
  double steps_ms = std::max(pass_ms, candidate.pace * speed.steps_per_pass * speed.step_ms);
  return wait_ms + SlotWaitMs(speed, candidate) + RemainingReadingMs(candidate) +
         candidate.pace * reading_ms + steps_ms;
}

int UsefulReaders(const EngineSpeed& speed, const Demand& demand) {
  double pass_ms = speed.step_ms * speed.steps_per_pass;
  double reading_ms = ReadingMs(speed, demand.prompt_tokens);
  double passes = std::ceil(reading_ms / std::max(pass_ms, 1.0));
  return static_cast<int>(std::clamp<double>(passes, 1, kMaxReaders));
}

double CostOfWaiting(const EngineSpeed& speed, const Demand& demand, double first_event_ms) {
  bool is_long_read = UsefulReaders(speed, demand) > 1;
  double safety = is_long_read ? kLongReadSafety : kFirstEventSafety;
  double lateness = Lateness(first_event_ms, demand.objective_ms, safety);
  double preference = kEarlyEventWeight * first_event_ms / std::max(demand.objective_ms, 1.0);
  return kLateLoss * RequestValue(demand.prompt_tokens) * lateness + preference;
}

double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares) {
  double value = RequestValue(demand.prompt_tokens);
  double cost = kFailureWeight * value * candidate.failure_rate;
  cost += CrowdingCost(candidate, value);
  cost += MemoryCost(speed, candidate, shares.memory_tokens, value);
  cost += candidate.same_data_centre ? 0 : kOtherDataCentreCost;
  // Very long prompts go to the end of the order that short prompts fill from the front.
  bool is_very_long = ReadingMs(speed, demand.prompt_tokens) > demand.pause_ms / 2;
  cost += kRankWeight * (is_very_long ? 1 - candidate.rank : candidate.rank);
  // Only the writing time counts: the prompts being read there now will have been read by the
  // time this request writes.
  double own_pause = candidate.pace * WritingPassMs(speed, candidate.load);
  cost += kLateLoss * value * Lateness(own_pause, demand.pause_ms, kPauseSafety);
  return cost + CostToOthers(speed, candidate, shares.part_reading_ms, demand.rank_steps);
}

double CostAsReader(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                    const Placement& shares) {
  double value = RequestValue(demand.prompt_tokens);
  double cost = kReaderCost + kRankWeight * (1 - candidate.rank);
  cost += kFailureWeight * value * candidate.failure_rate;
  if (shares.spreads_memory) cost += MemoryCost(speed, candidate, shares.memory_tokens, value);
  return cost + CostToOthers(speed, candidate, shares.part_reading_ms, demand.rank_steps);
}

double MeanUtilization(const std::vector<Candidate>& candidates) {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    double slots = static_cast<double>(candidate.load.requests) / std::max(candidate.slots, 1);
    double reading = RemainingReadingMs(candidate) / kFullUseReadingMs;
    sum += std::min(std::max(slots, reading), 1.0);
  }
  return sum / static_cast<double>(std::max<size_t>(candidates.size(), 1));
}

double EngineSeconds(const EngineSpeed& speed, const Demand& demand) {
  // One decode step serves all requests that write, so a request costs only the time that it
  // adds to each step.
  double added_per_step =
      speed.step_ms_per_request + speed.step_ms_per_thousand_context * demand.prompt_tokens / 1000;
  double writing_ms = speed.usual_answer_tokens * added_per_step;
  return (ReadingMs(speed, demand.prompt_tokens) + writing_ms) / 1000;
}

}  // namespace gullward

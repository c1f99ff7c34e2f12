// Costs are in units of a short request's worth.

#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace gullward {
namespace {

// What a request is worth, by its size: the users' sheets give 1.3 for 5,000
// tokens, 3.1 for 45,000 and 22 for 210,000.
constexpr double kWorthBase = 0.8;
constexpr double kWorthPerToken = 1e-4;
// Share of the worth that a late answer loses (both sheets: three quarters).
constexpr double kLateLoss = 0.75;
// Predictions run this much short: a pass begins before the request arrives.
constexpr double kPauseSafety = 0.85;
// A first event has more to wait for than is known: work that others sent in the
// same instant, and prompts that come right after.
constexpr double kWaitSafety = 0.6;
constexpr double kLatenessSlope = 0.5;
// Callers give up a stream that pauses for two seconds, and come back with the
// whole of it.
constexpr double kCallersLeaveMs = 1700;
// Streams that arrive while the prompt is read pause too, and those that turn to
// other engines meet the next vast prompt there.
constexpr double kHarmWeight = 2;
// Small preferences, that decide among equals only: for an early first event,
// for a place in the shared order, for the own data centre, for each reader.
constexpr double kWaitWeight = 0.05;
constexpr double kRankWeight = 0.15;
constexpr double kOtherDataCentreCost = 0.01;
constexpr double kReaderCost = 0.01;
// An engine that always fails costs as much as the request is worth, and more.
constexpr double kFailureWeight = 2.0;
// Slots kept free of packing, since the others' newest work is not known yet.
constexpr int kSpareSlots = 2;
// Cost of each request beyond that, as a share of the request's worth.
constexpr double kCrowdWeight = 0.2;
// A placement that costs more than this share of the request's worth is put off:
// what a late answer still earns is a quarter of it.
constexpr double kDeferShare = 0.8;
// The same for a request that has been put off before: it is worth refusing only
// if it would cost others more than it is worth.
constexpr double kRefuseShare = 1.2;
// A wait for a slot of this share of the objective counts as the cause of a late
// answer.
constexpr double kHopelessSlotShare = 0.8;
// Share of an engine's memory that is given out: answers grow while they run.
constexpr double kMemoryShare = 0.95;
// A request that takes more of an engine than this is spread over its readers.
constexpr double kWholeShare = 0.6;

double WorthOf(double tokens) { return kWorthBase + kWorthPerToken * tokens; }

// How late `ms` is against `aim`, from 0 (in time) to 1, with a slope around the
// aim since both are estimates.
double Lateness(double ms, double aim, double safety) {
  if (aim <= 0) return 0;
  return std::clamp((ms / aim - safety) / kLatenessSlope, 0.0, 1.0);
}

// What the streams of an engine lose if their pause becomes `pause_ms`.
double HarmToStreams(const EngineLoad& load, double pause_ms) {
  double harm = 0;
  for (const PauseClass& streams : load.streams) {
    double mean_context = streams.context_tokens / streams.streams;
    double worth = kHarmWeight * WorthOf(mean_context) * streams.streams;
    double late = kLateLoss * Lateness(pause_ms, streams.pause_ms, kPauseSafety);
    harm += worth * (pause_ms > kCallersLeaveMs ? 1 : late);
  }
  return harm;
}

// The cost of adding `reading_ms` to one engine, for those already there.
double CostToOthers(const EngineSpeed& speed, const Candidate& candidate, double reading_ms) {
  double pass_ms = WritingPassMs(speed, candidate.load) + candidate.load.ToReadMs();
  double before = HarmToStreams(candidate.load, pass_ms);
  return HarmToStreams(candidate.load, pass_ms + reading_ms) - before;
}

// How long a newcomer waits for a slot: they come free one by one, as answers end.
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
  return wait_ms + SlotWaitMs(speed, candidate) + candidate.load.ToReadMs() + reading_ms +
         steps_ms;
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

double CrowdCost(const Candidate& candidate, double worth) {
  int over = candidate.load.requests + 1 - std::max(candidate.slots - kSpareSlots, 1);
  return over > 0 ? kCrowdWeight * worth * over : 0;
}

// The cost of running the request itself on a candidate.
double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares, double first_event_ms) {
  double worth = WorthOf(demand.prompt_tokens);
  double cost = kLateLoss * worth * Lateness(first_event_ms, demand.objective_ms, kWaitSafety);
  cost += kWaitWeight * first_event_ms / std::max(demand.objective_ms, 1.0);
  cost += kFailureWeight * worth * candidate.failure_rate;
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

// The best placement with exactly `readers` engines.
Placement ChooseWithReaders(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                            const Demand& demand, int readers) {
  Placement placement;
  placement.part_tokens = demand.prompt_tokens / readers;
  placement.part_reading_ms = ReadingMs(speed, demand.prompt_tokens) / readers;
  double memory = demand.prompt_tokens + demand.answer_tokens;
  placement.spreads_memory = readers > 1 && memory > kWholeShare * speed.memory_tokens;
  placement.memory_tokens = placement.spreads_memory ? std::ceil(memory / readers) : memory;
  placement.cost = std::numeric_limits<double>::infinity();
  std::vector<double> first_event(candidates.size());
  size_t best = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    first_event[i] = FirstEventMs(speed, candidates[i], placement.part_reading_ms);
    double cost =
        CostAsMain(speed, candidates[i], demand, placement, first_event[i]);
    if (cost >= placement.cost) continue;
    placement.cost = cost;
    best = i;
  }
  if (std::isinf(placement.cost)) return placement;
  placement.engines = {best};
  placement.first_event_ms = first_event[best];
  placement.slot_wait_ms = SlotWaitMs(speed, candidates[best]);
  if (readers == 1) return placement;

  double worth = WorthOf(demand.prompt_tokens);
  std::vector<size_t> order;
  std::vector<double> cost(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (i == best) continue;
    double late = Lateness(first_event[i], demand.objective_ms, kWaitSafety);
    cost[i] = CostAsReader(speed, candidates[i], worth, placement) +
              kLateLoss * worth * late + kWaitWeight * first_event[i] / demand.objective_ms;
    order.push_back(i);
  }
  size_t helpers = static_cast<size_t>(readers - 1);
  std::partial_sort(order.begin(), order.begin() + static_cast<long>(helpers), order.end(),
                    [&](size_t left, size_t right) { return cost[left] < cost[right]; });
  for (size_t i = 0; i < helpers; ++i) {
    placement.engines.push_back(order[i]);
    placement.cost += cost[order[i]];
    placement.first_event_ms = std::max(placement.first_event_ms, first_event[order[i]]);
  }
  return placement;
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

Placement Choose(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                 const Demand& demand) {
  Placement best;
  if (candidates.empty()) return best;
  best.cost = std::numeric_limits<double>::infinity();
  int most = std::min<int>(kMostReaders, static_cast<int>(candidates.size()));
  // A prompt that is read within one pass of decoding gains nothing by parts.
  double pass_ms = speed.step_ms * speed.steps_per_pass;
  double reading_ms = ReadingMs(speed, demand.prompt_tokens);
  int useful = static_cast<int>(std::ceil(reading_ms / std::max(pass_ms, 1.0)));
  for (int readers = 1; readers <= std::clamp(useful, 1, most); ++readers) {
    Placement placement = ChooseWithReaders(candidates, speed, demand, readers);
    if (!placement.engines.empty() && placement.cost < best.cost) best = placement;
  }
  return best;
}

bool IsHopeless(const Placement& placement, const Demand& demand) {
  double share = demand.came_back ? kRefuseShare : kDeferShare;
  if (placement.cost > share * WorthOf(demand.prompt_tokens)) return true;
  bool slots_bind = placement.slot_wait_ms > kHopelessSlotShare * demand.objective_ms;
  return slots_bind && placement.first_event_ms > demand.objective_ms;
}

Placement ChooseLeastLoaded(const std::vector<Candidate>& candidates) {
  Placement best;
  best.cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    double cost = static_cast<double>(candidate.load.requests + 1) / std::max(candidate.slots, 1);
    cost += kFailureWeight * candidate.failure_rate;
    cost += candidate.same_data_centre ? 0 : kOtherDataCentreCost;
    if (cost >= best.cost) continue;
    best.cost = cost;
    best.engines = {i};
  }
  return best;
}

}  // namespace gullward

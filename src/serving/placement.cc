// Costs are in units of a short request's worth.

#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>

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
// What a second of an engine earns when all are busy: shorts earn about nine,
// prompts of 210,000 tokens six and a half (both sheets' worths over the engine
// time that the published figures give).
constexpr double kWorthPerEngineSecond = 8;
// An engine with so much to read counts as busy.
constexpr double kBusyReadingMs = 1000;
// A request that was refused before may cost others so many times what it earns.
constexpr double kComeBackShare = 1.2;
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
  return wait_ms + SlotWaitMs(speed, candidate) + candidate.load.ToReadMs() + reading_ms + steps_ms;
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

// What it costs the request itself to wait so long for its first event.
double CostOfWaiting(const Demand& demand, double first_event_ms) {
  double late = Lateness(first_event_ms, demand.objective_ms, kWaitSafety);
  double small = kWaitWeight * first_event_ms / std::max(demand.objective_ms, 1.0);
  return kLateLoss * WorthOf(demand.prompt_tokens) * late + small;
}

// The cost of running the request itself on a candidate, but for its waiting.
double CostAsMain(const EngineSpeed& speed, const Candidate& candidate, const Demand& demand,
                  const Placement& shares) {
  double worth = WorthOf(demand.prompt_tokens);
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

// What a placement costs besides the lateness of the request itself.
struct ReaderCosts {
  std::vector<double> first_event_ms;
  std::vector<double> as_reader;
};

ReaderCosts PriceReaders(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                         const Demand& demand, const Placement& shares) {
  double worth = WorthOf(demand.prompt_tokens);
  ReaderCosts costs;
  for (const Candidate& candidate : candidates) {
    costs.first_event_ms.push_back(FirstEventMs(speed, candidate, shares.part_reading_ms));
    costs.as_reader.push_back(CostAsReader(speed, candidate, worth, shares));
  }
  return costs;
}

// The engine that the request itself costs least on, or none.
std::optional<size_t> ChooseMain(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                                 const Demand& demand, const ReaderCosts& costs,
                                 Placement* placement) {
  std::optional<size_t> best;
  placement->cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < candidates.size(); ++i) {
    double first_event_ms = costs.first_event_ms[i];
    double cost = CostAsMain(speed, candidates[i], demand, *placement) +
                  CostOfWaiting(demand, first_event_ms);
    if (cost >= placement->cost) continue;
    placement->cost = cost;
    best = i;
  }
  return best;
}

// The best placement with exactly `readers` engines.
Placement ChooseWithReaders(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                            const Demand& demand, int readers) {
  Placement placement;
  placement.part_reading_ms = ReadingMs(speed, demand.prompt_tokens) / readers;
  double memory = demand.prompt_tokens + demand.answer_tokens;
  placement.spreads_memory = readers > 1 && memory > kWholeShare * speed.memory_tokens;
  placement.memory_tokens = placement.spreads_memory ? std::ceil(memory / readers) : memory;

  ReaderCosts costs = PriceReaders(candidates, speed, demand, placement);
  std::optional<size_t> main = ChooseMain(candidates, speed, demand, costs, &placement);
  if (!main) return placement;
  placement.engines = {*main};
  placement.first_event_ms = costs.first_event_ms[*main];
  placement.slot_wait_ms = SlotWaitMs(speed, candidates[*main]);
  placement.harm = CostToOthers(speed, candidates[*main], placement.part_reading_ms);

  std::vector<size_t> others;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (i != *main) others.push_back(i);
  }
  auto price = [&](size_t i) {
    return costs.as_reader[i] + CostOfWaiting(demand, costs.first_event_ms[i]);
  };
  auto helpers = static_cast<long>(readers - 1);
  std::partial_sort(others.begin(), others.begin() + helpers, others.end(),
                    [&](size_t left, size_t right) { return price(left) < price(right); });
  // The slowest reader alone decides when the first event comes, so lateness is
  // paid once.
  placement.cost -= CostOfWaiting(demand, placement.first_event_ms);
  for (long i = 0; i < helpers; ++i) {
    size_t helper = others[static_cast<size_t>(i)];
    placement.engines.push_back(helper);
    placement.cost += costs.as_reader[helper];
    placement.harm += CostToOthers(speed, candidates[helper], placement.part_reading_ms);
    placement.first_event_ms = std::max(placement.first_event_ms, costs.first_event_ms[helper]);
  }
  placement.cost += CostOfWaiting(demand, placement.first_event_ms);
  return placement;
}

// How busy engines are, 0 to 1, on the mean.
double Busy(const std::vector<Candidate>& candidates) {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    double slots = static_cast<double>(candidate.load.requests) / std::max(candidate.slots, 1);
    double reading = candidate.load.ToReadMs() / kBusyReadingMs;
    sum += std::min(std::max(slots, reading), 1.0);
  }
  return sum / static_cast<double>(std::max<size_t>(candidates.size(), 1));
}

// Engine time that a request takes, in seconds.
double EngineSeconds(const EngineSpeed& speed, const Demand& demand) {
  double writing_ms = speed.usual_answer_tokens * speed.step_ms / std::max(speed.slots, 1);
  return (ReadingMs(speed, demand.prompt_tokens) + writing_ms) / 1000;
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
  best.busy = Busy(candidates);
  best.engine_seconds = EngineSeconds(speed, demand);
  return best;
}

bool ShouldRefuse(const Placement& placement, const Demand& demand) {
  double late = Lateness(placement.first_event_ms, demand.objective_ms, kWaitSafety);
  double earned = WorthOf(demand.prompt_tokens) * (1 - kLateLoss * late);
  double taken = kWorthPerEngineSecond * placement.engine_seconds;
  double price = placement.harm + placement.busy * placement.busy * taken;
  double share = demand.came_back ? kComeBackShare : 1;
  if (price > share * earned) return true;
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

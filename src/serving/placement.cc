// Prices every candidate with engine_costs.h, for each number of readers, and takes the cheapest
// placement.

#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "serving/engine_costs.h"

namespace gullward {
namespace {

// Weight of StreamDelayCost when engines are ranked for a long prompt.  The prompt runs on an
// engine that already has streams, and its readers are engines that have few.  As a result more
// engines have no streams and can read in long passes, and streams end sooner.  The weight applies
// to the ranking only, not to the cost: in the cost it would reduce the number of readers of each
// prompt.
constexpr double kGatheringWeight = 0.06;

// The memory of a request is spread over its readers if it takes more than this share of one
// engine's memory.
constexpr double kMaxUnspreadShare = 0.6;

// The arguments of Choose.
struct Problem {
  const std::vector<Candidate>& candidates;
  const EngineSpeed& speed;
  const Demand& demand;
  const PlacementOptions& options;
};

// For each candidate as a reader: the time to the first event, and the cost without
// CostOfWaiting.
struct ReaderCosts {
  std::vector<double> first_event_ms;
  std::vector<double> as_reader;
};

ReaderCosts PriceReaders(const Problem& problem, const Placement& shares) {
  ReaderCosts costs;
  for (const Candidate& candidate : problem.candidates) {
    costs.first_event_ms.push_back(FirstEventMs(problem.speed, candidate, shares.part_reading_ms));
    costs.as_reader.push_back(CostAsReader(problem.speed, candidate, problem.demand, shares));
  }
  return costs;
}

// How much better an engine ranks for running a long prompt, and how much worse for reading a
// part of one, because of the streams on it.
double GatheringTerm(const Problem& problem, size_t engine, const Placement& shares) {
  if (!problem.options.gather_streams) return 0;
  return kGatheringWeight * StreamDelayCost(problem.candidates[engine].load, shares.part_reading_ms,
                                            problem.demand.rank_steps);
}

// Chooses the engine that runs the request: the one of the lowest cost minus GatheringTerm.
// Stores its cost, without that term, in the placement.  Returns no value if no engine can run
// the request.
std::optional<size_t> ChooseMain(const Problem& problem, const ReaderCosts& costs,
                                 Placement* placement) {
  std::optional<size_t> best;
  double best_ranking = std::numeric_limits<double>::infinity();
  placement->cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < problem.candidates.size(); ++i) {
    double cost = CostAsMain(problem.speed, problem.candidates[i], problem.demand, *placement) +
                  CostOfWaiting(problem.speed, problem.demand, costs.first_event_ms[i]);
    double ranking = cost - GatheringTerm(problem, i, *placement);
    if (ranking >= best_ranking) continue;
    best_ranking = ranking;
    placement->cost = cost;
    best = i;
  }
  return best;
}

// Divides the reading among `readers` engines, and also the memory if it is too much for one
// engine.
Placement ShareAmong(int readers, const EngineSpeed& speed, const Demand& demand) {
  Placement placement;
  placement.part_reading_ms = ReadingMs(speed, demand.prompt_tokens) / readers;
  double memory = demand.prompt_tokens + demand.answer_tokens;
  placement.spreads_memory = readers > 1 && memory > kMaxUnspreadShare * speed.memory_tokens;
  placement.memory_tokens = placement.spreads_memory ? std::ceil(memory / readers) : memory;
  return placement;
}

// The `count` candidates other than `main` with the lowest sum of the cost as a reader and
// GatheringTerm; fewer if fewer may help.
std::vector<size_t> CheapestReaders(const Problem& problem, const ReaderCosts& costs,
                                    const Placement& shares, size_t main, long count) {
  std::vector<size_t> others;
  for (size_t i = 0; i < costs.as_reader.size(); ++i) {
    if (i != main && problem.candidates[i].may_help) others.push_back(i);
  }
  auto ranking = [&](size_t i) {
    return costs.as_reader[i] + GatheringTerm(problem, i, shares) +
           CostOfWaiting(problem.speed, problem.demand, costs.first_event_ms[i]);
  };
  count = std::min<long>(count, static_cast<long>(others.size()));
  std::partial_sort(others.begin(), others.begin() + count, others.end(),
                    [&](size_t left, size_t right) { return ranking(left) < ranking(right); });
  others.resize(static_cast<size_t>(count));
  return others;
}

// The best placement with exactly `readers` engines; without engines if there are fewer.
Placement ChooseWithReaders(const Problem& problem, int readers) {
  const auto& [candidates, speed, demand, options] = problem;
  Placement placement = ShareAmong(readers, speed, demand);
  ReaderCosts costs = PriceReaders(problem, placement);
  std::optional<size_t> main = ChooseMain(problem, costs, &placement);
  if (!main) return placement;
  placement.engines = {*main};
  placement.first_event_ms = costs.first_event_ms[*main];
  placement.slot_wait_ms = SlotWaitMs(speed, candidates[*main]);
  placement.cost_to_streams =
      CostToOthers(speed, candidates[*main], placement.part_reading_ms, demand.rank_steps);
  // The slowest engine alone determines the time of the first event, so the cost of waiting is
  // counted once, after the loop.
  placement.cost -= CostOfWaiting(speed, demand, placement.first_event_ms);
  std::vector<size_t> helpers = CheapestReaders(problem, costs, placement, *main, readers - 1);
  if (helpers.size() + 1 < static_cast<size_t>(readers)) return Placement{};
  for (size_t helper : helpers) {
    placement.engines.push_back(helper);
    placement.cost += costs.as_reader[helper];
    placement.cost_to_streams +=
        CostToOthers(speed, candidates[helper], placement.part_reading_ms, demand.rank_steps);
    placement.first_event_ms = std::max(placement.first_event_ms, costs.first_event_ms[helper]);
  }
  placement.cost += CostOfWaiting(speed, demand, placement.first_event_ms);
  return placement;
}

}  // namespace

Placement Choose(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                 const Demand& demand, const PlacementOptions& options) {
  Placement best;
  if (candidates.empty()) return best;
  Problem problem{candidates, speed, demand, options};
  best.cost = std::numeric_limits<double>::infinity();
  int useful = options.spread_reading ? UsefulReaders(speed, demand) : 1;
  int max_readers = std::min(useful, static_cast<int>(candidates.size()));
  for (int readers = 1; readers <= max_readers; ++readers) {
    Placement placement = ChooseWithReaders(problem, readers);
    if (!placement.engines.empty() && placement.cost < best.cost) best = placement;
  }
  best.utilization = MeanUtilization(candidates);
  best.engine_seconds = EngineSeconds(speed, demand);
  return best;
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

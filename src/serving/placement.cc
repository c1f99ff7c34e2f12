// Prices every candidate by engine_costs.h and takes the cheapest.

#include "serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "serving/engine_costs.h"

namespace gullward {
namespace {

// Streams are kept together: among engines that would do, a long prompt is sent to one
// that has streams already, and its helpers are those that have few.  So more engines
// have none and can read in long passes, and streams end sooner.  By how much a held-up
// stream weighs in these orders.  Not in the price: fewer engines would read each prompt.
constexpr double kTogetherWeight = 0.06;

// A request that takes more of an engine than this is spread over its readers.
constexpr double kWholeShare = 0.6;

// What is to be decided: for which request, among which engines, by which means.
struct Question {
  const std::vector<Candidate>& candidates;
  const EngineSpeed& speed;
  const Demand& demand;
  const PlacementOptions& options;
};

// What each candidate would cost as a reader, but for the request's waiting, and
// how long that waiting is.
struct ReaderCosts {
  std::vector<double> first_event_ms;
  std::vector<double> as_reader;
};

ReaderCosts PriceReaders(const Question& question, const Placement& shares) {
  double worth = RequestValue(question.demand.prompt_tokens);
  ReaderCosts costs;
  for (const Candidate& candidate : question.candidates) {
    costs.first_event_ms.push_back(FirstEventMs(question.speed, candidate, shares.part_reading_ms));
    costs.as_reader.push_back(CostAsReader(question.speed, candidate, worth, shares));
  }
  return costs;
}

// What makes an engine with streams the better one to run a long prompt, and the worse
// one to help with it.
double TogetherCost(const Question& question, size_t engine, const Placement& shares) {
  if (!question.options.gather_streams) return 0;
  return kTogetherWeight *
         StreamDelayCost(question.candidates[engine].load, shares.part_reading_ms);
}

// The engine to run the request itself: the one that costs least but for the preference
// for streams.  Its cost goes into the placement; none where no engine would do.
std::optional<size_t> ChooseMain(const Question& question, const ReaderCosts& costs,
                                 Placement* placement) {
  std::optional<size_t> best;
  double best_order = std::numeric_limits<double>::infinity();
  placement->cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < question.candidates.size(); ++i) {
    double cost = CostAsMain(question.speed, question.candidates[i], question.demand, *placement) +
                  CostOfWaiting(question.speed, question.demand, costs.first_event_ms[i]);
    double order = cost - TogetherCost(question, i, *placement);
    if (order >= best_order) continue;
    best_order = order;
    placement->cost = cost;
    best = i;
  }
  return best;
}

// How `readers` engines share the reading and, where it is too much for one, the
// memory of a request.
Placement ShareAmong(int readers, const EngineSpeed& speed, const Demand& demand) {
  Placement placement;
  placement.part_reading_ms = ReadingMs(speed, demand.prompt_tokens) / readers;
  double memory = demand.prompt_tokens + demand.answer_tokens;
  placement.spreads_memory = readers > 1 && memory > kWholeShare * speed.memory_tokens;
  placement.memory_tokens = placement.spreads_memory ? std::ceil(memory / readers) : memory;
  return placement;
}

// The `count` candidates besides `main` that cost least as readers, but for the
// preference for engines without streams; fewer where fewer help.
std::vector<size_t> CheapestReaders(const Question& question, const ReaderCosts& costs,
                                    const Placement& shares, size_t main, long count) {
  std::vector<size_t> others;
  for (size_t i = 0; i < costs.as_reader.size(); ++i) {
    if (i != main && question.candidates[i].may_help) others.push_back(i);
  }
  auto order = [&](size_t i) {
    return costs.as_reader[i] + TogetherCost(question, i, shares) +
           CostOfWaiting(question.speed, question.demand, costs.first_event_ms[i]);
  };
  count = std::min<long>(count, static_cast<long>(others.size()));
  std::partial_sort(others.begin(), others.begin() + count, others.end(),
                    [&](size_t left, size_t right) { return order(left) < order(right); });
  others.resize(static_cast<size_t>(count));
  return others;
}

// The best placement with exactly `readers` engines; it names none where fewer would read.
Placement ChooseWithReaders(const Question& question, int readers) {
  const auto& [candidates, speed, demand, options] = question;
  Placement placement = ShareAmong(readers, speed, demand);
  ReaderCosts costs = PriceReaders(question, placement);
  std::optional<size_t> main = ChooseMain(question, costs, &placement);
  if (!main) return placement;
  placement.engines = {*main};
  placement.first_event_ms = costs.first_event_ms[*main];
  placement.slot_wait_ms = SlotWaitMs(speed, candidates[*main]);
  placement.cost_to_streams = CostToOthers(speed, candidates[*main], placement.part_reading_ms);
  // The slowest reader alone decides when the first event comes, so lateness is
  // paid once.
  placement.cost -= CostOfWaiting(speed, demand, placement.first_event_ms);
  std::vector<size_t> helpers = CheapestReaders(question, costs, placement, *main, readers - 1);
  if (helpers.size() + 1 < static_cast<size_t>(readers)) return Placement{};
  for (size_t helper : helpers) {
    placement.engines.push_back(helper);
    placement.cost += costs.as_reader[helper];
    placement.cost_to_streams += CostToOthers(speed, candidates[helper], placement.part_reading_ms);
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
  Question question{candidates, speed, demand, options};
  best.cost = std::numeric_limits<double>::infinity();
  int useful = options.spread_reading ? UsefulReaders(speed, demand) : 1;
  int most = std::min(useful, static_cast<int>(candidates.size()));
  for (int readers = 1; readers <= most; ++readers) {
    Placement placement = ChooseWithReaders(question, readers);
    if (!placement.engines.empty() && placement.cost < best.cost) best = placement;
  }
  best.utilization = Busy(candidates);
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

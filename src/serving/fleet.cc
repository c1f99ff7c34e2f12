// fleet.h tells what it is for.

#include "serving/fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

// The order in which all processes fill engines: by a hash of the id, so that it
// is the same everywhere and an engine's place does not depend on the others.
uint64_t PackingOrder(const std::string& id) { return XXH64(id.data(), id.size(), 0); }

}  // namespace

Fleet::Fleet(const RetryBounds& bounds, std::string own_data_centre)
    : retry_bounds(bounds), data_centre(std::move(own_data_centre)) {}

RetryWindow& Fleet::RetriesOf(const std::string& service) {
  auto [found, is_new] = this->retries.try_emplace(service, this->retry_bounds);
  if (is_new && this->processes) found->second.SetProcesses(*this->processes);
  return found->second;
}

void Fleet::SetProcesses(size_t count) {
  this->processes = count;
  for (auto& [service, window] : this->retries) window.SetProcesses(count);
}

std::vector<const EngineRecord*> Fleet::Pickable(const std::string& service,
                                                 const std::set<std::string>& tried, Time now) {
  std::vector<const EngineRecord*> usable = this->engines.Usable(service, now);
  std::vector<const EngineRecord*> good;
  std::vector<const EngineRecord*> untried;
  for (const EngineRecord* engine : usable) {
    if (tried.count(engine->id) != 0) continue;
    untried.push_back(engine);
    if (!this->health[engine->id].IsOut(now)) good.push_back(engine);
  }
  if (!good.empty()) return good;
  // Engines that were set aside are better than none.
  return untried.empty() ? usable : untried;
}

std::optional<FleetChoice> Fleet::Choose(const Service& service, const Demand& demand,
                                         const std::set<std::string>& tried, Time now) {
  std::vector<const EngineRecord*> pickable = this->Pickable(service.name, tried, now);
  if (pickable.empty()) return std::nullopt;
  std::sort(pickable.begin(), pickable.end(),
            [](const EngineRecord* left, const EngineRecord* right) {
              return PackingOrder(left->id) < PackingOrder(right->id);
            });
  std::vector<Candidate> candidates;
  double last = std::max<double>(static_cast<double>(pickable.size()) - 1, 1);
  for (size_t i = 0; i < pickable.size(); ++i) {
    const EngineRecord& engine = *pickable[i];
    Candidate candidate;
    candidate.engine = engine.id;
    candidate.load = this->load_book.Of(engine.id, now);
    candidate.slots = engine.slots;
    candidate.same_data_centre = engine.data_centre == this->data_centre;
    candidate.failure_rate = this->health[engine.id].FailureRate(now);
    candidate.rank = static_cast<double>(i) / last;
    candidates.push_back(std::move(candidate));
  }
  FleetChoice choice;
  choice.placement = service.runs_models ? gullward::Choose(candidates, service.speed, demand)
                                         : ChooseLeastLoaded(candidates);
  choice.candidates = candidates.size();
  const std::vector<size_t>& chosen = choice.placement.engines;
  if (chosen.empty()) return std::nullopt;
  choice.engine = *pickable[chosen.front()];
  choice.load = candidates[chosen.front()].load;
  for (size_t i = 1; i < chosen.size(); ++i) choice.readers.push_back(*pickable[chosen[i]]);
  return choice;
}

void Fleet::ForgetUnlisted() {
  for (auto it = this->health.begin(); it != this->health.end();) {
    bool listed = this->engines.Find(it->first) != nullptr;
    it = listed ? std::next(it) : this->health.erase(it);
  }
}

}  // namespace gullward

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

Fleet::Fleet(const RetryBounds& bounds, std::string own_box, std::string own_data_centre,
             const Mechanisms& mechanisms, Time process_started)
    : retry_bounds(bounds),
      switches(mechanisms),
      started(process_started),
      data_centre(std::move(own_data_centre)),
      suspicion(std::move(own_box)) {}

RetryWindow& Fleet::RetriesOf(const std::string& service) {
  auto [found, is_new] = this->retries.try_emplace(service, this->retry_bounds, this->started);
  if (is_new && this->processes) found->second.SetProcesses(*this->processes);
  return found->second;
}

void Fleet::SetProcesses(size_t count) {
  this->processes = count;
  for (auto& [service, window] : this->retries) window.SetProcesses(count);
}

void Fleet::NoteFailure(const std::string& engine, bool unreachable, Time now) {
  EngineHealth& record = this->health[engine];
  if (unreachable || this->suspicion.Suspects(engine, now)) {
    record.AddCertainFailure(now);
  } else {
    record.AddFailure(now);
  }
}

std::set<std::string> Fleet::SetAside(Time now) const {
  std::set<std::string> set_aside;
  for (const auto& [engine, record] : this->health) {
    if (record.IsOut(now)) set_aside.insert(engine);
  }
  if (PeerSuspicion::IsInTrouble(set_aside.size(), this->engines.size())) return {};
  return set_aside;
}

void Fleet::HearSetAside(const std::string& peer, const std::set<std::string>& set_aside,
                         Time now) {
  if (!this->switches.peer_set_aside) return;
  this->suspicion.Hear(peer, set_aside, this->engines.size(), now);
}

// Whether an engine gets no work while there are others.
bool Fleet::Avoids(const std::string& engine, Time now) {
  const EngineHealth& record = this->health[engine];
  if (this->switches.own_set_aside && record.IsOut(now)) return true;
  return this->suspicion.Suspects(engine, now) && !record.SucceededLately(now);
}

std::vector<const EngineRecord*> Fleet::Pickable(const std::string& service,
                                                 const std::set<std::string>& tried, Time now) {
  std::vector<const EngineRecord*> usable = this->engines.Usable(service, now);
  std::vector<const EngineRecord*> good;
  std::vector<const EngineRecord*> untried;
  for (const EngineRecord* engine : usable) {
    std::string incarnation = engine->Incarnation();
    if (tried.count(incarnation) != 0) continue;
    untried.push_back(engine);
    if (!this->Avoids(incarnation, now)) good.push_back(engine);
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
    candidate.engine = engine.Incarnation();
    candidate.load = this->load_book.Of(candidate.engine, now);
    candidate.slots = engine.slots;
    candidate.same_data_centre = engine.data_centre == this->data_centre;
    candidate.failure_rate = this->health[candidate.engine].FailureRate(now);
    candidate.rank = this->switches.shared_order ? static_cast<double>(i) / last : 0;
    candidates.push_back(std::move(candidate));
  }
  FleetChoice choice;
  PlacementOptions options{this->switches.spread_reading, this->switches.gather_streams};
  choice.placement = service.runs_models
                         ? gullward::Choose(candidates, service.speed, demand, options)
                         : ChooseLeastLoaded(candidates);
  choice.candidates = candidates.size();
  const std::vector<size_t>& chosen = choice.placement.engines;
  if (chosen.empty()) return std::nullopt;
  choice.engine = *pickable[chosen.front()];
  choice.load = candidates[chosen.front()].load;
  for (size_t i = 1; i < chosen.size(); ++i) choice.readers.push_back(*pickable[chosen[i]]);
  return choice;
}

void Fleet::ForgetUnlisted(Time now) {
  this->suspicion.Tick(now);
  std::set<std::string> listed = this->engines.Incarnations();
  for (auto it = this->health.begin(); it != this->health.end();) {
    it = listed.count(it->first) != 0 ? std::next(it) : this->health.erase(it);
  }
}

}  // namespace gullward

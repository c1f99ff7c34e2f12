// What a fleet makes of engines' notices (engine_notices.h): who takes a request now, which part
// of a limit is this gateway's, and what the other gateways should hear.

#include <algorithm>
#include <utility>

#include "serving/fleet.h"

namespace gullward {

void Fleet::SetGateways(std::vector<GatewayName> others) {
  this->gateways_known = true;
  this->limit_shares.clear();
  this->work_plan.SetGateways(std::move(others));
}

void Fleet::SetSilentGateways(std::set<std::string> boxes) {
  if (boxes == this->silent_gateways) return;
  this->limit_shares.clear();
  this->silent_gateways = std::move(boxes);
}

// None while the other gateways are not known, since each of a fleet that starts together would
// take the whole limit; and none of engines outside the home cell, whose gateways share theirs.
double Fleet::ShareOfLimit(const EngineRecord& engine, const std::string& incarnation) {
  if (!this->gateways_known) return 0;
  if (this->limit_shares_of != this->work_plan.revision()) this->limit_shares.clear();
  this->limit_shares_of = this->work_plan.revision();
  auto [found, is_new] = this->limit_shares.try_emplace(incarnation, 0);
  if (!is_new) return found->second;
  const ServicePlan& plan = this->work_plan.ForService(engine.service);
  if (plan.cells.CellOf(engine) != plan.home) return 0;
  std::vector<std::string> others;
  for (const GatewayName& gateway : this->work_plan.known_gateways()) {
    bool works_on_it = plan.cells.HomeOf(gateway.box, gateway.data_centre) == plan.home &&
                       this->silent_gateways.count(gateway.box) == 0;
    if (works_on_it && gateway.box != this->box) others.push_back(gateway.box);
  }
  found->second = gullward::ShareOfLimit(incarnation, this->box, others);
  return found->second;
}

bool Fleet::Admits(const EngineRecord& engine, const std::string& incarnation, Time now) {
  bool is_bound = this->switches.engine_notices && this->engine_notices.Has(incarnation);
  if (!is_bound) return true;
  double share = this->ShareOfLimit(engine, incarnation);
  return this->engine_notices.Admits(incarnation, share, now);
}

// To read parts of other engines' prompts is load that no limit counts.
bool Fleet::MayHelp(const std::string& incarnation) const {
  return !this->switches.engine_notices || !this->engine_notices.LimitOf(incarnation);
}

bool Fleet::StillAdmits(const FleetChoice& choice, Time now) {
  if (!this->Admits(choice.engine, choice.engine.Incarnation(), now)) return false;
  return std::all_of(choice.readers.begin(), choice.readers.end(), [&](const auto& reader) {
    std::string incarnation = reader.Incarnation();
    return this->MayHelp(incarnation) && this->Admits(reader, incarnation, now);
  });
}

bool Fleet::ShouldKeepWaiting(const EngineRecord& engine, Time now) const {
  std::string incarnation = engine.Incarnation();
  const EngineRecord* known = this->engines.FindIncarnation(incarnation);
  if (known == nullptr || known->draining) return false;
  bool asked_off = this->engine_notices.IsLeaving(incarnation) ||
                   this->engine_notices.RestLeft(incarnation, now) > Duration::zero();
  return !asked_off || !this->switches.engine_notices;
}

void Fleet::NoteSent(const EngineRecord& engine, Time now) {
  std::string incarnation = engine.Incarnation();
  if (!this->engine_notices.Has(incarnation)) return;
  double share = this->ShareOfLimit(engine, incarnation);
  this->engine_notices.NoteSent(incarnation, share, now);
}

// All that a request may go to at all.
std::vector<HomeEngine> Fleet::EnginesFor(const Service& service, Time now) {
  const ServicePlan& home = this->plan(now).ForService(service.name);
  std::vector<HomeEngine> found = home.engines;
  if (home.cells.is_whole() || !service.runs_models) return found;
  std::vector<HomeEngine> others = this->OthersFor(service, /*any=*/found.empty(), now);
  found.insert(found.end(), others.begin(), others.end());
  return found;
}

bool Fleet::AllHoldBack(const Service& service, Time now) {
  if (this->engine_notices.empty()) return false;
  const std::vector<HomeEngine> all = this->EnginesFor(service, now);
  return !all.empty() && std::none_of(all.begin(), all.end(), [&](const HomeEngine& engine) {
    return this->Admits(engine.record, engine.incarnation, now);
  });
}

std::optional<Duration> Fleet::TimeUntilAdmission(const Service& service, Time now) {
  std::optional<Duration> soonest;
  for (const HomeEngine& engine : this->EnginesFor(service, now)) {
    double share = this->ShareOfLimit(engine.record, engine.incarnation);
    std::optional<Duration> opens =
        this->engine_notices.TimeUntilAdmission(engine.incarnation, share, now);
    if (opens && (!soonest || *opens < *soonest)) soonest = opens;
  }
  return soonest;
}

std::map<std::string, NoticeReport> Fleet::NoticesToSend(bool all, Time now) {
  auto is_sharer = [this](const std::string& incarnation) {
    const EngineRecord* engine = this->engines.FindIncarnation(incarnation);
    return engine != nullptr && this->ShareOfLimit(*engine, incarnation) > 0;
  };
  return this->engine_notices.ReportsToSend(all, is_sharer, now);
}

}  // namespace gullward

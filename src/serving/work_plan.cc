// work_plan.h tells what it is for.

#include "serving/work_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

uint64_t PackingOrder(const HomeEngine& engine) {
  return XXH64(engine.record.id.data(), engine.record.id.size(), 0);
}

// `self` works on the plan's home cell.
ServicePlan PlanFor(const std::vector<const EngineRecord*>& engines, CellMap cells,
                    const GatewayName& self) {
  ServicePlan plan;
  plan.cells = std::move(cells);
  plan.home = plan.cells.HomeOf(self.box, self.data_centre);
  for (const EngineRecord* engine : engines) {
    if (plan.cells.CellOf(*engine) != plan.home) continue;
    plan.engines.push_back({*engine, engine->Incarnation()});
  }
  std::sort(plan.engines.begin(), plan.engines.end(),
            [](const HomeEngine& left, const HomeEngine& right) {
              return PackingOrder(left) < PackingOrder(right);
            });
  return plan;
}

}  // namespace

WorkPlan::WorkPlan(std::string own_box, std::string own_data_centre, bool divide)
    : self{std::move(own_box), std::move(own_data_centre)}, divided(divide), gateways{self} {}

void WorkPlan::SetGateways(std::vector<GatewayName> others) {
  this->gateways = std::move(others);
  this->gateways.push_back(this->self);
  this->gateways_changed = true;
}

void WorkPlan::Follow(const EngineDirectory& directory) {
  bool changed = directory.revision() != this->followed || this->gateways_changed;
  if (!changed) return;
  this->followed = directory.revision();
  this->gateways_changed = false;
  this->plans += 1;
  std::map<std::string, std::vector<const EngineRecord*>> by_service;
  for (const EngineRecord* engine : directory.Usable()) {
    by_service[engine->service].push_back(engine);
  }
  this->services.clear();
  this->largest.clear();
  this->home_engines = 0;
  size_t most = 0;
  for (const auto& [service, engines] : by_service) {
    CellMap cells = this->divided ? CellMap(engines, this->gateways) : CellMap();
    ServicePlan plan = PlanFor(engines, std::move(cells), this->self);
    this->home_engines += plan.engines.size();
    this->services[service] = std::move(plan);
    if (engines.size() <= most) continue;
    most = engines.size();
    this->largest = service;
  }
}

const ServicePlan& WorkPlan::ForService(const std::string& service) const {
  static const ServicePlan* const none = new ServicePlan();
  auto found = this->services.find(service);
  return found == this->services.end() ? *none : found->second;
}

}  // namespace gullward

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

ServicePlan PlanFor(const std::vector<const EngineRecord*>& engines, bool divided,
                    const std::string& box, const std::string& data_centre) {
  ServicePlan plan;
  if (divided) plan.cells = CellMap(engines);
  plan.home = plan.cells.HomeOf(box, data_centre);
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
    : box(std::move(own_box)), data_centre(std::move(own_data_centre)), divided(divide) {}

void WorkPlan::Follow(const EngineDirectory& directory) {
  if (directory.revision() == this->followed) return;
  this->followed = directory.revision();
  std::map<std::string, std::vector<const EngineRecord*>> by_service;
  for (const EngineRecord* engine : directory.Usable()) {
    by_service[engine->service].push_back(engine);
  }
  this->services.clear();
  this->largest.clear();
  this->home_engines = 0;
  size_t most = 0;
  for (const auto& [service, engines] : by_service) {
    ServicePlan plan = PlanFor(engines, this->divided, this->box, this->data_centre);
    this->home_engines += plan.engines.size();
    this->services[service] = std::move(plan);
    if (engines.size() <= most) continue;
    most = engines.size();
    this->largest = service;
  }
}

const ServicePlan& WorkPlan::Of(const std::string& service) const {
  static const ServicePlan* const none = new ServicePlan();
  auto found = this->services.find(service);
  return found == this->services.end() ? *none : found->second;
}

}  // namespace gullward

// Selects the engines that a gateway works on: for each service, the engines of its home cell.
//
// The plan is computed from the list of engines whenever the list or the set of gateways changes.
// A choice for a request then looks only at the engines that may be chosen.  With 10,000 engines,
// going through the whole list for each request would take longer than serving the request
// justifies on a slow box.
//
//   WorkPlan plan("box-1", "hall-1");
//   plan.Update(directory);                      // does nothing if nothing has changed
//   for (const PlannedEngine& engine : plan.ForService("models").engines) ...

#ifndef GULLWARD_SERVING_WORK_PLAN_H_
#define GULLWARD_SERVING_WORK_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/cell_map.h"
#include "serving/engine_directory.h"

namespace gullward {

// An engine that may be chosen.  The name of its incarnation is stored so that it need not be
// formatted for each choice.
struct PlannedEngine {
  EngineRecord record;
  std::string incarnation;

  bool operator==(const PlannedEngine&) const = default;
};

// The plan for one service.
struct ServicePlan {
  CellMap cells;
  // This gateway's home cell.
  Cell home;
  // The engines of the home cell, in the order in which all gateways fill engines.  The order is
  // by a hash of the id: it is the same on every gateway, and an engine's place does not depend
  // on the other engines.
  std::vector<PlannedEngine> engines;
};

class WorkPlan {
 public:
  // Without `divided`, every service is one cell.
  WorkPlan(std::string own_box, std::string own_data_centre, bool divided = true);

  // Computes the plan anew if the directory or the set of gateways has changed.
  void Update(const EngineDirectory& directory);
  // Sets the other gateways of the fleet.
  void SetGateways(std::vector<GatewayName> others);

  // All known gateways, including this one.
  const std::vector<GatewayName>& known_gateways() const { return this->gateways; }

  // The plan for a service; an empty plan if no engine runs the service.
  const ServicePlan& ForService(const std::string& service) const;

  // The service with the most engines; empty if there are no engines.  Messages that are not about
  // a particular engine go to the gateways of this service's home cell.
  const std::string& main_service() const { return this->largest; }

  // Number of engines in all home cells.
  size_t engines() const { return this->home_engines; }

  // Increases with each new plan.
  uint64_t revision() const { return this->plans; }

 private:
  GatewayName self;
  bool divided;
  std::map<std::string, ServicePlan> services;
  std::string largest;
  size_t home_engines = 0;
  std::vector<GatewayName> gateways;
  bool gateways_changed = false;
  // The revision of the directory that the plan was computed from.
  uint64_t directory_revision = 0;
  uint64_t plans = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_WORK_PLAN_H_

// What a gateway works on: of each service, the engines of its home cell.
//
// The plan follows from the engines' list and is made anew when that changes, so that a
// decision looks only at the engines it may choose: at 10,000 engines a look at the whole
// list would take longer than a request on a slow box is worth.
//
//   WorkPlan plan("box-1", "hall-1");
//   plan.Follow(directory);                      // does nothing where nothing changed
//   for (const HomeEngine& engine : plan.Of("models").engines) ...

#ifndef GULLWARD_SERVING_WORK_PLAN_H_
#define GULLWARD_SERVING_WORK_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/cell_map.h"
#include "serving/engine_directory.h"

namespace gullward {

// An engine that may be chosen, with what a decision would else work out each time.
struct HomeEngine {
  EngineRecord record;
  std::string incarnation;

  bool operator==(const HomeEngine&) const = default;
};

// Of one service.
struct ServicePlan {
  CellMap cells;
  Cell home;
  // Those of the home cell, in the order in which all gateways fill engines: by a hash of
  // the id, so that it is the same everywhere and an engine's place does not depend on
  // the others.
  std::vector<HomeEngine> engines;
};

class WorkPlan {
 public:
  // `divided` off: every service is one cell.
  WorkPlan(std::string own_box, std::string own_data_centre, bool divided = true);

  // Takes over what has changed of the list.
  void Follow(const EngineDirectory& directory);
  // All other gateways that are known.
  void SetGateways(std::vector<GatewayName> others);

  // All gateways that are known, this one among them.
  const std::vector<GatewayName>& known_gateways() const { return this->gateways; }

  // An empty plan for a service that no engine runs.
  const ServicePlan& ForService(const std::string& service) const;

  // The service that most engines run; those who share its home cell are this gateway's
  // neighbours, to whom it tells what is not about one engine.
  const std::string& main_service() const { return this->largest; }

  // Engines of all home cells together.
  size_t engines() const { return this->home_engines; }

  // Rises with each new plan.
  uint64_t revision() const { return this->plans; }

 private:
  GatewayName self;
  bool divided;
  std::map<std::string, ServicePlan> services;
  std::string largest;
  size_t home_engines = 0;
  std::vector<GatewayName> gateways;
  bool gateways_changed = false;
  // The revision of the list that was followed last.
  uint64_t followed = 0;
  uint64_t plans = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_WORK_PLAN_H_

// Divides a large fleet into cells: sets of engines, each with the gateways that work on them.
//
// Gateways that choose among the same engines must report their work to each other.  The volume of
// these reports grows with the number of such gateways, and the cost of a choice with the number
// of engines.  A large fleet is therefore divided into cells of a bounded number of engines.  For
// each service a gateway has one home cell: it chooses among the engines of that cell and sends
// reports to the gateways of that cell only.
//
// There is no coordinator.  Each gateway computes the cells from the list of engines, which all
// gateways read, and from names:
//
//   - A fleet of up to kMaxUndividedEngines engines is one cell.
//   - In a larger fleet, each data centre with at least kMinAreaEngines engines is an area of its
//     own, so that reports stay within it.  The engines and gateways of each smaller data centre
//     join one of the areas, which a hash of the data centre's name selects.
//   - An area is divided into cells by a hash of the engine's id and of the gateway's box.  The
//     number of cells is the lowest power of two that leaves at most kMaxEngines engines in each
//     (on average), but it is halved until each cell has at least kMinGateways gateways: engines
//     in a cell without gateways would get no work.
//
// The size of a cell is thus bounded by kMaxEngines or by the number of engines for each few
// gateways, whichever is greater.  Neither grows with the fleet.  The division also reduces how
// many gateways choose the same engine in the same instant.
//
// Since the number of cells is a power of two, a change of it splits each cell in two or joins
// two cells; all other engines and gateways stay where they are.  Gateways that have read
// the list at different times may disagree on the cells.  Until both have read the same list, they
// receive fewer of each other's reports.
//
//   CellMap cells(engines_of_the_service, gateways);
//   Cell home = cells.HomeOf("box-7", "hall-1");
//   bool is_home_engine = cells.CellOf(engine) == home;

#ifndef GULLWARD_SERVING_CELL_MAP_H_
#define GULLWARD_SERVING_CELL_MAP_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "serving/engine_directory.h"

namespace gullward {

// Names one cell of a service.
struct Cell {
  // The data centre that the area is named after; empty if there is only one area.
  std::string area;
  // The number of cells in the area, and the index of this one.
  size_t parts = 1;
  size_t index = 0;

  auto operator<=>(const Cell&) const = default;
};

// The names from which a gateway's home cell follows.
struct GatewayName {
  std::string box;
  std::string data_centre;

  bool operator==(const GatewayName&) const = default;
};

class CellMap {
 public:
  // Maximum number of engines of an undivided fleet.  A choice among this many takes 0.2 ms.
  static constexpr size_t kMaxUndividedEngines = 72;
  // Maximum number of engines of one cell, on average over the area.
  static constexpr size_t kMaxEngines = 48;
  // Minimum number of engines of an area: as many as may read one prompt together (kMaxReaders),
  // so that the division does not reduce the readers of a prompt.
  static constexpr size_t kMinAreaEngines = 16;

  // Minimum number of gateways of a cell, so that the failure of one gateway leaves no cell
  // without any.
  static constexpr size_t kMinGateways = 2;

  CellMap() = default;
  // `gateways` are all known gateways, including this one.
  CellMap(const std::vector<const EngineRecord*>& engines,
          const std::vector<GatewayName>& gateways);

  // The cell of an engine, and the home cell of a gateway.
  Cell CellOf(const EngineRecord& engine) const;
  Cell HomeOf(const std::string& box, const std::string& data_centre) const;

  // Whether all engines are in one cell.
  bool is_whole() const { return this->areas.empty() && this->single_area_parts == 1; }

 private:
  void JoinCellsShortOfGateways(const std::vector<GatewayName>& gateways);
  size_t& PartsOf(const std::string& area);
  std::string AreaOf(const std::string& data_centre) const;
  Cell Locate(const std::string& name, const std::string& data_centre) const;

  // The number of cells of each area, by its data centre; empty if there is only one area.
  std::map<std::string, size_t> areas;
  // The number of cells of the only area, if `areas` is empty.
  size_t single_area_parts = 1;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CELL_MAP_H_

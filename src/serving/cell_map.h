// Which engines a gateway works on, and which gateways work on the same ones.
//
// Gateways that choose among the same engines have to tell each other of their work,
// so what each tells and hears grows with their number, and what it prices with the
// number of engines.  A large fleet is therefore divided into cells of a bounded number
// of engines.  A gateway has its home in one cell of each service: it chooses among the
// engines there and tells the gateways of that cell alone.
//
// Nobody assigns anything.  A cell follows from the engines' list, which all gateways
// read, and from names:
//
//   - a fleet of up to kWholeFleet engines is one cell;
//   - else each data centre with kLeastEngines or more is an area of its own, so that
//     telling stays within it; the engines and gateways of smaller ones join an area
//     that is drawn by their data centre's name;
//   - an area is divided by a hash, of the engine's id and of the gateway's box, into a
//     power of two of cells, as few as hold kMostEngines each, but into no more than leave
//     each cell kLeastGateways: engines in a cell without gateways would get no work.
//
// So what a cell holds is bounded by kMostEngines or by the engines that there are for
// each few gateways, whichever is more; neither grows with the fleet.
//
// Powers of two, so that when an area grows or shrinks past a bound each cell is cut in
// two or joined with one other, and nobody else moves.  Gateways that have read the list
// at different moments may disagree for as long; they then hear less of each other's
// work, which lasts until both have read it.
//
//   CellMap cells(engines_of_the_service, gateways);
//   Cell home = cells.HomeOf("box-7", "hall-1");
//   bool mine = cells.CellOf(engine) == home;
//
// What a gateway tells and prices then depends on its cell and not on the fleet, and fewer
// gateways choose the same engine in the same instant.

#ifndef GULLWARD_SERVING_CELL_MAP_H_
#define GULLWARD_SERVING_CELL_MAP_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "serving/engine_directory.h"

namespace gullward {

struct Cell {
  // The data centre that the area is named after; empty where there is one area only.
  std::string area;
  // In how many cells the area is divided, and which of them this is.
  size_t parts = 1;
  size_t index = 0;

  auto operator<=>(const Cell&) const = default;
};

// What places a gateway in a cell.
struct GatewayName {
  std::string box;
  std::string data_centre;

  bool operator==(const GatewayName&) const = default;
};

class CellMap {
 public:
  // Engines up to which a fleet is one cell: a decision that prices so many takes 0.2 ms.
  static constexpr size_t kWholeFleet = 72;
  // Engines of one cell at the most.
  static constexpr size_t kMaxEngines = 48;
  // Engines of an area at the least: as many as may read one prompt together, so that no
  // prompt is read by fewer for the division's sake.
  static constexpr size_t kLeastEngines = 16;

  // Gateways that each cell has at the least.  One that dies then leaves none without.
  static constexpr size_t kLeastGateways = 2;

  CellMap() = default;
  // `gateways` are all that are known, this one among them.
  CellMap(const std::vector<const EngineRecord*>& engines,
          const std::vector<GatewayName>& gateways);

  // The cell of an engine, and the one in which a gateway has its home.
  Cell CellOf(const EngineRecord& engine) const;
  Cell HomeOf(const std::string& box, const std::string& data_centre) const;

  // Whether all engines are in one cell.
  bool is_whole() const { return this->areas.empty() && this->parts_of_whole == 1; }

 private:
  void JoinEmptyCells(const std::vector<GatewayName>& gateways);
  size_t& PartsOf(const std::string& area);
  std::string AreaOf(const std::string& data_centre) const;
  Cell Locate(const std::string& name, const std::string& data_centre) const;

  // How many cells each area has, by its data centre; none where there is one area.
  std::map<std::string, size_t> areas;
  size_t parts_of_whole = 1;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CELL_MAP_H_

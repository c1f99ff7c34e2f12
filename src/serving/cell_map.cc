// cell_map.h tells the method.

#include "serving/cell_map.h"

#include <xxhash.h>

namespace gullward {
namespace {

uint64_t HashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

// The fewest cells, of a power of two, that so many engines fit into.
size_t PartsFor(size_t engines) {
  size_t parts = 1;
  while (engines > parts * CellMap::kMostEngines) parts *= 2;
  return parts;
}

}  // namespace

CellMap::CellMap(const std::vector<const EngineRecord*>& engines) {
  if (engines.size() <= kWholeFleet) return;
  std::map<std::string, size_t> by_data_centre;
  for (const EngineRecord* engine : engines) by_data_centre[engine->data_centre] += 1;
  for (const auto& [data_centre, count] : by_data_centre) {
    if (count >= kLeastEngines) this->areas[data_centre] = 1;
  }
  if (this->areas.empty()) {
    this->parts_of_whole = PartsFor(engines.size());
    return;
  }
  std::map<std::string, size_t> by_area;
  for (const auto& [data_centre, count] : by_data_centre)
    by_area[this->AreaOf(data_centre)] += count;
  for (auto& [area, parts] : this->areas) parts = PartsFor(by_area[area]);
}

Cell CellMap::CellOf(const EngineRecord& engine) const {
  return this->Locate(engine.id, engine.data_centre);
}

Cell CellMap::HomeOf(const std::string& box, const std::string& data_centre) const {
  return this->Locate(box, data_centre);
}

// The data centre's own area, or the one that it has joined.
std::string CellMap::AreaOf(const std::string& data_centre) const {
  if (this->areas.count(data_centre) != 0) return data_centre;
  auto drawn = static_cast<ptrdiff_t>(HashOf(data_centre) % this->areas.size());
  return std::next(this->areas.begin(), drawn)->first;
}

Cell CellMap::Locate(const std::string& name, const std::string& data_centre) const {
  if (this->areas.empty()) {
    return {"", this->parts_of_whole, HashOf(name) % this->parts_of_whole};
  }
  std::string area = this->AreaOf(data_centre);
  size_t parts = this->areas.at(area);
  return {area, parts, HashOf(name) % parts};
}

}  // namespace gullward

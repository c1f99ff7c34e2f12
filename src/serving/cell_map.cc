// cell_map.h tells the method.

#include "serving/cell_map.h"

#include <xxhash.h>

#include <algorithm>

namespace gullward {
namespace {

uint64_t HashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

// The fewest cells, of a power of two, that so many engines fit into.
size_t PartsFor(size_t engines) {
  size_t parts = 1;
  while (engines > parts * CellMap::kMaxEngines) parts *= 2;
  return parts;
}

// How many names the emptiest of so many cells has.
size_t FewestOf(const std::vector<uint64_t>& hashes, size_t parts) {
  std::vector<size_t> counts(parts, 0);
  for (uint64_t hash : hashes) counts[hash % parts] += 1;
  return *std::min_element(counts.begin(), counts.end());
}

}  // namespace

CellMap::CellMap(const std::vector<const EngineRecord*>& engines,
                 const std::vector<GatewayName>& gateways) {
  if (engines.size() <= kWholeFleet) return;
  std::map<std::string, size_t> by_data_centre;
  for (const EngineRecord* engine : engines) by_data_centre[engine->data_centre] += 1;
  for (const auto& [data_centre, count] : by_data_centre) {
    if (count >= kLeastEngines) this->areas[data_centre] = 1;
  }
  std::map<std::string, size_t> by_area;
  for (const auto& [data_centre, count] : by_data_centre) {
    by_area[this->AreaOf(data_centre)] += count;
  }
  for (const auto& [area, count] : by_area) this->PartsOf(area) = PartsFor(count);
  this->JoinEmptyCells(gateways);
}

size_t& CellMap::PartsOf(const std::string& area) {
  return this->areas.empty() ? this->parts_of_whole : this->areas.at(area);
}

// Halves the division of each area until every cell of it has enough gateways.
void CellMap::JoinEmptyCells(const std::vector<GatewayName>& gateways) {
  std::map<std::string, std::vector<uint64_t>> hashes_of;
  for (const auto& [area, parts] : this->areas) hashes_of[area];
  if (this->areas.empty()) hashes_of[""];
  for (const GatewayName& gateway : gateways) {
    hashes_of[this->AreaOf(gateway.data_centre)].push_back(HashOf(gateway.box));
  }
  for (const auto& [area, hashes] : hashes_of) {
    size_t& parts = this->PartsOf(area);
    while (parts > 1 && FewestOf(hashes, parts) < kLeastGateways) parts /= 2;
  }
}

Cell CellMap::CellOf(const EngineRecord& engine) const {
  return this->Locate(engine.id, engine.data_centre);
}

Cell CellMap::HomeOf(const std::string& box, const std::string& data_centre) const {
  return this->Locate(box, data_centre);
}

// The data centre's own area, or the one that it has joined.
std::string CellMap::AreaOf(const std::string& data_centre) const {
  if (this->areas.empty()) return "";
  if (this->areas.count(data_centre) != 0) return data_centre;
  auto drawn = static_cast<ptrdiff_t>(HashOf(data_centre) % this->areas.size());
  return std::next(this->areas.begin(), drawn)->first;
}

Cell CellMap::Locate(const std::string& name, const std::string& data_centre) const {
  std::string area = this->AreaOf(data_centre);
  size_t parts = this->areas.empty() ? this->parts_of_whole : this->areas.at(area);
  return {area, parts, HashOf(name) % parts};
}

}  // namespace gullward

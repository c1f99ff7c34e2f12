// The order of the gateways is by a hash of the box, seeded with a hash of the engine's name.

#include "serving/limit_share.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace gullward {
namespace {

// The sort key of a gateway in the engine's order.  Boxes with the same hash are ordered by name.
std::pair<uint64_t, std::string> SortKey(const std::string& box, uint64_t engine_hash) {
  return {XXH3_64bits_withSeed(box.data(), box.size(), engine_hash), box};
}

}  // namespace

double ShareOfLimit(const std::string& engine, const std::string& own_box,
                    const std::vector<std::string>& others) {
  uint64_t engine_hash = XXH3_64bits(engine.data(), engine.size());
  auto own_key = SortKey(own_box, engine_hash);
  size_t preceding = 0;
  for (const std::string& box : others) {
    if (SortKey(box, engine_hash) < own_key) preceding += 1;
  }
  if (preceding >= kSharers) return 0;
  return 1.0 / static_cast<double>(std::min(kSharers, others.size() + 1));
}

}  // namespace gullward

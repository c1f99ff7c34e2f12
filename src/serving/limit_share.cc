// limit_share.h tells the method.

#include "serving/limit_share.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace gullward {
namespace {

// A gateway's place in the engine's order; boxes of one hash come in the order of their names.
std::pair<uint64_t, std::string> PlaceOf(const std::string& box, uint64_t engine_hash) {
  return {XXH3_64bits_withSeed(box.data(), box.size(), engine_hash), box};
}

}  // namespace

double ShareOfLimit(const std::string& engine, const std::string& own_box,
                    const std::vector<std::string>& others) {
  uint64_t engine_hash = XXH3_64bits(engine.data(), engine.size());
  auto own_place = PlaceOf(own_box, engine_hash);
  size_t before = 0;
  for (const std::string& box : others) {
    if (PlaceOf(box, engine_hash) < own_place) before += 1;
  }
  if (before >= kSharers) return 0;
  return 1.0 / static_cast<double>(std::min(kSharers, others.size() + 1));
}

}  // namespace gullward

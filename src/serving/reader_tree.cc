// The gateways of a tree are ordered by a hash of the box.  The roots of other trees are ordered by
// a hash that differs for each gateway, so that not all ask the same one.

#include "serving/reader_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace gullward {
namespace {

// Each box once, ordered by a hash with this seed.
std::vector<std::string> Ordered(const std::vector<std::string>& boxes, uint64_t seed) {
  std::vector<std::pair<uint64_t, std::string>> keyed;
  for (const std::string& box : boxes) {
    keyed.emplace_back(XXH3_64bits_withSeed(box.data(), box.size(), seed), box);
  }
  std::sort(keyed.begin(), keyed.end());
  keyed.erase(std::unique(keyed.begin(), keyed.end()), keyed.end());
  std::vector<std::string> ordered;
  for (auto& [hash, box] : keyed) ordered.push_back(std::move(box));
  return ordered;
}

// The name of the tree that small data centres share.
const std::string kSharedTree;

// The boxes of each tree, by the name of its data centre.
std::map<std::string, std::vector<std::string>> TreesOf(const GatewayName& self,
                                                        const std::vector<GatewayName>& gateways) {
  std::map<std::string, std::set<std::string>> by_data_centre;
  for (const GatewayName& gateway : gateways) {
    by_data_centre[gateway.data_centre].insert(gateway.box);
  }
  by_data_centre[self.data_centre].insert(self.box);
  std::map<std::string, std::vector<std::string>> trees;
  for (const auto& [data_centre, boxes] : by_data_centre) {
    std::vector<std::string>& tree = trees[boxes.size() < kMinTree ? kSharedTree : data_centre];
    tree.insert(tree.end(), boxes.begin(), boxes.end());
  }
  return trees;
}

// The position of the parent of the gateway at `position`, which is not one of the roots.
size_t ParentOf(size_t position, size_t roots) {
  size_t level_begin = roots;
  size_t level_size = roots * kChildren;
  size_t above_begin = 0;
  while (position >= level_begin + level_size) {
    above_begin = level_begin;
    level_begin += level_size;
    level_size *= kChildren;
  }
  size_t above_size = level_begin - above_begin;
  return above_begin + (position - level_begin) % above_size;
}

}  // namespace

ReaderPlace PlaceInTree(const GatewayName& self, const std::vector<GatewayName>& gateways) {
  std::map<std::string, std::vector<std::string>> trees = TreesOf(self, gateways);
  const std::string& own_tree = trees.count(self.data_centre) != 0 ? self.data_centre : kSharedTree;
  std::vector<std::string> ordered = Ordered(trees[own_tree], /*seed=*/0);
  auto found = std::find(ordered.begin(), ordered.end(), self.box);
  size_t position = static_cast<size_t>(found - ordered.begin());
  ReaderPlace place;
  place.has_children = ordered.size() >= kMinTree;
  size_t roots = std::max(kRootsPerTree, (kMinRoots + trees.size() - 1) / trees.size());
  if (!place.has_children) roots = ordered.size();
  place.reads_store = position < roots;
  while (position >= roots) {
    position = ParentOf(position, roots);
    place.sources.push_back(ordered[position]);
  }
  for (size_t root = 0; root < roots; ++root) {
    if (root != position) place.sources.push_back(ordered[root]);
  }
  if (!place.reads_store) return place;
  std::vector<std::string> remote_roots;
  for (const auto& [tree, boxes] : trees) {
    if (tree == own_tree) continue;
    std::vector<std::string> others = Ordered(boxes, /*seed=*/0);
    others.resize(std::min(roots, others.size()));
    remote_roots.insert(remote_roots.end(), others.begin(), others.end());
  }
  for (std::string& root : Ordered(remote_roots, XXH3_64bits(self.box.data(), self.box.size()))) {
    place.sources.push_back(std::move(root));
  }
  return place;
}

}  // namespace gullward

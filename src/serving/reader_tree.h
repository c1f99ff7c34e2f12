// Decides from whom a gateway reads the topics of the store.
//
// If every gateway read each topic at the store, each change would cost one call for each gateway,
// and the calls would grow with the fleet.  Instead, the gateways of a data centre form a tree. The
// first few of them, the roots, read from the store; every other gateway reads from its parent,
// which passes on what it has read (gateway/topic_relay.h).  The calls then grow with the number of
// data centres and of changes only.  Data centres with fewer than kMinTree gateways share one tree.
// In a tree that is smaller than that all are roots: there is little to save, and the few roots
// might all be refused by the store.
//
// There is no coordinator.  Each gateway computes its place from the names of the gateways:
//
//   - The gateways of a tree are ordered by a hash of the box.
//   - The order is divided into levels.  The first has the roots and each further one kChildren
//     times as many as the one before, so no gateway passes a topic on to more than
//     kChildren others.  The gateways of a level have those of the level above as their parents in
//     turn.  The members of a cell are thus spread over the subtrees of all roots, and notice when
//     one subtree lags behind.
//   - A gateway that cannot reach its parent reads from the next ancestor, then from the other
//     roots.  A root that the store refuses reads from the other roots, then from those of other
//     trees.
//
// Gateways that know different sets of gateways may compute different trees, and two of them may
// take each other for the parent.  topic_sources.h describes how that is detected.
//
//   ReaderPlace place = PlaceInTree({"box-1", "hall-1"}, gateways);
//   if (place.reads_store) ...

#ifndef GULLWARD_SERVING_READER_TREE_H_
#define GULLWARD_SERVING_READER_TREE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "serving/cell_map.h"

namespace gullward {

// Gateways of each tree, and of the whole fleet at the least, that read from the store.  The
// failure or delay of one keeps no changes from the others, and a store that refuses a third of the
// gateways hardly refuses all roots.
inline constexpr size_t kRootsPerTree = 2;
inline constexpr size_t kMinRoots = 4;
// Number of gateways from which on a data centre has a tree of its own, so that reads stay within
// it, and from which on a tree has children.
inline constexpr size_t kMinTree = 16;
// Gateways that read from the same parent.  A configuration of 100 KB then occupies a parent's link
// of 20 Mbit/s for 0.16 s.
inline constexpr size_t kChildren = 4;

// From whom a gateway reads.
struct ReaderPlace {
  // Whether the gateway is a root.
  bool reads_store = true;
  // Boxes of the gateways to read from otherwise, in order of preference.
  std::vector<std::string> sources;
  // Whether any gateway of the tree reads from another one.
  bool has_children = false;

  bool operator==(const ReaderPlace&) const = default;
};

// Returns the place of the gateway `self`.  `gateways`: the gateways of all data centres in any
// order, with or without itself.
ReaderPlace PlaceInTree(const GatewayName& self, const std::vector<GatewayName>& gateways);

}  // namespace gullward

#endif  // GULLWARD_SERVING_READER_TREE_H_

// The other gateways: where each hears us, and which of them work on the same engines.
//
//   PeerDirectory peers;
//   peers.Update("box-2", {address, "hall-1"});
//   for (const Peer* peer : peers.NextOf("models", cells, home, revision)) ...
//   for (const Peer* peer : peers.DrawOutside(cells, home, 2, &random)) ...
//
// A cell's members are found by the same arithmetic by which each of them finds its home
// (cell_map.h).  A cell bounds its engines, not its gateways: where it has more than
// kMostAtOnce members they are told in turns, so what one round sends is bounded and
// nobody is left out; untold() says how many had to wait for a later round.

#ifndef GULLWARD_SERVING_PEER_DIRECTORY_H_
#define GULLWARD_SERVING_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "serving/cell_map.h"
#include "transport/socket_address.h"

namespace gullward {

struct Peer {
  std::string box;
  SocketAddress address;
  std::string data_centre;

  bool operator==(const Peer&) const = default;
};

class PeerDirectory {
 public:
  // Members of one cell that are told in one round.  Three rounds of half a second come
  // before what was told is forgotten, so a cell may have three times as many.
  static constexpr size_t kMaxPeersPerRound = 48;

  void Update(const Peer& peer);
  void Remove(const std::string& box);
  size_t size() const { return this->peers.size(); }

  std::vector<GatewayName> Names() const;

  // The next members of large cells have their turn.
  void BeginRound() { this->round += 1; }

  // Members of a service's cell.  As long as `revision`, that of the map, is the same, members
  // are not worked out anew.
  const std::vector<const Peer*>& MembersOf(const std::string& service, const CellMap& cells,
                                            const Cell& cell, uint64_t revision);

  // Of these, those whose turn it is where there are many.
  std::vector<const Peer*> MembersForRound(const std::string& service, const CellMap& cells,
                                           const Cell& cell, uint64_t revision);

  // The peer of that box; null where it is not known.
  const Peer* Find(const std::string& box) const;

  // `count` different peers, or all where there are no more, drawn by chance.
  std::vector<const Peer*> Sample(size_t count, std::mt19937_64* random) const;

  // Up to `count` peers that are not in a cell, drawn by chance.
  std::vector<const Peer*> SampleOutside(const CellMap& cells, const Cell& cell, size_t count,
                                         std::mt19937_64* random) const;

  // Members that were left for a later round, over all rounds.
  uint64_t deferred() const { return this->deferred_count; }

 private:
  std::map<std::string, Peer> peers;
  // By service and cell.
  std::map<std::pair<std::string, Cell>, std::vector<const Peer*>> members;
  uint64_t members_revision = 0;
  size_t round = 0;
  uint64_t deferred_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_DIRECTORY_H_

// The other gateways: their addresses, and which of them use the same engines.
//
//   PeerDirectory peers;
//   peers.Update({"box-2", address, "hall-1"});
//   for (const Peer* peer : peers.MembersForRound("models", cells, home, revision)) ...
//   for (const Peer* peer : peers.SampleOutside(cells, home, 2, &random)) ...
//
// The members of a cell are the gateways whose home cell it is; cell_map.h computes the home cell
// from a gateway's name and data centre.  The size of a cell bounds its engines but not its
// gateways.  If a cell has more than kMaxPeersPerRound members, each round sends to a different
// part of them in turn: the traffic of a round is bounded, and every member is reached.
// deferred() counts the members that had to wait for a later round.

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

// Another gateway.  Datagrams to it go to `address`.
struct Peer {
  std::string box;
  SocketAddress address;
  std::string data_centre;

  bool operator==(const Peer&) const = default;
};

class PeerDirectory {
 public:
  // Members of one cell that receive a datagram in one round.  A load that a peer has sent expires
  // after three rounds of half a second, so a cell may have three times as many members.
  static constexpr size_t kMaxPeersPerRound = 48;

  void Update(const Peer& peer);
  void Remove(const std::string& box);
  size_t size() const { return this->peers.size(); }

  std::vector<GatewayName> Names() const;

  // Advances MembersForRound to the next members of large cells.
  void BeginRound() { this->round += 1; }

  // All members of a cell of a service.  The result is cached while `revision`, the revision of
  // the cell map, stays the same.
  const std::vector<const Peer*>& MembersOf(const std::string& service, const CellMap& cells,
                                            const Cell& cell, uint64_t revision);

  // The members of a cell that receive a datagram in this round: all of them, or
  // kMaxPeersPerRound in turn if there are more.
  std::vector<const Peer*> MembersForRound(const std::string& service, const CellMap& cells,
                                           const Cell& cell, uint64_t revision);

  // The peer on this box; null if unknown.
  const Peer* Find(const std::string& box) const;

  // `count` different random peers, or all peers if there are fewer.
  std::vector<const Peer*> Sample(size_t count, std::mt19937_64* random) const;

  // Up to `count` random peers whose home is not `cell`.  May return fewer, and a peer twice.
  std::vector<const Peer*> SampleOutside(const CellMap& cells, const Cell& cell, size_t count,
                                         std::mt19937_64* random) const;

  // Members that had to wait for a later round, summed over all rounds.
  uint64_t deferred() const { return this->deferred_count; }

 private:
  std::map<std::string, Peer> peers;
  // Cached members by service and cell; valid for members_revision.
  std::map<std::pair<std::string, Cell>, std::vector<const Peer*>> members;
  uint64_t members_revision = 0;
  size_t round = 0;
  uint64_t deferred_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_DIRECTORY_H_

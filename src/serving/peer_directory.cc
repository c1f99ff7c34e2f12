// peer_directory.h tells the method.

#include "serving/peer_directory.h"

#include <algorithm>
#include <iterator>

namespace gullward {

void PeerDirectory::Update(const Peer& peer) {
  this->members.clear();
  this->peers[peer.box] = peer;
}

void PeerDirectory::Remove(const std::string& box) {
  this->members.clear();
  this->peers.erase(box);
}

std::vector<GatewayName> PeerDirectory::Names() const {
  std::vector<GatewayName> names;
  for (const auto& [box, peer] : this->peers) names.push_back({box, peer.data_centre});
  return names;
}

const std::vector<const Peer*>& PeerDirectory::MembersOf(const std::string& service,
                                                         const CellMap& cells, const Cell& cell,
                                                         uint64_t revision) {
  if (this->members_revision != revision) this->members.clear();
  this->members_revision = revision;
  auto [found, is_new] = this->members.try_emplace({service, cell});
  std::vector<const Peer*>& all = found->second;
  if (is_new) {
    for (const auto& [box, peer] : this->peers) {
      if (cells.HomeOf(box, peer.data_centre) == cell) all.push_back(&peer);
    }
  }
  return all;
}

std::vector<const Peer*> PeerDirectory::MembersForRound(const std::string& service,
                                                        const CellMap& cells, const Cell& cell,
                                                        uint64_t revision) {
  const std::vector<const Peer*>& all = this->MembersOf(service, cells, cell, revision);
  if (all.size() <= kMaxPeersPerRound) return all;
  this->deferred_count += all.size() - kMaxPeersPerRound;
  std::vector<const Peer*> turn;
  size_t first = this->round * kMaxPeersPerRound;
  for (size_t i = 0; i < kMaxPeersPerRound; ++i) turn.push_back(all[(first + i) % all.size()]);
  return turn;
}

const Peer* PeerDirectory::Find(const std::string& box) const {
  auto found = this->peers.find(box);
  return found == this->peers.end() ? nullptr : &found->second;
}

std::vector<const Peer*> PeerDirectory::Sample(size_t count, std::mt19937_64* random) const {
  std::vector<const Peer*> all;
  for (const auto& [box, peer] : this->peers) all.push_back(&peer);
  std::vector<const Peer*> drawn;
  std::sample(all.begin(), all.end(), std::back_inserter(drawn), count, *random);
  return drawn;
}

std::vector<const Peer*> PeerDirectory::SampleOutside(const CellMap& cells, const Cell& cell,
                                                      size_t count, std::mt19937_64* random) const {
  std::vector<const Peer*> drawn;
  if (cells.is_whole() || this->peers.empty()) return drawn;
  // A few draws by place; one that falls on a member of the cell is lost.
  for (size_t i = 0; i < count; ++i) {
    auto at = static_cast<ptrdiff_t>((*random)() % this->peers.size());
    const Peer& peer = std::next(this->peers.begin(), at)->second;
    if (cells.HomeOf(peer.box, peer.data_centre) != cell) drawn.push_back(&peer);
  }
  return drawn;
}

}  // namespace gullward

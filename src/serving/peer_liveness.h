// Finds gateways that have stopped sending datagrams.
//
// The topic of gateways keeps the entries of boxes that no longer run.  Neighbours send each
// other datagrams twice a second, so a gateway that sends none for kSilenceTimeout has stopped or
// is cut off.  If more than half of the expected gateways are silent, this process is probably
// the one that is cut off, and no gateway is reported as silent.
//
//   PeerLiveness liveness;
//   liveness.OnDatagram("box-2", now);
//   std::set<std::string> silent = liveness.SilentPeers(neighbours, now);

#ifndef GULLWARD_SERVING_PEER_LIVENESS_H_
#define GULLWARD_SERVING_PEER_LIVENESS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

class PeerLiveness {
 public:
  // Ten rounds of half a second.  In a large cell, whose members are reached in turns, this is
  // enough for three turns.
  static constexpr Duration kSilenceTimeout = seconds(5);

  // Records that a datagram arrived from this box.  Boxes that are not expected are ignored.
  void OnDatagram(const std::string& box, Time now) {
    auto found = this->last_received.find(box);
    if (found != this->last_received.end()) found->second = now;
  }

  // Returns the boxes in `expected` that have sent nothing for kSilenceTimeout, counted from the
  // first call that expected them.  Boxes that are not in `expected` are removed.
  std::set<std::string> SilentPeers(const std::vector<std::string>& expected, Time now) {
    std::map<std::string, Time> kept;
    std::set<std::string> silent;
    for (const std::string& box : expected) {
      auto found = this->last_received.find(box);
      Time last = found == this->last_received.end() ? now : found->second;
      kept[box] = last;
      if (now - last >= kSilenceTimeout) silent.insert(box);
    }
    this->last_received = std::move(kept);
    if (silent.size() * 2 > expected.size()) silent.clear();
    return silent;
  }

 private:
  std::map<std::string, Time> last_received;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_LIVENESS_H_

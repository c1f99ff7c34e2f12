// Which of the gateways that should be heard of are silent.
//
// The topic of gateways keeps the entries of boxes that are gone.  Neighbours tell each other
// something twice a second, so one that is silent for long has stopped or lost touch.  Where
// more than half of them are silent, the fault is on this side, and none counts as silent.
//
//   PeerLiveness liveness;
//   liveness.Hear("box-2", now);
//   std::set<std::string> silent = liveness.Silent(neighbours, now);

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
  // Ten rounds of telling, or the turn of three in a cell that is told in turns.
  static constexpr Duration kSilenceTimeout = seconds(5);

  void OnDatagram(const std::string& box, Time now) {
    auto found = this->heard.find(box);
    if (found != this->heard.end()) found->second = now;
  }

  // Of `expected`, those that have been silent for kSilence since they were first expected.
  // Others are forgotten.
  std::set<std::string> SilentPeers(const std::vector<std::string>& expected, Time now) {
    std::map<std::string, Time> kept;
    std::set<std::string> silent;
    for (const std::string& box : expected) {
      auto found = this->heard.find(box);
      Time last = found == this->heard.end() ? now : found->second;
      kept[box] = last;
      if (now - last >= kSilenceTimeout) silent.insert(box);
    }
    this->heard = std::move(kept);
    if (silent.size() * 2 > expected.size()) silent.clear();
    return silent;
  }

 private:
  std::map<std::string, Time> heard;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_LIVENESS_H_

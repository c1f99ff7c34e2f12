// The newest offer is the last one.

#include "serving/spill.h"

namespace gullward {

void Spill::Hear(const std::string& peer, std::set<std::string> engines, Time now) {
  std::erase_if(this->offers, [&](const Offer& offer) { return offer.peer == peer; });
  this->offers.push_back({peer, std::move(engines), now});
  if (this->offers.size() > kSenders) this->offers.erase(this->offers.begin());
}

std::set<std::string> Spill::Engines(Time now) const {
  std::set<std::string> engines;
  for (const Offer& offer : this->offers) {
    bool holds = now - offer.heard <= LoadTracker::kPeerTimeout;
    if (holds) engines.insert(offer.engines.begin(), offer.engines.end());
  }
  return engines;
}

}  // namespace gullward

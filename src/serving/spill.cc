// Offers are ordered by their time of arrival.

#include "serving/spill.h"

namespace gullward {

void Spill::ReceiveOffer(const std::string& peer, std::set<std::string> engines, Time now) {
  std::erase_if(this->offers, [&](const Offer& offer) { return offer.peer == peer; });
  this->offers.push_back({peer, std::move(engines), now});
  if (this->offers.size() > kMaxSenders) this->offers.erase(this->offers.begin());
}

std::set<std::string> Spill::Engines(Time now) const {
  std::set<std::string> engines;
  for (const Offer& offer : this->offers) {
    bool is_valid = now - offer.received <= LoadTracker::kPeerTimeout;
    if (is_valid) engines.insert(offer.engines.begin(), offer.engines.end());
  }
  return engines;
}

}  // namespace gullward

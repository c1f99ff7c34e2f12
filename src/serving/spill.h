// Keeps the engines of other cells that their gateways offer for requests from this cell.
//
// Callers are spread over data centres differently from engines, and a cell may lose its engines
// while other cells have idle ones.  Twice a second each gateway therefore sends an offer to a few
// random gateways of other cells: a few engines of its own cell that have room, with all the load
// known on them.  A gateway whose home engines would be late or would refuse a request chooses
// among the engines offered to it most recently.  It reports the resulting work to the gateways of
// that cell, as if it belonged to the cell.
//
// This serves cells in data centres that have more callers than engines can handle.
//
//   Spill spill;
//   spill.ReceiveOffer("box-40", {"e-7", "e-9"}, now);
//   for (const std::string& engine : spill.Engines(now)) ...
//
// Memory is bounded: the offers of the last kMaxSenders senders are kept.

#ifndef GULLWARD_SERVING_SPILL_H_
#define GULLWARD_SERVING_SPILL_H_

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "serving/engine_load.h"

namespace gullward {

class Spill {
 public:
  // Maximum number of engines in an offer, so that it fits into one datagram.
  static constexpr size_t kMaxOffered = 12;
  // Number of gateways of other cells that get an offer in one round.
  static constexpr size_t kReceiversPerRound = 2;
  // Maximum number of senders whose offers are kept.  On average two offers arrive in each half
  // second.
  static constexpr size_t kMaxSenders = 3;

  // Stores the offer of a gateway of another cell, replacing its previous offer.
  void ReceiveOffer(const std::string& peer, std::set<std::string> engines, Time now);

  // The engines on offer, by incarnation.  An offer is valid for LoadTracker::kPeerTimeout.
  std::set<std::string> Engines(Time now) const;

 private:
  struct Offer {
    std::string peer;
    std::set<std::string> engines;
    Time received;
  };

  // Oldest first.
  std::vector<Offer> offers;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SPILL_H_

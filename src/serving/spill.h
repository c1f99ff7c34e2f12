// Engines outside a gateway's home cell that may take what the cell cannot.
//
// Traffic is spread over data centres as callers are, not as engines are, and a cell may
// lose its engines while others idle.  So each gateway tells, twice a second, a few
// gateways of other cells, drawn by chance, of a few engines of its own cell that have
// room, with all the work that it knows to be there.  A gateway whose own engines would
// be late, or would refuse, chooses among the engines that it was told of last.  The
// gateways of that cell are told of such work as if the chooser were one of them.
//
//   Spill spill;
//   spill.Hear("box-40", {"e-7", "e-9"}, now);
//   for (const std::string& engine : spill.Engines(now)) ...
//
// It protects a cell whose data centre has more callers than engines.
//
// What is kept is bounded: the last kSenders who told, for as long as it holds.

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
  // Engines that one gateway tells of: as many as fit into one datagram.
  static constexpr size_t kEnginesTold = 12;
  // Gateways of other cells that one round tells.
  static constexpr size_t kReceiversPerRound = 2;
  // Senders whose word is kept.  Two arrive each half second on the mean.
  static constexpr size_t kSenders = 3;

  // Takes what a gateway of another cell offers, in place of what it offered before.
  void Hear(const std::string& peer, std::set<std::string> engines, Time now);

  // The engines that are on offer.
  std::set<std::string> Engines(Time now) const;

 private:
  struct Offer {
    std::string peer;
    std::set<std::string> engines;
    Time heard;
  };

  std::vector<Offer> offers;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SPILL_H_

// Engines that peers have set aside.
//
// A gateway finds out by its own attempts that an engine has failed, and loses a few requests
// each time.  Gateways therefore send each other the engines that they have set aside
// (gateway/load_exchange.h).  A gateway also avoids an engine that kMinReports peers have set
// aside, unless the engine has just answered one of its own requests.
//
// A peer's report is weak evidence.  An engine may be reachable for some gateways only, and a
// gateway that is cut off finds that all engines fail.  Hence two reports are needed, and reports
// of a peer that has set aside more than kMaxSetAsideShare of its engines are ignored.
//
// After the reports expire, the gateways use the engine again one after another, in an order that
// is given by a hash.  The first gateway whose attempt fails reports the engine again before the
// others have tried.
//
//   PeerSuspicion suspicion("box-1");
//   suspicion.ReceiveSetAside("box-2", {"e-7"}, engines_listed, now);
//   if (suspicion.IsSuspected("e-7", now)) ...

#ifndef GULLWARD_SERVING_PEER_SUSPICION_H_
#define GULLWARD_SERVING_PEER_SUSPICION_H_

#include <map>
#include <set>
#include <string>

#include "base/clock.h"

namespace gullward {

class PeerSuspicion {
 public:
  // Peers that must have set an engine aside before it is suspected.
  static constexpr size_t kMinReports = 2;
  // Time after which a report expires.  Peers repeat their reports every half second.
  static constexpr Duration kReportLifetime = milliseconds(700);
  // Time over which the gateways return to an engine after the reports expire.
  static constexpr Duration kReturnSpread = milliseconds(1000);
  // A gateway that has set aside a larger share of the engines probably has a fault of its own.
  static constexpr double kMaxSetAsideShare = 0.25;

  explicit PeerSuspicion(std::string own_box) : box(std::move(own_box)) {}

  // Records the complete set of engines that a peer has set aside now.  It replaces the peer's
  // previous set.  `engines_listed` is the number of engines in the list.
  void ReceiveSetAside(const std::string& peer, const std::set<std::string>& engines,
                       size_t engines_listed, Time now);

  // Whether a gateway has set aside so many engines that the fault is probably its own.
  static bool SetsAsideTooMany(size_t engines_set_aside, size_t engines_listed) {
    double limit = kMaxSetAsideShare * static_cast<double>(engines_listed);
    return static_cast<double>(engines_set_aside) > limit;
  }

  // Whether the engine is to be avoided because of peers' reports.
  bool IsSuspected(const std::string& engine, Time now) const;

  // Removes expired reports and suspicions.
  void Tick(Time now);

 private:
  // This gateway's place in the order of return to an engine, as a time below kReturnSpread.
  Duration ReturnDelay(const std::string& engine) const;

  std::string box;
  // For each engine, the peers that have set it aside and the time of their last report.
  std::map<std::string, std::map<std::string, Time>> reports;
  std::map<std::string, Time> suspected_until;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_SUSPICION_H_

// Engines that peers have set aside.
//
// Each process finds out by its own attempts that an engine is dead, and each pays
// for that with a few requests.  So processes tell each other which engines they
// have set aside (gateway/load_exchange.h), and an engine that two peers avoid is
// avoided here as well, unless it has answered us a moment ago.
//
// A peer's word is weak evidence, for an engine may be well for some callers only,
// and a peer that is cut off itself finds every engine dead.  Hence two words, not
// one; and a peer that has set aside more than a quarter of its engines is not believed.
//
// When the words end, believers come back one after the other, in an order by hash:
// the first that fails says so before the rest have tried.
//
//   PeerSuspicion suspicion("box-1");
//   suspicion.Hear("box-2", {"e-7"}, engines_listed, now);
//   if (suspicion.Suspects("e-7", now)) ...

#ifndef GULLWARD_SERVING_PEER_SUSPICION_H_
#define GULLWARD_SERVING_PEER_SUSPICION_H_

#include <map>
#include <set>
#include <string>

#include "base/clock.h"

namespace gullward {

class PeerSuspicion {
 public:
  // Peers that must have set an engine aside.
  static constexpr size_t kMinReports = 2;
  // How long a word holds: peers repeat it every half second.
  static constexpr Duration kReportLifetime = milliseconds(700);
  // Over which the believers come back.
  static constexpr Duration kReturnSpread = milliseconds(1000);
  // A peer that has set aside a larger share of the engines is in trouble itself.
  static constexpr double kMaxSetAsideShare = 0.25;

  explicit PeerSuspicion(std::string own_box) : box(std::move(own_box)) {}

  // Takes all that a peer has set aside now, out of so many engines listed.
  void ReceiveSetAside(const std::string& peer, const std::set<std::string>& engines,
                       size_t engines_listed, Time now);

  // Whether a process that has set aside so many of the engines listed must look for
  // the fault in itself.
  static bool SetsAsideTooMany(size_t engines_set_aside, size_t engines_listed) {
    double most = kMaxSetAsideShare * static_cast<double>(engines_listed);
    return static_cast<double>(engines_set_aside) > most;
  }

  bool IsSuspected(const std::string& engine, Time now) const;

  // Forgets what is over.
  void Tick(Time now);

 private:
  Duration ReturnDelay(const std::string& engine) const;

  std::string box;
  // When each peer last said it of each engine.
  std::map<std::string, std::map<std::string, Time>> words;
  std::map<std::string, Time> suspected_until;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_PEER_SUSPICION_H_

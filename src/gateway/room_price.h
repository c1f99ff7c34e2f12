// Applies the learned price of engine time (overload/work_price.h) to the requests of a gateway.
//
//   room_price.SetTerms(key, engines, now, &demand);        // before the choice of engines
//   room_price.Note(key, demand, placement, is_refused, now);  // once, at the first choice
//
// The log line room_price is written when the price of a service, or the share factor of one of its
// routes, has changed by a factor of two.

#ifndef GULLWARD_GATEWAY_ROOM_PRICE_H_
#define GULLWARD_GATEWAY_ROOM_PRICE_H_

#include <cstddef>
#include <map>
#include <string>

#include "overload/work_price.h"
#include "overload/work_tally.h"
#include "process/event_log.h"
#include "serving/placement.h"

namespace gullward {

class RoomPrice {
 public:
  // The maximum rate of log lines is one in this time.
  static constexpr Duration kLogInterval = seconds(1);

  // If `is_on` is false, no function has an effect and nothing is counted.
  RoomPrice(bool is_enabled, EventLog* event_log)
      : is_on(is_enabled), log(event_log), work_prices(kDefaultValuePerEngineSecond) {}

  // Sets the terms on which a request of this service and route may be refused.  `engines` is the
  // number of engines that the gateways of the cell share.
  void SetTerms(const WorkKey& key, size_t engines, Time now, Demand* demand);

  // Counts a caller's first try, whose best placement is `placement`.
  void Note(const WorkKey& key, const Demand& demand, const Placement& placement, bool is_refused,
            Time now);

  // The sums of this gateway, to be sent to its peers.
  std::map<WorkKey, WorkSums> WorkToSend(Time now) const;
  void ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                 const std::map<WorkKey, WorkSums>& work, Time now);

  // Drops what has expired.  Call it about once a second.
  void Tick(Time now);

  const WorkPrices& prices() const { return this->work_prices; }

 private:
  void LogChange(const std::string& service, Time now);

  bool is_on;
  EventLog* log;
  WorkTally tally;
  WorkPrices work_prices;
  // The figures of each service when they were last logged.
  std::map<std::string, ServicePrice> logged;
  Time last_line{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ROOM_PRICE_H_

// What a second of an engine is worth to the requests that compete for it.
//
// If more work is asked of a service than its engines have time for, the best use of the time is to
// serve the kinds of requests (the routes) in the order of their value per engine second.  The
// price of an engine second is then the value per engine second of the last kind that still finds
// room.  A request that would earn less with its engine time is refused while the engines are busy
// (serving/refusal.h).
//
// By the price alone, a kind of low value per engine second, such as the longest prompts, would be
// refused in every flood of short ones.  Therefore routes of equal rank are kept near one another:
// a route whose share of served requests is more than kTolerableGap below the share of all routes
// of its rank gets a share factor above 1, which rises while the gap remains and then falls again.
//
//   WorkPrices prices(default_price);
//   prices.Update("models", tally.WorkOf("models", now), engines, now);
//   RouteTerms terms = prices.TermsOf("models", "chat");
//
// The price follows from sums that all gateways of a cell tell each other, so it is the same at
// each of them however many they are.  A gateway that has little evidence, as after a start, stays
// near the default price.

#ifndef GULLWARD_OVERLOAD_WORK_PRICE_H_
#define GULLWARD_OVERLOAD_WORK_PRICE_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "overload/work_tally.h"

namespace gullward {

// The value per engine second of the last kind of work that finds room when kinds are served by
// value per engine second until `room` engine seconds are used; 0 if all find room.  Kinds that
// need no engine time are left out.
double PriceOfLastServed(const std::vector<WorkSums>& kinds, double room);

// The terms on which a request of one route may be refused; the unit of value is that of WorkSums.
struct RouteTerms {
  double value_per_engine_second = 0;
  // The request may cost others this many times its own value.
  double value_factor = 1;

  bool operator==(const RouteTerms&) const = default;
};

// What is known of one route.
struct RouteShare {
  // Share of the route's first tries that is served, 0 to 1.  It starts from the share of the rank,
  // so a few requests do not move it far.
  double served = 1;
  // How many times its value a request of the route may take in engine time.
  double factor = 1;

  bool operator==(const RouteShare&) const = default;
};

// What is known of one service.
struct ServicePrice {
  // Value of an engine second.
  double price = 0;
  // Engine seconds that are asked in a second, and the engines.
  double engine_seconds_asked = 0;
  double engines = 0;
  std::map<std::string, RouteShare> routes;
  Time updated;

  bool operator==(const ServicePrice&) const = default;
};

class WorkPrices {
 public:
  // Share of the engines' time that work can use: some is lost between passes.
  static constexpr double kUsableShare = 0.9;
  // Bounds of the price, as multiples of the default.  Engine time is never free, since more work
  // arrives than the sums show when a flood begins.
  static constexpr double kMinPrice = 0.05;
  static constexpr double kMaxPrice = 8;
  // The number of requests in the sums at which they weigh as much as the default.
  static constexpr double kEvidence = 10;
  // How far the served share of a route may be below that of all routes of its rank.
  static constexpr double kTolerableGap = 0.05;
  // The maximum share factor, and the part of it that also counts against harm to streams: a prompt
  // may take much engine time for its value, but may not harm streams worth more than twice it.
  static constexpr double kMaxShareFactor = 8;
  static constexpr double kMaxValueFactor = 2;
  // The figures of a service are computed at most this often.
  static constexpr Duration kUpdateInterval = milliseconds(100);
  // A service that has had no request for this time is dropped.
  static constexpr Duration kLifetime = WorkTally::kLifetime;

  explicit WorkPrices(double default_value_per_engine_second)
      : default_price(default_value_per_engine_second) {}

  // Whether the figures of the service are older than kUpdateInterval.
  bool IsDue(const std::string& service, Time now) const;

  // Computes the figures of a service from the work asked of its engines.
  void Update(const std::string& service, const std::map<std::string, RouteWork>& work,
              double engines, Time now);

  // The terms for a route; the defaults if nothing is known of its service.
  RouteTerms TermsOf(const std::string& service, const std::string& route) const;

  void ForgetExpired(Time now);

  const std::map<std::string, ServicePrice>& services() const { return this->by_service; }

 private:
  double PriceOf(const std::map<std::string, RouteWork>& work, double engines) const;

  double default_price;
  std::map<std::string, ServicePrice> by_service;
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_WORK_PRICE_H_

// The price is computed anew from the sums; only the share factors have a state.

#include "overload/work_price.h"

#include <algorithm>
#include <cmath>

namespace gullward {
namespace {

// Number of requests at which a route's own served share weighs as much as that of its rank.
constexpr double kShareEvidence = 2;
// Doublings of a share factor in a second for each unit of the gap in excess of the tolerable one,
// and the bounds of this speed.  A factor falls more slowly than it rises, so that a route that is
// short of its share in every flood is not refused anew at the beginning of each.
constexpr double kDoublingsPerGap = 10;
constexpr double kMaxDoublings = 1;
constexpr double kMinDoublings = -0.25;
// A factor changes by at most this time's worth at once.
constexpr double kMaxStepSeconds = 1;

// The sums of the routes of one rank.
using SumsByRank = std::map<int, WorkSums>;

SumsByRank SumsOfRanks(const std::map<std::string, RouteWork>& work) {
  SumsByRank ranks;
  for (const auto& [route, route_work] : work) {
    if (!route_work.rank) continue;
    ranks[*route_work.rank].asked += route_work.sums.asked;
    ranks[*route_work.rank].refused += route_work.sums.refused;
  }
  return ranks;
}

double ServedShare(const WorkSums& sums) {
  return sums.asked > 0 ? (sums.asked - sums.refused) / sums.asked : 1;
}

// Returns the route's share after `step` seconds.
RouteShare NextShare(const RouteShare& before, const WorkSums& sums, const WorkSums& rank,
                     double step) {
  double expected = ServedShare(rank);
  RouteShare next;
  next.served =
      (sums.asked - sums.refused + kShareEvidence * expected) / (sums.asked + kShareEvidence);
  double excess = expected - next.served - WorkPrices::kTolerableGap;
  double speed = std::clamp(kDoublingsPerGap * excess, kMinDoublings, kMaxDoublings);
  next.factor =
      std::clamp(before.factor * std::exp2(speed * step), 1.0, WorkPrices::kMaxShareFactor);
  return next;
}

}  // namespace

double PriceOfLastServed(const std::vector<WorkSums>& kinds, double room) {
  std::vector<WorkSums> sorted;
  for (const WorkSums& kind : kinds) {
    if (kind.engine_seconds > 0) sorted.push_back(kind);
  }
  auto price = [](const WorkSums& kind) { return kind.value / kind.engine_seconds; };
  std::sort(sorted.begin(), sorted.end(), [&](const WorkSums& left, const WorkSums& right) {
    return price(left) > price(right);
  });
  double asked = 0;
  for (const WorkSums& kind : sorted) asked += kind.engine_seconds;
  if (asked <= room) return 0;
  double used = 0;
  for (const WorkSums& kind : sorted) {
    used += kind.engine_seconds;
    if (used >= room) return price(kind);
  }
  return 0;
}

double WorkPrices::PriceOf(const std::map<std::string, RouteWork>& work, double engines) const {
  std::vector<WorkSums> kinds;
  double asked = 0;
  for (const auto& [route, route_work] : work) {
    kinds.push_back(route_work.sums);
    asked += route_work.sums.asked;
  }
  double room = engines * kUsableShare * ToSeconds(WorkTally::kMemory);
  double learned = std::clamp(PriceOfLastServed(kinds, room), kMinPrice * this->default_price,
                              kMaxPrice * this->default_price);
  double weight = asked / (asked + kEvidence);
  return weight * learned + (1 - weight) * this->default_price;
}

bool WorkPrices::IsDue(const std::string& service, Time now) const {
  auto found = this->by_service.find(service);
  return found == this->by_service.end() || now - found->second.updated >= kUpdateInterval;
}

void WorkPrices::Update(const std::string& service, const std::map<std::string, RouteWork>& work,
                        double engines, Time now) {
  auto [found, is_new] = this->by_service.try_emplace(service);
  ServicePrice& before = found->second;
  double elapsed = is_new ? 0 : ToSeconds(now - before.updated);
  double step = std::clamp(elapsed, 0.0, kMaxStepSeconds);
  ServicePrice next;
  next.price = this->PriceOf(work, engines);
  next.engines = engines;
  next.updated = now;
  SumsByRank ranks = SumsOfRanks(work);
  for (const auto& [route, route_work] : work) {
    next.engine_seconds_asked += route_work.sums.engine_seconds / ToSeconds(WorkTally::kMemory);
    if (!route_work.rank) continue;
    next.routes[route] =
        NextShare(before.routes[route], route_work.sums, ranks[*route_work.rank], step);
  }
  before = std::move(next);
}

RouteTerms WorkPrices::TermsOf(const std::string& service, const std::string& route) const {
  RouteTerms terms{this->default_price, 1};
  auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return terms;
  terms.value_per_engine_second = found->second.price;
  auto share = found->second.routes.find(route);
  if (share == found->second.routes.end()) return terms;
  terms.value_factor = std::min(share->second.factor, kMaxValueFactor);
  terms.value_per_engine_second *= terms.value_factor / share->second.factor;
  return terms;
}

void WorkPrices::ForgetExpired(Time now) {
  std::erase_if(this->by_service,
                [&](const auto& entry) { return now - entry.second.updated > kLifetime; });
}

}  // namespace gullward

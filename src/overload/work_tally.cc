// Sums are stored as of the last change and decayed when they are read.

#include "overload/work_tally.h"

#include <algorithm>
#include <cmath>

namespace gullward {
namespace {

// Far above what a fleet serves in kMemory; the sum of all reports stays finite.
constexpr double kMaxSum = 1e9;

WorkSums Decayed(const WorkSums& sums, Duration age) {
  double left = std::exp(-std::max(ToSeconds(age), 0.0) / ToSeconds(WorkTally::kMemory));
  return {sums.asked * left, sums.refused * left, sums.engine_seconds * left, sums.value * left};
}

WorkSums Sum(const WorkSums& left, const WorkSums& right) {
  return {left.asked + right.asked, left.refused + right.refused,
          left.engine_seconds + right.engine_seconds, left.value + right.value};
}

bool IsInRange(double value) { return std::isfinite(value) && value >= 0 && value <= kMaxSum; }

}  // namespace

bool IsValidWork(const WorkSums& sums) {
  bool are_in_range = IsInRange(sums.asked) && IsInRange(sums.refused) &&
                      IsInRange(sums.engine_seconds) && IsInRange(sums.value);
  return are_in_range && sums.refused <= sums.asked;
}

// Returns null if there is no room for another service or route.
WorkTally::Route* WorkTally::FindOrAdd(const WorkKey& key, size_t max_services, size_t max_routes) {
  auto service = this->services.find(key.service);
  if (service == this->services.end()) {
    if (this->services.size() >= max_services) return nullptr;
    service = this->services.emplace(key.service, std::map<std::string, Route>()).first;
  }
  auto route = service->second.find(key.route);
  if (route != service->second.end()) return &route->second;
  if (service->second.size() >= max_routes) return nullptr;
  return &service->second[key.route];
}

void WorkTally::Note(const WorkKey& key, const AskedWork& work, Time now) {
  WorkSums added{1, work.is_refused ? 1.0 : 0.0, work.engine_seconds, work.value};
  if (!IsValidWork(added)) return;
  Route* route = this->FindOrAdd(key, kMaxServices, kMaxRoutes);
  if (route == nullptr) return;
  route->own = Sum(Decayed(route->own, now - route->own_updated), added);
  route->own_updated = now;
  route->rank = work.rank;
}

void WorkTally::ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                          const std::map<WorkKey, WorkSums>& work, Time now) {
  for (const auto& [key, sums] : work) {
    if (!IsValidWork(sums)) continue;
    Route* route = this->FindOrAdd(key, kMaxServices / 2, kMaxRoutes / 2);
    if (route == nullptr) continue;
    Reporter reporter{peer, incarnation};
    bool is_known = route->reports.count(reporter) != 0;
    if (!is_known && route->reports.size() >= kMaxReporters) continue;
    Report& report = route->reports[reporter];
    if (report.sequence < sequence) report = Report{sums, sequence, now};
  }
}

std::map<WorkKey, WorkSums> WorkTally::OwnWork(Time now) const {
  std::map<WorkKey, WorkSums> work;
  for (const auto& [service, routes] : this->services) {
    for (const auto& [name, route] : routes) {
      bool is_current = route.own.asked > 0 && now - route.own_updated <= kLifetime;
      if (is_current) work[{service, name}] = Decayed(route.own, now - route.own_updated);
    }
  }
  return work;
}

std::map<std::string, RouteWork> WorkTally::WorkOf(const std::string& service, Time now) const {
  std::map<std::string, RouteWork> work;
  auto found = this->services.find(service);
  if (found == this->services.end()) return work;
  for (const auto& [name, route] : found->second) {
    RouteWork total{Decayed(route.own, now - route.own_updated), route.rank};
    for (const auto& [reporter, report] : route.reports) {
      total.sums = Sum(total.sums, Decayed(report.sums, now - report.received - kReportInterval));
    }
    work[name] = total;
  }
  return work;
}

void WorkTally::ForgetExpired(Time now) {
  for (auto& [service, routes] : this->services) {
    for (auto& [name, route] : routes) {
      std::erase_if(route.reports,
                    [&](const auto& entry) { return now - entry.second.received > kLifetime; });
      if (now - route.own_updated <= kLifetime) continue;
      route.own = {};
      route.rank.reset();
    }
    std::erase_if(routes, [](const auto& entry) {
      return entry.second.reports.empty() && !entry.second.rank;
    });
  }
  std::erase_if(this->services, [](const auto& entry) { return entry.second.empty(); });
}

size_t WorkTally::entries() const {
  size_t count = 0;
  for (const auto& [service, routes] : this->services) {
    for (const auto& [name, route] : routes) count += route.reports.size() + (route.rank ? 1 : 0);
  }
  return count;
}

}  // namespace gullward

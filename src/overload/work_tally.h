// Counts the work that callers ask of each service, by route: this gateway's own requests, and
// those of other gateways as they last reported them.
//
// All figures are decaying sums: an amount loses 1 - 1/e of its weight in kMemory.  Under a steady
// rate, a sum is the rate times kMemory.  Each gateway sends its own sums to the gateways that work
// on the same engines, and adds up what it receives.
//
// A peer's sums are taken as they are until its next report is due, and decay from then on.  When a
// gateway dies or restarts, its callers go to others, so the sums of the others grow as its last
// ones decay, and the total stays the same.
//
//   WorkTally tally;
//   tally.Note({"models", "chat"}, {.engine_seconds = 0.04, .value = 0.9}, now);
//   Send(tally.OwnWork(now));
//   tally.ApplyPeer("box-2", incarnation, sequence, received, now);
//   std::map<std::string, RouteWork> work = tally.WorkOf("models", now);

#ifndef GULLWARD_OVERLOAD_WORK_TALLY_H_
#define GULLWARD_OVERLOAD_WORK_TALLY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace gullward {

// The requests of one route to one service.
struct WorkKey {
  std::string service;
  std::string route;

  auto operator<=>(const WorkKey&) const = default;
};

// Decaying sums over requests.
struct WorkSums {
  // Requests, without those of callers that were refused before, and how many were refused.
  double asked = 0;
  double refused = 0;
  // Engine time and value of the requests asked, whether refused or not.
  double engine_seconds = 0;
  double value = 0;

  bool operator==(const WorkSums&) const = default;
};

// Whether sums from a peer can be used: every figure is finite, not negative and not so large that
// the sums of many gateways lose their meaning, and no more is refused than asked.
bool IsValidWork(const WorkSums& sums);

// One request, when it was accepted or refused.
struct AskedWork {
  double engine_seconds = 0;
  double value = 0;
  // Ranks behind the most urgent request of the service.
  int rank = 0;
  bool is_refused = false;

  bool operator==(const AskedWork&) const = default;
};

// The work of one route, summed over all gateways.
struct RouteWork {
  WorkSums sums;
  // The rank of this gateway's last request of the route; empty if it has had none lately.
  std::optional<int> rank;

  bool operator==(const RouteWork&) const = default;
};

class WorkTally {
 public:
  // The time in which a sum decays to 1/e.  It is short, since floods come and go in ten seconds,
  // but spans several requests of a rare kind.
  static constexpr Duration kMemory = seconds(3);
  // A peer's sums decay from this age on.  In a large cell a peer's reports are this far apart.
  static constexpr Duration kReportInterval = milliseconds(1500);
  // Sums that nothing was added to for this time are dropped; less than one in 50 is left.
  static constexpr Duration kLifetime = 4 * kMemory;
  // Further services and routes are not counted, and neither are further reporters of one route.
  // Reports alone may take half of the services and routes, so that wrong names in them leave room
  // for this gateway's own.  The incarnations of a gateway report separately.
  static constexpr size_t kMaxServices = 16;
  static constexpr size_t kMaxRoutes = 64;
  static constexpr size_t kMaxReporters = 1024;

  // Counts a request of this gateway, once, when it is accepted or refused.
  void Note(const WorkKey& key, const AskedWork& work, Time now);

  // Applies a peer's report of its own sums.  Invalid sums, and sums from a datagram older than the
  // last one of the same incarnation, are ignored.
  void ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                 const std::map<WorkKey, WorkSums>& work, Time now);

  // This gateway's own sums.
  std::map<WorkKey, WorkSums> OwnWork(Time now) const;

  // The sums of all gateways for one service, by route.
  std::map<std::string, RouteWork> WorkOf(const std::string& service, Time now) const;

  // Drops what is older than kLifetime.
  void ForgetExpired(Time now);

  // Number of stored sums, own and reported.
  size_t entries() const;

 private:
  struct Reporter {
    std::string peer;
    uint64_t incarnation = 0;

    auto operator<=>(const Reporter&) const = default;
  };
  struct Report {
    WorkSums sums;
    uint64_t sequence = 0;
    Time received;
  };
  struct Route {
    WorkSums own;
    Time own_updated;
    std::optional<int> rank;
    std::map<Reporter, Report> reports;
  };

  Route* FindOrAdd(const WorkKey& key, size_t max_services, size_t max_routes);

  std::map<std::string, std::map<std::string, Route>> services;
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_WORK_TALLY_H_

// Everything an entry process knows of the engines, and the choice among them:
// the list, its own experience, the load, and the budget of second attempts.
//
//   Fleet fleet(retry_bounds, "box-1", "hall-1");
//   std::optional<FleetChoice> choice = fleet.Choose(service, demand, tried, now);

#ifndef GULLWARD_SERVING_FLEET_H_
#define GULLWARD_SERVING_FLEET_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "serving/engine_directory.h"
#include "serving/engine_health.h"
#include "serving/engine_load.h"
#include "serving/engine_notices.h"
#include "serving/mechanisms.h"
#include "serving/peer_suspicion.h"
#include "serving/placement.h"
#include "serving/retry_bucket.h"
#include "serving/serving_config.h"
#include "serving/spill.h"
#include "serving/work_plan.h"

namespace gullward {

// Where a request runs.
struct FleetChoice {
  // Runs the request.
  EngineRecord engine;
  // Help to read its prompt.
  std::vector<EngineRecord> readers;
  Placement placement;
  // How many engines there were to choose from.
  size_t candidates = 0;
  // Whether it runs outside the home cell.
  bool spilled = false;
  // The load of the chosen engine, as it was known.
  EngineLoad load;
};

class Fleet {
 public:
  Fleet(const RetryBounds& retry_bounds, const std::string& own_box, std::string own_data_centre,
        const Mechanisms& mechanisms = Mechanisms{}, Time process_started = Time{});

  // Which mechanisms are switched on.
  const Mechanisms& mechanisms() const { return this->switches; }

  EngineDirectory& directory() { return this->engines; }
  const EngineDirectory& directory() const { return this->engines; }
  // What runs on each engine.
  LoadTracker& loads() { return this->load_book; }
  // This process's own experience of an engine.
  EngineHealth& HealthOf(const std::string& engine) { return this->health[engine]; }
  // What engines have said of themselves.
  EngineNotices& notices() { return this->engine_notices; }
  const EngineNotices& notices() const { return this->engine_notices; }
  // The budget of second attempts at a service.
  RetryBucket& RetryBucketOf(const std::string& service);

  // Counts an attempt that failed by the engine's doing.  Where peers have set the
  // engine aside, or it could not be reached, one failure is enough to do so too.
  void NoteFailure(const std::string& engine, bool unreachable, Time now);

  // The engines that this process has set aside by its own experience; none where
  // they are so many that the trouble must be its own.
  std::set<std::string> SetAsideEngines(Time now) const;
  // What a peer has set aside.
  void ReceiveSetAside(const std::string& peer, const std::set<std::string>& set_aside, Time now);

  // What this process works on, by the list as it is.
  const WorkPlan& plan(Time now);
  // Engines of the home cells, by the plan that was made last.
  size_t home_engines() const { return this->work_plan.engines(); }
  // Engines of the home cell that have room, with all the work that is known there; to be
  // offered to gateways of other cells.
  std::map<std::string, EngineLoad> EnginesToOffer(Time now);
  // What a gateway of another cell offers, in a datagram of that life and sequence.  Of
  // engines of the home cell it says nothing: their work is told by those who have it there.
  void ReceiveOffer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                    const std::map<std::string, EngineLoad>& loads, Time now);

  // All other gateways that are known.
  void SetGateways(std::vector<GatewayName> others);
  // Boxes of gateways that count as stopped; their parts of limits pass on to others.
  void SetSilentGateways(std::set<std::string> boxes);

  // fleet_notices.cc: what follows from engines' notices.
  // Whether a choice that was made a moment ago may still be sent.
  bool StillAdmits(const FleetChoice& choice, Time now);
  // Whether a request that waits for a connection to the engine should go on waiting: not
  // where the engine has left, is leaving or has asked for a pause meanwhile.
  bool ShouldKeepWaiting(const EngineRecord& engine, Time now) const;
  // A request has been sent to the engine.
  void NoteSent(const EngineRecord& engine, Time now);
  // Whether the service has engines and none of them takes a request now, by its own word.
  bool AllHoldBack(const Service& service, Time now);
  // Then: after how long the first of them will take one; nothing where that is not known.
  std::optional<Duration> TimeUntilAdmission(const Service& service, Time now);
  // Notices that peers should be told of (EngineNotices::WordsToTell).
  std::map<std::string, NoticeReport> NoticesToSend(bool all, Time now);

  // Says how many processes share the budget of retries.
  void SetProcessCount(size_t count);

  // Picks engines for a request; those in `tried` only where no other is left.
  // Nothing where no engine of the service may get work.
  std::optional<FleetChoice> Choose(const Service& service, const Demand& demand,
                                    const std::set<std::string>& tried, Time now);

  // Forgets what is known of engines that are no longer listed, and words of peers
  // that are over.
  void ForgetUnlisted(Time now);

 private:
  bool Avoids(const std::string& engine, Time now);
  bool Admits(const EngineRecord& engine, const std::string& incarnation, Time now);
  bool MayHelp(const std::string& incarnation) const;
  double ShareOfLimit(const EngineRecord& engine, const std::string& incarnation);
  std::vector<HomeEngine> EnginesFor(const Service& service, Time now);
  std::vector<const HomeEngine*> Pickable(const std::vector<HomeEngine>& engines,
                                          const std::set<std::string>& tried, Time now);
  std::optional<FleetChoice> ChooseAmong(const std::vector<HomeEngine>& engines,
                                         const Service& service, const Demand& demand,
                                         const std::set<std::string>& tried, Time now);
  std::vector<HomeEngine> OthersFor(const Service& service, bool any, Time now);
  bool WantsOthers(const std::optional<FleetChoice>& home, const Demand& demand) const;

  RetryBounds retry_bounds;
  Mechanisms switches;
  Time started;
  std::optional<size_t> processes;
  std::string data_centre;
  EngineDirectory engines;
  std::string box;
  WorkPlan work_plan;
  Spill spill;
  LoadTracker load_book;
  std::map<std::string, EngineHealth> health;
  EngineNotices engine_notices;
  // Whether the other gateways are known at all.
  bool gateways_known = false;
  std::set<std::string> silent_gateways;
  // By incarnation, as of a revision of the plan.
  std::map<std::string, double> limit_shares;
  uint64_t limit_shares_of = 0;
  PeerSuspicion suspicion;
  std::map<std::string, RetryBucket> retries;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_FLEET_H_

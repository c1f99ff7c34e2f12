// Chooses engines for the requests of one gateway.
//
// A Fleet combines all state that a choice depends on: the list of engines, this gateway's own
// success and failure record of each engine, the load on each engine, what engines have said in
// answers, and the budget of retries.  A choice prices the engines of the home cell (cell_map.h)
// by placement.h.  Where these are late or refuse, engines that gateways of other cells have
// offered are priced too (spill.h), and the cheaper choice is taken.
//
//   Fleet fleet(retry_bounds, "box-1", "hall-1");
//   std::optional<FleetChoice> choice = fleet.Choose(service, demand, tried, now);
//
// Engines are named by their incarnation (EngineRecord::Incarnation) in all state that is kept
// about them.  A Fleet is used by one thread.

#ifndef GULLWARD_SERVING_FLEET_H_
#define GULLWARD_SERVING_FLEET_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "overload/engine_pace.h"
#include "serving/cold_engines.h"
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
  // Read parts of the prompt for `engine`.
  std::vector<EngineRecord> readers;
  Placement placement;
  // Number of engines that were priced.
  size_t candidates = 0;
  // Whether `engine` is outside the home cell.
  bool spilled = false;
  // The load of `engine` at the time of the choice, without this request.
  EngineLoad load;
  // The pace by which `engine` was priced.
  double pace = 1;
};

class Fleet {
 public:
  Fleet(const RetryBounds& retry_bounds, const std::string& own_box, std::string own_data_centre,
        const Mechanisms& mechanisms = Mechanisms{}, Time process_started = Time{});

  // Which mechanisms are switched on.
  const Mechanisms& mechanisms() const { return this->switches; }

  EngineDirectory& directory() { return this->engines; }
  const EngineDirectory& directory() const { return this->engines; }
  // The load on each engine.
  LoadTracker& loads() { return this->load_tracker; }
  // This gateway's own record of an engine's successes and failures.
  EngineHealth& HealthOf(const std::string& engine) { return this->health[engine]; }
  // What engines have said of themselves in answers.
  EngineNotices& notices() { return this->engine_notices; }
  const EngineNotices& notices() const { return this->engine_notices; }
  // Which engines are cold (cold_engines.h).
  ColdEngines& cold() { return this->cold_engines; }
  const ColdEngines& cold() const { return this->cold_engines; }
  // How fast engines are (overload/engine_pace.h); empty if the mechanism is off.
  EnginePaces& paces() { return this->engine_paces; }
  const EnginePaces& paces() const { return this->engine_paces; }
  // Sets the requests a second that a cold engine of each service bears from all gateways
  // together.  Services that state no such rate are left out.
  void SetColdRates(std::map<std::string, double> rates) { this->cold_rates = std::move(rates); }
  // The budget of retries for a service.
  RetryBucket& RetryBucketOf(const std::string& service);

  // Records an attempt that failed because of the engine.  One failure sets the engine aside
  // if it was unreachable or if peers have set it aside; otherwise EngineHealth decides.
  void NoteFailure(const std::string& engine, bool unreachable, Time now);

  // The engines that this gateway has set aside because of its own failures.  Empty if they are
  // so many that the fault is more likely this gateway's own (PeerSuspicion::IsInTrouble).
  std::set<std::string> SetAsideEngines(Time now) const;
  // Records the events of a stream that have just arrived together from an engine.
  void NoteEvents(const EngineRecord& engine, const EngineSpeed& speed, int events, GapSpan* span,
                  Time now);
  // Records the first event of a request that was sent to `choice` at `sent`.
  void NoteFirstEvent(const FleetChoice& choice, const EngineSpeed& speed, Time sent, Time now);
  // Records a peer's reports on the paces of engines.  Engines that are not listed are ignored.
  void ReceivePaces(const std::string& peer, const std::map<std::string, PaceReport>& reports,
                    Time now);

  // Records the engines that a peer has set aside.
  void ReceiveSetAside(const std::string& peer, const std::set<std::string>& set_aside, Time now);

  // The engines of the home cells, by the current list.
  const WorkPlan& plan(Time now);
  // Number of engines in all home cells, as of the last call of plan().
  size_t home_engines() const { return this->work_plan.engines(); }
  // The least loaded engines of the home cell of the main service, with all load known on them,
  // to be offered to gateways of other cells.  Engines that are set aside or have sent a notice
  // are left out.
  std::map<std::string, EngineLoad> EnginesToOffer(Time now);
  // Records the engines that a gateway of another cell offers, from the datagram with this
  // incarnation and sequence number of the peer.  Engines of the home cell are ignored: the
  // gateways that work on them report their load directly.
  void ReceiveOffer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                    const std::map<std::string, EngineLoad>& loads, Time now);

  // Sets the other gateways of the fleet.
  void SetGateways(std::vector<GatewayName> others);
  // Sets the boxes whose gateways are presumed stopped; the remaining gateways take over their
  // shares of engines' limits.
  void SetSilentGateways(std::set<std::string> boxes);

  // The functions from here to NoticesToSend apply engines' notices; fleet_notices.cc defines
  // them.

  // Whether the engine and the readers of an earlier choice still admit the request.
  bool StillAdmits(const FleetChoice& choice, Time now);
  // Whether a request that waits for a connection to the engine should keep waiting.  False if
  // the engine has left the list, is leaving or has asked for a pause.
  bool ShouldKeepWaiting(const EngineRecord& engine, Time now) const;
  // Records that a request has been sent to the engine.
  void NoteSent(const EngineRecord& engine, Time now);
  // Whether the service has engines, but only in data centres that the operator evacuates.
  bool AllEvacuated(const Service& service, Time now);
  // Whether the service has engines and all of them refuse new requests by their notices.
  bool AllHoldBack(const Service& service, Time now);
  // Time until the first engine of the service admits a request again; no value if unknown.
  std::optional<Duration> TimeUntilAdmission(const Service& service, Time now);
  // Notices to send to peers (EngineNotices::ReportsToSend).
  std::map<std::string, NoticeReport> NoticesToSend(bool all, Time now);

  // Sets the number of gateways that share the retry budget.
  void SetProcessCount(size_t count);

  // Chooses engines for a request.  An engine in `tried` is chosen only if no other is left.
  // Returns no value if no engine of the service may get the request.
  std::optional<FleetChoice> Choose(const Service& service, const Demand& demand,
                                    const std::set<std::string>& tried, Time now);

  // The time until the home cell's engines have room for a request that they refuse now
  // (room_forecast.h); no value if that is longer than `horizon`.  `promised_seconds` is the
  // engine time that goes before it and is not yet on the engines.
  std::optional<Duration> ForecastRoom(const Service& service, const Demand& demand,
                                       double promised_seconds, Duration horizon, Time now);

  // Drops state of engines that are no longer listed, and expired reports of peers.
  void ForgetUnlisted(Time now);

 private:
  bool ShouldAvoid(const std::string& engine, Time now);
  bool Admits(const EngineRecord& engine, const std::string& incarnation, Time now);
  bool MayHelp(const std::string& incarnation) const;
  std::optional<double> ColdLimit(const EngineRecord& engine, const std::string& incarnation,
                                  Time now) const;
  double ShareOfLimit(const EngineRecord& engine, const std::string& incarnation);
  std::vector<PlannedEngine> ReachableEngines(const Service& service, Time now);
  std::vector<const PlannedEngine*> Selectable(const std::vector<PlannedEngine>& usable,
                                               const std::set<std::string>& tried, Time now);
  std::vector<Candidate> CandidatesOf(const std::vector<const PlannedEngine*>& selectable,
                                      const Demand& demand, Time now);
  std::optional<FleetChoice> ChooseAmong(const std::vector<PlannedEngine>& usable,
                                         const Service& service, const Demand& demand,
                                         const std::set<std::string>& tried, Time now);
  std::vector<PlannedEngine> EnginesElsewhere(const Service& service, bool any, Time now);
  bool ShouldTryElsewhere(const std::optional<FleetChoice>& home, const Demand& demand) const;

  RetryBounds retry_bounds;
  Mechanisms switches;
  Time started;
  std::optional<size_t> processes;
  std::string data_centre;
  EngineDirectory engines;
  std::string box;
  WorkPlan work_plan;
  Spill spill;
  LoadTracker load_tracker;
  std::map<std::string, EngineHealth> health;
  EngineNotices engine_notices;
  ColdEngines cold_engines;
  std::map<std::string, double> cold_rates;
  EnginePaces engine_paces;
  // Whether SetGateways has been called.
  bool gateways_known = false;
  std::set<std::string> silent_gateways;
  // This gateway's shares of engines' limits, by incarnation.  A cache, valid for the plan of
  // revision `limit_shares_revision`.
  std::map<std::string, double> limit_shares;
  uint64_t limit_shares_revision = 0;
  PeerSuspicion suspicion;
  std::map<std::string, RetryBucket> retries;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_FLEET_H_

// Choosing among engines of the home cell and of other cells, and offering engines to other
// cells.

#include "serving/fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "serving/refusal.h"
#include "serving/room_forecast.h"

namespace gullward {
namespace {

// Engines of other cells are considered if the home cell's first event is expected later than
// this share of the objective.  Up to then the home cell's engines, whose load is known exactly,
// serve as well.  Lateness is priced from 0.6 of the objective on (engine_costs.cc), so at 0.7
// the request already loses value by staying.
constexpr double kSpillLateness = 0.7;
// The request spills only if the cost elsewhere is less than this share of the cost in the home
// cell.  The margin is needed because the known load of engines elsewhere is up to half a second
// old.
constexpr double kSpillGain = 0.7;
// When engines are ranked for an offer, this much unread prompt time counts as much as all slots
// in use.
constexpr double kFullReadingMs = 1000;

// An engine's rank, 0 to 1, in an order that is specific to one request.
double ScatteredRank(const std::string& engine, uint64_t scatter_hash) {
  constexpr double kPlaces = 1 << 16;
  uint64_t hash = XXH3_64bits_withSeed(engine.data(), engine.size(), scatter_hash);
  return static_cast<double>(hash % static_cast<uint64_t>(kPlaces)) / kPlaces;
}

}  // namespace

Fleet::Fleet(const RetryBounds& bounds, const std::string& own_box, std::string own_data_centre,
             const Mechanisms& mechanisms, Time process_started)
    : retry_bounds(bounds),
      switches(mechanisms),
      started(process_started),
      data_centre(std::move(own_data_centre)),
      box(own_box),
      work_plan(own_box, this->data_centre, mechanisms.cells),
      suspicion(own_box) {}

RetryBucket& Fleet::RetryBucketOf(const std::string& service) {
  auto [found, is_new] = this->retries.try_emplace(service, this->retry_bounds, this->started);
  if (is_new && this->processes) found->second.SetProcessCount(*this->processes);
  return found->second;
}

void Fleet::SetProcessCount(size_t count) {
  this->processes = count;
  for (auto& [service, window] : this->retries) window.SetProcessCount(count);
}

void Fleet::NoteFailure(const std::string& engine, bool unreachable, Time now) {
  EngineHealth& record = this->health[engine];
  if (unreachable || this->suspicion.IsSuspected(engine, now)) {
    record.AddCertainFailure(now);
  } else {
    record.AddFailure(now);
  }
}

std::set<std::string> Fleet::SetAsideEngines(Time now) const {
  std::set<std::string> set_aside;
  for (const auto& [engine, record] : this->health) {
    if (record.IsSetAside(now)) set_aside.insert(engine);
  }
  if (PeerSuspicion::SetsAsideTooMany(set_aside.size(), this->work_plan.engines())) return {};
  return set_aside;
}

void Fleet::ReceiveSetAside(const std::string& peer, const std::set<std::string>& set_aside,
                            Time now) {
  if (!this->switches.peer_set_aside) return;
  this->suspicion.ReceiveSetAside(peer, set_aside, this->plan(now).engines(), now);
}

void Fleet::NoteEvents(const EngineRecord& engine, const EngineSpeed& speed, int events,
                       GapSpan* span, Time now) {
  if (!this->switches.engine_pace) return;
  std::string incarnation = engine.Incarnation();
  EngineLoad load = this->load_tracker.LoadOn(incarnation, now);
  EventArrival arrival{now, events, WritingPassMs(speed, load),
                       speed.remote_step_ms * speed.steps_per_pass, load.reading_ms};
  if (std::optional<PaceObservation> seen = span->Add(arrival)) {
    this->engine_paces.Observe(incarnation, *seen);
  }
}

// The first event shows the pace only if no other work explains its time: one engine read the
// prompt, was idle before and has got no other request since.
void Fleet::NoteFirstEvent(const FleetChoice& choice, const EngineSpeed& speed, Time sent,
                           Time now) {
  if (!this->switches.engine_pace || !choice.readers.empty()) return;
  std::string engine = choice.engine.Incarnation();
  bool was_idle = choice.load.requests == 0 && choice.load.reading_ms == 0;
  EngineLoad load = this->load_tracker.LoadOn(engine, now);
  if (!was_idle || load.requests > 1 || load.reading_ms > 0) return;
  double expected_ms = choice.placement.part_reading_ms + speed.steps_per_pass * speed.step_ms;
  if (std::optional<PaceObservation> seen = FirstEventObservation(sent, now, expected_ms)) {
    this->engine_paces.Observe(engine, *seen);
  }
}

void Fleet::ReceivePaces(const std::string& peer, const std::map<std::string, PaceReport>& reports,
                         Time now) {
  if (!this->switches.engine_pace) return;
  for (const auto& [engine, report] : reports) {
    if (this->engines.FindIncarnation(engine) == nullptr) continue;
    this->engine_paces.ReceiveReport(engine, peer, report, now);
  }
}

// Whether an engine is passed over while others are left.
bool Fleet::ShouldAvoid(const std::string& engine, Time now) {
  const EngineHealth& record = this->health[engine];
  if (this->switches.own_set_aside && record.IsSetAside(now)) return true;
  return this->suspicion.IsSuspected(engine, now) && !record.SucceededRecently(now);
}

const WorkPlan& Fleet::plan(Time now) {
  this->engines.Expire(now);
  this->work_plan.Update(this->engines);
  return this->work_plan;
}

std::vector<const PlannedEngine*> Fleet::Selectable(const std::vector<PlannedEngine>& usable,
                                                    const std::set<std::string>& tried, Time now) {
  std::vector<const PlannedEngine*> preferred;
  std::vector<const PlannedEngine*> untried;
  std::vector<const PlannedEngine*> all;
  for (const PlannedEngine& engine : usable) {
    if (!this->Admits(engine.record, engine.incarnation, now)) continue;
    all.push_back(&engine);
    if (tried.count(engine.incarnation) != 0) continue;
    untried.push_back(&engine);
    if (!this->ShouldAvoid(engine.incarnation, now)) preferred.push_back(&engine);
  }
  if (!preferred.empty()) return preferred;
  // An engine that is set aside is better than no engine.
  return untried.empty() ? all : untried;
}

std::vector<Candidate> Fleet::CandidatesOf(const std::vector<const PlannedEngine*>& selectable,
                                           const Demand& demand, Time now) {
  std::vector<Candidate> candidates;
  candidates.reserve(selectable.size());
  double last = std::max<double>(static_cast<double>(selectable.size()) - 1, 1);
  for (size_t i = 0; i < selectable.size(); ++i) {
    const PlannedEngine& engine = *selectable[i];
    Candidate candidate;
    candidate.engine = engine.incarnation;
    candidate.load = this->load_tracker.LoadOn(engine.incarnation, now);
    candidate.slots = engine.record.slots;
    candidate.same_data_centre = engine.record.data_centre == this->data_centre;
    candidate.failure_rate = this->health[engine.incarnation].FailureRate(now);
    candidate.rank = this->switches.shared_order ? static_cast<double>(i) / last : 0;
    candidate.may_help = this->MayHelp(engine.incarnation);
    candidate.pace = this->engine_paces.PaceOf(engine.incarnation, now);
    if (demand.scatter_hash)
      candidate.rank = ScatteredRank(engine.incarnation, *demand.scatter_hash);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::optional<FleetChoice> Fleet::ChooseAmong(const std::vector<PlannedEngine>& usable,
                                              const Service& service, const Demand& demand,
                                              const std::set<std::string>& tried, Time now) {
  std::vector<const PlannedEngine*> selectable = this->Selectable(usable, tried, now);
  if (selectable.empty()) return std::nullopt;
  std::vector<Candidate> candidates = this->CandidatesOf(selectable, demand, now);
  FleetChoice choice;
  PlacementOptions options{this->switches.spread_reading, this->switches.gather_streams};
  choice.placement = service.runs_models ? ChooseByRank(candidates, service.speed, demand, options)
                                         : ChooseLeastLoaded(candidates);
  choice.candidates = candidates.size();
  const std::vector<size_t>& chosen = choice.placement.engines;
  if (chosen.empty()) return std::nullopt;
  choice.engine = selectable[chosen.front()]->record;
  choice.load = candidates[chosen.front()].load;
  choice.pace = candidates[chosen.front()].pace;
  for (size_t i = 1; i < chosen.size(); ++i) {
    choice.readers.push_back(selectable[chosen[i]]->record);
  }
  return choice;
}

// Whether engines of other cells should be priced as well.
bool Fleet::ShouldTryElsewhere(const std::optional<FleetChoice>& home, const Demand& demand) const {
  if (!this->switches.spill) return !home;
  if (!home) return true;
  bool is_late = home->placement.first_event_ms > kSpillLateness * demand.objective_ms;
  return is_late || ShouldRefuse(home->placement, demand);
}

// The usable engines of other cells that are on offer.  If there is none and `any` is set, all
// usable engines of the service.
std::vector<PlannedEngine> Fleet::EnginesElsewhere(const Service& service, bool any, Time now) {
  std::vector<PlannedEngine> others;
  for (const std::string& incarnation : this->spill.Engines(now)) {
    const EngineRecord* engine = this->engines.FindIncarnation(incarnation);
    bool usable =
        engine != nullptr && engine->service == service.name && this->engines.IsUsable(*engine);
    if (usable) others.push_back({*engine, incarnation});
  }
  if (!others.empty() || !any) return others;
  for (const EngineRecord* engine : this->engines.Usable(service.name, now)) {
    others.push_back({*engine, engine->Incarnation()});
  }
  return others;
}

std::optional<FleetChoice> Fleet::Choose(const Service& service, const Demand& demand,
                                         const std::set<std::string>& tried, Time now) {
  const ServicePlan& home_plan = this->plan(now).ForService(service.name);
  std::optional<FleetChoice> home =
      this->ChooseAmong(home_plan.engines, service, demand, tried, now);
  if (home_plan.cells.is_whole() || !service.runs_models) return home;
  if (!this->ShouldTryElsewhere(home, demand)) return home;
  // Engines that are not on offer are used only if the home cell has no engines.  If it has
  // some and their notices refuse new requests, engines elsewhere, whose notices may be unknown
  // here, are likely to refuse as well.
  bool any = home_plan.engines.empty();
  std::vector<PlannedEngine> others = this->EnginesElsewhere(service, any, now);
  std::optional<FleetChoice> elsewhere = this->ChooseAmong(others, service, demand, tried, now);
  if (!elsewhere) return home;
  elsewhere->spilled = true;
  if (!home) return elsewhere;
  bool is_better = elsewhere->placement.cost < kSpillGain * home->placement.cost;
  // Where ranks differ, costs are relative to the rank, so they must not decide who is refused.
  bool ranks_differ = demand.last_rank_steps > 0;
  if (ranks_differ && ShouldRefuse(home->placement, demand)) is_better = true;
  return is_better && !ShouldRefuse(elsewhere->placement, demand) ? elsewhere : home;
}

std::optional<Duration> Fleet::ForecastRoom(const Service& service, const Demand& demand,
                                            double promised_seconds, Duration horizon, Time now) {
  const ServicePlan& home_plan = this->plan(now).ForService(service.name);
  std::vector<const PlannedEngine*> selectable = this->Selectable(home_plan.engines, {}, now);
  if (selectable.empty() || !service.runs_models) return std::nullopt;
  std::vector<Candidate> candidates = this->CandidatesOf(selectable, demand, now);
  PlacementOptions options{this->switches.spread_reading, this->switches.gather_streams};
  double promised_per_engine = promised_seconds / static_cast<double>(candidates.size());
  return gullward::ForecastRoom(candidates, service.speed, demand, options, promised_per_engine,
                                horizon);
}

std::map<std::string, EngineLoad> Fleet::EnginesToOffer(Time now) {
  const WorkPlan& current = this->plan(now);
  std::vector<std::pair<double, std::string>> by_load;
  std::map<std::string, EngineLoad> loads;
  for (const PlannedEngine& engine : current.ForService(current.main_service()).engines) {
    bool is_free = !this->ShouldAvoid(engine.incarnation, now) &&
                   !this->engine_notices.Has(engine.incarnation) &&
                   this->engine_paces.PaceOf(engine.incarnation, now) < EnginePaces::kSlow;
    if (!is_free) continue;
    EngineLoad load = this->load_tracker.LoadOn(engine.incarnation, now);
    double slot_use = static_cast<double>(load.requests) / std::max(engine.record.slots, 1);
    by_load.emplace_back(slot_use + load.RemainingReadingMs() / kFullReadingMs, engine.incarnation);
    loads[engine.incarnation] = std::move(load);
  }
  std::sort(by_load.begin(), by_load.end());
  std::map<std::string, EngineLoad> offer;
  for (const auto& [load, engine] : by_load) {
    if (offer.size() == Spill::kMaxOffered) break;
    offer[engine] = loads[engine];
  }
  return offer;
}

void Fleet::ReceiveOffer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                         const std::map<std::string, EngineLoad>& loads, Time now) {
  if (!this->switches.spill) return;
  const WorkPlan& current = this->plan(now);
  std::map<std::string, EngineLoad> elsewhere;
  std::set<std::string> offered;
  for (const auto& [engine, load] : loads) {
    const EngineRecord* record = this->engines.FindIncarnation(engine);
    if (record == nullptr) continue;
    const ServicePlan& service = current.ForService(record->service);
    if (service.cells.CellOf(*record) == service.home) continue;
    elsewhere[engine] = load;
    offered.insert(engine);
  }
  this->load_tracker.ApplyPeer(peer, incarnation, sequence, elsewhere, now);
  this->spill.ReceiveOffer(peer, std::move(offered), now);
}

void Fleet::ForgetUnlisted(Time now) {
  this->suspicion.Tick(now);
  this->load_tracker.ForgetExpired(now);
  std::set<std::string> listed = this->engines.Incarnations();
  for (auto it = this->health.begin(); it != this->health.end();) {
    it = listed.count(it->first) != 0 ? std::next(it) : this->health.erase(it);
  }
  this->engine_notices.Forget(listed, now);
  this->cold_engines.Forget(now);
  this->engine_paces.Forget(listed, now);
}

}  // namespace gullward

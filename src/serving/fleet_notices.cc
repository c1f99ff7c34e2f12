// The part of Fleet that applies engines' notices (engine_notices.h): which engines admit a
// request, this gateway's share of an engine's limit, and the reports to other gateways.

#include <algorithm>
#include <utility>

#include "serving/fleet.h"

namespace gullward {
namespace {

// The share of a service's cold rate that its gateways use together.  With credit of one second
// saved up (limit_share.h), an engine gets at most kSharers + 2 * 0.75 * rate requests in a second;
// the users allow 5 + 1.5 * rate.
constexpr double kColdLimitShare = 0.75;

}  // namespace

void Fleet::SetGateways(std::vector<GatewayName> others) {
  this->gateways_known = true;
  this->limit_shares.clear();
  this->work_plan.SetGateways(std::move(others));
}

void Fleet::SetSilentGateways(std::set<std::string> boxes) {
  if (boxes == this->silent_gateways) return;
  this->limit_shares.clear();
  this->silent_gateways = std::move(boxes);
}

// Zero until SetGateways has been called: gateways that start together would otherwise each use
// the whole limit.  Zero for engines outside the home cell, whose limit is shared by the gateways
// of their own cell.
double Fleet::ShareOfLimit(const EngineRecord& engine, const std::string& incarnation) {
  if (!this->gateways_known) return 0;
  if (this->limit_shares_revision != this->work_plan.revision()) this->limit_shares.clear();
  this->limit_shares_revision = this->work_plan.revision();
  auto [found, is_new] = this->limit_shares.try_emplace(incarnation, 0);
  if (!is_new) return found->second;
  const ServicePlan& plan = this->work_plan.ForService(engine.service);
  if (plan.cells.CellOf(engine) != plan.home) return 0;
  std::vector<std::string> others;
  for (const GatewayName& gateway : this->work_plan.known_gateways()) {
    bool shares_limit = plan.cells.HomeOf(gateway.box, gateway.data_centre) == plan.home &&
                        this->silent_gateways.count(gateway.box) == 0;
    if (shares_limit && gateway.box != this->box) others.push_back(gateway.box);
  }
  found->second = gullward::ShareOfLimit(incarnation, this->box, others);
  return found->second;
}

std::optional<double> Fleet::ColdLimit(const EngineRecord& engine, const std::string& incarnation,
                                       Time now) const {
  if (!this->switches.cold_engines || !this->cold_engines.IsCold(incarnation, now)) return {};
  auto found = this->cold_rates.find(engine.service);
  if (found == this->cold_rates.end()) return {};
  return kColdLimitShare * found->second;
}

bool Fleet::Admits(const EngineRecord& engine, const std::string& incarnation, Time now) {
  // An earlier choice may name an engine that has become unusable since.
  if (!this->engines.IsUsable(engine)) return false;
  std::optional<double> cold_limit = this->ColdLimit(engine, incarnation, now);
  bool has_notices = this->switches.engine_notices && this->engine_notices.Has(incarnation);
  if (!has_notices && !cold_limit) return true;
  double share = this->ShareOfLimit(engine, incarnation);
  return this->engine_notices.Admits(incarnation, share, now, cold_limit);
}

// An engine with a limit does not read parts of other engines' prompts: its limit does not count
// such reading.
bool Fleet::MayHelp(const std::string& incarnation) const {
  return !this->switches.engine_notices || !this->engine_notices.LimitOf(incarnation);
}

bool Fleet::StillAdmits(const FleetChoice& choice, Time now) {
  if (!this->Admits(choice.engine, choice.engine.Incarnation(), now)) return false;
  return std::all_of(choice.readers.begin(), choice.readers.end(), [&](const auto& reader) {
    std::string incarnation = reader.Incarnation();
    return this->MayHelp(incarnation) && this->Admits(reader, incarnation, now);
  });
}

bool Fleet::ShouldKeepWaiting(const EngineRecord& engine, Time now) const {
  std::string incarnation = engine.Incarnation();
  const EngineRecord* known = this->engines.FindIncarnation(incarnation);
  if (known == nullptr || !this->engines.IsUsable(*known)) return false;
  bool refuses_work = this->engine_notices.IsLeaving(incarnation) ||
                      this->engine_notices.RestLeft(incarnation, now) > Duration::zero();
  return !refuses_work || !this->switches.engine_notices;
}

void Fleet::NoteSent(const EngineRecord& engine, Time now) {
  std::string incarnation = engine.Incarnation();
  if (!this->engine_notices.Has(incarnation)) return;
  double share = this->ShareOfLimit(engine, incarnation);
  this->engine_notices.NoteSent(incarnation, share, now, this->ColdLimit(engine, incarnation, now));
}

// All engines that a request for the service may be sent to.
std::vector<PlannedEngine> Fleet::ReachableEngines(const Service& service, Time now) {
  const ServicePlan& home = this->plan(now).ForService(service.name);
  std::vector<PlannedEngine> found = home.engines;
  if (home.cells.is_whole() || !service.runs_models) return found;
  std::vector<PlannedEngine> others = this->EnginesElsewhere(service, /*any=*/found.empty(), now);
  found.insert(found.end(), others.begin(), others.end());
  return found;
}

bool Fleet::AllEvacuated(const Service& service, Time now) {
  if (!this->engines.Usable(service.name, now).empty()) return false;
  return this->engines.HasEvacuated(service.name);
}

bool Fleet::AllHoldBack(const Service& service, Time now) {
  if (this->engine_notices.empty()) return false;
  const std::vector<PlannedEngine> all = this->ReachableEngines(service, now);
  return !all.empty() && std::none_of(all.begin(), all.end(), [&](const PlannedEngine& engine) {
    return this->Admits(engine.record, engine.incarnation, now);
  });
}

std::optional<Duration> Fleet::TimeUntilAdmission(const Service& service, Time now) {
  std::optional<Duration> soonest;
  for (const PlannedEngine& engine : this->ReachableEngines(service, now)) {
    double share = this->ShareOfLimit(engine.record, engine.incarnation);
    std::optional<Duration> time_left = this->engine_notices.TimeUntilAdmission(
        engine.incarnation, share, now, this->ColdLimit(engine.record, engine.incarnation, now));
    if (time_left && (!soonest || *time_left < *soonest)) soonest = time_left;
  }
  return soonest;
}

std::map<std::string, NoticeReport> Fleet::NoticesToSend(bool all, Time now) {
  auto is_sharer = [this](const std::string& incarnation) {
    const EngineRecord* engine = this->engines.FindIncarnation(incarnation);
    return engine != nullptr && this->ShareOfLimit(*engine, incarnation) > 0;
  };
  return this->engine_notices.ReportsToSend(all, is_sharer, now);
}

}  // namespace gullward

#include "gateway/room_price.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "serving/engine_costs.h"

namespace gullward {
namespace {

// The factor by which a figure must differ from the last one logged.
constexpr double kLoggedChange = 2;

bool HasChanged(double before, double now) {
  return std::max(before, now) >= kLoggedChange * std::min(before, now);
}

bool HasChanged(const ServicePrice& before, const ServicePrice& now) {
  if (HasChanged(before.price, now.price)) return true;
  for (const auto& [route, share] : now.routes) {
    auto known = before.routes.find(route);
    double factor = known != before.routes.end() ? known->second.factor : 1;
    if (HasChanged(factor, share.factor)) return true;
  }
  return false;
}

// Each route with its share of served requests and its share factor, as "chat 0.98 x1 ...".
std::string SharesText(const std::map<std::string, RouteShare>& routes) {
  std::string text;
  for (const auto& [route, share] : routes) {
    absl::StrAppend(&text, text.empty() ? "" : " ", route, " ", share.served, " x", share.factor);
  }
  return text;
}

}  // namespace

void RoomPrice::SetTerms(const WorkKey& key, size_t engines, Time now, Demand* demand) {
  if (!this->is_on) return;
  // Without engines there is nothing to price, and the request is refused for another reason.
  if (engines > 0 && this->work_prices.IsDue(key.service, now)) {
    this->work_prices.Update(key.service, this->tally.WorkOf(key.service, now),
                             static_cast<double>(engines), now);
    this->LogChange(key.service, now);
  }
  RouteTerms terms = this->work_prices.TermsOf(key.service, key.route);
  demand->refusal.value_per_engine_second = terms.value_per_engine_second;
  demand->refusal.value_factor *= terms.value_factor;
}

void RoomPrice::Note(const WorkKey& key, const Demand& demand, const Placement& placement,
                     bool is_refused, Time now) {
  if (!this->is_on || demand.was_refused_before) return;
  AskedWork work;
  work.engine_seconds = placement.engine_seconds;
  work.value = RequestValue(demand.prompt_tokens);
  work.rank = demand.rank_steps;
  work.is_refused = is_refused;
  this->tally.Note(key, work, now);
}

std::map<WorkKey, WorkSums> RoomPrice::WorkToSend(Time now) const {
  return this->tally.OwnWork(now);
}

void RoomPrice::ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                          const std::map<WorkKey, WorkSums>& work, Time now) {
  if (this->is_on) this->tally.ApplyPeer(peer, incarnation, sequence, work, now);
}

void RoomPrice::Tick(Time now) {
  this->tally.ForgetExpired(now);
  this->work_prices.ForgetExpired(now);
  std::erase_if(this->logged, [this](const auto& entry) {
    return this->work_prices.services().count(entry.first) == 0;
  });
}

void RoomPrice::LogChange(const std::string& service, Time now) {
  const ServicePrice& current = this->work_prices.services().at(service);
  auto [before, is_first] = this->logged.try_emplace(service, current);
  if (is_first || !HasChanged(before->second, current)) return;
  if (now - this->last_line < kLogInterval) return;
  this->last_line = now;
  before->second = current;
  this->log->Write(LogLine("room_price")
                       .Text("service", service)
                       .Number("price", current.price)
                       .Number("engine_seconds_asked", current.engine_seconds_asked)
                       .Number("engines", current.engines)
                       .Text("route_shares", SharesText(current.routes)));
}

}  // namespace gullward

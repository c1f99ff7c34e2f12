// fleet_view.h tells the method.

#include "routing/fleet_view.h"

#include <algorithm>

namespace gullward {
namespace {

// Engines remembered for one prefix; the most recent ones.
constexpr size_t kMaxEnginesPerPrefix = 4;

}  // namespace

double EngineView::WaitSeconds(uint32_t priority) const {
  double sum = 0;
  for (size_t i = 0; i < this->backlog_seconds.size() && i <= priority; ++i) {
    sum += this->backlog_seconds[i];
  }
  return sum;
}

bool EngineView::HasLowerPriorityPrefill(uint32_t priority) const {
  for (size_t i = priority + 1; i < this->backlog_seconds.size(); ++i) {
    if (this->backlog_seconds[i] > 0) return true;
  }
  return false;
}

FleetView::FleetView(uint64_t own_incarnation) : incarnation(own_incarnation) {}

void FleetView::OnHeartbeat(const std::string& name, const EndpointHeartbeat& heartbeat, Time now) {
  Box& box = this->boxes[name];
  bool restarted = box.report.incarnation != heartbeat.incarnation;
  if (restarted) {
    box.leaving = false;
    box.own.clear();
    box.penalties.clear();
  }
  box.report = heartbeat;
  box.heard = now;
  box.connected = true;
  box.leaving = box.leaving || heartbeat.leaving;
  for (const IncludedDispatch& included : heartbeat.included) {
    if (included.incarnation != this->incarnation) continue;
    while (!box.own.empty() && box.own.front().number <= included.sequence) box.own.pop_front();
  }
  for (const EngineLoad& load : heartbeat.engines) {
    for (const CacheHint& hint : load.cached) this->RememberPrefix(hint, {name, load.engine});
  }
}

void FleetView::OnBoxLost(const std::string& name) {
  auto found = this->boxes.find(name);
  if (found == this->boxes.end()) return;
  found->second.connected = false;
  found->second.own.clear();
}

void FleetView::Prune(Time now) {
  std::erase_if(this->boxes, [&](const auto& item) {
    return !item.second.connected && now - item.second.heard >= kForgetBoxAfter;
  });
}

void FleetView::SetLeaving(const std::set<std::string>& leaving) { this->leaving_boxes = leaving; }

uint64_t FleetView::RecordDispatch(const EngineRef& ref, uint32_t priority, double prefill_seconds,
                                   uint64_t tokens) {
  Box& box = this->boxes[ref.box];
  uint64_t number = box.next_dispatch++;
  box.own.push_back({number, ref.engine, priority, prefill_seconds, tokens});
  return number;
}

void FleetView::RecordPrefillEnd(const EngineRef& ref, uint64_t dispatch) {
  auto found = this->boxes.find(ref.box);
  if (found == this->boxes.end()) return;
  for (Dispatch& own : found->second.own) {
    if (own.number != dispatch) continue;
    own.prefill_seconds = 0;
    own.tokens = 0;
    return;
  }
}

void FleetView::RecordFailure(const EngineRef& ref, Time now) {
  Penalty& penalty = this->boxes[ref.box].penalties[ref.engine];
  penalty.until = now + penalty.next;
  penalty.next = std::min<Duration>(penalty.next * 2, kMaxPenalty);
}

void FleetView::RecordSuccess(const EngineRef& ref) {
  auto found = this->boxes.find(ref.box);
  if (found != this->boxes.end()) found->second.penalties.erase(ref.engine);
}

void FleetView::RecordPrefixes(const EngineRef& ref, const std::vector<CacheHint>& hints) {
  for (const CacheHint& hint : hints) this->RememberPrefix(hint, ref);
}

void FleetView::RememberPrefix(const CacheHint& hint, const EngineRef& ref) {
  auto [found, added] = this->prefixes.try_emplace(hint.prefix_hash);
  PrefixPlaces& places = found->second;
  places.tokens = hint.tokens;
  auto known = std::find(places.engines.begin(), places.engines.end(), ref);
  if (known != places.engines.end()) places.engines.erase(known);
  places.engines.insert(places.engines.begin(), ref);
  if (places.engines.size() > kMaxEnginesPerPrefix) places.engines.pop_back();
  if (!added) return;
  this->prefix_order.push_back(hint.prefix_hash);
  if (this->prefix_order.size() <= kMaxPrefixes) return;
  this->prefixes.erase(this->prefix_order.front());
  this->prefix_order.pop_front();
}

bool FleetView::Usable(const std::string& name, const Box& box, Time now) const {
  if (!box.connected || box.leaving) return false;
  if (this->leaving_boxes.count(name) > 0) return false;
  return now - box.heard < kHeartbeatTimeout;
}

EngineView FleetView::ViewOf(const std::string& name, const Box& box,
                             const EngineLoad& load) const {
  EngineView view;
  view.ref = {name, load.engine};
  view.total_tokens = load.total_tokens;
  view.outstanding = load.running;
  view.long_running = load.long_running;
  view.speed = {load.seconds_per_token, load.seconds_per_token_pair};
  view.backlog_seconds.reserve(load.backlog_ms.size());
  for (double millis : load.backlog_ms) view.backlog_seconds.push_back(millis / 1000);
  uint64_t promised = 0;
  for (const Dispatch& own : box.own) {
    if (own.engine != load.engine) continue;
    ++view.outstanding;
    promised += own.tokens;
    if (own.priority < view.backlog_seconds.size()) {
      view.backlog_seconds[own.priority] += own.prefill_seconds;
    }
  }
  view.free_tokens = load.free_tokens > promised ? load.free_tokens - promised : 0;
  return view;
}

std::vector<EngineView> FleetView::Candidates(const std::string& model,
                                              const std::vector<CacheHint>& hints, Time now,
                                              bool include_penalised) const {
  std::map<EngineRef, uint64_t> cached;
  for (const CacheHint& hint : hints) {
    auto found = this->prefixes.find(hint.prefix_hash);
    if (found == this->prefixes.end()) continue;
    for (const EngineRef& ref : found->second.engines) {
      cached[ref] = std::max(cached[ref], hint.tokens);
    }
  }
  std::vector<EngineView> views;
  for (const auto& [name, box] : this->boxes) {
    if (!this->Usable(name, box, now)) continue;
    for (const EngineLoad& load : box.report.engines) {
      if (!load.up || load.model != model) continue;
      auto penalty = box.penalties.find(load.engine);
      bool penalised = penalty != box.penalties.end() && now < penalty->second.until;
      if (penalised && !include_penalised) continue;
      EngineView view = this->ViewOf(name, box, load);
      auto hit = cached.find(view.ref);
      if (hit != cached.end()) view.cached_tokens = hit->second;
      views.push_back(std::move(view));
    }
  }
  return views;
}

std::vector<std::string> FleetView::ServiceBoxes(const std::string& service, Time now) const {
  std::vector<std::string> names;
  for (const auto& [name, box] : this->boxes) {
    bool serves = box.report.service == service && !service.empty();
    if (serves && this->Usable(name, box, now)) names.push_back(name);
  }
  return names;
}

bool FleetView::HasModel(const std::string& model) const {
  for (const auto& [name, box] : this->boxes) {
    for (const EngineLoad& load : box.report.engines) {
      if (load.model == model) return true;
    }
  }
  return false;
}

std::vector<FleetView::BoxInfo> FleetView::Describe(Time now) const {
  std::vector<BoxInfo> infos;
  for (const auto& [name, box] : this->boxes) {
    bool leaving = box.leaving || this->leaving_boxes.count(name) > 0;
    infos.push_back({name, box.report.incarnation, box.report.config_offset,
                     this->Usable(name, box, now), leaving, box.own.size(), box.report.engines});
  }
  return infos;
}

}  // namespace gullward

// Work is stored by request and indexed by engine; peers' reports are stored by engine.

#include "serving/engine_load.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace gullward {
namespace {

bool HasSameKey(const PauseClass& a, const PauseClass& b) {
  return a.pause_ms == b.pause_ms && a.rank_steps == b.rank_steps;
}

std::vector<PauseClass> Merged(std::vector<PauseClass> left, const std::vector<PauseClass>& right) {
  for (const PauseClass& added : right) {
    auto position = std::lower_bound(
        left.begin(), left.end(), added, [](const PauseClass& a, const PauseClass& b) {
          return std::tie(a.pause_ms, a.rank_steps) < std::tie(b.pause_ms, b.rank_steps);
        });
    if (position == left.end() || !HasSameKey(*position, added)) {
      left.insert(position, added);
      continue;
    }
    position->streams += added.streams;
    position->context_tokens += added.context_tokens;
  }
  return left;
}

}  // namespace

EngineLoad Sum(const EngineLoad& left, const EngineLoad& right) {
  EngineLoad sum;
  sum.requests = left.requests + right.requests;
  sum.writers = left.writers + right.writers;
  sum.context_tokens = left.context_tokens + right.context_tokens;
  sum.reading_ms = left.reading_ms + right.reading_ms;
  sum.read_ms = std::max(left.read_ms, right.read_ms);
  sum.streams = Merged(left.streams, right.streams);
  return sum;
}

bool IsSignificantChange(const EngineLoad& sent, const EngineLoad& now, bool count_reading) {
  if (sent.requests != now.requests || sent.writers != now.writers) return true;
  if ((sent.reading_ms == 0) != (now.reading_ms == 0)) return true;
  return count_reading && std::abs(sent.reading_ms - now.reading_ms) >= kMinReadingChangeMs;
}

void LoadTracker::Begin(uint64_t work, std::vector<WorkPart> parts, Time now) {
  this->End(work);
  for (size_t i = 0; i < parts.size(); ++i) this->by_engine[parts[i].engine][work] = i;
  this->works[work] = Work{std::move(parts), now, true};
}

void LoadTracker::MarkFirstEvent(uint64_t work) {
  auto found = this->works.find(work);
  if (found != this->works.end()) found->second.reading = false;
}

void LoadTracker::MarkAnswerLate(uint64_t work) {
  auto found = this->works.find(work);
  if (found == this->works.end()) return;
  for (WorkPart& part : found->second.parts) {
    if (part.pause_ms > 0) part.pause_ms = kLateStreamPauseMs;
  }
}

void LoadTracker::End(uint64_t work) {
  auto found = this->works.find(work);
  if (found == this->works.end()) return;
  for (const WorkPart& part : found->second.parts) {
    auto engine = this->by_engine.find(part.engine);
    if (engine == this->by_engine.end()) continue;
    engine->second.erase(work);
    if (engine->second.empty()) this->by_engine.erase(engine);
  }
  this->works.erase(found);
}

void LoadTracker::ApplyPeer(const std::string& name, uint64_t incarnation, uint64_t sequence,
                            const std::map<std::string, EngineLoad>& loads, Time now) {
  uint64_t& known = this->incarnations[name];
  if (known != incarnation) {
    for (auto& [engine, peers] : this->peer_loads) peers.erase(name);
  }
  known = incarnation;
  for (const auto& [engine, load] : loads) {
    PeerLoad& previous = this->peer_loads[engine][name];
    if (previous.sequence < sequence) previous = PeerLoad{load, sequence, now};
  }
}

void LoadTracker::ForgetExpired(Time now) {
  std::set<std::string> peers_with_reports;
  for (auto engine = this->peer_loads.begin(); engine != this->peer_loads.end();) {
    std::erase_if(engine->second,
                  [&](const auto& report) { return now - report.second.received > kPeerTimeout; });
    for (const auto& [peer, report] : engine->second) peers_with_reports.insert(peer);
    engine = engine->second.empty() ? this->peer_loads.erase(engine) : std::next(engine);
  }
  std::erase_if(this->incarnations,
                [&](const auto& peer) { return peers_with_reports.count(peer.first) == 0; });
}

size_t LoadTracker::peer_entries() const {
  size_t count = 0;
  for (const auto& [engine, peers] : this->peer_loads) count += peers.size();
  return count;
}

EngineLoad LoadTracker::LoadOf(const Work& work, const WorkPart& part, Time now) {
  EngineLoad load;
  if (work.reading) {
    double elapsed_ms = ToSeconds(now - work.begun) * 1000;
    load.reading_ms = part.reading_ms;
    load.read_ms = std::min(elapsed_ms, part.reading_ms);
  }
  load.context_tokens = part.prompt_tokens;
  if (!part.is_main) return load;
  load.requests = 1;
  load.writers = work.reading ? 0 : 1;
  if (part.pause_ms > 0) load.streams = {{part.pause_ms, 1, part.prompt_tokens, part.rank_steps}};
  return load;
}

EngineLoad LoadTracker::SumOf(const PartsOfEngine& parts, Time now) const {
  EngineLoad sum;
  for (const auto& [work, position] : parts) {
    const Work& entry = this->works.at(work);
    sum = Sum(sum, LoadOf(entry, entry.parts[position], now));
  }
  return sum;
}

EngineLoad LoadTracker::LoadOn(const std::string& engine, Time now) const {
  EngineLoad sum;
  auto own = this->by_engine.find(engine);
  if (own != this->by_engine.end()) sum = this->SumOf(own->second, now);
  auto reports = this->peer_loads.find(engine);
  if (reports == this->peer_loads.end()) return sum;
  for (const auto& [peer, report] : reports->second) {
    Duration age = now - report.received;
    bool is_over = age > kPeerTimeout || report.load == EngineLoad{};
    if (is_over) continue;
    EngineLoad load = report.load;
    load.read_ms = std::min(load.read_ms + ToSeconds(age) * 1000, load.reading_ms);
    sum = Sum(sum, load);
  }
  return sum;
}

std::map<std::string, EngineLoad> LoadTracker::OwnLoads(Time now) const {
  std::map<std::string, EngineLoad> loads;
  for (const auto& [engine, parts] : this->by_engine) loads[engine] = this->SumOf(parts, now);
  return loads;
}

}  // namespace gullward

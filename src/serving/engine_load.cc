// engine_load.h tells what is kept.

#include "serving/engine_load.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gullward {
namespace {

std::vector<PauseClass> Merged(std::vector<PauseClass> left, const std::vector<PauseClass>& right) {
  for (const PauseClass& added : right) {
    auto place = std::lower_bound(
        left.begin(), left.end(), added,
        [](const PauseClass& a, const PauseClass& b) { return a.pause_ms < b.pause_ms; });
    if (place == left.end() || place->pause_ms != added.pause_ms) {
      left.insert(place, added);
      continue;
    }
    place->streams += added.streams;
    place->context_tokens += added.context_tokens;
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

bool IsSignificantChange(const EngineLoad& told, const EngineLoad& now, bool count_reading) {
  if (told.requests != now.requests || told.writers != now.writers) return true;
  if ((told.reading_ms == 0) != (now.reading_ms == 0)) return true;
  return count_reading && std::abs(told.reading_ms - now.reading_ms) >= kReadingNewsMs;
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
  uint64_t& life = this->lives[name];
  if (life != incarnation) {
    for (auto& [engine, peers] : this->told) peers.erase(name);
  }
  life = incarnation;
  for (const auto& [engine, load] : loads) {
    Told& before = this->told[engine][name];
    if (before.sequence < sequence) before = Told{load, sequence, now};
  }
}

void LoadTracker::ForgetSilent(Time now) {
  std::set<std::string> heard;
  for (auto engine = this->told.begin(); engine != this->told.end();) {
    std::erase_if(engine->second,
                  [&](const auto& word) { return now - word.second.heard > kPeerTimeout; });
    for (const auto& [peer, word] : engine->second) heard.insert(peer);
    engine = engine->second.empty() ? this->told.erase(engine) : std::next(engine);
  }
  std::erase_if(this->lives, [&](const auto& life) { return heard.count(life.first) == 0; });
}

size_t LoadTracker::peer_entries() const {
  size_t count = 0;
  for (const auto& [engine, peers] : this->told) count += peers.size();
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
  if (part.pause_ms > 0) load.streams = {{part.pause_ms, 1, part.prompt_tokens}};
  return load;
}

EngineLoad LoadTracker::SumOf(const PartsOfEngine& parts, Time now) const {
  EngineLoad sum;
  for (const auto& [work, place] : parts) {
    const Work& entry = this->works.at(work);
    sum = Sum(sum, LoadOf(entry, entry.parts[place], now));
  }
  return sum;
}

EngineLoad LoadTracker::LoadOn(const std::string& engine, Time now) const {
  EngineLoad sum;
  auto own = this->by_engine.find(engine);
  if (own != this->by_engine.end()) sum = this->SumOf(own->second, now);
  auto words = this->told.find(engine);
  if (words == this->told.end()) return sum;
  for (const auto& [peer, word] : words->second) {
    Duration age = now - word.heard;
    bool is_over = age > kPeerTimeout || word.load == EngineLoad{};
    if (is_over) continue;
    EngineLoad load = word.load;
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

// Connections are reused last in, first out, because the engine is least likely to have closed
// the one that was used last.

#include "gateway/engine_pool.h"

#include <algorithm>
#include <utility>

namespace gullward {

std::shared_ptr<RequestChannel> EnginePool::Take(const EngineRecord& engine, Time now, bool fresh) {
  std::vector<Idle>& waiting = this->idle[engine.Incarnation()];
  while (!fresh && !waiting.empty()) {
    Idle last = std::move(waiting.back());
    waiting.pop_back();
    if (last.channel->reusable() && last.until > now) return last.channel;
    last.channel->Close();
  }
  this->opened_count += 1;
  return RequestChannel::Open(this->loop, engine.address);
}

void EnginePool::Give(const EngineRecord& engine, const std::shared_ptr<RequestChannel>& channel,
                      Time now) {
  std::vector<Idle>& waiting = this->idle[engine.Incarnation()];
  Duration keep =
      channel->keep_alive().value_or(kDefaultKeepAlive + kKeepAliveMargin) - kKeepAliveMargin;
  bool is_kept = channel->reusable() && keep.count() > 0 && waiting.size() < kMaxIdlePerEngine;
  if (!is_kept) {
    channel->Close();
    return;
  }
  waiting.push_back({channel, now + keep});
}

void EnginePool::Tick(Time now) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    std::vector<Idle>& waiting = it->second;
    auto has_expired = [now](const Idle& entry) {
      return !entry.channel->reusable() || entry.until <= now;
    };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), has_expired), waiting.end());
    it = waiting.empty() ? this->idle.erase(it) : std::next(it);
  }
}

}  // namespace gullward

// Connections are reused last in, first out, because the engine is least likely to have closed
// the one that was used last.

#include "gateway/engine_pool.h"

#include <algorithm>
#include <utility>

namespace gullward {

std::shared_ptr<RequestChannel> EnginePool::Take(const EngineRecord& engine, Time now, bool fresh) {
  std::vector<Idle>& idle_channels = this->idle[engine.Incarnation()];
  while (!fresh && !idle_channels.empty()) {
    Idle last = std::move(idle_channels.back());
    idle_channels.pop_back();
    if (last.channel->reusable() && last.until > now) return last.channel;
    last.channel->Close();
  }
  this->opened_count += 1;
  return RequestChannel::Open(this->loop, engine.address);
}

void EnginePool::Give(const EngineRecord& engine, const std::shared_ptr<RequestChannel>& channel,
                      Time now) {
  std::vector<Idle>& idle_channels = this->idle[engine.Incarnation()];
  Duration keep =
      channel->keep_alive().value_or(kDefaultKeepAlive + kKeepAliveMargin) - kKeepAliveMargin;
  bool is_kept =
      channel->reusable() && keep.count() > 0 && idle_channels.size() < kMaxIdlePerEngine;
  if (!is_kept) {
    channel->Close();
    return;
  }
  idle_channels.push_back({channel, now + keep});
}

void EnginePool::Tick(Time now) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    std::vector<Idle>& idle_channels = it->second;
    auto has_expired = [now](const Idle& entry) {
      return !entry.channel->reusable() || entry.until <= now;
    };
    idle_channels.erase(std::remove_if(idle_channels.begin(), idle_channels.end(), has_expired),
                        idle_channels.end());
    it = idle_channels.empty() ? this->idle.erase(it) : std::next(it);
  }
}

}  // namespace gullward

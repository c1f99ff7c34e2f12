// Idle connections to engines, kept for the next request.
//
//   auto channel = pool.Take(engine, now, /*fresh=*/false);
//   ...
//   pool.Give(engine, channel, now);        // after a whole answer

#ifndef GULLWARD_GATEWAY_ENGINE_POOL_H_
#define GULLWARD_GATEWAY_ENGINE_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/request_channel.h"
#include "serving/engine_directory.h"

namespace gullward {

class EnginePool {
 public:
  // Engines bound the connections of all callers together, so few are kept.
  static constexpr size_t kMostIdlePerEngine = 4;
  // Where an engine does not say how long it keeps an idle connection.
  static constexpr Duration kDefaultKeep = seconds(4);
  // Given back this much before the engine would close it: its seconds are
  // whole, and the way there takes time.
  static constexpr Duration kKeepMargin = milliseconds(1200);

  explicit EnginePool(EventLoop* event_loop) : loop(event_loop) {}

  // A connection to the engine; a new one if `fresh`, or if none is idle.
  std::shared_ptr<RequestChannel> Take(const EngineRecord& engine, Time now, bool fresh);

  // Takes a channel back whose answer has ended; closes it if it is not fit.
  void Give(const EngineRecord& engine, const std::shared_ptr<RequestChannel>& channel, Time now);

  // Closes what has been idle for too long.
  void Tick(Time now);

  uint64_t opened() const { return this->opened_count; }

 private:
  struct Idle {
    std::shared_ptr<RequestChannel> channel;
    Time until;
  };

  EventLoop* loop;
  std::map<std::string, std::vector<Idle>> idle;
  uint64_t opened_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_POOL_H_

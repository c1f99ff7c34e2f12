// A pool of idle connections to engines.
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
  // Few connections are kept, because an engine bounds the total of the connections that it
  // accepts from all gateways.
  static constexpr size_t kMaxIdlePerEngine = 4;
  // How long an idle connection is kept if the engine does not state its keep-alive time.
  static constexpr Duration kDefaultKeepAlive = seconds(4);
  // A connection is closed this long before the engine would close it.  Engines state whole
  // seconds, and a request takes time to reach the engine.
  static constexpr Duration kKeepAliveMargin = milliseconds(1200);

  explicit EnginePool(EventLoop* event_loop) : loop(event_loop) {}

  // Returns a connection to the engine: a new one if `fresh` is true or if none is idle.
  std::shared_ptr<RequestChannel> Take(const EngineRecord& engine, Time now, bool fresh);

  // Takes back a channel whose answer has ended.  Closes it if it cannot be reused or the pool
  // has enough idle connections to the engine.
  void Give(const EngineRecord& engine, const std::shared_ptr<RequestChannel>& channel, Time now);

  // Closes connections that have been idle for too long.
  void Tick(Time now);

  // The number of connections opened.
  uint64_t opened() const { return this->opened_count; }

 private:
  struct Idle {
    std::shared_ptr<RequestChannel> channel;
    // When the connection is to be closed.
    Time until;
  };

  EventLoop* loop;
  // By the engine's incarnation, in the order in which the connections were given back.
  std::map<std::string, std::vector<Idle>> idle;
  uint64_t opened_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ENGINE_POOL_H_

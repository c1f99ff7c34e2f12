// Whether an engine whose answer broke off is gone, or only that connection.
//
// A connection breaks for many reasons: reset on the way, cut by a faulty engine, or lost
// with the engine.  Which it was shows at once: the address of an engine that has ended
// refuses a new connection, one that lives takes it.  Where nothing answers (a cut, a box
// without power) nothing is found out.
//
//   LostEngineCheck check(&loop);
//   check.Ask(engine, [](EngineFinding finding) { ... });
//
// One connection at a time is opened to an engine; all who ask meanwhile share its finding,
// so an engine that is lost with sixteen requests costs each gateway one.

#ifndef GULLWARD_GATEWAY_LOST_ENGINE_CHECK_H_
#define GULLWARD_GATEWAY_LOST_ENGINE_CHECK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "serving/engine_directory.h"
#include "transport/tcp_stream.h"

namespace gullward {

enum class EngineFinding {
  // Nobody listens at its address.
  kGone,
  // It takes connections.
  kThere,
  // Nothing answered.
  kUnknown,
};

// For logs.
const char* NameOf(EngineFinding finding);

class LostEngineCheck {
 public:
  // A connection stands, or is refused, within a round trip: milliseconds.  After this the
  // engine, or the way to it, is silent.
  static constexpr Duration kPatience = milliseconds(500);

  using Done = std::function<void(EngineFinding)>;

  explicit LostEngineCheck(EventLoop* event_loop) : loop(event_loop) {}

  // Calls `done` once, later.
  void Ask(const EngineRecord& engine, Done done);

  // Connections opened since the process began.
  uint64_t connections() const { return this->opened; }

 private:
  struct Check {
    std::shared_ptr<TcpStream> stream;
    std::vector<Done> waiting;
  };

  void Open(const EngineRecord& engine);
  void Finish(const std::string& engine, uint64_t number, EngineFinding finding);

  EventLoop* loop;
  // Under way, by the engine's incarnation, each with its number.
  std::map<std::string, std::pair<uint64_t, Check>> checks;
  uint64_t opened = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_LOST_ENGINE_CHECK_H_

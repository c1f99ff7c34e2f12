// Tests whether an engine whose answer broke off is gone, or whether only the connection broke.
//
// A connection may be reset on the way, closed by a faulty engine, or lost with the engine.  The
// test opens a new connection to the engine's address: it is refused if the engine's process has
// ended, and accepted if the process runs.  If nothing answers (a network partition, a box
// without power), the result is unknown.
//
//   LostEngineCheck check(&loop);
//   check.Start(engine, [](EngineFinding finding) { ... });
//
// At most one connection to an engine is open at a time, and all tests of the engine in that time
// share its result.  So an engine that crashes with sixteen requests costs each gateway one
// connection.

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
  // The address refuses connections.
  kGone,
  // The engine accepts connections.
  kThere,
  // There was no answer within kTimeout, or the connection failed in another way.
  kUnknown,
};

// Returns the name of the finding in logs and metrics.
const char* NameOf(EngineFinding finding);

class LostEngineCheck {
 public:
  // A connection is accepted or refused within a round trip of milliseconds.  If neither happens
  // in this time, the engine or the network path to it does not respond.
  static constexpr Duration kTimeout = milliseconds(500);

  using Done = std::function<void(EngineFinding)>;

  explicit LostEngineCheck(EventLoop* event_loop) : loop(event_loop) {}

  // Starts a test, or joins the one under way, and calls `done` once, after this call returns.
  void Start(const EngineRecord& engine, Done done);

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
  // Tests under way, by the engine's incarnation.  The number distinguishes a test from later
  // tests of the same engine.
  std::map<std::string, std::pair<uint64_t, Check>> checks;
  uint64_t opened = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_LOST_ENGINE_CHECK_H_

// The operators' side of a process: /healthz, /readyz, /metrics, /state, /drain.
//
// It listens on an address of its own, loopback unless the settings say
// otherwise, so that callers cannot reach it.
//
//   AdminServer admin(&loop, {.ready = ..., .state = ..., .metrics = ..., .drain = ...});
//   absl::Status status = admin.Start(address);

#ifndef GULLWARD_PROCESS_ADMIN_SERVER_H_
#define GULLWARD_PROCESS_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "http/http_server.h"
#include "transport/event_loop.h"

namespace gullward {

class AdminServer {
 public:
  // All hooks run on the loop's thread.
  struct Hooks {
    // Whether the balancer may send requests here.
    std::function<bool()> ready;
    // The state dump, a JSON object.
    std::function<std::string()> state;
    // The metrics in Prometheus's text format.
    std::function<std::string()> metrics;
    // Begins to drain.
    std::function<void()> drain;
  };

  AdminServer(EventLoop* loop, Hooks hooks);

  absl::Status Start(const SocketAddress& address);
  void Stop() { this->server.Stop(); }
  uint16_t port() const { return this->server.port(); }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);

  EventLoop* loop;
  Hooks hooks;
  HttpServer server;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_ADMIN_SERVER_H_

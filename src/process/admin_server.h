// The HTTP server for operators of a process.
//
//   GET /healthz    200 while the process runs
//   GET /readyz     200 if the process takes requests, else 503
//   GET /metrics    the metrics in Prometheus's text format
//   GET /state      the state dump, a JSON object
//   POST /drain     starts to drain the process; 202
//
// It listens on its own address, which is a loopback address unless the settings name
// another one, so that callers cannot reach it.
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
    // Whether the load balancer may send requests to this process.
    std::function<bool()> ready;
    // The state dump, a JSON object.
    std::function<std::string()> state;
    // The metrics in Prometheus's text format.
    std::function<std::string()> metrics;
    // Starts to drain the process.
    std::function<void()> drain;
  };

  AdminServer(EventLoop* loop, Hooks hooks);

  // Listens and serves until Stop.  Returns an error if the address cannot be bound.
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

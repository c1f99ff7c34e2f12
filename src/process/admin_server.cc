// Requests are read on the HTTP server's threads and answered on the loop's thread.

#include "process/admin_server.h"

#include <utility>

namespace gullward {
namespace {

constexpr char kText[] = "text/plain; charset=utf-8";
constexpr char kMetricsText[] = "text/plain; version=0.0.4; charset=utf-8";
constexpr char kJson[] = "application/json";

}  // namespace

AdminServer::AdminServer(EventLoop* event_loop, Hooks admin_hooks)
    : loop(event_loop), hooks(std::move(admin_hooks)) {}

absl::Status AdminServer::Start(const SocketAddress& address) {
  HttpServer::Options options;
  options.address = address;
  options.threads = 2;
  options.max_body_bytes = 64u << 10;
  return this->server.Start(options, [this](const std::shared_ptr<HttpExchange>& exchange) {
    this->loop->Post([this, exchange] { this->Handle(exchange); });
  });
}

void AdminServer::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->path;
  bool is_drain = path == "/drain";
  if (exchange->method != (is_drain ? "POST" : "GET")) {
    exchange->Respond({405, kText, {}, "method not allowed\n"});
  } else if (path == "/healthz") {
    exchange->Respond({200, kText, {}, "ok\n"});
  } else if (path == "/readyz") {
    bool ready = this->hooks.ready();
    exchange->Respond({ready ? 200 : 503, kText, {}, ready ? "ready\n" : "not ready\n"});
  } else if (path == "/metrics") {
    exchange->Respond({200, kMetricsText, {}, this->hooks.metrics()});
  } else if (path == "/state") {
    exchange->Respond({200, kJson, {}, this->hooks.state()});
  } else if (is_drain) {
    this->hooks.drain();
    exchange->Respond({202, kText, {}, "draining\n"});
  } else {
    exchange->Respond({404, kText, {}, "no such path\n"});
  }
}

}  // namespace gullward

// standin-service: a plain service that keeps a journal of entries.
//
//   POST /entries   adds the request body as an entry; answers with the number of entries
//   GET  /entries   answers with the bodies of all entries, in order
//   POST /fault     see standins/fault.h

#include <gflags/gflags.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "http/http_server.h"
#include "process/process.h"
#include "standins/fault.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");

int main(int argc, char** argv) {
  using namespace gullward;
  using nlohmann::json;
  InitProcess("standin-service: a small plain service for tests", &argc, &argv);
  EventLoop loop;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  Faults faults;
  json entries = json::array();
  auto handle = [&](const std::shared_ptr<HttpExchange>& exchange) {
    static constexpr char kJson[] = "application/json";
    if (exchange->path == "/fault") {
      faults.Update(exchange->body);
      exchange->Respond({200, kJson, {}, "{}"});
      if (faults.die) _exit(1);
      if (faults.freeze_ms > 0) std::this_thread::sleep_for(milliseconds(faults.freeze_ms));
    } else if (exchange->path != "/entries") {
      exchange->Respond({404, kJson, {}, "{}"});
    } else if (exchange->method == "POST") {
      entries.push_back(exchange->body);
      if (faults.lose_answers > 0) {
        --faults.lose_answers;
        exchange->Abort();
      } else {
        exchange->Respond({201, kJson, {}, json{{"entry", entries.size()}}.dump()});
      }
    } else {
      exchange->Respond({200, kJson, {}, entries.dump()});
    }
  };
  HttpServer server;
  HttpServer::Options options;
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(FLAGS_listen);
  if (!address.ok()) return 1;
  options.address = *address;
  absl::Status status = server.Start(options, [&](const std::shared_ptr<HttpExchange>& exchange) {
    loop.Post([&handle, exchange] { handle(exchange); });
  });
  if (!status.ok()) return 1;
  WriteReadyFile(json{{"listen", address->host + ":" + std::to_string(server.port())}}.dump());
  loop.Run();
  server.Stop();
  return 0;
}

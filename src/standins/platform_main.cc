// standin-platform: a minimal stand-in for the platform's log and box list.
//
// docs/PLATFORM.md describes the interface that gullward expects:
//
//   POST /streams/NAME                  appends a record; answers {"offset": N}
//   GET  /streams/NAME?from=N&wait_ms=  reads records; answers {"earliest", "records"}
//   GET  /boxes                         the box list as it was --lag_ms ago
//   PUT  /boxes                         replaces the box list (used by the operator)
//   POST /trim/NAME?before=N            drops records with lower offsets, as retention does
//   POST /fault                         see standins/fault.h
//
// Appends beyond --appends_per_second are answered with 429.

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/escaping.h"
#include "http/http_server.h"
#include "process/process.h"
#include "standins/fault.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_int64(lag_ms, 500, "time until a new box list is visible, in milliseconds");
DEFINE_double(appends_per_second, 100, "maximum rate of appends");

namespace gullward {
namespace {

using nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr char kJson[] = "application/json";
constexpr char kStreamsPath[] = "/streams/";
constexpr char kTrimPath[] = "/trim/";
constexpr size_t kMaxRecordsPerRead = 1000;

HttpResponse JsonAnswer(int status, const json& body) { return {status, kJson, {}, body.dump()}; }

int64_t Query(const HttpExchange& exchange, const std::string& name) {
  auto found = exchange.query.find(name);
  return found == exchange.query.end() ? 0 : std::strtoll(found->second.c_str(), nullptr, 10);
}

class PlatformServer {
 public:
  explicit PlatformServer(EventLoop* event_loop) : loop(event_loop) {}

  absl::Status Start(const SocketAddress& address) {
    HttpServer::Options options;
    options.address = address;
    return this->http.Start(options, [this](const ExchangePtr& exchange) {
      this->loop->Post([this, exchange] { this->Handle(exchange); });
    });
  }

  void Stop() { this->http.Stop(); }
  uint16_t port() const { return this->http.port(); }

  // Answers reads whose wait time is over, and drops connections that callers have closed.
  void Tick() {
    this->http.SweepClosed();
    for (auto& item : this->streams) {
      Stream& stream = item.second;
      std::erase_if(stream.waiting, [&](const Waiting& reader) {
        if (reader.until > Now()) return false;
        this->AnswerRead(stream, reader.exchange, reader.from);
        return true;
      });
    }
  }

 private:
  struct Waiting {
    ExchangePtr exchange;
    int64_t from;
    Time until;
  };

  struct Stream {
    int64_t earliest = 0;
    std::deque<std::string> records;
    std::vector<Waiting> waiting;
  };

  void Handle(const ExchangePtr& exchange) {
    const std::string& path = exchange->path;
    if (path == "/fault") {
      this->faults.Update(exchange->body);
      exchange->Respond({200, kJson, {}, "{}"});
      if (this->faults.die) _exit(1);
      if (this->faults.freeze_ms > 0) {
        std::this_thread::sleep_for(milliseconds(this->faults.freeze_ms));
      }
    } else if (this->faults.outage) {
      exchange->Respond(JsonAnswer(503, {{"error", "outage"}}));
    } else if (path == "/boxes") {
      this->HandleBoxes(exchange);
    } else if (path.compare(0, sizeof(kTrimPath) - 1, kTrimPath) == 0) {
      this->Trim(exchange, path.substr(sizeof(kTrimPath) - 1));
    } else if (path.compare(0, sizeof(kStreamsPath) - 1, kStreamsPath) == 0) {
      Stream& stream = this->streams[path.substr(sizeof(kStreamsPath) - 1)];
      if (exchange->method == "POST") {
        this->Append(&stream, exchange);
      } else {
        this->Read(&stream, exchange);
      }
    } else {
      exchange->Respond(JsonAnswer(404, {{"error", "no such path"}}));
    }
  }

  void HandleBoxes(const ExchangePtr& exchange) {
    if (exchange->method == "GET") {
      exchange->Respond(JsonAnswer(200, this->visible_boxes));
      return;
    }
    json list = json::parse(exchange->body, nullptr, false);
    if (!list.is_array()) {
      exchange->Respond(JsonAnswer(400, {{"error", "expected an array"}}));
      return;
    }
    this->loop->RunAfter(milliseconds(FLAGS_lag_ms), [this, list] { this->visible_boxes = list; });
    exchange->Respond(JsonAnswer(200, json::object()));
  }

  bool TakeAppendToken() {
    Time now = Now();
    this->append_budget += ToSeconds(now - this->budget_at) * FLAGS_appends_per_second;
    this->append_budget = std::min(this->append_budget, FLAGS_appends_per_second);
    this->budget_at = now;
    if (this->append_budget < 1) return false;
    this->append_budget -= 1;
    return true;
  }

  void Append(Stream* stream, const ExchangePtr& exchange) {
    if (!this->TakeAppendToken()) {
      exchange->Respond(JsonAnswer(429, {{"error", "too many appends"}}));
      return;
    }
    stream->records.push_back(exchange->body);
    int64_t offset = stream->earliest + static_cast<int64_t>(stream->records.size()) - 1;
    if (this->faults.lose_answers > 0) {
      --this->faults.lose_answers;
      exchange->Abort();
    } else {
      exchange->Respond(JsonAnswer(200, {{"offset", offset}}));
    }
    for (const Waiting& reader : std::exchange(stream->waiting, {})) {
      this->AnswerRead(*stream, reader.exchange, reader.from);
    }
  }

  void Read(Stream* stream, const ExchangePtr& exchange) {
    int64_t from = Query(*exchange, "from");
    int64_t end = stream->earliest + static_cast<int64_t>(stream->records.size());
    int64_t wait_ms = Query(*exchange, "wait_ms");
    if (from >= end && wait_ms > 0) {
      stream->waiting.push_back({exchange, from, Now() + milliseconds(wait_ms)});
      return;
    }
    this->AnswerRead(*stream, exchange, from);
  }

  void AnswerRead(const Stream& stream, const ExchangePtr& exchange, int64_t from) {
    json records = json::array();
    int64_t offset = std::max(from, stream.earliest);
    int64_t end = stream.earliest + static_cast<int64_t>(stream.records.size());
    for (; offset < end && records.size() < kMaxRecordsPerRead; ++offset) {
      const std::string& body = stream.records[static_cast<size_t>(offset - stream.earliest)];
      records.push_back({{"offset", offset}, {"body", absl::Base64Escape(body)}});
    }
    exchange->Respond(JsonAnswer(200, {{"earliest", stream.earliest}, {"records", records}}));
  }

  void Trim(const ExchangePtr& exchange, const std::string& name) {
    Stream& stream = this->streams[name];
    int64_t before = Query(*exchange, "before");
    while (stream.earliest < before && !stream.records.empty()) {
      stream.records.pop_front();
      ++stream.earliest;
    }
    exchange->Respond(JsonAnswer(200, {{"earliest", stream.earliest}}));
  }

  EventLoop* loop;
  HttpServer http;
  Faults faults;
  std::map<std::string, Stream> streams;
  json visible_boxes = json::array();
  double append_budget = 0;
  Time budget_at;
};

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-platform: a small log and box list for tests", &argc, &argv);
  EventLoop loop;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  PlatformServer server(&loop);
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(FLAGS_listen);
  if (!address.ok() || !server.Start(*address).ok()) return 1;
  loop.RunEvery(milliseconds(50), [&] { server.Tick(); });
  WriteReadyFile(
      nlohmann::json{{"listen", address->host + ":" + std::to_string(server.port())}}.dump());
  loop.Run();
  server.Stop();
  return 0;
}

// standin-engine: a model engine's HTTP interface over EngineModel.
//
//   POST   /v1/completions        a streamed completion (docs/ENGINES.md)
//   GET    /v1/allocations        memory held, by allocation name
//   DELETE /v1/allocations/NAME   cancels a job and frees its memory
//   GET    /v1/kv/NAME            exports a kept piece of a prompt: its hash and token count
//   GET    /stats                 counters, for tests
//   POST   /fault                 see standins/fault.h

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "http/http_client.h"
#include "http/http_server.h"
#include "process/process.h"
#include "standins/answer.h"
#include "standins/engine_model.h"
#include "standins/fault.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(model, "base", "name of the loaded model");
DEFINE_int64(memory_tokens, 400000, "size of the KV cache, in tokens");
DEFINE_int64(cache_tokens, 200000, "size of the prefix cache, in tokens");
DEFINE_double(tokens_per_second, 20000, "prefill speed without the time for attention");
DEFINE_double(seconds_per_token_pair, 1e-10, "attention time of the prefill per pair of tokens");
DEFINE_double(step_seconds, 0.004, "minimum duration of a step");

namespace gullward {
namespace {

using nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr char kJson[] = "application/json";
constexpr char kAllocationsPath[] = "/v1/allocations/";
constexpr char kKvPath[] = "/v1/kv/";

HttpResponse JsonAnswer(int status, const json& body) { return {status, kJson, {}, body.dump()}; }

// A completion that waits until its context has been fetched from other engines.
struct PendingCompletion {
  EngineJob job;
  ExchangePtr exchange;
  std::string prompt;
  size_t contexts_left = 0;
  bool failed = false;
  // The hash and the token count of each earlier piece of the prompt, in order.  The hash of the
  // last piece covers all of them.
  std::vector<std::pair<uint64_t, uint64_t>> contexts;
};

class EngineServer {
 public:
  explicit EngineServer(EventLoop* event_loop)
      : loop(event_loop), client(event_loop), model(Options()) {}

  absl::Status Start(const SocketAddress& address) {
    HttpServer::Options options;
    options.address = address;
    options.max_body_bytes = 64u << 20;
    return this->http.Start(options, [this](const ExchangePtr& exchange) {
      this->loop->Post([this, exchange] { this->Handle(exchange); });
    });
  }

  void Stop() { this->http.Stop(); }
  uint16_t port() const { return this->http.port(); }
  void SweepClosed() { this->http.SweepClosed(); }

 private:
  static EngineModelOptions Options() {
    EngineModelOptions options;
    options.memory_tokens = static_cast<uint64_t>(FLAGS_memory_tokens);
    options.cache_tokens = static_cast<uint64_t>(FLAGS_cache_tokens);
    options.speed = {1 / FLAGS_tokens_per_second, FLAGS_seconds_per_token_pair};
    options.step_seconds = FLAGS_step_seconds;
    return options;
  }

  void Handle(const ExchangePtr& exchange) {
    const std::string& path = exchange->path;
    if (path == "/fault") {
      this->faults.Update(exchange->body);
      exchange->Respond({200, kJson, {}, "{}"});
      if (this->faults.die) _exit(1);
      if (this->faults.freeze_ms > 0) {
        std::this_thread::sleep_for(milliseconds(this->faults.freeze_ms));
      }
      this->model.SetSlowdown(this->faults.slow);
    } else if (path == "/v1/completions" && exchange->method == "POST") {
      this->Complete(exchange);
    } else if (path == "/v1/allocations") {
      exchange->Respond(JsonAnswer(200, this->Allocations()));
    } else if (path.compare(0, sizeof(kAllocationsPath) - 1, kAllocationsPath) == 0) {
      this->FreeAllocation(exchange, path.substr(sizeof(kAllocationsPath) - 1));
    } else if (path.compare(0, sizeof(kKvPath) - 1, kKvPath) == 0) {
      this->ExportKv(exchange, path.substr(sizeof(kKvPath) - 1));
    } else if (path == "/stats") {
      exchange->Respond(JsonAnswer(200, {{"started", this->started},
                                         {"finished", this->finished},
                                         {"allocations", this->model.holdings().size()},
                                         {"free_tokens", this->model.free_tokens()}}));
    } else {
      exchange->Respond(JsonAnswer(404, {{"error", "no such path"}}));
    }
  }

  json Allocations() const {
    json list = json::array();
    for (const auto& [name, holding] : this->model.holdings()) {
      list.push_back({{"name", name}, {"tokens", holding.tokens}});
    }
    return list;
  }

  void FreeAllocation(const ExchangePtr& exchange, const std::string& name) {
    bool was_held = this->model.Free(name);
    auto stream = this->streams.find(name);
    if (stream != this->streams.end()) {
      stream->second->Abort();
      this->streams.erase(stream);
    }
    exchange->Respond(JsonAnswer(was_held ? 200 : 404, json::object()));
  }

  void ExportKv(const ExchangePtr& exchange, const std::string& name) {
    auto found = this->model.holdings().find(name);
    if (found == this->model.holdings().end() || !found->second.kept) {
      exchange->Respond(JsonAnswer(404, json::object()));
      return;
    }
    exchange->Respond(JsonAnswer(200, {{"hash", std::to_string(found->second.hash)},
                                       {"tokens", found->second.prompt_tokens}}));
  }

  void Complete(const ExchangePtr& exchange) {
    json body = json::parse(exchange->body, nullptr, false);
    bool is_valid = body.is_object() && body.contains("prompt") && body["prompt"].is_string() &&
                    !body.value("allocation", std::string()).empty();
    if (!is_valid || body.value("model", std::string()) != FLAGS_model) {
      exchange->Respond(JsonAnswer(is_valid ? 404 : 400, {{"error", "unknown model or bad body"}}));
      return;
    }
    auto pending = std::make_shared<PendingCompletion>();
    pending->exchange = exchange;
    pending->prompt = body["prompt"].get<std::string>();
    pending->job.allocation = body["allocation"].get<std::string>();
    pending->job.memory_tokens = body.value("memory_tokens", uint64_t{0});
    pending->job.max_tokens = body.value("max_tokens", uint32_t{16});
    pending->job.priority = body.value("priority", uint32_t{0});
    pending->job.keep = body.value("keep", false);
    json contexts = body.value("context", json::array());
    pending->contexts_left = contexts.size();
    pending->contexts.resize(contexts.size());
    for (size_t i = 0; i < contexts.size(); ++i) this->ImportKv(pending, contexts[i], i);
    if (contexts.empty()) this->Submit(*pending);
  }

  void ImportKv(const std::shared_ptr<PendingCompletion>& pending, const json& context,
                size_t index) {
    HttpCall call;
    call.url = "http://" + context.value("address", std::string()) + kKvPath +
               context.value("allocation", std::string());
    call.timeout = seconds(2);
    auto done = [this, pending, index](const HttpResult& result) {
      json kv = json::parse(result.body, nullptr, false);
      bool ok = result.complete && result.status == 200 && kv.is_object();
      if (ok) {
        pending->contexts[index] = {std::stoull(kv.value("hash", std::string("0"))),
                                    kv.value("tokens", uint64_t{0})};
      }
      pending->failed = pending->failed || !ok;
      if (--pending->contexts_left > 0) return;
      if (pending->failed) {
        pending->exchange->Respond(JsonAnswer(424, {{"error", "a context is gone"}}));
      } else {
        this->Submit(*pending);
      }
    };
    this->client.Start(std::move(call), {nullptr, std::move(done)});
  }

  void Submit(const PendingCompletion& pending) {
    EngineJob job = pending.job;
    job.prompt_tokens = TokensOf(pending.prompt.size());
    uint64_t before = kAnswerSeed;
    for (const auto& [hash, tokens] : pending.contexts) {
      before = hash;
      job.before_tokens += tokens;
    }
    job.hash = ContinueHash(before, pending.prompt);
    if (pending.contexts.empty()) job.prefixes = PrefixHashes(pending.prompt);
    EngineModel::SubmitResult submitted = this->model.Submit(job, Now());
    if (submitted != EngineModel::SubmitResult::kOk) {
      bool memory = submitted == EngineModel::SubmitResult::kNoMemory;
      pending.exchange->Respond(JsonAnswer(memory ? 507 : 409, json::object()));
      return;
    }
    ++this->started;
    pending.exchange->StartStream(200, "text/event-stream", {});
    this->streams[job.allocation] = pending.exchange;
    this->tokens_sent[job.allocation] = 0;
    this->Schedule();
  }

  // Schedules Advance for the end of the current step, unless it is already scheduled for then.
  void Schedule() {
    std::optional<Time> next = this->model.NextEvent();
    if (!next || *next == this->next_advance) return;
    this->next_advance = *next;
    this->loop->RunAfter(*next - Now(), [this] { this->Advance(); });
  }

  void Advance() {
    for (const EngineEvent& event : this->model.AdvanceTo(Now())) this->Send(event);
    this->Schedule();
  }

  void Send(const EngineEvent& event) {
    auto found = this->streams.find(event.allocation);
    if (found == this->streams.end()) return;
    ExchangePtr exchange = found->second;
    if (!event.finished) {
      bool must_abort = this->faults.cut_after_tokens >= 0 &&
                        this->tokens_sent[event.allocation] >= this->faults.cut_after_tokens;
      if (must_abort) {
        this->faults.cut_after_tokens = -1;
        exchange->Abort();
        this->model.Free(event.allocation);
        this->streams.erase(found);
        return;
      }
      ++this->tokens_sent[event.allocation];
      json choice = {{"index", 0}, {"text", event.text}, {"tokens", 1}, {"finish_reason", nullptr}};
      exchange->Write("data: " + json({{"choices", json::array({choice})}}).dump() + "\n\n");
      return;
    }
    ++this->finished;
    this->streams.erase(found);
    this->tokens_sent.erase(event.allocation);
    if (this->faults.lose_answers > 0) {
      --this->faults.lose_answers;
      exchange->Abort();
      return;
    }
    json choice = {{"index", 0}, {"text", ""}, {"finish_reason", event.finish_reason}};
    json last = {{"choices", json::array({choice})},
                 {"usage",
                  {{"prompt_tokens", event.prompt_tokens},
                   {"cached_tokens", event.cached_tokens},
                   {"completion_tokens", event.answer_tokens}}},
                 {"prefill_seconds", event.prefill_seconds}};
    exchange->Write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    exchange->FinishStream();
  }

  EventLoop* loop;
  HttpClient client;
  EngineModel model;
  HttpServer http;
  Faults faults;
  std::map<std::string, ExchangePtr> streams;
  std::map<std::string, int64_t> tokens_sent;
  Time next_advance;
  uint64_t started = 0;
  uint64_t finished = 0;
};

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-engine: a small model engine for tests", &argc, &argv);
  EventLoop loop;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  EngineServer server(&loop);
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(FLAGS_listen);
  if (!address.ok() || !server.Start(*address).ok()) return 1;
  loop.RunEvery(milliseconds(200), [&] { server.SweepClosed(); });
  WriteReadyFile(
      nlohmann::json{{"listen", address->host + ":" + std::to_string(server.port())}}.dump());
  loop.Run();
  server.Stop();
  return 0;
}

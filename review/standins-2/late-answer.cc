// Engines that send one more answer late, while others' memory is set aside on them.
//
// Callers on kept channels send short prompts and very long ones.  The memory of a very long prompt
// is set aside on further engines by orders, for which the gateway uses its kept channels to them.
// One of three engines is out of memory, and refuses such orders with 409.  It sends some answers
// once more, in the spot where the next answer on that channel is due; the Attempt-Id
// shows to which request such an answer belongs.
//
// The disruption is the late answers; with TROUBLE=0 there are none.  The rule is broken if a
// caller gets the answer to an order, which no caller has sent.

#include <atomic>
#include <memory>
#include <random>
#include <thread>

#include "deployment.h"
#include "model-engine.h"

namespace review {
namespace {

constexpr int kEngines = 3;
constexpr int kShortCallers = 24;
constexpr int kLongCallers = 12;
constexpr double kLength = 95;
// Callers pause between two requests, at random and for this long on the average.
constexpr double kShortPause = 0.03;
constexpr double kLongPause = 0.05;
// The site's dose: on at most 0.6 of the engines, after at most 0.03 of their answers, for 5 s at a
// time (model-engine.h).
constexpr double kExtraShare = 0.03;
constexpr uint64_t kMemoryTokens = 197'200;
constexpr int kDeadlineMs = 10'000;

struct Counts {
  std::atomic<int> answers{0};
  std::atomic<int> served{0};
  std::atomic<int> foreign{0};
};

std::string RequestText(const std::string& path, const std::string& attempt,
                        const std::string& tokens) {
  return "POST " + path + " HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + attempt +
         "\r\nModel: m\r\nToken-Count: " + tokens + "\r\nPrompt-Prefix: " + attempt + ":100" +
         "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\nContent-Length: 2\r\n\r\nhi";
}

void SendRequests(int caller, bool is_long, int port, double until, Record* record,
                  Counts* counts) {
  std::mt19937 random(static_cast<unsigned>(caller + 1));
  std::exponential_distribution<double> idle(1 / (is_long ? kLongPause : kShortPause));
  std::unique_ptr<Connection> connection;
  for (int number = 1; Now() < until; ++number) {
    if (!connection) connection = Connect(port, 2);
    if (!connection) return;
    std::string attempt =
        (is_long ? "long-" : "short-") + std::to_string(caller) + "-" + std::to_string(number);
    std::string text =
        RequestText(is_long ? "/long/1" : "/short/1", attempt, is_long ? "119000,200" : "1000,200");
    std::optional<Message> answer = Call(connection.get(), text, Now() + kDeadlineMs / 1000.0);
    if (!answer) {
      record->Line("the channel of " + attempt + " ended without an answer");
      connection.reset();
      continue;
    }
    counts->answers += 1;
    counts->served += answer->Status() == 200 ? 1 : 0;
    record->Line("the caller of " + attempt + " got " + std::to_string(answer->Status()));
    bool is_of_order = answer->body.find("{\"free\":") != std::string::npos;
    if (is_of_order) {
      counts->foreign += 1;
      record->Line("WRONG: the caller of " + attempt + " got status " +
                   std::to_string(answer->Status()) + ", Response-Seal '" +
                   answer->Header("Response-Seal") + "', body " + answer->body);
    }
    if (answer->Header("Connection") == "close") connection.reset();
    double pause = std::stod("0" + (answer->Status() == 503 ? answer->Header("Retry-After") : ""));
    SleepFor(pause + idle(random));
  }
}

[[noreturn]] void Run(const CaseOptions& options) {
  Record record(options.folder + "/record.txt");
  Store store;
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    ModelEngine::Options engine;
    engine.id = "i-" + std::to_string(i + 1);
    engine.seed = static_cast<unsigned>(i + 1);
    engine.events = 2;
    // Faster than the configuration says, so that more prompts fit into the length of the case.
    engine.read_per_s = 1'000'000;
    engine.event_interval = 0.01;
    engine.memory_tokens = kMemoryTokens;
    bool is_faulty = i == 1;
    // The memory of these engines is mostly in use, by others.
    if (is_faulty) engine.used_by_others = 190'000;
    if (is_faulty && options.has_trouble) engine.extra_share = kExtraShare;
    engines.push_back(std::make_unique<ModelEngine>(engine, &record));
    ModelEngine::Register(engines.back().get());
    store.PutEngine(engine.id, EngineJson("models", engines.back()->port(), 16));
  }
  const std::string stream = ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":2000";
  store.PutConfig(
      ConfigJson(1,
                 {RouteJson("short", "/short/", "streaming", "models", kDeadlineMs, 2, stream),
                  RouteJson("long", "/long/", "streaming", "models", kDeadlineMs, 2, stream, 3000)},
                 {ModelServiceJson("models", kMemoryTokens)}));
  Gateway gateway = StartGateway(options, "front-1", store.port());
  if (!WaitUntilReady(gateway, 15)) Finish(2);
  Counts counts;
  std::vector<std::thread> callers;
  double until = Now() + kLength;
  for (int i = 0; i < kShortCallers + kLongCallers; ++i) {
    callers.emplace_back([&, i] {
      SendRequests(i, /*is_long=*/i >= kShortCallers, gateway.callers_port, until, &record,
                   &counts);
    });
  }
  for (std::thread& caller : callers) caller.join();
  EndProcess(gateway.pid);
  record.Line(std::to_string(counts.answers) + " answers, " + std::to_string(counts.served) +
              " with status 200, " + std::to_string(counts.foreign) + " that belong to an order");
  if (counts.served == 0) Finish(2);
  Finish(counts.foreign > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { review::Run(review::ReadCaseOptions(argc, argv)); }

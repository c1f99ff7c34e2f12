// Many callers at once, each with a request of the largest size that the configuration allows.
//
// Fourteen callers on kept channels send bodies of 4 MB, a million tokens of four bytes; the engine
// works for three seconds on each.  For six seconds there are up to 40 callers.  The platform's
// stand-in does what DEPLOY.md says of memory: it kills the gateway when it holds more than
// `memoryMb`, 260 MB, and starts it again after a short delay.
//
// The disruption is the burst; with TROUBLE=0 there are fourteen callers all the time.  The rule is
// broken if the gateway takes more than three requests from kept channels, passes them on to the
// sound engine, and ends the channel without an answer.  A process that is killed for its memory
// ends by itself, and counts as running.

#include <signal.h>
#include <sys/wait.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

constexpr int kUsualCallers = 14;
// 2.86 times as many; the sites' largest burst is 2.9.
constexpr int kBurstCallers = 40;
constexpr double kBurstBegins = 6;
constexpr double kBurstLasts = 6;
// New callers come at this interval, so that their bodies take a third of a link of 1,000 Mbit/s.
constexpr double kBetweenCallers = 0.1;
constexpr double kLength = 20;
constexpr size_t kBodyBytes = 4'000'000;
constexpr double kWork = 3;
constexpr int kDeadlineMs = 15'000;
constexpr long kMemoryMb = 260;
constexpr double kRestartDelay = 0.5;

long ResidentMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6)) / 1024;
  }
  return 0;
}

class Case {
 public:
  explicit Case(const CaseOptions& case_options)
      : options(case_options), record(case_options.folder + "/record.txt") {}

  [[noreturn]] void Run();

 private:
  void ServeEngine(Connection* connection, const std::string& id);
  void SendRequests(int caller, double begin, double end);
  void WatchMemory(double until);

  CaseOptions options;
  Record record;
  Store store;
  std::mutex mutex;
  std::set<std::string> reached_engine;
  Gateway gateway;
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};
  int kills = 0;
  long most_mb = 0;
};

void Case::ServeEngine(Connection* connection, const std::string& id) {
  Message request;
  while (connection->ReadHead(&request, Now() + 60)) {
    connection->ReadBody(&request, /*is_answer=*/false, Now() + 20);
    if (!request.is_whole) return;
    std::string attempt = request.Header("Attempt-Id");
    if (request.Header("Expect-Instance") != id) {
      connection->Write(AnswerText(421, {{"Instance-Id", id}}, ""));
      continue;
    }
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->reached_engine.insert(attempt);
    }
    this->record.Line("engine runs " + attempt);
    SleepFor(request.body.size() > 10 ? kWork : 0.01);
    connection->Write(
        AnswerText(200, {{"Attempt-Id", attempt}, {"Response-Seal", "seal-" + attempt}}, "done"));
  }
}

void Case::SendRequests(int caller, double begin, double end) {
  SleepFor(begin - Now());
  std::unique_ptr<Connection> connection;
  for (int number = 1; Now() < end; ++number) {
    bool is_new = !connection;
    if (is_new) connection = Connect(this->gateway.callers_port, 1);
    if (!connection) {
      SleepFor(0.2);
      continue;
    }
    // The first request on a channel is a small one, so that the large ones come on kept channels.
    std::string attempt = "caller-" + std::to_string(caller) + "-" + std::to_string(number);
    std::string body(is_new ? 10 : kBodyBytes, 'x');
    std::string text = "POST /app/1 HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + attempt +
                       "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<Message> answer = Call(connection.get(), text, Now() + kDeadlineMs / 1000.0 + 1);
    bool has_reached = false;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      has_reached = this->reached_engine.count(attempt) != 0;
    }
    if (answer) {
      this->answered += answer->Status() == 200 ? 1 : 0;
      this->refused += answer->Status() == 200 ? 0 : 1;
    }
    bool is_lost = !answer && has_reached && !is_new;
    this->lost += is_lost ? 1 : 0;
    this->record.Line(attempt + " with " + std::to_string(body.size()) + " bytes: " +
                      (answer    ? std::to_string(answer->Status())
                       : is_lost ? "LOST: passed on to the engine, and the channel ended"
                                 : "the channel ended"));
    if (!answer) connection.reset();
    if (answer && answer->Status() != 200) SleepFor(0.3);
  }
}

void Case::WatchMemory(double until) {
  while (Now() < until) {
    long resident = ResidentMb(this->gateway.pid);
    this->most_mb = std::max(this->most_mb, resident);
    if (resident > kMemoryMb) {
      this->record.Line("the gateway holds " + std::to_string(resident) +
                        " MB, and the platform kills it");
      EndProcess(this->gateway.pid);
      this->kills += 1;
      SleepFor(kRestartDelay);
      RestartGateway(this->options, "front-1", &this->gateway);
    }
    SleepFor(0.005);
  }
}

[[noreturn]] void Case::Run() {
  Listener engine;
  engine.Serve([this](Connection* connection) { this->ServeEngine(connection, "i-1"); });
  this->store.PutEngine("i-1", EngineJson("app", engine.port(), 48));
  this->store.PutConfig(ConfigJson(1, {RouteJson("app", "/app/", "unsafe", "app", kDeadlineMs, 1)},
                                   {PlainServiceJson("app")}));
  this->gateway = StartGateway(this->options, "front-1", this->store.port());
  if (!WaitUntilReady(this->gateway, 15)) Finish(2);
  std::vector<std::thread> callers;
  double began = Now();
  for (int i = 1; i <= (this->options.has_trouble ? kBurstCallers : kUsualCallers); ++i) {
    bool is_usual = i <= kUsualCallers;
    double begin = began + kBetweenCallers * (is_usual ? i : i - kUsualCallers);
    if (!is_usual) begin += kBurstBegins;
    double end = began + (is_usual ? kLength : kBurstBegins + kBurstLasts);
    callers.emplace_back([=, this] { this->SendRequests(i, begin, end); });
  }
  this->WatchMemory(began + kLength + kWork + 2);
  for (std::thread& caller : callers) caller.join();
  EndProcess(this->gateway.pid);
  this->record.Line(std::to_string(this->answered) + " requests answered with 200, " +
                    std::to_string(this->refused) + " with another status, " +
                    std::to_string(this->lost) + " lost; the gateway held " +
                    std::to_string(this->most_mb) + " MB at most and was killed " +
                    std::to_string(this->kills) + " times");
  if (this->answered == 0) Finish(2);
  Finish(this->lost > 3 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { review::Case(review::ReadCaseOptions(argc, argv)).Run(); }

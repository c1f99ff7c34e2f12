// Callers that read their answers slowly, around a planned stop of the gateway.
//
// Callers on kept channels send one request each.  The engine answers at once with 240 KB.  The
// callers read without a pause at 40 KB a second, so each answer takes six seconds.  Half a second
// after the requests the gateway gets SIGTERM, and would get SIGKILL eight seconds later.
//
// The disruption is the slow reading: with TROUBLE=0 the callers read as fast as they can, and all
// else is the same.  The rule is broken if a request that has reached the engine ends without its
// complete answer.

#include <signal.h>
#include <sys/wait.h>

#include <atomic>
#include <memory>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

constexpr int kCallers = 6;
constexpr size_t kBodyBytes = 240'000;
constexpr size_t kReadBytes = 4'000;
constexpr double kReadInterval = 0.1;
constexpr double kGrace = 8;
constexpr double kStopAfter = 0.5;
constexpr int kDeadlineMs = 15'000;

void ServeEngine(Connection* connection, const std::string& id, Record* record) {
  Message request;
  while (connection->ReadHead(&request, Now() + 60)) {
    connection->ReadBody(&request, /*is_answer=*/false, Now() + 10);
    std::string attempt = request.Header("Attempt-Id");
    if (request.Header("Expect-Instance") != id) {
      connection->Write(AnswerText(421, {{"Instance-Id", id}}, ""));
      continue;
    }
    size_t size = request.Target().find("/large/") == 0 ? kBodyBytes : 100;
    record->Line("engine runs " + attempt + ", and answers 200 with " + std::to_string(size) +
                 " bytes");
    bool is_sent = connection->Write(
        AnswerText(200, {{"Attempt-Id", attempt}, {"Response-Seal", "seal-" + attempt}},
                   std::string(size, 'x')));
    record->Line("engine has sent the answer to " + attempt + (is_sent ? "" : " in part only"));
    if (!is_sent) return;
  }
}

std::string RequestText(const std::string& path, const std::string& attempt) {
  return "GET " + path + " HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n";
}

// Returns whether the answer was complete.
bool ReadAnswer(int caller, int port, bool reads_slowly, Record* record) {
  std::string name = "caller-" + std::to_string(caller);
  std::unique_ptr<Connection> connection = Connect(port, 2);
  if (!connection) return false;
  // A first request, so that the channel is a kept one.
  std::optional<Message> first =
      Call(connection.get(), RequestText("/small/1", name + "-a"), Now() + 5);
  if (!first || first->Status() != 200) return false;
  double sent = Now();
  record->Line(name + " sends " + name + "-b");
  connection->Write(RequestText("/large/1", name + "-b"));
  if (reads_slowly) connection->SetReadSize(kReadBytes);
  Message answer;
  double until = Now() + kDeadlineMs / 1000.0;
  if (connection->ReadHead(&answer, until)) {
    connection->ReadBody(&answer, /*is_answer=*/true, until,
                         [&](size_t) { SleepFor(reads_slowly ? kReadInterval : 0); });
  }
  record->Line(name + " got status " + std::to_string(answer.Status()) + " with " +
               std::to_string(answer.body.size()) + " of " + answer.Header("Content-Length") +
               " bytes, " + (answer.is_whole ? "complete" : "NOT COMPLETE") + ", " +
               std::to_string(Now() - sent) + " s after the request");
  return answer.is_whole;
}

[[noreturn]] void Run(const CaseOptions& options) {
  Record record(options.folder + "/record.txt");
  Store store;
  Listener engine;
  engine.Serve([&](Connection* connection) { ServeEngine(connection, "i-1", &record); });
  store.PutEngine("i-1", EngineJson("app", engine.port(), 16));
  store.PutConfig(ConfigJson(1,
                             {RouteJson("small", "/small/", "safe", "app", kDeadlineMs, 1),
                              RouteJson("large", "/large/", "unsafe", "app", kDeadlineMs, 1)},
                             {PlainServiceJson("app")}));
  Gateway gateway = StartGateway(options, "front-1", store.port());
  if (!WaitUntilReady(gateway, 15)) Finish(2);
  std::atomic<int> incomplete{0};
  std::vector<std::thread> callers;
  for (int i = 1; i <= kCallers; ++i) {
    callers.emplace_back([&, i] {
      if (!ReadAnswer(i, gateway.callers_port, options.has_trouble, &record)) incomplete += 1;
    });
  }
  SleepFor(kStopAfter);
  record.Line("SIGTERM to the gateway");
  kill(gateway.pid, SIGTERM);
  double until = Now() + kGrace;
  bool has_ended = false;
  while (!has_ended && Now() < until) {
    has_ended = waitpid(gateway.pid, nullptr, WNOHANG) == gateway.pid;
    SleepFor(0.01);
  }
  record.Line(has_ended ? "the gateway has ended" : "SIGKILL to the gateway");
  if (!has_ended) EndProcess(gateway.pid);
  for (std::thread& caller : callers) caller.join();
  record.Line(std::to_string(incomplete) + " of " + std::to_string(kCallers) +
              " requests ended without a complete answer");
  Finish(incomplete > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { review::Run(review::ReadCaseOptions(argc, argv)); }

// A change of the configuration that raises the limit for bodies, on channels that are kept.
//
// Callers open channels and use them under a version of the configuration that allows bodies of
// 64 KB.  The next version allows 4 MB and changes nothing else.  Three seconds after the store has
// acknowledged it, the callers send bodies of 100 KB on the same channels, and one caller sends the
// same on a new channel.
//
// The disruption is the change; with TROUBLE=0 the version that allows 4 MB is the first one.  The
// rule is broken if more than 5 + one in 500 of all requests are ended with a 4xx of the gateway's
// own, although every configuration that may be in force allows them.

#include <memory>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

constexpr int kChannels = 20;
constexpr size_t kBodyBytes = 100'000;
constexpr uint64_t kEarlierLimit = 65'536;
constexpr uint64_t kLaterLimit = 4'194'304;
// configApplyMs is 2,000.
constexpr double kAfterChange = 3;
constexpr int kDeadlineMs = 4'000;

void ServeEngine(Connection* connection, const std::string& id, Record* record) {
  Message request;
  while (connection->ReadHead(&request, Now() + 60)) {
    connection->ReadBody(&request, /*is_answer=*/false, Now() + 10);
    std::string attempt = request.Header("Attempt-Id");
    if (request.Header("Expect-Instance") != id) {
      connection->Write(AnswerText(421, {{"Instance-Id", id}}, ""));
      continue;
    }
    record->Line("engine runs " + attempt + " with a body of " +
                 std::to_string(request.body.size()) + " bytes, and answers 200");
    connection->Write(AnswerText(
        200, {{"Attempt-Id", attempt}, {"Response-Seal", "seal-" + attempt}}, "done"));
  }
}

// Sends a request and records its answer.  Returns the status; 0 without an answer.
int Send(Connection* connection, const std::string& attempt, size_t body_bytes, Record* record) {
  std::string text = "POST /app/1 HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + attempt +
                     "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
                     "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                     std::string(body_bytes, 'x');
  std::optional<Message> answer = Call(connection, text, Now() + kDeadlineMs / 1000.0);
  int status = answer ? answer->Status() : 0;
  record->Line(attempt + " with " + std::to_string(body_bytes) + " bytes got " +
               (answer ? std::to_string(status) + ", Response-Seal '" +
                             answer->Header("Response-Seal") + "', " + answer->body
                       : "no answer"));
  return status;
}

[[noreturn]] void Run(const CaseOptions& options) {
  Record record(options.folder + "/record.txt");
  Store store;
  Listener engine;
  engine.Serve([&](Connection* connection) { ServeEngine(connection, "i-1", &record); });
  store.PutEngine("i-1", EngineJson("app", engine.port(), 16));
  auto config = [](int version, uint64_t limit) {
    return ConfigJson(version, {RouteJson("app", "/app/", "unsafe", "app", kDeadlineMs, 1)},
                      {PlainServiceJson("app")}, limit);
  };
  uint64_t first_limit = options.has_trouble ? kEarlierLimit : kLaterLimit;
  store.PutConfig(config(7, first_limit));
  record.Line("version 7 allows bodies of " + std::to_string(first_limit) + " bytes");
  Gateway gateway = StartGateway(options, "front-1", store.port());
  if (!WaitUntilReady(gateway, 15)) Finish(2);
  std::vector<std::unique_ptr<Connection>> channels;
  int requests = 0;
  for (int i = 1; i <= kChannels; ++i) {
    channels.push_back(Connect(gateway.callers_port, 2));
    if (!channels.back()) Finish(2);
    requests += 1;
    int status = Send(channels.back().get(), "before-" + std::to_string(i), 1'000, &record);
    if (status != 200) Finish(2);
  }
  if (options.has_trouble) {
    store.PutConfig(config(9, kLaterLimit));
    record.Line("the store acknowledges version 9, which allows bodies of " +
                std::to_string(kLaterLimit) + " bytes");
  }
  SleepFor(kAfterChange);
  std::unique_ptr<Connection> fresh = Connect(gateway.callers_port, 2);
  requests += 1;
  bool is_in_force = fresh && Send(fresh.get(), "on-a-new-channel", kBodyBytes, &record) == 200;
  int denied = 0;
  for (int i = 1; i <= kChannels; ++i) {
    requests += 1;
    int status = Send(channels[static_cast<size_t>(i - 1)].get(), "after-" + std::to_string(i),
                      kBodyBytes, &record);
    denied += status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
  }
  EndProcess(gateway.pid);
  double allowed = 5 + requests / 500.0;
  record.Line(std::to_string(denied) + " of " + std::to_string(requests) +
              " requests were denied; the rule allows " + std::to_string(allowed) +
              ". The new version is " + (is_in_force ? "" : "not ") + "in force on a new channel");
  Finish(denied > allowed ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Run(review::ReadCaseOptions(argc, argv));
}

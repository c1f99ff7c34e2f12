// Clients keep their channels open over a change of the configuration that raises maxBodyBytes.
// Checks that requests which the new version allows are not denied after configApplyMs.

#include "answers.h"
#include "deployment.h"

using namespace review;

namespace {

constexpr int kGateways = 2;
constexpr int kEngines = 3;
constexpr int kClients = 20;
constexpr int kTurns = 5;
constexpr uint64_t kOldLimit = 32768;
constexpr uint64_t kNewLimit = 4194304;
// A long binder: over the old limit, under the new one.
constexpr size_t kLongBody = 60000;
constexpr int kDeadlineMs = 15000;
constexpr int kConfigApplyMs = 2000;

std::atomic<bool> is_raised{false};
std::atomic<int> asked{0}, served{0}, denied{0}, other{0}, small_served{0}, reopened{0};

void Client(Deployment& deployment, const GatewayBox& gateway, int number) {
  std::unique_ptr<Channel> channel;
  int turn = 0;
  // Returns the status of the answer.
  auto ask = [&](size_t size) {
    if (!channel) channel = std::make_unique<Channel>(Connect(gateway.callers));
    std::string attempt = deployment.NewAttemptId();
    std::string body = "binder " + std::to_string(number) + "-" + std::to_string(++turn) + " ";
    body.resize(std::max(size, body.size()), '.');
    double sent = deployment.Elapsed();
    channel->deadline = SecondsNow() + kDeadlineMs / 1000.0;
    Message answer;
    bool answered =
        channel->fd >= 0 &&
        channel->Send(ClientRequest("POST", "/app/digest/x", attempt, kDeadlineMs, body)) &&
        channel->ReadHead(&answer) && channel->ReadBody(&answer, true);
    deployment.RecordRequest(sent, attempt, gateway.name, "/app/digest/x",
                             std::to_string(body.size()) + " bytes", answer.Status(), answered);
    bool keeps = answered && strcasecmp(answer.Header("Connection").c_str(), "close") != 0;
    if (!keeps) channel.reset();
    return answer.Status();
  };
  while (!is_raised) {
    if (ask(500) == 200) small_served += 1;
    SleepMs(250);
  }
  for (int i = 0; i < kTurns; ++i) {
    if (!channel) reopened += 1;
    int status = ask(kLongBody);
    asked += 1;
    if (status == 200) {
      served += 1;
    } else if (status == 413) {
      denied += 1;
      deployment.Record("BROKEN DENIED: 413 for a body that every version in force allows");
    } else {
      other += 1;
    }
    SleepMs(250);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  Deployment deployment(argv[1], argv[2]);
  deployment.StartStore();
  for (int i = 0; i < kEngines; ++i) {
    deployment.StartEngine("desk", "fukuoka-hall", deployment.Ip(100 + i), 6, {"24", "1", "1"});
  }
  auto publish = [&](int version, uint64_t limit) {
    deployment.Put(
        "keyed.op", "config",
        ConfigJson(version, {RouteJson("r-digest", "/app/digest/", "safe", "desk", 15000, 3000, 2)},
                   16, limit));
    deployment.Record("version " + std::to_string(version) + " acknowledged, maxBodyBytes " +
                      std::to_string(limit));
  };
  publish(7, trouble ? kOldLimit : kNewLimit);
  std::vector<GatewayBox> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(deployment.StartGateway("front-" + std::to_string(i + 1), "fukuoka-hall",
                                               deployment.Ip(10 + i)));
  }
  for (const GatewayBox& gateway : gateways) deployment.WaitUntilReady(gateway);
  SleepMs(4000);  // contactMs, and a little.
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { Client(deployment, gateways[static_cast<size_t>(i % kGateways)], i); });
  }
  SleepMs(3000);
  if (trouble) publish(9, kNewLimit);
  SleepMs(kConfigApplyMs + 3000);
  is_raised = true;
  for (std::thread& client : clients) client.join();
  double allowed = 5 + (asked + small_served) / 500.0;
  char line[200];
  std::snprintf(
      line, sizeof(line),
      "long bodies asked %d, served %d, denied with 413 %d (allowed %.1f), other %d; small "
      "ones served %d; channels opened anew %d",
      asked.load(), served.load(), denied.load(), allowed, other.load(), small_served.load(),
      reopened.load());
  deployment.Record(line);
  std::printf("%s\n", line);
  deployment.Finish();
  if (small_served == 0) return 2;
  return denied > allowed ? 1 : 0;
}

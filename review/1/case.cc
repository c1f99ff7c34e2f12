// Clients read resumable streams about long prompts; three of eighteen engines crash.  Checks that
// each stream that ends as a complete success holds the engines' events and nothing else.

#include "answers.h"
#include "deployment.h"

using namespace review;

namespace {

constexpr int kGateways = 5;
constexpr int kEngines = 18;
constexpr int kCrashed = 3;  // A share of 0.17.
constexpr int kSlots = 16;
constexpr int kQueue = 32;
constexpr int kEvents = 17;
constexpr int kEventMs = 60;
constexpr int kClients = 20;
constexpr int kDeadlineMs = 15000;
constexpr double kDownS = 4.5;
constexpr double kLengthS = 60;

std::atomic<bool> ending{false};
std::atomic<int> whole{0}, foreign{0}, cut{0}, refused{0}, other{0};

void Client(Deployment& deployment, const GatewayBox& gateway, int number) {
  std::unique_ptr<Channel> channel;
  for (int turn = 0; !ending; ++turn) {
    if (!channel) channel = std::make_unique<Channel>(Connect(gateway.callers));
    std::string attempt = deployment.NewAttemptId();
    std::string body = "q" + std::to_string(number) + "-" + std::to_string(turn);
    char part[60];
    std::snprintf(part, sizeof(part), "5c1e07a2:40,%x:209960", 0x10000000 + number * 1000 + turn);
    std::string request = ClientRequest(
        "POST", "/digest/read", attempt, kDeadlineMs, body,
        "Model: m\r\nToken-Count: 210000,782\r\nPrompt-Prefix: " + std::string(part) + "\r\n");
    double sent = deployment.Elapsed();
    channel->deadline = SecondsNow() + kDeadlineMs / 1000.0;
    Message answer;
    bool answered = channel->fd >= 0 && channel->Send(request) && channel->ReadHead(&answer) &&
                    channel->ReadBody(&answer, true);
    int status = answer.Status();
    if (status == 200 && answered && answer.body == WholeStream(body, kEvents)) {
      whole += 1;
    } else if (status == 200 && answered) {
      foreign += 1;
      deployment.Record("BROKEN MIXED " + attempt + " sent " + Quoted(body) +
                        " got a whole 200 of " + Quoted(answer.body));
    } else if (status == 200 || status == 0) {
      cut += 1;
    } else if (status == 503) {
      refused += 1;
    } else {
      other += 1;
    }
    deployment.RecordRequest(sent, attempt, gateway.name, "/digest/read", body, status, answered);
    bool keeps = answered && strcasecmp(answer.Header("Connection").c_str(), "close") != 0;
    if (!keeps) channel.reset();
    if (status == 503)
      SleepMs(1000 * std::max(0.05, std::atof(answer.Header("Retry-After").c_str())));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  Deployment deployment(argv[1], argv[2]);
  deployment.StartStore();
  const std::vector<std::string> zones = {"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"};
  const std::vector<std::string> words = {std::to_string(kQueue), std::to_string(kEvents),
                                          std::to_string(kEventMs)};
  auto start_engine = [&](int i) {
    return deployment.StartEngine("pool", zones[static_cast<size_t>(i) % 3], deployment.Ip(100 + i),
                                  kSlots, words);
  };
  std::vector<EngineBox> engines;
  for (int i = 0; i < kEngines; ++i) engines.push_back(start_engine(i));
  deployment.Put("keyed.op", "config",
                 ConfigJson(7,
                            {RouteJson("r-digest", "/digest/", "streaming", "pool", 15000, 3000, 2,
                                       ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":800")},
                            kSlots));
  std::vector<GatewayBox> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(deployment.StartGateway("front-" + std::to_string(i + 1),
                                               zones[static_cast<size_t>(i) % 3],
                                               deployment.Ip(10 + i)));
  }
  for (const GatewayBox& gateway : gateways) deployment.WaitUntilReady(gateway);
  SleepMs(3000);

  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { Client(deployment, gateways[static_cast<size_t>(i % kGateways)], i); });
    SleepMs(5);
  }
  double end = SecondsNow() + kLengthS;
  SleepMs(5000);
  for (int round = 0; trouble && SecondsNow() < end - 8; ++round) {
    // Three engines crash, one in each zone.
    std::vector<size_t> struck;
    for (int i = 0; i < kCrashed; ++i) {
      struck.push_back(static_cast<size_t>((round * kCrashed + i) % kEngines));
    }
    for (size_t i : struck) deployment.Kill(engines[i].process, SIGKILL);
    // The store drops their entries after three status reports of silence, 1.2 s each.
    SleepMs(3600);
    for (size_t i : struck) deployment.Unlist(engines[i]);
    SleepMs(1000 * (kDownS - 3.6));
    for (size_t i : struck) engines[i] = start_engine(static_cast<int>(i));
    SleepMs(3000);
  }
  while (SecondsNow() < end) SleepMs(50);
  ending = true;
  for (std::thread& client : clients) client.join();
  bool gateways_up = true;
  for (const GatewayBox& gateway : gateways) {
    gateways_up = gateways_up && deployment.IsRunning(gateway.process);
  }
  char line[200];
  std::snprintf(
      line, sizeof(line),
      "whole %d, whole with foreign bytes %d, cut %d, refused %d, other %d, gateways up %d",
      whole.load(), foreign.load(), cut.load(), refused.load(), other.load(), gateways_up);
  deployment.Record(line);
  std::printf("%s\n", line);
  deployment.Finish();
  if (whole == 0) return 2;
  return foreign > 0 || !gateways_up ? 1 : 0;
}

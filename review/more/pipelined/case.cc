// A client sends many requests on one channel without waiting for their answers, while others wait
// for streams.  Checks that the gateway's process lives on.

#include "answers.h"
#include "deployment.h"

using namespace review;

namespace {

constexpr int kEngines = 3;
constexpr int kEvents = 20;
constexpr int kEventMs = 100;
constexpr int kDeadlineMs = 10000;
constexpr int kClients = 20;
constexpr int kPipelined = 10000;

std::atomic<int> whole{0}, cut{0};

std::string Stream(const std::string& attempt) {
  return ClientRequest("POST", "/read/x", attempt, kDeadlineMs, "q-" + attempt,
                       "Model: m\r\nToken-Count: 1000,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:200"
                       "\r\n");
}

void Client(Deployment& deployment, const GatewayBox& gateway) {
  Channel channel(Connect(gateway.callers));
  std::string attempt = deployment.NewAttemptId();
  channel.deadline = SecondsNow() + kDeadlineMs / 1000.0;
  double sent = deployment.Elapsed();
  Message answer;
  bool is_whole = channel.fd >= 0 && channel.Send(Stream(attempt)) &&
                  channel.ReadHead(&answer) && channel.ReadBody(&answer, true);
  deployment.RecordRequest(sent, attempt, gateway.name, "/read/x", "", answer.Status(), is_whole);
  (is_whole && answer.Status() == 200 ? whole : cut) += 1;
}

// One stream, and behind it requests on a path that no route has.
void Pipelining(Deployment& deployment, const GatewayBox& gateway) {
  Channel channel(Connect(gateway.callers));
  std::string text = Stream(deployment.NewAttemptId());
  for (int i = 0; i < kPipelined; ++i) text += "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n";
  deployment.Record("one client sends " + std::to_string(kPipelined) + " requests at once");
  std::thread reader([&channel] {
    char bytes[65536];
    while (recv(channel.fd, bytes, sizeof(bytes), 0) > 0) {
    }
  });
  channel.Send(text);
  SleepMs(1000 + kEvents * kEventMs * 2);
  shutdown(channel.fd, SHUT_RDWR);
  reader.join();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  Deployment deployment(argv[1], argv[2]);
  deployment.StartStore();
  for (int i = 0; i < kEngines; ++i) {
    deployment.StartEngine("pool", "fukuoka-hall", deployment.Ip(100 + i), 16,
                           {"24", std::to_string(kEvents), std::to_string(kEventMs)});
  }
  deployment.Put("keyed.op", "config",
                 ConfigJson(7,
                            {RouteJson("r-read", "/read/", "streaming", "pool", 10000, 300, 2,
                                       ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":500")},
                            16));
  GatewayBox gateway = deployment.StartGateway("front-1", "fukuoka-hall", deployment.Ip(10));
  deployment.WaitUntilReady(gateway);
  SleepMs(4000);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] { Client(deployment, gateway); });
  }
  if (trouble) clients.emplace_back([&] { Pipelining(deployment, gateway); });
  for (std::thread& client : clients) client.join();
  SleepMs(1000);
  bool runs = deployment.IsRunning(gateway.process);
  char line[200];
  std::snprintf(line, sizeof(line), "whole %d, cut %d, the gateway %s", whole.load(), cut.load(),
                runs ? "runs" : "has ended by itself");
  deployment.Record(line);
  std::printf("%s\n", line);
  deployment.Finish();
  if (whole + cut == 0) return 2;
  return runs ? 0 : 1;
}

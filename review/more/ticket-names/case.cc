// Very long prompts, one after the other on kept channels, while engines leave orders unanswered and
// carry them out late.  Checks that no order of an ended request takes the memory of a later one.
//
// The engines are threads of this program.  A reader keeps its tickets as PROTOCOL.md has it; a
// stream whose ticket is released is cut.

#include "answers.h"
#include "deployment.h"

using namespace review;

namespace {

constexpr int kGateways = 2;
constexpr int kEngines = 18;
constexpr int kClients = 4;
constexpr int kEvents = 17;
constexpr int kReadMs = 300;
constexpr int kEventMs = 100;
constexpr int kDeadlineMs = 15000;
constexpr double kLengthS = 60;
// The dose of sites/kprc-catalogue.toml: x = 0.35 for 5.5 s.  Late by 2 to 12 s.
constexpr double kLateShare = 0.35;
constexpr double kTroubleS = 5.5, kPeriodS = 11;

std::atomic<bool> ending{false}, late_orders{false};
std::atomic<int> whole{0}, cut{0}, refused{0}, stale{0}, twice{0}, unanswered{0}, next_engine{0};

struct Ticket {
  double until = 0;
  std::string user;  // The request that uses it.
};

std::mutex mutex;
std::map<std::string, Ticket> tickets;  // By "IP:PORT/NAME" of the reader.

double Random() {
  static std::mt19937_64 random{std::random_device()()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

std::string Field(const std::string& json, const std::string& name) {
  size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return "";
  at += name.size() + 3;
  if (json[at] == '"') return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  return json.substr(at, json.find_first_of(",}", at) - at);
}

// An order that arrived at `arrived`.  Returns whether its ticket was in use by a request that began
// after that.
void CarryOut(Deployment& deployment, const std::string& key, const std::string& op, double arrived,
              double hold_s, const std::string& user_at_arrival) {
  std::lock_guard<std::mutex> lock(mutex);
  auto found = tickets.find(key);
  if (op == "release") {
    if (found == tickets.end()) return;
    bool is_stale = !found->second.user.empty() && found->second.user != user_at_arrival;
    if (is_stale) {
      stale += 1;
      deployment.Record("STALE a release that arrived " + std::to_string(SecondsNow() - arrived) +
                        " s ago ends " + key + ", which " + found->second.user + " uses");
    }
    tickets.erase(found);
  } else if (arrived + hold_s > SecondsNow()) {
    tickets[key].until = std::max(tickets[key].until, arrived + hold_s);
  }
}

void OnOrder(Deployment& deployment, Channel& channel, const Message& request,
             const std::string& address) {
  std::string op = Field(request.body, "op");
  std::string key = address + "/" + Field(request.body, "id");
  double hold_s = std::atof(Field(request.body, "holdMs").c_str()) / 1000;
  double arrived = SecondsNow();
  std::string user;
  bool is_late;
  {
    std::lock_guard<std::mutex> lock(mutex);
    if (tickets.count(key) > 0) user = tickets[key].user;
    is_late = late_orders && Random() < kLateShare;
  }
  deployment.Record("order " + op + " " + key + (is_late ? " is left unanswered" : ""));
  if (!is_late) {
    CarryOut(deployment, key, op, arrived, hold_s, user);
    channel.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"free\":0}");
    return;
  }
  unanswered += 1;
  double delay_ms = 2000 + 10000 * Random();
  std::thread([=, &deployment] {
    SleepMs(delay_ms);
    if (!ending) CarryOut(deployment, key, op, arrived, hold_s, user);
  }).detach();
  Message nothing;
  channel.ReadHead(&nothing);  // Says nothing further.
}

// The tickets that the request names.
std::vector<std::string> Named(const Message& request) {
  std::vector<std::string> names;
  std::string helpers = request.Header("Helpers");
  for (size_t at = 0; at < helpers.size();) {
    size_t end = std::min(helpers.find(',', at), helpers.size());
    std::string entry = helpers.substr(at, end - at);
    if (entry.find('/') != std::string::npos) names.push_back(entry);
    at = end + 1;
  }
  return names;
}

bool HasAll(const std::vector<std::string>& names) {
  std::lock_guard<std::mutex> lock(mutex);
  for (const std::string& name : names) {
    auto found = tickets.find(name);
    if (found == tickets.end() || found->second.until < SecondsNow()) return false;
  }
  return true;
}

void Use(Deployment& deployment, const std::vector<std::string>& names, const std::string& user) {
  std::lock_guard<std::mutex> lock(mutex);
  for (const std::string& name : names) {
    auto found = tickets.find(name);
    if (found == tickets.end()) continue;
    std::string& current = found->second.user;
    if (!user.empty() && !current.empty()) {
      twice += 1;
      deployment.Record("TWICE " + name + " is used by " + current + " and " + user);
    }
    current = user;
  }
}

bool Stream(Channel& channel, const Message& request, const std::vector<std::string>& names) {
  std::string attempt = request.Header("Attempt-Id");
  SleepMs(kReadMs);
  if (!channel.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt +
                    "\r\nContent-Type: text/event-stream\r\nVersions: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int number = 1; number <= kEvents; ++number) {
    SleepMs(kEventMs);
    // A request whose memory has been ended is cut.
    if (channel.PeerHasLeft() || !HasAll(names)) return false;
    std::string text = Event(request.body, number);
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!channel.Send(size + text + "\r\n")) return false;
  }
  return channel.Send("0\r\n\r\n");
}

void OnChannel(Deployment& deployment, Channel& channel, const std::string& address) {
  Message request;
  while (channel.ReadHead(&request) && channel.ReadBody(&request, false)) {
    if (request.Path() == "/v1/order") {
      OnOrder(deployment, channel, request, address);
      continue;
    }
    std::vector<std::string> names = Named(request);
    std::string attempt = request.Header("Attempt-Id");
    if (!HasAll(names)) {
      if (!channel.Send("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt-Id: " + attempt +
                        "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    Use(deployment, names, attempt);
    deployment.Record("ran " + attempt + " with " + request.Header("Helpers"));
    bool keeps = Stream(channel, request, names);
    Use(deployment, names, "");
    if (!keeps) return;
  }
}

void Client(Deployment& deployment, const GatewayBox& gateway) {
  std::unique_ptr<Channel> channel;
  while (!ending) {
    if (!channel) channel = std::make_unique<Channel>(Connect(gateway.callers));
    std::string attempt = deployment.NewAttemptId();
    double sent = deployment.Elapsed();
    channel->deadline = SecondsNow() + kDeadlineMs / 1000.0;
    Message answer;
    std::string text = ClientRequest(
        "POST", "/digest/x", attempt, kDeadlineMs, "binder " + attempt,
        "Model: m\r\nToken-Count: 400000,800\r\nPrompt-Prefix: 5c1e07a2:40,91bd" + attempt +
            ":399960\r\n");
    bool begun = channel->fd >= 0 && channel->Send(text) && channel->ReadHead(&answer);
    bool is_whole = begun && channel->ReadBody(&answer, true);
    deployment.RecordRequest(sent, attempt, gateway.name, "/digest/x", "", answer.Status(),
                             is_whole);
    if (!begun || answer.Status() == 200) {
      (is_whole ? whole : cut) += 1;
    } else {
      refused += 1;
    }
    bool keeps = is_whole && strcasecmp(answer.Header("Connection").c_str(), "close") != 0;
    if (!keeps) channel.reset();
    SleepMs(20);
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
    Address address{deployment.Ip(100 + i), FreePort(deployment.Ip(100 + i))};
    std::thread([&deployment, address] {
      Serve(address, [&deployment, address](Channel& channel) {
        OnChannel(deployment, channel, address.Text());
      });
    }).detach();
    deployment.Put("keyed.servers", "i-" + std::to_string(i),
                   "{\"service\":\"pool\",\"address\":\"" + address.Text() +
                       "\",\"zone\":\"fukuoka-hall\",\"version\":\"v1\",\"slots\":16,\"state\":"
                       "\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                       "\"version\":1,\"adapters\":[]}],\"callSeq\":0}");
  }
  deployment.Put("keyed.op", "config",
                 ConfigJson(7,
                            {RouteJson("r-digest", "/digest/", "streaming", "pool", 15000, 3000, 2,
                                       ",\"sticky\":true,\"gap_aim_ms\":800")},
                            16));
  std::vector<GatewayBox> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(deployment.StartGateway("front-" + std::to_string(i + 1), "fukuoka-hall",
                                               deployment.Ip(10 + i)));
  }
  for (const GatewayBox& gateway : gateways) deployment.WaitUntilReady(gateway);
  SleepMs(4000);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { Client(deployment, gateways[static_cast<size_t>(i % kGateways)]); });
  }
  double until = SecondsNow() + kLengthS;
  while (SecondsNow() < until) {
    SleepMs(1000 * (kPeriodS - kTroubleS));
    late_orders = trouble;
    SleepMs(1000 * kTroubleS);
    late_orders = false;
  }
  ending = true;
  for (std::thread& client : clients) client.join();
  char line[200];
  std::snprintf(line, sizeof(line),
                "whole %d, cut %d, refused %d, orders unanswered %d, tickets ended by a stale "
                "release %d, used by two %d",
                whole.load(), cut.load(), refused.load(), unanswered.load(), stale.load(),
                twice.load());
  deployment.Record(line);
  std::printf("%s\n", line);
  std::fflush(stdout);
  deployment.Finish();
  std::_Exit(whole == 0 ? 2 : (stale > 0 || twice > 0 ? 1 : 0));
}

// Engines that crash while they send answers without a length.
//
// Six engines, each a process of its own, send streams of 20 events.  For five seconds at a time,
// one in twenty of the answers of two engines has no length and ends with its channel.  At the end
// of each such spell one of the two is killed with SIGKILL, and replaced after 4.5 seconds by a new
// one with a new id.  The route's requests must not run
// twice, so the gateway can't resume such a stream; it can reset the caller's channel.
//
// The disruption is the crashes; with TROUBLE=0 there are none.  The rule is broken if a caller
// gets a stream that ends as complete (with its last chunk) before its last event.

#include <signal.h>

#include <atomic>
#include <cmath>
#include <cstring>
#include <fstream>
#include <memory>
#include <thread>

#include "deployment.h"
#include "model-engine.h"

namespace review {
namespace {

constexpr int kEngines = 6;
constexpr int kEvents = 20;
constexpr double kEventInterval = 0.04;
constexpr int kCallers = 72;
constexpr double kLength = 75;
// The sites' dose for answers without a length: 0.05 of the answers of 0.35 of the engines, for 5 s.
constexpr double kUnframedShare = 0.05;
constexpr int kUnframedEngines = 2;
constexpr double kSpell = 5;
constexpr double kBetweenSpells = 0.5;
// The sites' dose for crashes: 0.17 of the engines, for 4.5 s.
constexpr double kDown = 4.5;
// The store drops an entry after three status reports of silence, 1.2 s each.
constexpr double kEntryLasts = 3.6;
constexpr int kDeadlineMs = 10'000;

// The program of an engine's process: ID, the file for its port, the file for its record, a seed,
// the share of answers without a length, and when the spells begin.
int RunEngine(char** argv) {
  Record record(argv[4]);
  ModelEngine::Options options;
  options.id = argv[2];
  options.events = kEvents;
  options.event_interval = kEventInterval;
  options.seed = static_cast<unsigned>(std::atoi(argv[5]));
  options.unframed_share = std::atof(argv[6]);
  options.spell = kSpell;
  options.between_spells = kBetweenSpells;
  options.spells_begin = std::atof(argv[7]);
  ModelEngine engine(options, &record);
  std::ofstream(std::string(argv[3]) + ".new") << engine.port() << std::endl;
  std::rename((std::string(argv[3]) + ".new").c_str(), argv[3]);
  while (true) SleepFor(60);
}

struct Engine {
  bool is_unframed = false;
  std::string id;
  pid_t pid = -1;
};

class Case {
 public:
  explicit Case(const CaseOptions& case_options)
      : options(case_options), record(case_options.folder + "/record.txt") {}

  [[noreturn]] void Run();

 private:
  bool StartEngine(Engine* engine);
  void SendRequests(int caller, int port, double until);
  void CrashEngines(double until);

  CaseOptions options;
  Record record;
  Store store;
  std::vector<Engine> engines{kEngines};
  int engines_started = 0;
  double spells_begin = MonotonicSeconds();
  std::atomic<int> whole{0};
  std::atomic<int> broken_off{0};
  std::atomic<int> falsely_complete{0};
};

bool Case::StartEngine(Engine* engine) {
  engine->id = "i-" + std::to_string(++this->engines_started);
  std::string port_file = this->options.temporary + "/" + engine->id + ".port";
  engine->pid = StartProcess({"/proc/self/exe", "engine", engine->id, port_file,
                              this->options.temporary + "/" + engine->id + ".record",
                              std::to_string(this->engines_started),
                              std::to_string(engine->is_unframed ? kUnframedShare : 0),
                              std::to_string(this->spells_begin)},
                             {}, this->options.temporary + "/engines.log");
  int port = 0;
  for (double until = Now() + 5; port == 0 && Now() < until; SleepFor(0.005)) {
    std::ifstream(port_file) >> port;
  }
  if (port == 0) return false;
  this->record.Line(engine->id + " starts");
  this->store.PutEngine(engine->id, EngineJson("models", port, 16));
  return true;
}

void Case::SendRequests(int caller, int port, double until) {
  std::unique_ptr<Connection> connection;
  for (int number = 1; Now() < until; ++number) {
    if (!connection) connection = Connect(port, 2);
    if (!connection) return;
    std::string attempt = "caller-" + std::to_string(caller) + "-" + std::to_string(number);
    std::string text = "POST /chat/1 HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + attempt +
                       "\r\nModel: m\r\nToken-Count: 1000,800\r\nPrompt-Prefix: " + attempt +
                       ":1000\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
                       "\r\nContent-Length: 2\r\n\r\nhi";
    std::optional<Message> answer = Call(connection.get(), text, Now() + kDeadlineMs / 1000.0);
    bool is_stream = answer && answer->Status() == 200;
    if (!is_stream) {
      this->record.Line(attempt + (answer ? " got " + std::to_string(answer->Status())
                                          : " got no answer"));
      connection.reset();
      SleepFor(0.1);
      continue;
    }
    std::string last = "id: " + std::to_string(kEvents) + "\n";
    bool has_last = answer->body.find(last) != std::string::npos;
    this->whole += answer->is_whole && has_last ? 1 : 0;
    this->broken_off += answer->is_whole ? 0 : 1;
    if (answer->is_whole && !has_last) {
      this->falsely_complete += 1;
      size_t at = answer->body.rfind("id: ");
      std::string last_line = at == std::string::npos
                                  ? "none"
                                  : answer->body.substr(at, answer->body.find('\n', at) - at);
      this->record.Line("WRONG: " + attempt + " ended as complete after the event '" + last_line +
                        "' of " + std::to_string(kEvents));
    } else {
      this->record.Line(attempt + (answer->is_whole ? " got its whole stream"
                                                    : " was broken off visibly"));
    }
    if (!answer->is_whole) connection.reset();
  }
}

void Case::CrashEngines(double until) {
  constexpr double kBeforeEndOfSpell = 0.1;
  for (int next = 0; Now() + kSpell + kBetweenSpells + kDown < until;
       next = (next + 1) % kUnframedEngines) {
    double in_period =
        std::fmod(MonotonicSeconds() - this->spells_begin, kSpell + kBetweenSpells);
    double wait = kSpell - kBeforeEndOfSpell - in_period;
    SleepFor(wait > 0 ? wait : wait + kSpell + kBetweenSpells);
    Engine& engine = this->engines[static_cast<size_t>(next)];
    this->record.Line("SIGKILL to " + engine.id);
    EndProcess(engine.pid);
    SleepFor(kEntryLasts);
    this->store.PutEngine(engine.id, "");
    SleepFor(kDown - kEntryLasts);
    this->StartEngine(&engine);
  }
}

[[noreturn]] void Case::Run() {
  for (int i = 0; i < kEngines; ++i) {
    Engine& engine = this->engines[static_cast<size_t>(i)];
    engine.is_unframed = i < kUnframedEngines;
    if (!this->StartEngine(&engine)) Finish(2);
  }
  this->store.PutConfig(
      ConfigJson(1,
                 {RouteJson("chat", "/chat/", "streaming", "models", kDeadlineMs, 2,
                            ",\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":500")},
                 {ModelServiceJson("models")}));
  Gateway gateway = StartGateway(this->options, "front-1", this->store.port());
  bool is_ready = WaitUntilReady(gateway, 15);
  double until = Now() + kLength;
  std::vector<std::thread> callers;
  for (int i = 0; is_ready && i < kCallers; ++i) {
    callers.emplace_back([=, this] { this->SendRequests(i, gateway.callers_port, until); });
  }
  if (is_ready && this->options.has_trouble) this->CrashEngines(until);
  for (std::thread& caller : callers) caller.join();
  EndProcess(gateway.pid);
  for (Engine& engine : this->engines) EndProcess(engine.pid);
  this->record.Line(std::to_string(this->whole) + " whole streams, " +
                    std::to_string(this->broken_off) + " broken off visibly, " +
                    std::to_string(this->falsely_complete) +
                    " that ended as complete before their last event");
  if (this->whole == 0) Finish(2);
  Finish(this->falsely_complete > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 8 && std::strcmp(argv[1], "engine") == 0) return review::RunEngine(argv);
  review::Case(review::ReadCaseOptions(argc, argv)).Run();
}

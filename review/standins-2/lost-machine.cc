// Machines of engines that are lost while the engines send answers without a length.
//
// Six engines send streams of 20 events.  For five seconds at a time, one in twenty of the answers
// of two engines has no length and ends with its channel.  At the end of each such spell the
// machine of one of the two is lost for good: its channels end in order, as when the machine is
// shut down and ends its processes, and its address says nothing any more (machine-gate.h).  A new
// engine with a new id comes 4.5 seconds later at another address.  The streams may be resumed.
//
// The disruption is the loss of machines; with TROUBLE=0 there is none.  The rule is broken if a
// caller gets a stream that ends as complete (with its last chunk) before its last event.

#include <atomic>
#include <cmath>
#include <memory>
#include <thread>

#include "deployment.h"
#include "machine-gate.h"
#include "model-engine.h"

namespace review {
namespace {

constexpr int kEngines = 6;
constexpr int kEvents = 20;
constexpr double kEventInterval = 0.04;
constexpr int kCallers = 72;
constexpr double kLength = 75;
// The sites' dose for answers without a length: 0.05 of the answers of 0.35 of the engines, for 5
// s.
constexpr double kUnframedShare = 0.05;
constexpr int kUnframedEngines = 2;
constexpr double kSpell = 5;
constexpr double kBetweenSpells = 0.5;
// The sites' dose for engines that crash or go dark: 0.17 of them, for 4.5 s.
constexpr double kDown = 4.5;
// The store drops an entry after three status reports of silence, 1.2 s each.
constexpr double kEntryLasts = 3.6;
constexpr int kDeadlineMs = 10'000;

struct Engine {
  bool is_unframed = false;
  std::string id;
  ModelEngine* model = nullptr;
  MachineGate* machine = nullptr;
};

class Case {
 public:
  explicit Case(const CaseOptions& case_options)
      : options(case_options), record(case_options.folder + "/record.txt") {}

  [[noreturn]] void Run();

 private:
  void StartEngine(Engine* engine);
  void SendRequests(int caller, int port, double until);
  void LoseMachines(double until);

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

// The engine and its machine stay in memory until the end of the program.
void Case::StartEngine(Engine* engine) {
  engine->id = "i-" + std::to_string(++this->engines_started);
  ModelEngine::Options model;
  model.id = engine->id;
  model.events = kEvents;
  model.event_interval = kEventInterval;
  model.unframed_share = engine->is_unframed ? kUnframedShare : 0;
  model.spell = kSpell;
  model.between_spells = kBetweenSpells;
  model.spells_begin = this->spells_begin;
  model.seed = static_cast<unsigned>(this->engines_started);
  engine->model = new ModelEngine(model, &this->record);
  engine->machine = new MachineGate(engine->model->port());
  this->record.Line(engine->id + " starts");
  this->store.PutEngine(engine->id, EngineJson("models", engine->machine->port(), 16));
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
      this->record.Line(attempt +
                        (answer ? " got " + std::to_string(answer->Status()) : " got no answer"));
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
      this->record.Line(attempt +
                        (answer->is_whole ? " got its whole stream" : " was broken off visibly"));
    }
    if (!answer->is_whole) connection.reset();
  }
}

void Case::LoseMachines(double until) {
  constexpr double kBeforeEndOfSpell = 0.1;
  for (int next = 0; Now() + kSpell + kBetweenSpells + kDown < until;
       next = (next + 1) % kUnframedEngines) {
    double in_period = std::fmod(MonotonicSeconds() - this->spells_begin, kSpell + kBetweenSpells);
    double wait = kSpell - kBeforeEndOfSpell - in_period;
    SleepFor(wait > 0 ? wait : wait + kSpell + kBetweenSpells);
    Engine& engine = this->engines[static_cast<size_t>(next)];
    this->record.Line("the machine of " + engine.id + " is lost");
    engine.machine->Lose();
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
    this->StartEngine(&engine);
  }
  this->store.PutConfig(
      ConfigJson(1,
                 {RouteJson("chat", "/chat/", "streaming", "models", kDeadlineMs, 2,
                            ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":500")},
                 {ModelServiceJson("models")}));
  Gateway gateway = StartGateway(this->options, "front-1", this->store.port());
  bool is_ready = WaitUntilReady(gateway, 15);
  double until = Now() + kLength;
  std::vector<std::thread> callers;
  for (int i = 0; is_ready && i < kCallers; ++i) {
    callers.emplace_back([=, this] { this->SendRequests(i, gateway.callers_port, until); });
  }
  if (is_ready && this->options.has_trouble) this->LoseMachines(until);
  for (std::thread& caller : callers) caller.join();
  EndProcess(gateway.pid);
  this->record.Line(std::to_string(this->whole) + " whole streams, " +
                    std::to_string(this->broken_off) + " broken off visibly, " +
                    std::to_string(this->falsely_complete) +
                    " that ended as complete before their last event");
  if (this->whole == 0) Finish(2);
  Finish(this->falsely_complete > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { review::Case(review::ReadCaseOptions(argc, argv)).Run(); }

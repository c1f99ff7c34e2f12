// The fault matrix: injects every fault at every step of a request.
//
// A case is a kind of request, a step and a fault.  It runs a fleet of two entries and five
// endpoints, one of them in front of the plain service.  It waits until the request has reached
// the step, injects the fault, waits until the fault has ended, and then checks the guarantees:
// the request ended by its deadline, its answer is complete, a request that was reported as not
// run was not started, a request that may not be repeated was started at most once, and no memory
// is held.
//
// docs/FAULTS.md contains the table with the outcome of each case.  The test compares it, and
// rewrites it if GULLWARD_UPDATE_GOLDEN=1 is set.

#define BOOST_TEST_MODULE fault_matrix
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "trial/simulation.h"

namespace gullward {
namespace {

constexpr uint64_t kEngineMemory = 40'000;

// -------------------------------------------------------------------- requests

struct Kind {
  std::string name;
  std::function<RequestInput()> make;
};

RequestInput Short() {
  RequestInput input = BasicRequest(1000, 400, 3);
  input.timeout = seconds(20);
  return input;
}

RequestInput Once() {
  RequestInput input = Short();
  input.repeatable = false;
  return input;
}

RequestInput Keyed() {
  RequestInput input = Once();
  input.idempotency_key = 77;
  return input;
}

RequestInput Huge() {
  RequestInput input = BasicRequest(90'000, 200, 5);
  input.timeout = seconds(60);
  return input;
}

RequestInput HugeOnce() {
  RequestInput input = Huge();
  input.repeatable = false;
  return input;
}

RequestInput ServiceCall() {
  RequestInput input = ServiceRequest("gasket 4");
  input.repeatable = false;
  return input;
}

const std::vector<Kind>& Kinds() {
  static const std::vector<Kind> kinds = {{"short", Short},        {"once", Once},
                                          {"keyed", Keyed},        {"huge", Huge},
                                          {"huge_once", HugeOnce}, {"service", ServiceCall}};
  return kinds;
}

// ----------------------------------------------------------------------- steps

// Steps of a request.  A step is reached when Watcher sees the corresponding action of a core.
enum class Step {
  kBeforeSubmit,
  kOfferSent,
  kStarted,
  kFirstChunk,
  kMidStream,
  kLastMessage,
};

const std::vector<std::pair<std::string, Step>>& Steps() {
  static const std::vector<std::pair<std::string, Step>> steps = {
      {"before_submit", Step::kBeforeSubmit},
      {"offer_sent", Step::kOfferSent},
      {"started", Step::kStarted},
      {"first_chunk", Step::kFirstChunk},
      {"mid_stream", Step::kMidStream},
      {"last_message", Step::kLastMessage}};
  return steps;
}

constexpr int kMidStreamChunk = 5;

// Records when the step is reached and at which endpoint.
struct Watcher {
  Step step;
  bool reached = false;
  size_t endpoint = 0;
  uint32_t engine = 0;
  int chunks = 0;

  void OnEntryAction(const EntryAction& action) {
    const auto* send = std::get_if<SendToBox>(&action);
    if (send == nullptr) return;
    const auto* offer = std::get_if<Offer>(&send->message);
    const auto* reserve = std::get_if<Reserve>(&send->message);
    if (offer == nullptr && reserve == nullptr) return;
    if (this->step != Step::kOfferSent || this->reached) return;
    this->endpoint = std::stoul(send->box.substr(4)) - 1;
    this->reached = true;
  }

  void OnEndpointAction(const EndpointAction& action, size_t from) {
    if (this->reached) return;
    bool is_start = std::holds_alternative<StartOnEngine>(action) ||
                    std::holds_alternative<CallService>(action);
    bool is_chunk = false;
    bool is_done = false;
    if (const auto* send = std::get_if<SendToPeer>(&action)) {
      is_chunk = std::holds_alternative<Chunk>(send->message);
      is_done = std::holds_alternative<Done>(send->message);
    }
    if (is_chunk) ++this->chunks;
    bool is_reached_now =
        (this->step == Step::kStarted && is_start) ||
        (this->step == Step::kFirstChunk && is_chunk) ||
        (this->step == Step::kMidStream && is_chunk && this->chunks == kMidStreamChunk) ||
        (this->step == Step::kLastMessage && is_done);
    if (!is_reached_now) return;
    this->reached = true;
    this->endpoint = from;
  }
};

// ---------------------------------------------------------------------- faults

struct Fault {
  std::string name;
  // Injects the fault; `at` is the endpoint that has the request.
  std::function<void(Simulation* simulation, size_t at, size_t call)> inject;
};

bool HasEngine(Simulation* simulation, size_t at) {
  return simulation->endpoint(at)->options().service.empty();
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {"engine_dies",
       [](Simulation* simulation, size_t at, size_t) {
         if (HasEngine(simulation, at)) simulation->KillEngine(at, 0);
       }},
      {"engine_freezes",
       [](Simulation* simulation, size_t at, size_t) {
         if (HasEngine(simulation, at)) simulation->FreezeEngine(at, 0, seconds(8));
       }},
      {"engine_cuts_stream",
       [](Simulation* simulation, size_t at, size_t) {
         if (HasEngine(simulation, at)) simulation->AbortStreams(at, 0);
       }},
      {"engine_slow",
       [](Simulation* simulation, size_t at, size_t) {
         if (HasEngine(simulation, at)) simulation->SlowEngine(at, 0, 20);
       }},
      {"endpoint_dies",
       [](Simulation* simulation, size_t at, size_t) {
         simulation->KillEndpoint(at);
         simulation->At(simulation->now() + seconds(2),
                        [simulation, at] { simulation->RestartEndpoint(at); });
       }},
      {"endpoint_paused", [](Simulation* simulation, size_t at,
                             size_t) { simulation->PauseEndpoint(at, seconds(6)); }},
      {"entry_drains", [](Simulation* simulation, size_t, size_t) { simulation->DrainEntry(0); }},
      {"endpoint_drains",
       [](Simulation* simulation, size_t at, size_t) { simulation->DrainEndpoint(at); }},
      {"link_cut", [](Simulation* simulation, size_t at, size_t) { simulation->ResetLink(0, at); }},
      {"link_silent", [](Simulation* simulation, size_t at,
                         size_t) { simulation->PartitionLink(0, at, seconds(8)); }},
      {"entry_dies",
       [](Simulation* simulation, size_t, size_t) {
         simulation->KillEntry(0);
         simulation->At(simulation->now() + seconds(2),
                        [simulation] { simulation->RestartEntry(0); });
       }},
      {"entry_paused", [](Simulation* simulation, size_t,
                          size_t) { simulation->PauseEntry(0, milliseconds(4500)); }},
      {"caller_leaves",
       [](Simulation* simulation, size_t, size_t call) { simulation->DisconnectCaller(call); }},
      {"log_down",
       [](Simulation* simulation, size_t, size_t) {
         simulation->SetLogDown(true);
         simulation->At(simulation->now() + seconds(8),
                        [simulation] { simulation->SetLogDown(false); });
       }},
      {"all_engines_die",
       [](Simulation* simulation, size_t, size_t) {
         for (size_t i = 0; i < simulation->endpoints(); ++i) {
           if (HasEngine(simulation, i)) simulation->KillEngine(i, 0);
         }
       }},
  };
  return faults;
}

// ------------------------------------------------------------------------ cases

// The outcome of the request: F finished; N failed, not run; U failed, unknown whether it ran;
// Y failed, ran; G the caller had disconnected or its entry was killed.
char OutcomeOf(const Call& call) {
  if (call.finished) return 'F';
  if (call.disconnected || call.broken) return 'G';
  if (call.failure.ran == Ran::kNo) return 'N';
  return call.failure.ran == Ran::kUnknown ? 'U' : 'Y';
}

// Runs one case; returns one line for each guarantee that was broken.
std::vector<std::string> RunCase(const Kind& kind, Step step, const Fault& fault, char* outcome) {
  SimulationOptions options;
  options.entries = 2;
  options.endpoints = 5;
  options.services = 1;
  options.engine.memory_tokens = kEngineMemory;
  options.engine.speed = {5e-5, 1e-11};
  Simulation simulation(options);
  simulation.Publish(BasicConfig());
  simulation.RunFor(seconds(1));
  Watcher watcher{step};
  size_t call = 0;
  bool was_injected = false;
  auto inject = [&] {
    if (was_injected || !watcher.reached) return;
    was_injected = true;
    size_t at = watcher.endpoint;
    // Injects the fault after the current action, not inside it.
    simulation.At(simulation.now(),
                  [&simulation, &fault, at, call] { fault.inject(&simulation, at, call); });
  };
  simulation.on_entry_action = [&](const EntryAction& action) {
    watcher.OnEntryAction(action);
    inject();
  };
  size_t acting_index = 0;
  simulation.on_endpoint_action = [&](const EndpointAction& action) {
    acting_index = simulation.acting_endpoint();
    watcher.OnEndpointAction(action, acting_index);
    inject();
  };
  if (step == Step::kBeforeSubmit) {
    // The plain service is behind the last endpoint.  Other requests have no endpoint yet, so the
    // fault hits the first one.
    watcher.endpoint = kind.name == "service" ? options.endpoints - 1 : 0;
    watcher.reached = true;
    call = simulation.Submit(0, kind.make());
    was_injected = true;
    size_t at = watcher.endpoint;
    fault.inject(&simulation, at, call);
  } else {
    call = simulation.Submit(0, kind.make());
  }
  // Faults end within ten seconds; the longest timeout of a request is a minute.
  simulation.RunFor(seconds(90));
  std::vector<std::string> broken = simulation.CheckInvariants(/*expect_idle=*/true);
  if (!was_injected && step != Step::kMidStream)
    broken.push_back("the request never reached the step");
  const Call& result = simulation.call(call);
  *outcome = OutcomeOf(result);
  if (!result.ended) broken.push_back("the request never ended");
  bool must_not_cut_off = fault.name == "log_down" && kind.name != "keyed";
  must_not_cut_off =
      must_not_cut_off || fault.name == "engine_slow" || fault.name == "endpoint_drains";
  must_not_cut_off = must_not_cut_off || fault.name == "entry_drains";
  // A draining entry or endpoint may refuse a request that has not started, as not run.
  bool refused = !result.finished && result.failure.ran == Ran::kNo;
  if (must_not_cut_off && !refused && !result.finished) {
    broken.push_back(std::string("a request was cut off: ") + Info(result.failure.code).name);
  }
  // Other faults leave three working engines, so a repeatable request must succeed unless it is
  // refused as not run.
  bool leaves_good_engines = fault.name != "entry_dies" && fault.name != "caller_leaves" &&
                             fault.name != "all_engines_die";
  if (kind.name == "short" && leaves_good_engines && !result.finished && !refused) {
    broken.push_back(std::string("a repeatable request failed: ") + Info(result.failure.code).name);
  }
  return broken;
}

std::string PagePath() { return std::string(GULLWARD_SOURCE_DIR) + "/docs/FAULTS.md"; }

std::string ReadPage() {
  std::ifstream stream(PagePath());
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Replaces the table in the page, between the two marker comments.
void WriteTable(const std::string& table) {
  std::string page = ReadPage();
  const std::string begin = "<!-- fault_matrix_test begin -->\n";
  size_t from = page.find(begin) + begin.size();
  size_t to = page.find("<!-- fault_matrix_test end -->");
  page.replace(from, to - from, table);
  std::ofstream(PagePath()) << page;
}

BOOST_AUTO_TEST_CASE(EveryFaultAtEveryStep) {
  std::string table = "| fault |";
  for (const auto& [step_name, step] : Steps()) table += " " + step_name + " |";
  table += "\n|---|---|---|---|---|---|---|\n";
  for (const Fault& fault : Faults()) {
    table += "| " + fault.name + " |";
    for (const auto& [step_name, step] : Steps()) {
      table += " ";
      for (const Kind& kind : Kinds()) {
        char outcome = '?';
        for (const std::string& broken : RunCase(kind, step, fault, &outcome)) {
          BOOST_ERROR(kind.name << " " << step_name << " " << fault.name << ": " << broken);
        }
        table += outcome;
      }
      table += " |";
    }
    table += "\n";
  }
  if (std::getenv("GULLWARD_UPDATE_GOLDEN") != nullptr) WriteTable(table);
  BOOST_TEST(ReadPage().find(table) != std::string::npos,
             "docs/FAULTS.md does not contain the table of this run");
}

}  // namespace
}  // namespace gullward

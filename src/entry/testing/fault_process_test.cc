// Tests faults of whole processes, with real processes and signals: kills, stops, planned stops,
// outages of the platform and wrong settings.

#define BOOST_TEST_MODULE fault_process
#include <signal.h>

#include <boost/test/unit_test.hpp>

#include "standins/answer.h"
#include "testing/fleet.h"
#include "testing/streamed_call.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr uint32_t kTokens = 100;

// A prompt whose answer does not stop before kTokens.
std::string LongAnswerPrompt(int number) {
  for (int i = 0;; ++i) {
    std::string prompt = "prompt " + std::to_string(number) + " " + std::to_string(i);
    if (ExpectedAnswer(prompt, kTokens).size() == kTokens * kBytesPerToken) return prompt;
  }
}

FleetOptions SlowAnswers() {
  FleetOptions options;
  options.step_seconds = 0.02;
  return options;
}

std::string StreamBody(const std::string& prompt) {
  return json{{"model", "base"}, {"prompt", prompt}, {"max_tokens", kTokens}, {"stream", true}}
      .dump();
}

std::string EntryUrl(const Fleet& fleet, int entry) {
  return "http://" + fleet.Address("entry-" + std::to_string(entry + 1)) + "/v1/completions";
}

// Returns the index of an engine that runs an attempt; -1 if none does.
int BusyEngine(Fleet* fleet, int engines) {
  for (int i = 0; i < engines; ++i) {
    if (fleet->EngineStats(i)["allocations"].get<int>() > 0) return i;
  }
  return -1;
}

bool NoMemoryHeld(Fleet* fleet, int engines) {
  return Fleet::WaitFor([&] {
    for (int i = 0; i < engines; ++i) {
      if (!fleet->IsRunning("engine-" + std::to_string(i + 1))) continue;
      if (fleet->EngineStats(i)["allocations"].get<int>() > 0) return false;
    }
    return true;
  });
}

struct StreamFault {
  std::string what;
  std::function<void(Fleet* fleet, int engine)> inject;
  std::function<void(Fleet* fleet, int engine)> repair;
};

std::string Endpoint(int engine) { return "endpoint-" + std::to_string(engine + 1); }
std::string EngineName(int engine) { return "engine-" + std::to_string(engine + 1); }
void NoRepair(Fleet*, int) {}

// Each fault occurs in the middle of a streamed answer.  The caller must receive the complete
// answer, and no engine may keep memory.
BOOST_AUTO_TEST_CASE(AStreamIsCompletedAfterAFaultBehindTheEntry) {
  const std::vector<StreamFault> faults = {
      {"endpoint process killed", [](Fleet* f, int e) { f->Kill(Endpoint(e), SIGKILL); },
       [](Fleet* f, int e) {
         f->Restart(Endpoint(e));
         f->UpdateBoxes();
       }},
      {"endpoint process stopped", [](Fleet* f, int e) { f->Kill(Endpoint(e), SIGSTOP); },
       [](Fleet* f, int e) { f->Kill(Endpoint(e), SIGCONT); }},
      {"engine stopped", [](Fleet* f, int e) { f->Kill(EngineName(e), SIGSTOP); },
       [](Fleet* f, int e) { f->Kill(EngineName(e), SIGCONT); }},
      {"engine cuts the stream",
       [](Fleet* f, int e) {
         f->InjectFault(EngineName(e), {{"cut_after_tokens", 0}});
       },
       NoRepair},
      {"endpoint asked to drain",
       [](Fleet* f, int e) {
         Fleet::Call("POST", "http://" + f->Address(Endpoint(e), "admin") + "/drain", {}, "");
       },
       NoRepair},
  };
  int number = 0;
  for (const StreamFault& fault : faults) {
    Fleet fleet;
    fleet.StartAll(SlowAnswers());
    std::string prompt = LongAnswerPrompt(++number);
    StreamedCall call(EntryUrl(fleet, 0), Fleet::Authorization(), StreamBody(prompt));
    BOOST_TEST(Fleet::WaitFor([&] { return call.text().size() >= 10 * kBytesPerToken; }));
    int engine = BusyEngine(&fleet, 3);
    BOOST_REQUIRE(engine >= 0);
    fault.inject(&fleet, engine);
    BOOST_TEST(Fleet::WaitFor([&] { return call.is_finished(); }), fault.what);
    BOOST_TEST(call.received_done(), fault.what << " " << call.error().dump());
    BOOST_TEST(call.text() == ExpectedAnswer(prompt, kTokens), fault.what);
    fault.repair(&fleet, engine);
    BOOST_TEST(NoMemoryHeld(&fleet, 3), fault.what);
  }
}

BOOST_AUTO_TEST_CASE(ARequestThatIsNotRepeatableFailsAndIsNotRunAgain) {
  Fleet fleet;
  fleet.StartAll(SlowAnswers());
  std::string prompt = LongAnswerPrompt(20);
  HttpHeaders headers = Fleet::Authorization();
  headers.emplace_back("Gullward-Repeatable", "no");
  StreamedCall call(EntryUrl(fleet, 0), headers, StreamBody(prompt));
  BOOST_TEST(Fleet::WaitFor([&] { return call.text().size() >= 10 * kBytesPerToken; }));
  fleet.Kill(Endpoint(BusyEngine(&fleet, 3)), SIGKILL);
  BOOST_TEST(Fleet::WaitFor([&] { return call.is_finished(); }));
  BOOST_TEST(!call.received_done());
  BOOST_TEST(call.error()["ran"] == "yes");
  int started = 0;
  for (int i = 0; i < 3; ++i) started += fleet.EngineStats(i)["started"].get<int>();
  BOOST_TEST(started == 1);
}

BOOST_AUTO_TEST_CASE(MemoryIsFreedWhenTheCallerDisconnects) {
  Fleet fleet;
  fleet.StartAll(SlowAnswers());
  {
    StreamedCall call(EntryUrl(fleet, 0), Fleet::Authorization(), StreamBody(LongAnswerPrompt(30)));
    BOOST_TEST(Fleet::WaitFor([&] { return !call.text().empty(); }));
  }
  BOOST_TEST(NoMemoryHeld(&fleet, 3));
  BOOST_TEST(Fleet::WaitFor([&] { return fleet.EntryState(0)["requests"].empty(); }));
}

BOOST_AUTO_TEST_CASE(MemoryIsFreedWhenTheEntryIsKilled) {
  Fleet fleet;
  fleet.StartAll(SlowAnswers());
  StreamedCall call(EntryUrl(fleet, 0), Fleet::Authorization(), StreamBody(LongAnswerPrompt(40)));
  BOOST_TEST(Fleet::WaitFor([&] { return !call.text().empty(); }));
  fleet.Kill("entry-1", SIGKILL);
  BOOST_TEST(NoMemoryHeld(&fleet, 3));
}

BOOST_AUTO_TEST_CASE(PlannedStopsCompleteTheAnswersUnderWay) {
  for (const std::string& role : {std::string("entry"), std::string("endpoint")}) {
    Fleet fleet;
    fleet.StartAll(SlowAnswers());
    std::string prompt = LongAnswerPrompt(50);
    StreamedCall call(EntryUrl(fleet, 0), Fleet::Authorization(), StreamBody(prompt));
    BOOST_TEST(Fleet::WaitFor([&] { return !call.text().empty(); }));
    std::string name = role == "entry" ? "entry-1" : Endpoint(BusyEngine(&fleet, 3));
    fleet.Kill(name, SIGTERM);
    BOOST_TEST(Fleet::WaitFor([&] { return call.is_finished(); }));
    BOOST_TEST(call.text() == ExpectedAnswer(prompt, kTokens), role);
    BOOST_TEST(call.received_done(), role);
    BOOST_TEST(fleet.WaitForExit(name) == 0, role);
  }
}

BOOST_AUTO_TEST_CASE(AKeyedCallIsMadeOnceIfTheLogLosesAnAnswer) {
  Fleet fleet;
  fleet.StartAll({});
  HttpHeaders headers = Fleet::Authorization();
  headers.emplace_back("Idempotency-Key", "filing-1");
  std::string path = "/v1/services/desk/entries";
  std::string first = "http://" + fleet.Address("entry-1") + path;
  std::string second = "http://" + fleet.Address("entry-2") + path;
  // The append takes effect, but its answer is lost.
  fleet.InjectFault("platform", {{"lose_answers", 1}});
  BOOST_TEST(Fleet::Call("POST", first, headers, "filing").status == 201);
  HttpResult again = Fleet::Call("POST", second, headers, "filing");
  BOOST_TEST(again.status == 409);
  BOOST_TEST(json::parse(again.body)["error"]["ran"] == "unknown");
  json entries = fleet.GetJson(fleet.Address("service"), "/entries");
  BOOST_TEST(entries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(APlatformOutageStopsOnlyKeyedCalls) {
  Fleet fleet;
  fleet.StartAll({});
  fleet.InjectFault("platform", {{"outage", true}});
  HttpHeaders headers = Fleet::Authorization();
  headers.emplace_back("Idempotency-Key", "filing-2");
  std::string url = "http://" + fleet.Address("entry-1") + "/v1/services/desk/entries";
  HttpResult keyed = Fleet::Call("POST", url, headers, "filing");
  BOOST_TEST(keyed.status == 503);
  BOOST_TEST(json::parse(keyed.body)["error"]["code"] == 2008);
  BOOST_TEST(json::parse(keyed.body)["error"]["ran"] == "no");
  BOOST_TEST(fleet.RequestCompletion(0, "still served", 2, false).status == 200);
  // An entry that starts during the outage gets the configuration from an endpoint.
  std::string settings = fleet.WriteFile(
      "late.toml",
      "box = \"entry-9\"\ndata_centre = \"fukuoka\"\nlisten = \"127.0.0.1:0\"\n"
      "platform = \"" +
          fleet.Address("platform") + "\"\n[[endpoint]]\nbox = \"box-1\"\naddress = \"" +
          fleet.Address("endpoint-1") + "\"\n");
  fleet.Start("entry-9", "gullward-entry", {"--settings=" + settings});
  BOOST_TEST(fleet.WaitForEngines(8, 1));
  BOOST_TEST(fleet.RequestCompletion(8, "served by the late one", 2, false).status == 200);
  // After the outage the key can be used: its claim was released or never written.
  fleet.InjectFault("platform", {{"outage", false}});
  BOOST_TEST(
      Fleet::WaitFor([&] { return Fleet::Call("POST", url, headers, "filing").status == 201; }));
  BOOST_TEST(fleet.GetJson(fleet.Address("service"), "/entries").size() == 1u);
}

BOOST_AUTO_TEST_CASE(ALeavingBoxGetsNoNewWork) {
  Fleet fleet;
  fleet.StartAll({});
  std::string config = fleet.WriteFile("leave.toml", "[[leaving]]\nname = \"box-1\"\n");
  Fleet::ProgramResult published =
      fleet.Run("gullwardctl", {"publish", config, "--platform=" + fleet.Address("platform")});
  BOOST_TEST(published.status == 0);
  BOOST_TEST(Fleet::WaitFor([&] {
    return fleet.GetJson(fleet.Address("endpoint-1", "admin"), "/state")["draining"] == true;
  }));
  int before = fleet.EngineStats(0)["started"];
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(fleet.RequestCompletion(i % 2, "prompt " + std::to_string(i), 2, false).status ==
               200);
  }
  BOOST_TEST(fleet.EngineStats(0)["started"] == before);
}

BOOST_AUTO_TEST_CASE(TheSecondOfTwoConflictingChangesIsRejected) {
  Fleet fleet;
  fleet.StartAll({.engines = 1, .entries = 1, .service = false});
  std::string platform = "--platform=" + fleet.Address("platform");
  Fleet::ProgramResult got = fleet.Run("gullwardctl", {"get", platform});
  BOOST_TEST(got.status == 0);
  std::string edited = got.output;
  edited.replace(edited.find("timeout_seconds = 60"), 20, "timeout_seconds = 61");
  std::string other = got.output;
  other.replace(other.find("timeout_seconds = 60"), 20, "timeout_seconds = 62");
  BOOST_TEST(fleet.Run("gullwardctl", {"publish", fleet.WriteFile("a", edited), platform}).status ==
             0);
  Fleet::ProgramResult lost =
      fleet.Run("gullwardctl", {"publish", fleet.WriteFile("b", other), platform});
  BOOST_TEST(lost.status == 1);
  BOOST_TEST(lost.output.find("config_conflict") != std::string::npos, lost.output);
  BOOST_TEST(fleet.Run("gullwardctl", {"get", platform}).output.find("timeout_seconds = 61") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(InvalidSettingsAreRefusedWithFileAndLine) {
  Fleet fleet;
  std::string path = fleet.WriteFile("bad.toml", "box = 3\nlisten = \"here\"\nwidth = 1\n");
  for (const std::string& program :
       {std::string("gullward-entry"), std::string("gullward-endpoint")}) {
    Fleet::ProgramResult finished = fleet.Run(program, {"--settings=" + path});
    BOOST_TEST(finished.status == 2);
    for (const char* expected :
         {"bad.toml:1: box: expected a string", "bad.toml:2: listen: expected IP:PORT",
          "bad.toml:3: width: unknown key", "data_centre: missing", "settings_invalid"}) {
      BOOST_TEST(finished.output.find(expected) != std::string::npos, expected);
    }
  }
  std::string good = fleet.WriteFile("good.toml",
                                     "box = \"b\"\ndata_centre = \"z\"\nlisten = \"127.0.0.1:0\"\n"
                                     "platform = \"127.0.0.1:9\"\n");
  BOOST_TEST(fleet.Run("gullward-entry", {"--settings=" + good, "--check_settings"}).status == 0);
  BOOST_TEST(fleet.Run("gullward-entry", {"--settings=/none"}).status == 2);
  BOOST_TEST(fleet.Run("gullwardctl", {"check", path}).status == 2);
  BOOST_TEST(fleet.Run("gullward-entry", {"--version"}).status == 0);
}

}  // namespace
}  // namespace gullward

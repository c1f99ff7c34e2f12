// Compares whole sessions between the cores with golden files, line by line.
//
// Each line is a message or a call with the time at which it was sent.  A difference means that
// behaviour has changed.  Run the test with GULLWARD_UPDATE_GOLDEN=1 to rewrite the files, and
// review the difference before you commit it.

#define BOOST_TEST_MODULE session
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

#include "trial/simulation.h"

namespace gullward {
namespace {

struct Session {
  std::string name;
  std::function<void(Simulation*)> run;
};

SimulationOptions Options() {
  SimulationOptions options;
  options.endpoints = 4;
  options.services = 1;
  options.engine.memory_tokens = 40'000;
  return options;
}

RequestInput KeyedServiceCall() {
  RequestInput input = ServiceRequest("gasket 4");
  input.idempotency_key = 5;
  return input;
}

const std::vector<Session>& Sessions() {
  static const std::vector<Session> sessions = {
      {"short",
       [](Simulation* simulation) {
         simulation->Submit(0, BasicRequest(500, 4, 1));
         simulation->RunFor(seconds(2));
       }},
      {"huge",
       [](Simulation* simulation) {
         RequestInput input = BasicRequest(90'000, 3, 4);
         input.timeout = seconds(60);
         simulation->Submit(0, input);
         simulation->RunFor(seconds(30));
       }},
      {"refused_overloaded",
       [](Simulation* simulation) {
         RequestInput input = BasicRequest(30'000, 4, 3);
         input.timeout = milliseconds(500);
         simulation->Submit(0, input);
         simulation->RunFor(seconds(1));
       }},
      {"service_call_twice_with_one_key",
       [](Simulation* simulation) {
         simulation->Submit(0, KeyedServiceCall());
         simulation->RunFor(seconds(1));
         simulation->Submit(0, KeyedServiceCall());
         simulation->RunFor(seconds(1));
       }},
      {"engine_dies_mid_stream",
       [](Simulation* simulation) {
         size_t call = simulation->Submit(0, BasicRequest(500, 6, 1));
         simulation->RunUntilTrue([&] { return simulation->call(call).text.size() >= 10; },
                                  seconds(5));
         for (size_t i = 0; i < 3; ++i) simulation->AbortStreams(i, 0);
         simulation->RunFor(seconds(2));
       }},
      {"endpoint_drains_with_work_waiting",
       [](Simulation* simulation) {
         for (uint64_t i = 0; i < 4; ++i) simulation->Submit(0, BasicRequest(25'000, 2, i));
         simulation->RunFor(milliseconds(50));
         for (size_t i = 0; i < 2; ++i) simulation->DrainEndpoint(i);
         simulation->RunFor(seconds(8));
       }},
  };
  return sessions;
}

std::string GoldenPath(const std::string& name) {
  return std::string(GULLWARD_SOURCE_DIR) + "/src/trial/testing/golden/" + name + ".txt";
}

std::string ReadGolden(const std::string& name) {
  std::ifstream stream(GoldenPath(name));
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

BOOST_AUTO_TEST_CASE(SessionsMatchTheGoldenFiles) {
  for (const Session& session : Sessions()) {
    Simulation simulation(Options());
    simulation.Publish(BasicConfig());
    simulation.RunFor(seconds(1));
    std::string lines;
    simulation.SetTrace([&](const std::string& line) { lines += line + "\n"; });
    session.run(&simulation);
    BOOST_TEST(simulation.CheckInvariants(true).empty(), session.name);
    if (std::getenv("GULLWARD_UPDATE_GOLDEN") != nullptr) {
      std::ofstream(GoldenPath(session.name)) << lines;
    }
    BOOST_TEST(lines == ReadGolden(session.name), session.name);
  }
}

}  // namespace
}  // namespace gullward

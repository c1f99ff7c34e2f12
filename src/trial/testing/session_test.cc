// Whole sessions between the cores, line by line, against golden files.
//
// Each line is a message or a call with the time at which it was sent.  A change
// of the files is a change of behaviour: run with GULLWARD_UPDATE_GOLDEN=1 to
// write them anew, and read the difference before it is committed.

#define BOOST_TEST_MODULE session
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

#include "trial/world.h"

namespace gullward {
namespace {

struct Session {
  std::string name;
  std::function<void(World*)> run;
};

WorldOptions Options() {
  WorldOptions options;
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
       [](World* w) {
         w->Submit(0, BasicRequest(500, 4, 1));
         w->RunFor(seconds(2));
       }},
      {"huge",
       [](World* w) {
         RequestInput input = BasicRequest(90'000, 3, 4);
         input.timeout = seconds(60);
         w->Submit(0, input);
         w->RunFor(seconds(30));
       }},
      {"refused_overloaded",
       [](World* w) {
         RequestInput input = BasicRequest(30'000, 4, 3);
         input.timeout = milliseconds(500);
         w->Submit(0, input);
         w->RunFor(seconds(1));
       }},
      {"service_call_twice_with_one_key",
       [](World* w) {
         w->Submit(0, KeyedServiceCall());
         w->RunFor(seconds(1));
         w->Submit(0, KeyedServiceCall());
         w->RunFor(seconds(1));
       }},
      {"engine_dies_mid_stream",
       [](World* w) {
         size_t call = w->Submit(0, BasicRequest(500, 6, 1));
         w->RunUntilTrue([&] { return w->call(call).text.size() >= 10; }, seconds(5));
         for (size_t i = 0; i < 3; ++i) w->CutStreams(i, 0);
         w->RunFor(seconds(2));
       }},
      {"endpoint_drains_with_work_waiting",
       [](World* w) {
         for (uint64_t i = 0; i < 4; ++i) w->Submit(0, BasicRequest(25'000, 2, i));
         w->RunFor(milliseconds(50));
         for (size_t i = 0; i < 2; ++i) w->DrainEndpoint(i);
         w->RunFor(seconds(8));
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

BOOST_AUTO_TEST_CASE(SessionsRunAsTheGoldenFilesSay) {
  for (const Session& session : Sessions()) {
    World world(Options());
    world.Publish(BasicConfig());
    world.RunFor(seconds(1));
    std::string lines;
    world.SetTrace([&](const std::string& line) { lines += line + "\n"; });
    session.run(&world);
    BOOST_TEST(world.CheckInvariants(true).empty(), session.name);
    if (std::getenv("GULLWARD_UPDATE_GOLDEN") != nullptr) {
      std::ofstream(GoldenPath(session.name)) << lines;
    }
    BOOST_TEST(lines == ReadGolden(session.name), session.name);
  }
}

}  // namespace
}  // namespace gullward

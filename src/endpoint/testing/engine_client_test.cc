// The endpoint's calls to engines in trouble.
//
// Failure guarded against: an event that never ended was kept, and searched anew with each part.

#define BOOST_TEST_MODULE engine_client
#include "endpoint/engine_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "standins/endless_server.h"

namespace gullward {
namespace {

constexpr Duration kAtOnce = seconds(5);
constexpr char kStreamHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

struct StreamRead {
  std::optional<EngineFailure> failure;
  bool has_finished = false;
  std::string text;
};

// Starts one attempt at a server with this answer, and waits until it has ended.
StreamRead ReadStream(const EndlessAnswer& answer, size_t* open_connections) {
  EventLoop loop;
  EndlessServer server(&loop, answer);
  HttpClient http(&loop);
  StreamRead read;
  EngineClient::Hooks hooks;
  hooks.output = [&](const AttemptId&, const EngineOutput& output) { read.text += output.text; };
  hooks.finished = [&](const AttemptId&, const EngineFinished&) { read.has_finished = true; };
  hooks.failed = [&](const AttemptId&, const EngineFailure& failure) { read.failure = failure; };
  EngineClient client(&http, {server.address().ToString()}, std::move(hooks));
  StartOnEngine start;
  start.time_left = seconds(60);
  client.Start(start);
  Time until = Now() + kAtOnce;
  while (!read.failure && !read.has_finished && Now() < until) loop.RunOnce(milliseconds(20));
  // The connection is closed on the client's own thread.
  while (server.open() > 0 && Now() < until) loop.RunOnce(milliseconds(20));
  *open_connections = server.open();
  return read;
}

BOOST_AUTO_TEST_CASE(AnEventThatDoesNotEndFailsTheAttempt) {
  const EndlessAnswer rows[] = {
      {std::string(kStreamHead) + "data: ", std::string(1000, 'a')},
      {kStreamHead, "data: a\n"},
      {std::string(kStreamHead) + "data: {\"choices\":[{\"text\":\"a\",\"tokens\":1}]}\n\ndata: ",
       std::string(1000, 'a')},
  };
  for (const EndlessAnswer& row : rows) {
    BOOST_TEST_CONTEXT(row.prefix << ", then " << row.filler.substr(0, 20)) {
      size_t open_connections = 0;
      StreamRead read = ReadStream(row, &open_connections);
      BOOST_TEST_REQUIRE(read.failure.has_value());
      BOOST_TEST((read.failure->code == ResultCode::kEngineFailed));
      BOOST_TEST((read.failure->ran == Ran::kYes));
      BOOST_TEST(!read.has_finished);
      BOOST_TEST(open_connections == 0u);
    }
  }
}

// Guards against taking a long event for one without end.
BOOST_AUTO_TEST_CASE(ALongEventIsRead) {
  std::string text(500'000, 'a');
  std::string stream = kStreamHead;
  stream += "data: {\"choices\":[{\"text\":\"" + text + "\",\"tokens\":1}],\"usage\":{}}\n\n";
  size_t open_connections = 0;
  StreamRead read = ReadStream({stream, ""}, &open_connections);
  BOOST_TEST((read.text == text));
}

}  // namespace
}  // namespace gullward

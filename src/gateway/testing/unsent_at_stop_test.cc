// Answers that a stopping gateway has written and the kernel has not taken yet.
//
// Failure guarded against: the process ended once no request was under way, and the rest of such an
// answer was lost, so that a caller that reads slowly got a part of it.

#define BOOST_TEST_MODULE unsent_at_stop
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/testing/faulty_server_fixture.h"
#include "transport/tcp_listener.h"
#include "transport/tcp_stream.h"

namespace gullward {
namespace {

constexpr int kCallerBuffer = 32 << 10;

// A caller that does not read before it is told to.
struct SlowCaller {
  SlowCaller(EventLoop* loop, uint16_t port)
      : stream(TcpStream::Connect(loop, {"127.0.0.1", port})) {
    this->stream->SetHooks(
        {.data = [this](std::string_view bytes) { this->received += bytes.size(); },
         .closed = {},
         .drained = {},
         .connected = {}});
    this->stream->LimitReceiveBuffer(kCallerBuffer);
    this->stream->SetReading(false);
  }
  ~SlowCaller() { this->stream->Close(); }

  std::shared_ptr<TcpStream> stream;
  size_t received = 0;
};

// The bytes that the kernel takes for such a caller.
size_t BytesInKernel() {
  constexpr size_t kMore = 16 << 20;
  EventLoop loop;
  std::shared_ptr<TcpStream> server;
  TcpListener listener;
  absl::Status status = listener.Listen(&loop, {"127.0.0.1", 0}, [&](int fd) {
    server = TcpStream::Adopt(&loop, fd);
    server->Write(std::string(kMore, 'k'));
  });
  BOOST_REQUIRE(status.ok());
  SlowCaller caller(&loop, listener.port());
  Time until = Now() + milliseconds(300);
  while (Now() < until) loop.RunOnce(milliseconds(20));
  BOOST_REQUIRE(server != nullptr);
  size_t taken = kMore - server->pending();
  server->Close();
  return taken;
}

BOOST_AUTO_TEST_CASE(AnAnswerIsSentWholeBeforeTheProcessEnds) {
  // Less than what makes the gateway wait for its caller before it reads more from the engine.
  constexpr size_t kUnsent = 160 << 10;
  // Shortly before the gateway closes its port for callers.
  constexpr Duration kSentAfter = milliseconds(2200);
  // Past that moment, and within the time after which the kernel gives up such a caller.
  constexpr Duration kPause = milliseconds(900);
  const size_t body_bytes = BytesInKernel() + kUnsent;
  std::string answer =
      absl::StrCat("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: ", body_bytes,
                   "\r\n\r\n", std::string(body_bytes, 'b'));
  FaultyServerFixture server({answer, ""}, "app", false);
  GatewayFixture& fixture = server.fixture;
  SlowCaller caller(&fixture.loop, fixture.gateway->callers_port());
  fixture.gateway->DrainAndStop();
  fixture.RunFor(kSentAfter);
  caller.stream->Write(fixture.SafeRequest("slow"));
  fixture.RunFor(kPause);
  // The process ends when the loop has been stopped.
  BOOST_TEST_REQUIRE(!fixture.loop.stopped());
  caller.stream->SetReading(true);
  BOOST_TEST(fixture.RunUntil([&] { return fixture.loop.stopped(); }));
  BOOST_TEST(fixture.RunUntil([&] { return caller.received > body_bytes; }));
}

}  // namespace
}  // namespace gullward

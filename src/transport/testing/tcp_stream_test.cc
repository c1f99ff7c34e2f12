// Tests that bytes arrive in the order in which they were written, shared or not, and that shared
// bytes are released once they have been sent.

#define BOOST_TEST_MODULE tcp_stream
#include "transport/tcp_stream.h"

#include <boost/test/unit_test.hpp>
#include <functional>

#include "transport/tcp_listener.h"

namespace gullward {
namespace {

constexpr Duration kTestTimeout = seconds(30);

struct StreamPair {
  StreamPair() {
    absl::Status status = this->listener.Listen(&this->loop, {"127.0.0.1", 0}, [this](int fd) {
      this->server = TcpStream::Adopt(&this->loop, fd);
      this->server->SetHooks({.data = [this](std::string_view bytes) { this->received += bytes; },
                              .closed = [this](StreamEnd) { this->is_closed = true; },
                              .drained = {},
                              .connected = {}});
    });
    BOOST_REQUIRE(status.ok());
    this->client = TcpStream::Connect(&this->loop, {"127.0.0.1", this->listener.port()});
    this->client->SetHooks({.data = {}, .closed = {}, .drained = {}, .connected = {}});
    BOOST_REQUIRE(this->RunUntil([&] { return this->server && !this->client->is_connecting(); }));
  }

  bool RunUntil(const std::function<bool()>& condition) {
    Time until = Now() + kTestTimeout;
    while (!condition() && Now() < until) this->loop.RunOnce(milliseconds(5));
    return condition();
  }

  EventLoop loop;
  TcpListener listener;
  std::shared_ptr<TcpStream> server;
  std::shared_ptr<TcpStream> client;
  std::string received;
  bool is_closed = false;
};

BOOST_AUTO_TEST_CASE(PiecesOfAllKindsArriveInOrder) {
  StreamPair pair;
  // Nothing is read while the loop does not run.  A small buffer fills soon, so that the connection
  // is not given up meanwhile.
  pair.server->LimitReceiveBuffer(64 << 10);
  std::string expected;
  for (int i = 0; i < 40; ++i) {
    std::string text(static_cast<size_t>(i * 77'291 % 500'000), static_cast<char>('a' + i % 26));
    expected += text;
    if (i % 3 == 0) {
      pair.client->Write(std::make_shared<const std::string>(text));
    } else {
      pair.client->Write(text);
    }
  }
  size_t most = pair.client->pending();
  BOOST_TEST(most > 0u);
  BOOST_TEST(pair.RunUntil([&] { return pair.received.size() == expected.size(); }));
  BOOST_TEST((pair.received == expected));
  BOOST_TEST(pair.client->pending() == 0u);
}

// Guards against a buffer that stays with the connection after its bytes were sent.
BOOST_AUTO_TEST_CASE(SharedBytesAreReleasedWhenTheyAreSentOrTheStreamIsClosed) {
  for (bool is_sent : {true, false}) {
    StreamPair pair;
    pair.server->SetReading(false);
    auto bytes = std::make_shared<const std::string>(size_t{32} << 20, 'b');
    std::weak_ptr<const std::string> weak = bytes;
    pair.client->Write(std::move(bytes));
    BOOST_TEST(!weak.expired());
    if (is_sent) {
      pair.server->SetReading(true);
    } else {
      pair.client->Close();
    }
    BOOST_TEST(pair.RunUntil([&] { return weak.expired(); }));
  }
}

}  // namespace
}  // namespace gullward

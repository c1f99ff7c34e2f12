// Tests that the proxy injects only faults that a network can have: it delays, holds or resets,
// but never reorders bytes or drops bytes from the middle of a connection.

#define BOOST_TEST_MODULE loopback_proxy
#include "soak/loopback_proxy.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

namespace gullward {
namespace {

constexpr Duration kTestTimeout = seconds(20);

// A server that records the bytes it receives, and a client, with the proxy between them.
struct ProxyFixture {
  ProxyFixture() {
    absl::Status status = this->listener.Listen(&this->loop, {"127.0.0.1", 0}, [this](int fd) {
      this->server = TcpStream::Adopt(&this->loop, fd);
      this->server->SetHooks({.data = [this](std::string_view bytes) { this->received += bytes; },
                              .closed = [this](StreamEnd stream_end) { this->end = stream_end; },
                              .drained = {},
                              .connected = {}});
    });
    BOOST_REQUIRE(status.ok());
    this->proxy = std::make_unique<LoopbackProxy>(
        &this->loop, SocketAddress{"127.0.0.1", this->listener.port()});
    this->client = TcpStream::Connect(&this->loop, this->proxy->address());
    this->client->SetHooks({.data = {}, .closed = {}, .drained = {}, .connected = {}});
    this->client->Write("0");
    BOOST_REQUIRE(this->RunUntil([this] { return this->received == "0"; }));
  }

  bool RunUntil(const std::function<bool()>& condition) {
    Time until = Now() + kTestTimeout;
    while (!condition()) {
      if (Now() > until) return false;
      this->loop.RunOnce(milliseconds(10));
    }
    return true;
  }

  EventLoop loop;
  TcpListener listener;
  std::shared_ptr<TcpStream> server;
  std::unique_ptr<LoopbackProxy> proxy;
  std::shared_ptr<TcpStream> client;
  std::string received;
  std::optional<StreamEnd> end;
};

BOOST_AUTO_TEST_CASE(BytesKeepTheirOrderWhenADelayEndsOrShrinks) {
  ProxyFixture fixture;
  fixture.proxy->SetDelay(milliseconds(300));
  fixture.client->Write("1");
  // By then the proxy has received "1" and delays it.
  fixture.loop.RunAfter(milliseconds(60), [&] {
    fixture.proxy->SetDelay(milliseconds(20));
    fixture.client->Write("2");
  });
  fixture.loop.RunAfter(milliseconds(120), [&] {
    fixture.proxy->SetDelay(Duration(0));
    fixture.client->Write("3");
  });
  BOOST_TEST(fixture.RunUntil([&] { return fixture.received.size() == 4; }));
  BOOST_TEST(fixture.received == "0123");
}

BOOST_AUTO_TEST_CASE(TheEndIsForwardedAfterDelayedBytes) {
  ProxyFixture fixture;
  fixture.proxy->SetDelay(milliseconds(300));
  fixture.client->Write("1");
  fixture.client->FinishAndClose();
  BOOST_TEST(fixture.RunUntil([&] { return fixture.end.has_value(); }));
  BOOST_TEST(fixture.received == "01");
}

BOOST_AUTO_TEST_CASE(TheEndBecomesAResetIfASilentDirectionHoldsBytes) {
  ProxyFixture fixture;
  fixture.proxy->SetSilent(LoopbackProxy::kFromClient, true);
  fixture.client->Write("1");
  fixture.client->FinishAndClose();
  BOOST_TEST(fixture.RunUntil([&] { return fixture.end.has_value(); }));
  BOOST_TEST(fixture.received == "0");
  BOOST_TEST((fixture.end != StreamEnd::kFinished));
}

}  // namespace
}  // namespace gullward

// The proxy harms connections only as a network can: late, held or reset, never with
// bytes out of order or missing in the middle.

#define BOOST_TEST_MODULE loopback_proxy
#include "soak/loopback_proxy.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

namespace gullward {
namespace {

constexpr Duration kPatience = seconds(20);

// A server that keeps what it gets, and a client, with the proxy between them.
struct World {
  World() {
    absl::Status status = this->listener.Listen(&this->loop, {"127.0.0.1", 0}, [this](int fd) {
      this->server = TcpStream::Adopt(&this->loop, fd);
      this->server->SetHooks({.data = [this](std::string_view bytes) { this->got += bytes; },
                              .closed = [this](StreamEnd how) { this->ended = how; },
                              .drained = {},
                              .connected = {}});
    });
    BOOST_REQUIRE(status.ok());
    this->proxy = std::make_unique<LoopbackProxy>(
        &this->loop, SocketAddress{"127.0.0.1", this->listener.port()});
    this->client = TcpStream::Connect(&this->loop, this->proxy->address());
    this->client->SetHooks({.data = {}, .closed = {}, .drained = {}, .connected = {}});
    this->client->Write("0");
    BOOST_REQUIRE(this->RunUntil([this] { return this->got == "0"; }));
  }

  bool RunUntil(const std::function<bool()>& condition) {
    Time until = Now() + kPatience;
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
  std::string got;
  std::optional<StreamEnd> ended;
};

BOOST_AUTO_TEST_CASE(BytesKeepTheirOrderWhenADelayEndsOrShrinks) {
  World world;
  world.proxy->SetDelay(milliseconds(300));
  world.client->Write("1");
  // The proxy has taken it, and delays it, when a second lot has come after it.
  world.loop.RunAfter(milliseconds(60), [&] {
    world.proxy->SetDelay(milliseconds(20));
    world.client->Write("2");
  });
  world.loop.RunAfter(milliseconds(120), [&] {
    world.proxy->SetDelay(Duration(0));
    world.client->Write("3");
  });
  BOOST_TEST(world.RunUntil([&] { return world.got.size() == 4; }));
  BOOST_TEST(world.got == "0123");
}

BOOST_AUTO_TEST_CASE(AnEndComesAfterWhatWasDelayed) {
  World world;
  world.proxy->SetDelay(milliseconds(300));
  world.client->Write("1");
  world.client->FinishAndClose();
  BOOST_TEST(world.RunUntil([&] { return world.ended.has_value(); }));
  BOOST_TEST(world.got == "01");
}

BOOST_AUTO_TEST_CASE(AnEndBehindBytesThatACutHoldsIsAReset) {
  World world;
  world.proxy->SetSilent(LoopbackProxy::kFromClient, true);
  world.client->Write("1");
  world.client->FinishAndClose();
  BOOST_TEST(world.RunUntil([&] { return world.ended.has_value(); }));
  BOOST_TEST(world.got == "0");
  BOOST_TEST((world.ended != StreamEnd::kFinished));
}

}  // namespace
}  // namespace gullward

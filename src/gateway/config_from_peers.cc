// config_from_peers.h tells the method.

#include "gateway/config_from_peers.h"

#include <unistd.h>

#include <utility>

namespace gullward {
namespace {

constexpr char kRecordPath[] = "/config-record";

}  // namespace

ConfigFromPeers::ConfigFromPeers(EventLoop* event_loop, Hooks config_hooks)
    : loop(event_loop),
      hooks(std::move(config_hooks)),
      pages(event_loop, [this](const std::string& path) { return this->Page(path); }),
      client(event_loop, SocketAddress{}, /*store_returns=*/nullptr) {}

absl::Status ConfigFromPeers::Listen(const SocketAddress& address) {
  return this->listener.Listen(this->loop, address, [this](int fd) {
    if (this->pages.connections() < kMaxConnections) {
      this->pages.Adopt(fd);
    } else {
      close(fd);
    }
  });
}

HttpPage ConfigFromPeers::Page(const std::string& path) const {
  std::shared_ptr<const std::string> record = this->hooks.own_record();
  if (path != kRecordPath || record == nullptr) return NotFound();
  HttpPage page;
  page.type = "application/octet-stream";
  page.body = *record;
  return page;
}

bool ConfigFromPeers::Fetch(const SocketAddress& peer) {
  if (this->client.is_busy()) return false;
  this->client.SetAddress(peer);
  this->client.Call({"GET", kRecordPath, ""}, StoreClient::kAnswerTimeout,
                    [this](const StoreAnswer& answer) {
                      // Another peer is asked with its next note.
                      if (!answer.ok()) return;
                      this->received_count += 1;
                      this->hooks.received(answer.body);
                    });
  return true;
}

}  // namespace gullward

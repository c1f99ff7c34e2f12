// Implementation of config_from_peers.h.

#include "gateway/config_from_peers.h"

#include <utility>

namespace gullward {
namespace {

constexpr char kRecordPath[] = "/config-record";

}  // namespace

ConfigFromPeers::ConfigFromPeers(EventLoop* event_loop, Hooks config_hooks)
    : hooks(std::move(config_hooks)),
      client(event_loop, SocketAddress{}, /*store_returns=*/nullptr) {}

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
                      // After a failure the next note of a peer starts another fetch.
                      if (!answer.ok()) return;
                      this->received_count += 1;
                      this->hooks.received(answer.body);
                    });
  return true;
}

}  // namespace gullward

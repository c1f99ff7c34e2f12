// Fetches the configuration from peers when the store does not provide it.
//
// The store may refuse single gateways while it serves the others and the operator, and the
// configuration may change at that time.  A refused gateway learns from its peers that its
// configuration is outdated, cannot read the change, and stops accepting keys when its last
// validation is too old.  It would then refuse every request, although its engines are free.
//
// Therefore each gateway serves the configuration record that it last read, unchanged, on the
// port for its peers.  A gateway that has been outdated for long
// enough fetches the record from the peer that reported the newer version.  The record is
// handled like one read from the store: only a later version is applied.  The peers' notes show
// how current it is, as for any record (serving/peer_freshness.h).
//
//   ConfigFromPeers config(&loop, {.own_record = ..., .received = ...});
//   HttpPage page = config.Page(path);             // for a peer's request
//   config.Fetch(peer_address);
//
// One fetch is in progress at a time.

#ifndef GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_
#define GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/http_pages.h"
#include "gateway/store_client.h"

namespace gullward {

class ConfigFromPeers {
 public:
  struct Hooks {
    // Returns the record that was last read; null if none was.
    std::function<std::shared_ptr<const std::string>()> own_record;
    // Called with a peer's record.
    std::function<void(const std::string& record)> received;
  };

  ConfigFromPeers(EventLoop* event_loop, Hooks config_hooks);

  // The page for a peer's request: the record, or not found.
  HttpPage Page(const std::string& path) const;

  // Fetches the record from a peer.  Returns false if another fetch is in progress.
  bool Fetch(const SocketAddress& peer);

  // The number of records received from peers.
  uint64_t received() const { return this->received_count; }

 private:
  Hooks hooks;
  StoreClient client;
  uint64_t received_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_

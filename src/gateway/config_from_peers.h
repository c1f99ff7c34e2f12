// Hands the configuration on from gateway to gateway where the store does not.
//
// The store may turn single boxes away while it serves the others and the operator, and a
// change may be made just then.  A gateway there hears from its peers that it is behind, cannot
// read the change, and vouches for no key any more once its last proof is too old: it would
// refuse everything, though its engines are free.
//
// So each gateway serves the record that it has read last, as the store gave it, at the
// address at which it hears its peers (TCP beside the datagrams).  One that has been behind
// for long enough asks the peer that told it.  What it gets is treated like a read of the
// store's: only a later version counts.  How current it is, the peers' notes tell as ever
// (serving/peer_freshness.h).
//
//   ConfigFromPeers config(&loop, {.own_record = ..., .received = ...});
//   config.Listen(own_address);
//   config.Ask(peer_address);
//   config.Tick(now);                              // now and then
//
// One question at a time; at most kMostConnections peers are served at once.

#ifndef GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_
#define GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gateway/http_pages.h"
#include "gateway/store_client.h"
#include "transport/tcp_listener.h"

namespace gullward {

class ConfigFromPeers {
 public:
  static constexpr size_t kMaxConnections = 16;

  struct Hooks {
    // The record as it was read; null where none was.
    std::function<std::shared_ptr<const std::string>()> own_record;
    // A peer's record.
    std::function<void(const std::string& record)> received;
  };

  ConfigFromPeers(EventLoop* event_loop, Hooks config_hooks);

  absl::Status Listen(const SocketAddress& address);
  // The port that it listens on.
  uint16_t port() const { return this->listener.port(); }

  // Asks a peer, unless a question is under way.  Whether it did.
  bool Fetch(const SocketAddress& peer);

  void Tick(Time now) { this->pages.Tick(now); }

  // Records that peers have handed us.
  uint64_t received() const { return this->received_count; }

 private:
  HttpPage Page(const std::string& path) const;

  EventLoop* loop;
  Hooks hooks;
  TcpListener listener;
  HttpPages pages;
  StoreClient client;
  uint64_t received_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CONFIG_FROM_PEERS_H_

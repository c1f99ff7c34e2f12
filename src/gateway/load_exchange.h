// Gateways tell each other what they have on each engine.
//
// Each gateway writes the address of its datagram socket into a topic of the
// store when it starts, and follows that topic.  Then, a few times a second, it
// sends the others what has changed of its own work, and now and then all of it.
// Nothing depends on a datagram: what is lost is told again, and what is not told
// any more is forgotten (serving/engine_load.h).
//
//   LoadExchange exchange(&loop, settings, incarnation, &loads, &log);
//   absl::Status status = exchange.Start();
//   exchange.Tell(now);              // every few milliseconds

#ifndef GULLWARD_GATEWAY_LOAD_EXCHANGE_H_
#define GULLWARD_GATEWAY_LOAD_EXCHANGE_H_

#include <map>
#include <string>

#include "absl/status/status.h"
#include "gateway/settings.h"
#include "gateway/topic_follower.h"
#include "process/event_log.h"
#include "serving/engine_load.h"
#include "transport/udp_socket.h"
#include "wire/load_digest.h"

namespace gullward {

class LoadExchange {
 public:
  // How often everything is told, changed or not.
  static constexpr Duration kRefresh = milliseconds(500);
  // Entries that fit into one datagram with room to spare.
  static constexpr size_t kEntriesPerDatagram = 12;
  // More peers than this are not told; see docs/CAPACITY.md.
  static constexpr size_t kMostPeers = 32;

  LoadExchange(EventLoop* event_loop, const GatewaySettings& settings, uint64_t own_incarnation,
               LoadBook* load_book, EventLog* event_log);

  absl::Status Start();

  // Sends what has changed since it was last told.
  void Tell(Time now);

  size_t peers() const { return this->peer_addresses.size(); }
  uint64_t store_calls() const { return this->follower.calls() + this->registrar.calls(); }

 private:
  void Register();
  void OnPeerRecord(const platform::KeyedRecord& record);
  void OnDatagram(std::string_view datagram);
  void Send(std::map<std::string, EngineLoad> loads);

  EventLoop* loop;
  std::string box;
  SocketAddress own_address;
  uint64_t incarnation;
  LoadBook* loads;
  EventLog* log;
  UdpSocket socket;
  StoreClient registrar;
  TopicFollower follower;
  std::map<std::string, SocketAddress> peer_addresses;
  std::map<std::string, EngineLoad> told;
  Time refreshed{};
  uint64_t sequence = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_LOAD_EXCHANGE_H_

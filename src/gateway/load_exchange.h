// Gateways tell each other what they have on each engine.
//
// Each gateway follows a topic of the store in which each has its entry, with the address
// of its datagram socket and its data centre; it writes its own where that is not there, so
// that a fleet whose processes all start again costs no write and no read of it.  Then, a few times
// a second, it sends what has changed of its own work, and now and then all of it, to those that
// work on the same engines: the members of the engine's cell (serving/cell_map.h).
// Each datagram also names the engines that the sender has set aside
// (serving/peer_suspicion.h).
//
// Every half second, and after each proof of the sender's own, each neighbour (a member
// of the home cell) also gets a note on how current the sender's configuration is
// (serving/peer_freshness.h), so that a gateway that is cut off from the store can go on
// accepting keys.  What engines have said of themselves goes to the members of their cells
// (serving/engine_notices.h).  And a few gateways of other cells, drawn by chance, are offered
// engines of this one (serving/spill.h).
//
// Nothing depends on a datagram: what is lost is told again, and what is not told
// any more is forgotten (serving/engine_load.h).
//
//   LoadExchange exchange(&loop, settings, incarnation, &fleet, &log, &recovery, hooks);
//   absl::Status status = exchange.Start();
//   exchange.Tell(now);              // after a dispatch
//   exchange.Tick(now);              // every few milliseconds

#ifndef GULLWARD_GATEWAY_LOAD_EXCHANGE_H_
#define GULLWARD_GATEWAY_LOAD_EXCHANGE_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/settings.h"
#include "gateway/topic_follower.h"
#include "process/event_log.h"
#include "serving/fleet.h"
#include "serving/load_digest.h"
#include "serving/peer_directory.h"
#include "serving/peer_liveness.h"
#include "transport/udp_socket.h"

namespace gullward {

class LoadExchange {
 public:
  // How long changes that nobody waits for are gathered: a prompt has been read, an
  // answer has ended.  Every datagram goes to every peer, and with 28 gateways they
  // outnumbered the events that were passed on.
  static constexpr Duration kSendInterval = milliseconds(100);
  // How often everything is told, changed or not.
  static constexpr Duration kRefreshInterval = milliseconds(500);
  // Notices of engines that have not changed are told again each so many times.
  static constexpr int kRoundsPerNoticeRefresh = 4;
  // Entries that fit into one datagram with room to spare.
  static constexpr size_t kEntriesPerDatagram = 12;
  // Engines set aside that one datagram names at most.
  static constexpr size_t kMaxSetAsideEntries = 16;

  // What a note says and proves; the owner keeps the configuration.
  struct Hooks {
    std::function<uint64_t()> config_version;
    // When our own version was last proved current.
    std::function<Time()> validated_at;
    // A peer has proved our version current at that time.
    std::function<void(Time)> on_validated;
    // A peer has a newer version than we.
    std::function<void(uint64_t config_version, const Peer& peer)> on_newer_version;
    // What the copy of the engines' list holds, as we know it and as a peer does.
    std::function<CopyVersion()> engines_copied;
    std::function<void(const CopyVersion& mark)> on_engines_copied;
    // How far we have read the engines' list, and how far a peer has.
    std::function<uint64_t()> engines_read_to;
    std::function<void(uint64_t offset)> on_engines_read_to;
    // The store's epoch as a peer knows it, and whether it has for long enough.
    std::function<void(uint64_t epoch, bool is_settled)> on_store_epoch;
    // News of engines that ended, to be told to a few; nothing in it where there is none.
    std::function<CrashGossip()> take_gossip;
    // A peer's news, and what to tell that peer in turn.
    std::function<CrashGossip(const std::string& box, const CrashGossip& news)> on_gossip;
    // An entry of the peers' topic that is about a content in quarantine.
    std::function<void(ContentId content, const std::string& value)> quarantine_record;
    // The entry of the peers' topic that says which epoch of the store is settled.
    std::function<void(const std::string& value)> settled_epoch_record;
  };

  LoadExchange(EventLoop* event_loop, const GatewaySettings& settings, uint64_t own_incarnation,
               Fleet* shared_fleet, EventLog* event_log, StoreRecovery* store_recovery,
               Hooks exchange_hooks);

  // Hears peers at `port`; 0 leaves the choice to the kernel.
  absl::Status Start(uint16_t port);

  // Sends what has changed since it was last told: at once, for new work that others
  // must not plan over.
  void SendLoads(Time now);
  // The same after changes have gathered for a while; to be called often.
  void Tick(Time now);

  // The store has returned without what was written lately: our entry is written again where
  // the topic lacks it.
  void OnStoreReturn() { this->is_registered = false; }

  // Tells how current our configuration is: at once after a proof of our own.
  void SendFreshness(Time now);

  // All gateways that are known besides this one.
  size_t peers() const { return this->directory.size(); }
  // Those in the home cell.
  size_t neighbours() const { return this->neighbour_count; }
  // Datagrams sent and received, their bytes, and members of cells that were left for a
  // later round, since the process began.
  uint64_t datagrams_sent() const { return this->sent; }
  uint64_t bytes_sent() const { return this->sent_bytes; }
  uint64_t datagrams_received() const { return this->received; }
  uint64_t deferred_peers() const { return this->directory.deferred(); }
  uint64_t store_calls() const { return this->follower.calls() + this->registrar.calls(); }

 private:
  std::string OwnEntry() const;
  Duration RandomDelayAfterReturn();
  void RegisterOnce();
  void Register();
  void OnPeerRecords(const std::vector<platform::KeyedRecord>& records);
  void OnPeerRecord(const platform::KeyedRecord& record);
  void OnDatagram(std::string_view datagram);
  void OnStoreState(const LoadDigest& digest);
  void OnFreshnessNote(const LoadDigest& digest);
  void OnGossip(const LoadDigest& digest);
  void SendPendingGossip(Time now);
  void SendGossip(const Peer& peer, CrashGossip news, Time now);
  LoadDigest NewDigest(Time now);
  std::map<std::string, EngineLoad> TakeUnsent(bool all, Time now);
  std::vector<const Peer*> Neighbours(Time now);
  std::vector<const Peer*> GatewaysOfEngine(const std::string& engine, Time now);
  void SendToCells(const std::map<std::string, EngineLoad>& loads, Time now);
  void SendInParts(std::map<std::string, EngineLoad> loads, const std::vector<const Peer*>& to,
                   Time now);
  void SendOffers(Time now);
  void SendNotices(bool all, Time now);
  void OnNotices(const LoadDigest& digest, Time now);
  void UpdateSilentPeers(Time now);
  void Send(const Peer& peer, const std::string& datagram);

  EventLoop* loop;
  std::string box;
  std::string data_centre;
  SocketAddress own_address;
  uint64_t incarnation;
  Fleet* fleet;
  EventLog* log;
  UdpSocket socket;
  StoreRecovery* recovery;
  StoreClient registrar;
  bool is_registered = false;
  TopicFollower follower;
  PeerDirectory directory;
  // Since the fleet was last told of them.
  bool peers_changed = false;
  std::mt19937_64 random;
  Hooks hooks;
  PeerFreshness freshness;
  PeerLiveness liveness;
  std::map<std::string, EngineLoad> sent_loads;
  Time last_refresh{};
  uint64_t rounds = 0;
  Time last_send{};
  uint64_t sequence = 0;
  size_t neighbour_count = 0;
  uint64_t sent = 0;
  uint64_t sent_bytes = 0;
  uint64_t received = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_LOAD_EXCHANGE_H_

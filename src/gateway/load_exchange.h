// Exchanges engine loads and other state with the peers, by UDP datagrams.
//
// Each gateway follows a topic of the store that holds one entry per gateway: the address of
// its datagram socket and its data centre.  A gateway writes its own entry only if the topic
// lacks it, so a restart of the whole fleet causes no writes and no reads of new entries.  After
// writing it, a gateway waits a moment and reads the topic again before it reports the gateways: in
// the first start of a fleet all entries are written at the same time.
//
// A few times a second a gateway sends the changes of its own engine loads to the gateways that
// work on the same engines, which are the members of each engine's cell (serving/cell_map.h).
// Now and then it sends all of its loads.  Each datagram also lists the engines that the sender
// has set aside (serving/peer_suspicion.h).
//
// Four kinds of datagrams carry other state:
//   - Each neighbour (a member of the home cell) receives a note on how current the sender's
//     configuration is, every half second and whenever the sender has revalidated it
//     (serving/peer_freshness.h).  A gateway that cannot reach the store can therefore go on
//     accepting keys.
//   - The members of an engine's cell receive the notices that the engine has sent
//     (serving/engine_notices.h).
//   - The members of a service's home cell receive the work that the sender's callers have asked of
//     it (overload/work_tally.h).
//   - A few random gateways of other cells receive offers of this cell's engines
//     (serving/spill.h).
//
// The protocol tolerates lost datagrams: all state is sent again periodically, and state that
// is no longer received expires (serving/engine_load.h).
//
//   LoadExchange exchange(&loop, settings, incarnation, &fleet, &log, &recovery, hooks);
//   absl::Status status = exchange.Start(port);
//   exchange.SendLoads(now);         // after a dispatch
//   exchange.Tick(now);              // every few milliseconds

#ifndef GULLWARD_GATEWAY_LOAD_EXCHANGE_H_
#define GULLWARD_GATEWAY_LOAD_EXCHANGE_H_

#include <map>
#include <optional>
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
  // Interval at which changes are sent that no peer urgently needs, such as the end of a
  // prompt's prefill or of an answer.  Every datagram goes to every peer of the cell: without
  // this interval, 28 gateways sent more datagrams than they forwarded stream events.
  static constexpr Duration kSendInterval = milliseconds(100);
  // Interval at which all loads are sent, changed or not.
  static constexpr Duration kRefreshInterval = milliseconds(500);
  // Unchanged notices of engines are sent again once in this many refresh rounds.
  static constexpr int kRoundsPerNoticeRefresh = 4;
  // The number of entries per datagram, which fits with room to spare.
  static constexpr size_t kEntriesPerDatagram = 12;
  // The maximum number of engines set aside that one datagram lists.
  static constexpr size_t kMaxSetAsideEntries = 16;

  // Connects the exchange to the configuration, the engine list, the store's epoch and the
  // quarantine, which their owners keep.
  struct Hooks {
    std::function<uint64_t()> config_version;
    // When this gateway's configuration was last shown to be current.
    std::function<Time()> validated_at;
    // Called when a peer's note shows that the configuration was current at that time.
    std::function<void(Time)> on_validated;
    // Called when a peer has a newer configuration than this gateway.
    std::function<void(uint64_t config_version, const Peer& peer)> on_newer_version;
    // The version of the engine list's copy in the store: as this gateway has it, and called
    // with a peer's report of it.
    std::function<CopyVersion()> engines_copied;
    std::function<void(const CopyVersion& version)> on_engines_copied;
    // The offset up to which the operator's topic has been read: by this gateway, and called with
    // a peer's report of its own offset.  Then the same for the engine list.
    std::function<uint64_t()> operator_read_to;
    std::function<void(uint64_t offset)> on_operator_read_to;
    std::function<uint64_t()> engines_read_to;
    std::function<void(uint64_t offset)> on_engines_read_to;
    // Called with the store's epoch that a peer reports, and whether that peer regards the
    // epoch as settled.
    std::function<void(uint64_t epoch, bool is_settled)> on_store_epoch;
    // Takes the crash gossip that is due to be sent to a few peers; empty if there is none.
    std::function<CrashGossip()> take_gossip;
    // Called with crash gossip from a peer.  Returns what to send to that peer in reply.
    std::function<CrashGossip(const std::string& box, const CrashGossip& gossip)> on_gossip;
    // Takes the promises to refused callers that are due to be sent, and called with one from a
    // peer (overload/return_book.h).
    std::function<std::vector<ReturnPromise>()> take_promises;
    std::function<void(const ReturnPromise& promise)> on_promise;
    // Called with an entry of the peers' topic about a suspect in quarantine.
    std::function<void(const Suspect& suspect, const std::string& value)> quarantine_record;
    // Called when gateways are first known, and after each change of them.  Not complete: other
    // gateways may just be writing their entries.
    std::function<void(bool are_complete)> on_gateways_changed;
    // When this gateway was last shown that nothing newer existed in the operator's topic than what
    // it has read, and called when a peer's note shows the same of the topic up to `offset`.
    std::function<Time()> topic_proved_at;
    std::function<void(Time at, uint64_t offset)> on_topic_proved;
    // The same for the engine list.
    std::function<Time()> engines_proved_at;
    std::function<void(Time at, uint64_t offset)> on_engines_proved;
    // Called when what was read of the peers' topic has changed or has been proved.
    std::function<void()> on_topic_changed;
    // Called with the entry of the peers' topic that names the settled epoch of the store.
    std::function<void(const std::string& value)> settled_epoch_record;
    // The work that callers have lately asked of this gateway (overload/work_tally.h), and called
    // with the sums of a peer, from the datagram with this incarnation and sequence number.
    std::function<std::map<WorkKey, WorkSums>(Time now)> work_to_send;
    std::function<void(const LoadDigest& digest, Time now)> on_work;
  };

  LoadExchange(EventLoop* event_loop, const GatewaySettings& settings, uint64_t own_incarnation,
               Fleet* shared_fleet, EventLog* event_log, StoreRecovery* store_recovery,
               Hooks exchange_hooks);

  // Starts receiving datagrams at `port`, which the kernel chooses if it is 0, and following
  // the peers' topic.
  absl::Status Start(uint16_t port);

  // Sends the loads that have changed since they were last sent.  Called immediately after a
  // dispatch, so that peers take the new work into account.
  void SendLoads(Time now);
  // Sends pending crash gossip, and load changes once per kSendInterval.  Call it often.
  void Tick(Time now);

  // Handles the store's return from an older copy: this gateway's entry is written again if the
  // topic lacks it.
  void OnStoreReturn() { this->is_registered = false; }

  // Sends each neighbour a note on how current the configuration is.  Called in every refresh
  // round and immediately after a revalidation.
  void SendFreshness(Time now);

  // Where this gateway reads the peers' topic from, and what it has read of it.
  void SetPlace(ReaderPlace place) { this->follower.SetPlace(std::move(place)); }
  const TopicState& topic_state() const { return this->follower.state(); }
  uint64_t peer_reads() const { return this->follower.peer_reads(); }

  // The other gateways.
  std::vector<GatewayName> Gateways() const { return this->directory.Names(); }
  // The address of the gateway on this box; empty if it is unknown.
  std::optional<SocketAddress> AddressOf(const std::string& box) const;

  // The number of known gateways, without this one.
  size_t peers() const { return this->directory.size(); }
  // The number of home cell members that the last round addressed, without this gateway.
  size_t neighbours() const { return this->neighbour_count; }
  // Since the process started: datagrams sent, their bytes, datagrams received, and cell
  // members to which a round's datagrams were not sent because the cell is large.
  uint64_t datagrams_sent() const { return this->sent; }
  uint64_t bytes_sent() const { return this->sent_bytes; }
  uint64_t datagrams_received() const { return this->received; }
  uint64_t deferred_peers() const { return this->directory.deferred(); }
  uint64_t store_calls() const { return this->follower.calls() + this->registrar.calls(); }

 private:
  std::string OwnEntry() const;
  Duration PauseAfterFirstRead();
  void ReportGateways();
  Duration RandomDelayAfterReturn();
  void RegisterOnce();
  void Register();
  void OnPeerRecords(const std::vector<platform::KeyedRecord>& records);
  void OnPeerRecord(const platform::KeyedRecord& record);
  void OnDatagram(std::string_view datagram);
  bool IsCurrentEpoch(const LoadDigest& digest) const;
  void OnStoreState(const LoadDigest& digest);
  void OnFreshnessNote(const LoadDigest& digest);
  void OnProofs(const LoadDigest& digest);
  void OnGossip(const LoadDigest& digest);
  void SendPendingGossip(Time now);
  void SendGossip(const Peer& peer, CrashGossip gossip, Time now);
  LoadDigest NewDigest(Time now);
  std::map<std::string, EngineLoad> TakeUnsent(bool all, Time now);
  std::vector<const Peer*> Neighbours(Time now);
  const std::vector<const Peer*>& HomeMembers(Time now);
  std::vector<const Peer*> ReceiversOfFreshness(Time now);
  std::vector<const Peer*> GatewaysOfEngine(const std::string& engine, Time now);
  template <typename Entry>
  void SendToCells(const std::map<std::string, Entry>& entries,
                   std::map<std::string, Entry> LoadDigest::*field, Time now);
  template <typename Key, typename Entry>
  void SendInParts(std::map<Key, Entry> entries, std::map<Key, Entry> LoadDigest::*field,
                   const std::vector<const Peer*>& to, Time now);
  void SendWork(Time now);
  void SendOffers(Time now);
  void SendPromises(Time now);
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
  // Whether this process has waited for the entries of gateways that started at the same time.
  bool has_waited_for_others = false;
  bool gateways_reported = false;
  Duration registration_pause;
  TopicFollower follower;
  PeerDirectory directory;
  // Whether the directory has changed since the fleet was last given its names.
  bool peers_changed = false;
  // Whether an entry has been read since the gateways were last reported.
  bool topic_changed = false;
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

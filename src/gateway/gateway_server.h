// The gateway process: callers' connections, the store's topics, the operators'
// pages and the stop, all on one event loop.
//
//   GatewayServer server(&loop, settings, seed);
//   absl::Status status = server.Start();
//   loop.Run();
//
// One thread does everything: an event that is passed on costs one read and one
// write, and the core's state needs no lock.

#ifndef GULLWARD_GATEWAY_GATEWAY_SERVER_H_
#define GULLWARD_GATEWAY_GATEWAY_SERVER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/config_from_peers.h"
#include "gateway/config_revalidator.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_list_copy.h"
#include "gateway/exchange.h"
#include "gateway/gateway_state.h"
#include "gateway/load_exchange.h"
#include "gateway/operator_pages.h"
#include "gateway/settled_epoch_writer.h"
#include "gateway/topic_follower.h"
#include "transport/tcp_listener.h"

namespace gullward {

class GatewayServer {
 public:
  // How long one read of the engines' list waits at the store for a change, where few
  // gateways share the watch; it bounds how late a store that has gone silent is noticed.
  static constexpr Duration kEngineListWait = seconds(5);

  GatewayServer(EventLoop* event_loop, const GatewaySettings& gateway_settings,
                uint64_t random_seed);

  absl::Status Start();

  // Finishes what is under way and then stops the loop.
  void DrainAndStop();

  // Whether the balancer may send callers here.
  bool IsReady() const;

  // The engines that this process has set aside by its own experience.
  std::set<std::string> SetAside() const { return this->state.fleet.SetAsideEngines(Now()); }

  // Where callers connect; of the kernel's choice if the settings say port 0.
  uint16_t callers_port() const { return this->callers_listener.port(); }
  uint16_t ready_port() const { return this->ready_listener.port(); }

  // Gateways known besides this one.
  size_t peers() const { return this->load_exchange.peers(); }

  // Engines that may get new work.
  size_t UsableEngines() const { return this->state.fleet.directory().Usable().size(); }

  // Whether the list has an engine of that id.
  bool HasEngine(const std::string& id) const {
    return this->state.fleet.directory().Find(id) != nullptr;
  }

  // Engines that have said that they leave.
  size_t engines_leaving() const { return this->state.fleet.notices().leaving(); }

  // Contents that are refused since they end engines.
  size_t quarantined() const { return this->crash_watch.quarantine().quarantined(); }

  // Contents under which an engine has ended unplanned.
  size_t suspects() const { return this->crash_watch.quarantine().suspects(); }

  // Entries of the engines' list that could not be read, since the process began.
  uint64_t unreadable_entries() const { return this->state.counters.entries_unreadable; }

  // Engines seen to start again under their id, since the process began.
  uint64_t engine_restarts() const { return this->state.counters.engine_restarts; }

  // The settings file has changed.
  void Reload(const GatewaySettings& changed);

 private:
  struct Caller {
    std::shared_ptr<CallerChannel> channel;
    std::shared_ptr<Exchange> exchange;
  };

  void OnCaller(int fd);
  void OnRequest(uint64_t caller_id, CallerRequest request);
  void OnMalformed(uint64_t caller_id, ResultCode code);
  void OnCallerGone(uint64_t caller_id);

  void OnConfigRecord(const platform::KeyedRecord& record);
  void OnEngineRecords(const std::vector<platform::KeyedRecord>& records);
  void OnEngineRecord(const platform::KeyedRecord& record);
  std::optional<EngineRecord> ReadEngine(const platform::KeyedRecord& record);
  void RecordRestart(const EngineRecord& engine);
  Time KeepLapsedUntil() const;
  TopicFollower::Hooks LoggingHooks(const std::string& topic);
  TopicFollower::Hooks ConfigFollowerHooks();
  TopicFollower::Hooks EngineFollowerHooks();
  EngineListCopy::Hooks EngineListCopyHooks();
  uint64_t ConfigVersion() const;
  LoadExchange::Hooks LoadExchangeHooks();
  CrashWatch::Options CrashWatchOptions() const;
  CrashWatch::Hooks CrashWatchHooks();
  ConfigFromPeers::Hooks ConfigFromPeersHooks();
  ConfigRevalidator::Hooks RevalidatorHooks();
  OperatorPageHooks PageHooks() const;
  bool OnValidated(Time sent);
  void OnStoreReturn();
  void OnPeerEpoch(uint64_t epoch, bool is_settled);
  void OnNewerVersion(uint64_t version, const Peer& peer);
  bool ShouldFetchConfig(const Peer& peer, Time now) const;
  void OnPeerEngineListPosition(uint64_t offset);

  // Looks at every clock.  The steps are in the order in which it takes them, the
  // last two only now and then.
  void Tick();
  void TickExchanges(Time now);
  void LogKeyFreshness(Time now);
  void TickConnections(Time now);
  void TickFleet(Time now);
  Duration RandomEngineListWait();
  void StartReadingEngines();
  Duration RandomReadDelay();
  void StopAccepting();
  void StopWhenIdle(Time now);
  // The pages that operators read: metrics as text, the process's state as JSON.
  std::string Metrics() const;
  std::string StateDump() const;

  EventLoop* loop;
  EventLog log;
  GatewayState state;
  StoreRecovery store_recovery;
  CrashWatch crash_watch;
  TopicFollower config_follower;
  TopicFollower engine_follower;
  EngineListCopy engine_list_copy;
  SettledEpochWriter settled_epoch_writer;
  LoadExchange load_exchange;
  ConfigRevalidator config_revalidator;
  TcpListener callers_listener;
  TcpListener ready_listener;
  TcpListener metrics_listener;
  std::map<uint64_t, Caller> callers;
  HttpPages operator_pages;
  ConfigFromPeers config_from_peers;
  uint64_t next_id = 1;
  uint64_t ticks = 0;
  bool engines_known = false;
  // Since the copy of the list was last told of it.
  bool engine_list_changed = false;
  bool keys_were_fresh = false;
  bool stopping = false;
  // The newer version that a peer told of, and since when.
  uint64_t newer_version = 0;
  Time behind_since{};
  Time last_catch_up{};
  Time stop_began{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_GATEWAY_SERVER_H_

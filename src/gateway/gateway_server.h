// The gateway process.  It accepts callers' connections, follows the store's topics,
// exchanges state with peers, serves the operators' pages and shuts down, all on one event
// loop.
//
//   GatewayServer server(&loop, settings, seed);
//   absl::Status status = server.Start();
//   loop.Run();
//
// The process has a single thread, so a forwarded stream event costs one read and one write,
// and the shared state needs no lock.

#ifndef GULLWARD_GATEWAY_GATEWAY_SERVER_H_
#define GULLWARD_GATEWAY_GATEWAY_SERVER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/caller_handoff.h"
#include "gateway/config_from_peers.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_list_copy.h"
#include "gateway/exchange.h"
#include "gateway/gateway_state.h"
#include "gateway/load_exchange.h"
#include "gateway/operator_pages.h"
#include "gateway/settled_epoch_writer.h"
#include "gateway/topic_follower.h"
#include "gateway/topic_relay.h"
#include "gateway/topic_revalidator.h"
#include "serving/evacuations.h"
#include "transport/tcp_listener.h"

namespace gullward {

// How long the follower of the engine list waits for more changes after one.
Duration EngineBatchDelay(const ReaderPlace& place, Duration leaving_bound);

class GatewayServer {
 public:
  // How long one read of the engine list waits at the store for a change while the home cell
  // has few gateways.  The value bounds the delay until a silent store is detected.
  static constexpr Duration kEngineListWait = seconds(5);

  GatewayServer(EventLoop* event_loop, const GatewaySettings& gateway_settings,
                uint64_t random_seed);

  // Listens for callers, operators and peers, and starts to read the store.  Returns an error if
  // a socket cannot be opened.  Only the socket on which peers read topics may fail: that is
  // logged.
  absl::Status Start();

  // Reports this gateway as not ready, but serves new callers until the balancer has reacted.
  // After that it takes no new callers, refuses requests that no engine has, finishes the others
  // and stops the loop.  Requests that outlast the stop grace of the settings get a failure as
  // their answer.
  void DrainAndStop();

  // Whether the load balancer may send callers to this gateway.
  bool IsReady() const;

  // The engines that this gateway has set aside because of failures that it saw itself.
  std::set<std::string> SetAside() const { return this->state.fleet.SetAsideEngines(Now()); }

  // The number of engines that are clearly slower than published (overload/engine_pace.h).
  size_t slow_engines() const { return this->state.fleet.paces().slow(Now()); }

  // The version of the configuration in force; 0 if none has been read.
  uint64_t ConfigVersion() const;

  // The port for callers.  The kernel chooses it if the settings name port 0.
  uint16_t callers_port() const { return this->callers_listener.port(); }
  uint16_t ready_port() const { return this->ready_listener.port(); }

  // Whether this gateway reads the topics from the store, and not from a peer.
  bool ReadsStore() const { return this->config_follower.place().reads_store; }

  // Calls to the store since the process started.
  uint64_t store_calls() const;

  // The number of known gateways, without this one.
  size_t peers() const { return this->load_exchange.peers(); }

  // The number of engines that may get new work.
  size_t UsableEngines() const { return this->state.fleet.directory().Usable().size(); }

  // Whether the engine list has an entry with this id.
  bool HasEngine(const std::string& id) const {
    return this->state.fleet.directory().Find(id) != nullptr;
  }

  // The number of engines that have announced that they are leaving.
  size_t engines_leaving() const { return this->state.fleet.notices().leaving(); }

  // The number of request contents that are refused because they crash engines.
  size_t quarantined() const { return this->crash_watch.quarantine().quarantined(); }

  // The number of request contents that were running when an engine crashed.
  size_t suspects() const { return this->crash_watch.quarantine().suspects(); }

  // The data centres that the operator evacuates, as far as this gateway knows.
  const std::set<std::string>& EvacuatedDataCentres() const { return this->evacuated; }

  // Entries of the engine list that could not be parsed, since the process started.
  uint64_t unreadable_entries() const { return this->state.counters.entries_unreadable; }

  // Engine restarts under an unchanged id that were observed, since the process started.
  uint64_t engine_restarts() const { return this->state.counters.engine_restarts; }

  // Applies a changed settings file.  Only the stop grace takes effect without a restart.
  void Reload(const GatewaySettings& changed);

 private:
  struct Caller {
    std::shared_ptr<CallerChannel> channel;
    std::shared_ptr<Exchange> exchange;
  };

  bool HandsOff(Time now);
  void OnCaller(int fd);
  CallerChannel::Hooks CallerHooks(uint64_t caller_id);
  void SetConnectionLimits();
  bool HasPlaceForCaller();
  bool MakeRoom(uint64_t for_caller, bool is_large);
  void OnRequest(uint64_t caller_id, CallerRequest request);
  void OnMalformed(uint64_t caller_id, ResultCode code);
  void OnCallerGone(uint64_t caller_id);

  void OnOperatorRecords(const std::vector<platform::KeyedRecord>& records);
  void OnOperatorRecord(const platform::KeyedRecord& record);
  void OnConfigRecord(const platform::KeyedRecord& record);
  void LogInvalidRanks();
  std::optional<std::string> ReadEvacuation(const platform::KeyedRecord& record);
  void ApplyEvacuations();
  void OnEngineRecords(const std::vector<platform::KeyedRecord>& records);
  void OnEngineRecord(const platform::KeyedRecord& record);
  std::optional<EngineRecord> ReadEngine(const platform::KeyedRecord& record);
  void RecordRestart(const EngineRecord& engine);
  Time KeepLapsedUntil() const;
  void OnGatewaysChanged(bool are_complete);
  void StartReading();
  void OnPeerConnection(int fd);
  void OnPeerRequest(const std::string& path, const HttpPages::Answer& answer);
  TopicFollower::Hooks LoggingHooks(const std::string& topic);
  TopicFollower::Hooks ConfigFollowerHooks();
  TopicFollower::Hooks EngineFollowerHooks();
  EngineListCopy::Hooks EngineListCopyHooks();
  LoadExchange::Hooks LoadExchangeHooks();
  CrashWatch::Options CrashWatchOptions() const;
  CrashWatch::Hooks CrashWatchHooks();
  ConfigFromPeers::Hooks ConfigFromPeersHooks();
  TopicRevalidator::Hooks ConfigRevalidatorHooks();
  TopicRevalidator::Hooks EngineRevalidatorHooks();
  OperatorPageHooks PageHooks() const;
  bool OnValidated(Time sent);
  void OnStoreReturn();
  void OnPeerEpoch(uint64_t epoch, bool is_settled);
  void OnNewerVersion(uint64_t version, const Peer& peer);
  bool ShouldFetchConfig(const Peer& peer, Time now) const;
  void OnPeerOperatorPosition(uint64_t offset);
  void OnPeerEngineListPosition(uint64_t offset);
  bool CatchUp(TopicFollower* follower, uint64_t peer_offset, const char* event);

  // Checks all timers.  The functions below are listed in the order in which Tick calls them;
  // TickConnections and TickFleet run only once in several ticks.
  void Tick();
  void TickExchanges(Time now);
  Time LastValidation() const;
  void RevalidateEngines(Time now);
  void LogKeyFreshness(Time now);
  void NoteStartSteps(Time now);
  void TickConnections(Time now);
  void TickFleet(Time now);
  void LogPaces(Time now);
  Duration RandomEngineListWait();
  void StartReadingEngines();
  Duration RandomReadDelay();
  void StopAccepting();
  void RejectUploads();
  std::vector<std::shared_ptr<Exchange>> RunningExchanges();
  void EndExchanges();
  void StopWhenIdle(Time now);
  // The operators' pages: metrics as text, and the state of the process as JSON.
  std::string Metrics() const;
  std::string StateDump() const;

  EventLoop* loop;
  EventLog log;
  GatewayState state;
  StoreRecovery store_recovery;
  CrashWatch crash_watch;
  CallerHandoff caller_handoff;
  TopicFollower config_follower;
  TopicFollower engine_follower;
  EngineListCopy engine_list_copy;
  SettledEpochWriter settled_epoch_writer;
  LoadExchange load_exchange;
  TopicRevalidator config_revalidator;
  TopicRevalidator engine_revalidator;
  TcpListener callers_listener;
  TcpListener ready_listener;
  TcpListener metrics_listener;
  TcpListener peers_listener;
  std::map<uint64_t, Caller> callers;
  size_t max_callers = 0;
  HttpPages operator_pages;
  HttpPages peer_pages;
  ConfigFromPeers config_from_peers;
  TopicRelay topic_relay;
  uint64_t next_id = 1;
  uint64_t ticks = 0;
  Evacuations evacuations;
  // The data centres that were last handed to the fleet as evacuated.
  std::set<std::string> evacuated;
  bool is_reading = false;
  bool engines_known = false;
  // Whether the engine list has changed since it was last handed to engine_list_copy.
  bool engine_list_changed = false;
  bool keys_were_fresh = false;
  bool stopping = false;
  // When uploads were last rejected because of the stop.
  Time last_rejection{};
  // Whether requests were left at the end of the stop grace.
  bool ended_at_stop = false;
  // The newest configuration version that a peer has announced and this gateway lacks, and
  // when its first report arrived.
  uint64_t newer_version = 0;
  Time behind_since{};
  Time last_catch_up{};
  Time stop_began{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_GATEWAY_SERVER_H_

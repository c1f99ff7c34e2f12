// Connects an EndpointCore to the network: frames from entries, HTTP calls to the engines or the
// plain service, and the platform's log.  Everything runs on one event loop.
//
//   EndpointServer server(&loop, settings, incarnation);
//   absl::Status status = server.Start();
//   loop.Run();

#ifndef GULLWARD_ENDPOINT_ENDPOINT_SERVER_H_
#define GULLWARD_ENDPOINT_ENDPOINT_SERVER_H_

#include <map>
#include <memory>
#include <string>

#include "endpoint/endpoint_core.h"
#include "endpoint/engine_client.h"
#include "endpoint/settings.h"
#include "log/config_follower.h"
#include "log/log_client.h"
#include "process/admin_server.h"
#include "transport/frame_server.h"

namespace gullward {

class EndpointServer {
 public:
  EndpointServer(EventLoop* loop, const EndpointSettings& settings, uint64_t incarnation);
  ~EndpointServer();

  // Listens for entries and operators, and starts to follow the log and to poll the engines.
  absl::Status Start();

  // Returns waiting attempts to their entries, completes running attempts and then stops the loop.
  // A second call stops the loop at once.
  void DrainAndStop();

 private:
  struct Peer {
    std::shared_ptr<FrameConnection> connection;
    // Whether the entry has sent Hello.
    bool has_greeted = false;
  };

  void OnOpened(FrameConnection* connection);
  void OnReceived(FrameConnection* connection, const Message& message);
  void OnClosed(FrameConnection* connection, const absl::Status& reason);
  PeerId IdOf(FrameConnection* connection) const;
  void OnConfigChanged();
  void SendHeartbeats();
  void PerformActions();
  void Perform(const SendToPeer& action);
  void Perform(const StartOnEngine& action);
  void Perform(const FreeOnEngine& action);
  void Perform(const ListAllocations& action);
  void Perform(const CallService& action);
  void Perform(const CancelService& action);
  std::string StateJson() const;
  std::string MetricsBody() const;
  void StopWhenIdle();

  EventLoop* loop;
  EndpointSettings settings;
  uint64_t incarnation;
  HttpClient client;
  LogClient log;
  ConfigFollower follower;
  EndpointCore core;
  EngineClient engines;
  FrameServer server;
  AdminServer admin;
  std::map<PeerId, Peer> peers;
  // Calls of the plain service under way, by attempt, as HttpClient numbers them.
  std::map<AttemptId, uint64_t> service_calls;
  PeerId next_peer = 1;
  uint64_t bad_frames = 0;
  // When to stop even if attempts are still running.
  Time stop_at;
  bool stopping = false;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_ENDPOINT_SERVER_H_

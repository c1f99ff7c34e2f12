// The shell of an entry process: HTTP to callers, frames to endpoint boxes, the
// platform's log and box list, all tied to an EntryCore on one event loop.
//
//   EntryServer server(&loop, settings, incarnation);
//   absl::Status status = server.Start();
//   loop.Run();
//
// Bodies are parsed on the HTTP server's threads and only then handed to the
// loop, so that a large one does not hold up the others.

#ifndef GULLWARD_ENTRY_ENTRY_SERVER_H_
#define GULLWARD_ENTRY_ENTRY_SERVER_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "entry/box_connections.h"
#include "entry/openai_api.h"
#include "entry/settings.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "log/box_list_client.h"
#include "log/config_follower.h"
#include "log/log_client.h"
#include "process/admin_server.h"
#include "request/entry_core.h"
#include "transport/event_loop.h"

namespace gullward {

class EntryServer {
 public:
  EntryServer(EventLoop* loop, const EntrySettings& settings, uint64_t incarnation);
  ~EntryServer();

  // Listens and begins to follow the log and the box list.
  absl::Status Start();

  // Refuses new requests, waits for those under way and then stops the loop.
  void DrainAndStop();

 private:
  // A caller whose answer is under way.
  struct Caller {
    std::shared_ptr<HttpExchange> exchange;
    ApiAnswer answer;
    bool stream = false;
    bool stream_usage = false;
    bool service = false;
    bool started = false;
    std::string text;
  };

  // On the HTTP threads.
  void HandleHttp(const std::shared_ptr<HttpExchange>& exchange);
  void HandleApi(const std::shared_ptr<HttpExchange>& exchange, ApiKind kind);
  void HandleService(const std::shared_ptr<HttpExchange>& exchange);
  void RespondError(const std::shared_ptr<HttpExchange>& exchange, ResultCode code,
                    const std::string& detail);
  static ApiError ReadHeaders(const HttpExchange& exchange, RequestInput* input);

  // On the loop.
  // `error` is what the HTTP threads found wrong; it is told only to a caller
  // whose key is good.
  void Submit(Caller caller, RequestInput input, const ApiError& error);
  void ListModels(const std::shared_ptr<HttpExchange>& exchange);
  void OnBoxMessage(const std::string& box, const Message& message);
  void OnConfigChanged();
  void ReadClaims();
  void FetchBoxList();
  void PerformActions();
  void Perform(const SendToBox& action);
  void Perform(const DeliverText& action);
  void Perform(const FinishAnswer& action);
  void Perform(const FailAnswer& action);
  void Perform(const AppendClaims& action);
  std::string StateJson() const;
  std::string MetricsBody() const;
  void StopWhenIdle();

  EventLoop* loop;
  EntrySettings settings;
  uint64_t incarnation;
  HttpClient client;
  LogClient log;
  BoxListClient box_list;
  ConfigFollower follower;
  EntryCore core;
  BoxConnections boxes;
  AdminServer admin;
  HttpServer http;
  std::map<RequestId, Caller> callers;
  std::set<std::string> listed_leaving;
  size_t listed_entries = 1;
  int64_t next_claim = 0;
  Time stop_at;
  bool stopping = false;
};

}  // namespace gullward

#endif  // GULLWARD_ENTRY_ENTRY_SERVER_H_

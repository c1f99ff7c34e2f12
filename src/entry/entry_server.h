// Connects an EntryCore to the network: HTTP with callers, frames with endpoint boxes, and the
// platform's log and list of boxes.  EntryCore runs on one event loop.
//
//   EntryServer server(&loop, settings, incarnation);
//   absl::Status status = server.Start();
//   loop.Run();
//
// Request bodies are parsed on the threads of the HTTP server and then passed to the event loop, so
// that a large body does not delay other requests.

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

  // Listens for callers and operators, and starts to follow the log and the list of boxes.
  absl::Status Start();

  // Refuses new requests, waits until the requests in flight have ended, and then stops the loop.
  // A second call stops the loop at once.
  void DrainAndStop();

 private:
  // A caller whose answer is not complete.
  struct Caller {
    std::shared_ptr<HttpExchange> exchange;
    ApiAnswer answer;
    // Whether the answer is sent as a stream of events, and whether it ends with the token counts.
    bool is_stream = false;
    bool includes_usage = false;
    // Whether the request is a call of a plain service.
    bool is_service = false;
    // Whether the stream's HTTP head has been sent.
    bool has_started = false;
    // The answer so far, if it is not sent as a stream.
    std::string text;
  };

  // These run on the threads of the HTTP server.
  void HandleHttp(const std::shared_ptr<HttpExchange>& exchange);
  void HandleApi(const std::shared_ptr<HttpExchange>& exchange, ApiKind kind);
  void HandleService(const std::shared_ptr<HttpExchange>& exchange);
  void RespondError(const std::shared_ptr<HttpExchange>& exchange, ResultCode code,
                    const std::string& detail);
  static ApiError ReadHeaders(const HttpExchange& exchange, RequestInput* input);

  // All others run on the event loop.

  // `error` is the result of the checks on the HTTP threads.  It is returned only to a caller with
  // a valid key.
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
  // From the platform's list: the boxes that are leaving, and the number of running entries.
  std::set<std::string> listed_leaving;
  size_t listed_entries = 1;
  // Offset of the next record to read from the stream of claims.
  int64_t next_claim_offset = 0;
  // When to stop even if requests are still in flight.
  Time stop_at;
  bool stopping = false;
};

}  // namespace gullward

#endif  // GULLWARD_ENTRY_ENTRY_SERVER_H_

// An HTTP server whose answers may come later, in parts, from another thread.
//
// libmicrohttpd reads requests on its own threads.  Once the whole body is in,
// the handler is called with an HttpExchange and returns at once; whoever holds
// the exchange answers it when the answer is there:
//
//   HttpServer server;
//   server.Start(options, [&](std::shared_ptr<HttpExchange> exchange) {
//     loop.Post([exchange] { exchange->Respond({200, "text/plain", {}, "hi"}); });
//   });
//
// While an answer is awaited the connection is suspended: it costs no thread.
// A suspended connection is not watched by the library, so SweepClosed, called
// now and then, asks the kernel which callers have gone and runs their `gone`
// hooks.  A caller that has shut down its sending side counts as gone.

#ifndef GULLWARD_HTTP_HTTP_SERVER_H_
#define GULLWARD_HTTP_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "base/result_code.h"
#include "http/header_list.h"
#include "transport/socket_address.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace gullward {

struct HttpResponse {
  int status = 200;
  std::string content_type;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// One request and its answer.  The request's fields do not change once the
// handler has been called; the members that answer are safe from any thread.
class HttpExchange {
 public:
  std::string method;
  std::string path;
  // Query parameters, decoded.
  std::map<std::string, std::string> query;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // kOk, or why the body was not kept (kBodyTooLarge).
  ResultCode body_result = ResultCode::kOk;

  // The value of a header, or "".
  std::string Header(const std::string& lower_case_name) const;

  // Runs `hook` once if the caller goes away before the answer is complete; at
  // once if it has gone already.  The hook runs on a thread of the server.
  void OnGone(std::function<void()> hook);

  // Answers whole.  Later calls do nothing.
  void Respond(HttpResponse response);

  // Begins an answer in parts; its body is empty so far.
  void StartStream(int status, const std::string& content_type, const HttpHeaders& headers);

  // Adds a part.  Returns the bytes that wait for the caller to read them.
  size_t Write(const std::string& part);

  // Ends an answer in parts.
  void FinishStream();

  // Breaks the connection off, so that the caller sees an incomplete answer.
  void Abort();

 private:
  friend class HttpServer;
  friend struct HttpServerCallbacks;

  void ResumeLocked();

  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  int fd = -1;
  size_t discarded_bytes = 0;
  bool handed_over = false;
  bool suspended = false;
  bool responded = false;
  bool streaming = false;
  bool stream_finished = false;
  bool aborted = false;
  bool completed = false;
  bool answered_whole = false;
  HttpResponse response;
  std::string stream_buffer;
  std::function<void()> gone;
};

class HttpServer {
 public:
  struct Options {
    SocketAddress address;
    // A longer body is read, thrown away and flagged with kBodyTooLarge.
    size_t max_body_bytes = 32u << 20;
    unsigned threads = 2;
    // A connection on which nothing moves for so long is closed.
    unsigned idle_timeout_seconds = 30;
    unsigned max_connections = 4096;
  };
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens and serves until Stop.  The handler runs on the server's threads.
  absl::Status Start(const Options& options, Handler handler);

  // Breaks off all exchanges and joins the threads.
  void Stop();

  // Finds callers that have closed while their answer was awaited.
  void SweepClosed();

  uint16_t port() const { return this->bound_port; }

 private:
  friend struct HttpServerCallbacks;

  Options options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  uint16_t bound_port = 0;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<HttpExchange>> open_exchanges;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_HTTP_SERVER_H_

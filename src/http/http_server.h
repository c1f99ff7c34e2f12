// An HTTP server whose answers may be given later, in parts and from any thread.
//
// libmicrohttpd reads requests on its own threads.  When the whole body has arrived, the
// handler is called with an HttpExchange.  The handler must not block; it keeps the
// exchange, which is answered as soon as the answer is available:
//
//   HttpServer server;
//   server.Start(options, [&](std::shared_ptr<HttpExchange> exchange) {
//     loop.Post([exchange] { exchange->Respond({200, "text/plain", {}, "hi"}); });
//   });
//
// While an answer is awaited the connection is suspended and occupies no thread.  The
// library does not watch a suspended connection, so SweepClosed must be called
// periodically: it asks the kernel which callers have disconnected and runs their OnGone
// hooks.  A caller that has shut down its sending side counts as disconnected.

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

// One request and its answer.  The request's fields do not change once the handler has
// been called.  The member functions are safe to call from any thread.
class HttpExchange {
 public:
  std::string method;
  std::string path;
  // Query parameters, decoded.
  std::map<std::string, std::string> query;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // kOk, or kBodyTooLarge if the body exceeded Options::max_body_bytes; `body` is empty then.
  ResultCode body_result = ResultCode::kOk;

  // The value of a header, or "" if the request does not have it.
  std::string Header(const std::string& lower_case_name) const;

  // Runs `hook` once if the caller disconnects before the answer is complete.  The hook
  // runs on a thread of the server, on the thread that calls SweepClosed, or, if the
  // exchange has already ended or been aborted, at once on the calling thread.
  void OnGone(std::function<void()> hook);

  // Sends the whole answer.  Does nothing if an answer has been started already.
  void Respond(HttpResponse response);

  // Starts an answer whose body is sent in parts by Write.  Does nothing if an answer has
  // been started already.
  void StartStream(int status, const std::string& content_type, const HttpHeaders& headers);

  // Adds a part to the body.  Returns the number of bytes that are buffered here because
  // the caller has not read them yet.
  size_t Write(const std::string& part);

  // Ends an answer that StartStream has started.
  void FinishStream();

  // Closes the connection, so that the caller receives an incomplete answer.
  void Abort();

 private:
  friend class HttpServer;
  friend struct HttpServerCallbacks;

  void ResumeLocked();

  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  int fd = -1;
  size_t discarded_bytes = 0;
  // The handler has been called.
  bool handler_called = false;
  bool suspended = false;
  bool responded = false;
  bool streaming = false;
  bool stream_finished = false;
  bool aborted = false;
  // The library has ended the request.
  bool completed = false;
  // The whole answer has been sent.
  bool answered_whole = false;
  HttpResponse response;
  std::string stream_buffer;
  std::function<void()> gone;
};

class HttpServer {
 public:
  struct Options {
    SocketAddress address;
    // A longer body is discarded, and HttpExchange::body_result is kBodyTooLarge.
    size_t max_body_bytes = 32u << 20;
    unsigned threads = 2;
    // A connection without any traffic for this time is closed.
    unsigned idle_timeout_seconds = 30;
    unsigned max_connections = 4096;
  };
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens and serves until Stop.  The handler runs on the server's threads.  Returns an
  // error if the address cannot be bound or the library does not start.
  absl::Status Start(const Options& options, Handler handler);

  // Aborts all exchanges and joins the threads.
  void Stop();

  // Finds callers that have disconnected while their answer was awaited, runs their
  // OnGone hooks and aborts their exchanges.
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

// Makes HTTP calls without blocking the caller.
//
// One thread runs libcurl's multi interface for all calls of a client.  The hooks of a
// call run on the event loop that was passed to the constructor, in the order of the
// events, so they may call the decision core without a lock.
//
//   HttpClient client(&loop);
//   uint64_t call = client.Start({.method = "GET", .url = url, .timeout = seconds(5)},
//                                {.done = [](const HttpResult& result) { ... }});
//   client.Cancel(call);           // its hooks are not called any more
//
// The heads of answers are also read by ResponseParser, which is stricter than libcurl and bounds
// them: a call whose answer it calls malformed or too large fails.
//
// A call whose answer's body is longer than max_body_bytes fails, unless the call has a
// data hook and the answer's status is 2xx: then the body is not collected.

#ifndef GULLWARD_HTTP_HTTP_CLIENT_H_
#define GULLWARD_HTTP_HTTP_CLIENT_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "http/http_server.h"
#include "transport/event_loop.h"

namespace gullward {

struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  // Limit for the whole call, from connecting to the end of the answer; zero means none.
  Duration timeout = seconds(10);
  // Largest body that is collected from the answer.
  size_t max_body_bytes = 64u << 20;
  // Whether the call may be sent twice.  libcurl sends a call again if a reused
  // connection turns out to be closed, although the server may have acted on the first
  // one; a call that is not repeatable is therefore sent on a new connection.
  bool repeatable = true;
};

struct HttpResult {
  // Whether a whole answer arrived, whatever its status.
  bool complete = false;
  // False if no connection was established, so that no byte of the call was sent.
  bool connected = false;
  // HTTP status; 0 if no valid head of a final answer arrived.
  int status = 0;
  std::string content_type;
  std::string body;
  // Description of the failure; empty if the answer is complete.
  std::string error;
};

class HttpClient {
 public:
  struct Hooks {
    // If set, it is called with each part of the body of a 2xx answer as the part
    // arrives, and HttpResult::body stays empty.
    std::function<void(const std::string&)> data;
    // Called once, after all calls of `data`.
    std::function<void(const HttpResult&)> done;
  };

  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call and returns its number for Cancel.  Loop thread only.
  uint64_t Start(HttpCall call, Hooks hooks);

  // Aborts a call; none of its hooks is called any more.  Does nothing if the number is
  // unknown, for example because the call has ended.  Loop thread only.
  void Cancel(uint64_t call);

 private:
  struct Transfer;

  static size_t ReceiveHeadLine(char* data, size_t size, size_t count, void* transfer);
  static size_t ReceiveBody(char* data, size_t size, size_t count, void* transfer);
  void RunThread();
  void ProcessCommands();
  void StartTransfer(std::unique_ptr<Transfer> transfer);
  void FinishTransfer(void* easy, int curl_result);

  EventLoop* loop;
  // Hooks of running calls.  Accessed on the loop's thread only.
  std::shared_ptr<std::unordered_map<uint64_t, Hooks>> hooks;
  uint64_t next_call = 1;

  void* multi = nullptr;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> to_start;
  std::vector<uint64_t> to_cancel;
  // Transfers by libcurl's easy handle.  Accessed on the client's thread only.
  std::map<void*, std::unique_ptr<Transfer>> running;
  std::thread thread;
};

// Makes one call on an event loop of its own and blocks until it has ended.  For command
// line tools and tests only: in a serving process it would block the event loop.
HttpResult CallAndWait(HttpCall call);

}  // namespace gullward

#endif  // GULLWARD_HTTP_HTTP_CLIENT_H_

// Makes HTTP calls without blocking the caller.
//
// One thread runs libcurl's multi interface for all calls of a process.  Hooks
// run on the event loop that the client was made with, in order, so the
// decision core can be called from them without a lock.
//
//   HttpClient client(&loop);
//   uint64_t call = client.Start({.method = "GET", .url = url, .timeout = seconds(5)},
//                                {.done = [](const HttpResult& result) { ... }});
//   client.Cancel(call);           // its hooks are not called any more
//
// Bounds: a body longer than max_body_bytes ends the call as failed, unless a
// data hook takes the parts as they come.

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
  // For the whole call; zero means no limit.
  Duration timeout = seconds(10);
  size_t max_body_bytes = 64u << 20;
  // Whether the call may be sent twice.  libcurl sends a call again when a kept
  // connection turns out to be closed, though the server may have acted on it;
  // a call that is not repeatable gets a connection of its own.
  bool repeatable = true;
};

struct HttpResult {
  // Whether a whole answer came, of whatever status.
  bool complete = false;
  // Whether a connection stood: if not, the server saw nothing of the call.
  bool connected = false;
  int status = 0;
  std::string content_type;
  std::string body;
  std::string error;
};

class HttpClient {
 public:
  struct Hooks {
    // Where set, gets the parts of a 2xx answer's body as they come, and the
    // result's body stays empty.
    std::function<void(const std::string&)> data;
    std::function<void(const HttpResult&)> done;
  };

  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call and gives it a number.  Loop thread only.
  uint64_t Start(HttpCall call, Hooks hooks);

  // Breaks a call off.  Loop thread only; an unknown number does nothing.
  void Cancel(uint64_t call);

 private:
  struct Transfer;

  static size_t TakeBody(char* data, size_t size, size_t count, void* transfer);
  void RunThread();
  void TakeCommands();
  void BeginTransfer(std::unique_ptr<Transfer> transfer);
  void FinishTransfer(void* easy, int curl_result);

  EventLoop* loop;
  // Hooks of running calls; touched on the loop's thread only.
  std::shared_ptr<std::unordered_map<uint64_t, Hooks>> hooks;
  uint64_t next_call = 1;

  void* multi = nullptr;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> to_begin;
  std::vector<uint64_t> to_cancel;
  // Touched on the client's thread only.
  std::map<void*, std::unique_ptr<Transfer>> running;
  std::thread thread;
};

// Makes one call on an event loop of its own and waits for its result: for
// command lines and tests, never for a serving process.
HttpResult CallAndWait(HttpCall call);

}  // namespace gullward

#endif  // GULLWARD_HTTP_HTTP_CLIENT_H_

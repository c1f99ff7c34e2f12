// Answers GET requests on accepted connections with pages that a handler produces on demand.
//
//   HttpPages pages(&loop, [](const std::string& path) { return HttpPage{...}; });
//   HttpPages later(&loop, [](const std::string& path, HttpPages::Answer answer) { ... });
//   listener.Listen(&loop, address, [&](int fd) { pages.Adopt(fd); });
//   pages.Tick(now);               // now and then
//
// The connections, what their requests take, and what they have not read of their answers are
// bounded, since anyone may connect.  A new connection replaces the one that has been idle for the
// longest time, so that a crowd of idle ones shuts nobody out.

#ifndef GULLWARD_GATEWAY_HTTP_PAGES_H_
#define GULLWARD_GATEWAY_HTTP_PAGES_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/caller_channel.h"

namespace gullward {

struct HttpPage {
  int status = 200;
  std::string reason = "OK";
  std::string type = "text/plain; charset=utf-8";
  std::string body;

  bool operator==(const HttpPage&) const = default;
};

HttpPage NotFound();

class HttpPages {
 public:
  using Handler = std::function<HttpPage(const std::string& path)>;
  // Sends the page that answers a request.  Has no effect after the connection has been closed.
  using Answer = std::function<void(const HttpPage& page)>;
  // Calls `answer` once, now or later.
  using AsyncHandler = std::function<void(const std::string& path, Answer answer)>;

  // What requests of all connections take together; one of any size is read.
  static constexpr size_t kMaxRequestBytes = 1 << 20;
  // Answers that have not been read, of all connections together.
  static constexpr size_t kMaxUnreadBytes = 16 << 20;

  HttpPages(EventLoop* event_loop, Handler page_maker);
  HttpPages(EventLoop* event_loop, AsyncHandler request_handler);

  // Bounds the connections from now on.  Those that are open stay open.
  void SetMaxConnections(size_t connections) { this->max_connections = connections; }

  // Takes over an accepted connection and answers its requests.
  void Adopt(int fd);

  // Checks the timers of each connection, and drops closed connections.
  void Tick(Time now);

  size_t connections() const { return this->channels.size(); }

 private:
  bool HasPlace();
  void Send(CallerChannel* channel, const HttpPage& page) const;
  size_t UnreadBytes() const;

  EventLoop* loop;
  size_t max_connections = 64;
  std::shared_ptr<RequestMemory> request_memory;
  AsyncHandler handler;
  std::vector<std::shared_ptr<CallerChannel>> channels;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_HTTP_PAGES_H_

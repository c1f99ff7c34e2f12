// Answers GET requests on accepted connections with pages that a handler produces on demand.
//
//   HttpPages pages(&loop, [](const std::string& path) { return HttpPage{...}; });
//   listener.Listen(&loop, address, [&](int fd) { pages.Adopt(fd); });
//   pages.Tick(now);               // now and then

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

  HttpPages(EventLoop* event_loop, Handler page_maker);

  // Takes over an accepted connection and answers its requests.
  void Adopt(int fd);

  // Checks the timers of each connection, and drops closed connections.
  void Tick(Time now);

  size_t connections() const { return this->channels.size(); }

 private:
  EventLoop* loop;
  Handler handler;
  std::vector<std::shared_ptr<CallerChannel>> channels;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_HTTP_PAGES_H_

// Answers GET requests on accepted connections with pages that are made when they are asked
// for.
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

  // Answers what is asked on an accepted connection.
  void Adopt(int fd);

  // Looks at the clock of each connection, and drops those that have closed.
  void Tick(Time now);

  size_t connections() const { return this->channels.size(); }

 private:
  EventLoop* loop;
  Handler handler;
  std::vector<std::shared_ptr<CallerChannel>> channels;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_HTTP_PAGES_H_

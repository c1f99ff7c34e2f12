// The pages that operators and the balancer read: metrics as text, the process's
// state as JSON, and whether the balancer may send callers here.
//
//   OperatorPages pages(&loop, {.metrics = ..., .state = ..., .is_ready = ...});
//   listener.Listen(&loop, address, [&](int fd) { pages.Adopt(fd); });
//   pages.Tick(now);               // now and then
//
//   GET /metrics, GET /state, GET /readyz

#ifndef GULLWARD_GATEWAY_OPERATOR_PAGES_H_
#define GULLWARD_GATEWAY_OPERATOR_PAGES_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/caller_channel.h"

namespace gullward {

class OperatorPages {
 public:
  // What the pages show, asked for with each request.
  struct Hooks {
    std::function<std::string()> metrics;
    std::function<std::string()> state;
    std::function<bool()> is_ready;
  };

  OperatorPages(EventLoop* event_loop, Hooks page_hooks);

  // Answers what is asked on an accepted connection.
  void Adopt(int fd);

  // Looks at the clock of each connection, and drops those that have closed.
  void Tick(Time now);

 private:
  void Answer(CallerChannel* channel, const CallerRequest& request);

  EventLoop* loop;
  Hooks hooks;
  std::vector<std::shared_ptr<CallerChannel>> channels;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_OPERATOR_PAGES_H_

// operator_pages.h tells what they are.

#include "gateway/operator_pages.h"

#include <iterator>
#include <string_view>
#include <utility>

#include "base/result_code.h"
#include "platform/headers.h"

namespace gullward {
namespace {

// Operators' requests have no body worth keeping.
constexpr uint64_t kOperatorBodyBytes = 64 << 10;
constexpr std::string_view kTextPlain = "text/plain; charset=utf-8";

AnswerHead PageHead(int status, std::string_view reason, std::string_view type) {
  AnswerHead head;
  head.status = status;
  head.reason = std::string(reason);
  head.headers.emplace_back("Content-Type", std::string(type));
  return head;
}

}  // namespace

OperatorPages::OperatorPages(EventLoop* event_loop, Hooks page_hooks)
    : loop(event_loop), hooks(std::move(page_hooks)) {}

void OperatorPages::Adopt(int fd) {
  CallerLimits limits;
  limits.body_bytes = kOperatorBodyBytes;
  auto channel = CallerChannel::Adopt(this->loop, fd, limits);
  std::weak_ptr<CallerChannel> weak = channel;
  channel->SetHooks({.request =
                         [this, weak](const CallerRequest& request) {
                           if (auto self = weak.lock()) this->Answer(self.get(), request);
                         },
                     .malformed =
                         [weak](ResultCode code) {
                           auto self = weak.lock();
                           if (self) self->Answer(PageHead(400, Info(code).name, kTextPlain), "");
                         },
                     .gone = {},
                     .drained = {}});
  this->channels.push_back(channel);
}

void OperatorPages::Answer(CallerChannel* channel, const CallerRequest& request) {
  const std::string& path = request.head.target;
  if (path == "/metrics") {
    channel->Answer(PageHead(200, "OK", kTextPlain), this->hooks.metrics());
  } else if (path == "/state") {
    channel->Answer(PageHead(200, "OK", "application/json"), this->hooks.state());
  } else if (path == platform::kReadyPath || path == "/readyz") {
    bool ready = this->hooks.is_ready();
    channel->Answer(PageHead(ready ? 200 : 503, ready ? "OK" : "Not Ready", kTextPlain), "");
  } else {
    channel->Answer(PageHead(404, "Not Found", kTextPlain), "no such page\n");
  }
}

void OperatorPages::Tick(Time now) {
  for (auto it = this->channels.begin(); it != this->channels.end();) {
    (*it)->Tick(now);
    it = (*it)->is_closed() ? this->channels.erase(it) : std::next(it);
  }
}

}  // namespace gullward

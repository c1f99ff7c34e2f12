// Implementation of http_pages.h.

#include "gateway/http_pages.h"

#include <iterator>
#include <utility>

#include "base/result_code.h"

namespace gullward {
namespace {

// A request for a page needs no body.
constexpr uint64_t kMaxBodyBytes = 64 << 10;

void SendPage(CallerChannel* channel, const HttpPage& page) {
  AnswerHead head;
  head.status = page.status;
  head.reason = page.reason;
  head.headers.emplace_back("Content-Type", page.type);
  channel->Answer(head, page.body);
}

void SendBadRequest(CallerChannel* channel, ResultCode code) {
  HttpPage page;
  page.status = 400;
  page.reason = Info(code).name;
  SendPage(channel, page);
}

}  // namespace

HttpPage NotFound() {
  HttpPage page;
  page.status = 404;
  page.reason = "Not Found";
  page.body = "no such page\n";
  return page;
}

HttpPages::HttpPages(EventLoop* event_loop, Handler page_maker)
    : HttpPages(event_loop, AsyncHandler([page_maker = std::move(page_maker)](
                                             const std::string& path, const Answer& answer) {
                  answer(page_maker(path));
                })) {}

HttpPages::HttpPages(EventLoop* event_loop, AsyncHandler request_handler)
    : loop(event_loop), handler(std::move(request_handler)) {}

void HttpPages::Adopt(int fd) {
  CallerLimits limits;
  limits.body_bytes = kMaxBodyBytes;
  auto channel = CallerChannel::Adopt(this->loop, fd, limits);
  std::weak_ptr<CallerChannel> weak = channel;
  CallerChannel::Hooks hooks;
  hooks.request = [this, weak](const CallerRequest& request) {
    this->handler(request.head.target, [weak](const HttpPage& page) {
      auto self = weak.lock();
      if (self && !self->is_closed()) SendPage(self.get(), page);
    });
  };
  hooks.malformed = [weak](ResultCode code) {
    if (auto self = weak.lock()) SendBadRequest(self.get(), code);
  };
  channel->SetHooks(std::move(hooks));
  this->channels.push_back(channel);
}

void HttpPages::Tick(Time now) {
  for (auto it = this->channels.begin(); it != this->channels.end();) {
    (*it)->Tick(now);
    it = (*it)->is_closed() ? this->channels.erase(it) : std::next(it);
  }
}

}  // namespace gullward

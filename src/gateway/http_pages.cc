// http_pages.h tells the use.

#include "gateway/http_pages.h"

#include <iterator>
#include <utility>

#include "base/result_code.h"

namespace gullward {
namespace {

// Whoever asks for a page has no body worth keeping.
constexpr uint64_t kMostBodyBytes = 64 << 10;

void AnswerWith(CallerChannel* channel, const HttpPage& page) {
  AnswerHead head;
  head.status = page.status;
  head.reason = page.reason;
  head.headers.emplace_back("Content-Type", page.type);
  channel->Answer(head, page.body);
}

void AnswerMalformed(CallerChannel* channel, ResultCode code) {
  HttpPage page;
  page.status = 400;
  page.reason = Info(code).name;
  AnswerWith(channel, page);
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
    : loop(event_loop), handler(std::move(page_maker)) {}

void HttpPages::Adopt(int fd) {
  CallerLimits limits;
  limits.body_bytes = kMostBodyBytes;
  auto channel = CallerChannel::Adopt(this->loop, fd, limits);
  std::weak_ptr<CallerChannel> weak = channel;
  CallerChannel::Hooks hooks;
  hooks.request = [this, weak](const CallerRequest& request) {
    if (auto self = weak.lock()) AnswerWith(self.get(), this->handler(request.head.target));
  };
  hooks.malformed = [weak](ResultCode code) {
    if (auto self = weak.lock()) AnswerMalformed(self.get(), code);
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

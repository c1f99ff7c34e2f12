// Implementation of http_pages.h.

#include "gateway/http_pages.h"

#include <iterator>
#include <optional>
#include <utility>
#include <vector>

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
    : loop(event_loop),
      request_memory(std::make_shared<RequestMemory>(kMaxRequestBytes)),
      handler(std::move(request_handler)) {}

// Whether one more connection is within the limit.  If not, closes the one that has been idle, or
// whose request has stalled, for the longest time.
bool HttpPages::HasPlace() {
  auto is_closed = [](const auto& channel) { return channel->is_closed(); };
  std::erase_if(this->channels, is_closed);
  if (this->channels.size() < this->max_connections) return true;
  auto chosen = FindLongest(this->channels, [now = Now()](const auto& channel) {
    return channel->ReplaceableSince(now);
  });
  if (chosen == this->channels.end()) return false;
  (*chosen)->CloseNow();
  this->channels.erase(chosen);
  return true;
}

size_t HttpPages::UnreadBytes() const {
  size_t bytes = 0;
  for (const auto& channel : this->channels) bytes += channel->is_closed() ? 0 : channel->pending();
  return bytes;
}

// A client whose answer there is no room for is closed, and may come again.
void HttpPages::Send(CallerChannel* channel, const HttpPage& page) const {
  SendPage(channel, page);
  if (this->UnreadBytes() > kMaxUnreadBytes && channel->pending() > 0) channel->CloseNow();
}

void HttpPages::Adopt(int fd) {
  if (!this->HasPlace()) {
    TcpStream::Adopt(this->loop, fd)->Reset();
    return;
  }
  CallerLimits caller_limits;
  caller_limits.body_bytes = kMaxBodyBytes;
  auto channel = CallerChannel::Adopt(this->loop, fd, caller_limits, this->request_memory);
  std::weak_ptr<CallerChannel> weak = channel;
  CallerChannel::Hooks hooks;
  hooks.request = [this, weak](const CallerRequest& request) {
    this->handler(request.head.target, [this, weak](const HttpPage& page) {
      auto self = weak.lock();
      if (self && !self->is_closed()) this->Send(self.get(), page);
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

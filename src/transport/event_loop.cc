// Level-triggered epoll with at most kMaxEvents events in one round.

#include "transport/event_loop.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace gullward {
namespace {

constexpr int kMaxEvents = 64;
constexpr Duration kMaxWait = seconds(1);

}  // namespace

EventLoop::EventLoop()
    : epoll_fd(epoll_create1(EPOLL_CLOEXEC)), wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  CHECK_GE(this->epoll_fd, 0);
  CHECK_GE(this->wake_fd, 0);
  this->Watch(this->wake_fd, EPOLLIN, [this](uint32_t) {
    uint64_t count = 0;
    ssize_t ignored = read(this->wake_fd, &count, sizeof(count));
    static_cast<void>(ignored);
  });
}

EventLoop::~EventLoop() {
  close(this->wake_fd);
  close(this->epoll_fd);
}

void EventLoop::Run() {
  while (!this->stopping.load()) this->RunOnce(kMaxWait);
}

void EventLoop::RunOnce(Duration max_wait) {
  epoll_event events[kMaxEvents];
  // The first call does not wait: only if it returns no event is it known that no event was
  // pending at poll_time.
  Time poll_time = Now();
  int count = epoll_wait(this->epoll_fd, events, kMaxEvents, /*timeout=*/0);
  if (count == 0) {
    this->last_idle = poll_time;
    count = epoll_wait(this->epoll_fd, events, kMaxEvents, this->WaitMillis(max_wait));
  }
  for (int i = 0; i < count; ++i) {
    auto found = this->handlers.find(events[i].data.fd);
    if (found == this->handlers.end()) continue;
    // A copy, because the handler may unwatch its own descriptor.
    FdHandler handler = found->second;
    handler(events[i].events);
  }
  this->RunPosted();
  this->RunTimers();
}

void EventLoop::Stop() {
  this->stopping.store(true);
  this->Post([] {});
}

void EventLoop::Post(std::function<void()> task) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->posted.push_back(std::move(task));
  }
  uint64_t one = 1;
  ssize_t ignored = write(this->wake_fd, &one, sizeof(one));
  static_cast<void>(ignored);
}

void EventLoop::RunAfter(Duration delay, std::function<void()> task) {
  this->timers.push(Timer{Now() + delay, this->next_order++, std::move(task)});
}

void EventLoop::RunEvery(Duration period, std::function<void()> task) {
  this->RunAfter(period, [this, period, task = std::move(task)] {
    task();
    this->RunEvery(period, task);
  });
}

void EventLoop::Watch(int fd, uint32_t events, FdHandler handler) {
  this->handlers[fd] = std::move(handler);
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  PCHECK(epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0);
}

void EventLoop::Rewatch(int fd, uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  PCHECK(epoll_ctl(this->epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0);
}

void EventLoop::Unwatch(int fd) {
  if (this->handlers.erase(fd) == 0) return;
  epoll_ctl(this->epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    tasks.swap(this->posted);
  }
  for (std::function<void()>& task : tasks) task();
}

void EventLoop::RunTimers() {
  Time now = Now();
  while (!this->timers.empty() && this->timers.top().due <= now) {
    std::function<void()> task = this->timers.top().task;
    this->timers.pop();
    task();
  }
}

int EventLoop::WaitMillis(Duration max_wait) const {
  Duration left = max_wait;
  if (!this->timers.empty()) left = std::min<Duration>(left, this->timers.top().due - Now());
  if (left.count() <= 0) return 0;
  // Rounded up, because rounding down would make the loop poll without waiting during the
  // last millisecond.
  return static_cast<int>(left.count() / 1000 + 1);
}

}  // namespace gullward

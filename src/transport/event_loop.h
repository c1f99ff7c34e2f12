// One thread that runs everything a process decides.
//
// A process has one EventLoop.  Its decision core, its peer connections and its
// timers all live on the loop's thread, so the core needs no lock.  Other
// threads (HTTP servers, the HTTP client) hand work over with Post, which is
// the only member that may be called from any thread.
//
//   EventLoop loop;
//   loop.RunEvery(milliseconds(100), [&] { core.Tick(Now()); });
//   loop.Run();                       // until Stop() is called
//
// The method is the plain one: epoll for sockets, one eventfd to wake the loop
// for posted work, and a heap of timers that sets epoll's timeout.

#ifndef GULLWARD_TRANSPORT_EVENT_LOOP_H_
#define GULLWARD_TRANSPORT_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace gullward {

class EventLoop {
 public:
  // Called with the epoll events that are ready on a file descriptor.
  using FdHandler = std::function<void(uint32_t events)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.  Every handler and task runs on the calling thread.
  void Run();

  // Waits for one round of events, at most `longest`, and runs what they ask for.
  void RunOnce(Duration longest);

  // The latest moment at which nothing waited to be handled: what is handled now became
  // ready after it.  Milliseconds ago as a rule; seconds ago where the process stood still.
  Time last_idle_at() const { return this->caught_up; }

  // Makes Run return soon.  Safe from any thread.
  void Stop();
  bool stopped() const { return this->stopping.load(); }

  // Runs `task` on the loop's thread, after what was posted before it.  Safe
  // from any thread; tasks posted after Run has returned are dropped.
  void Post(std::function<void()> task);

  // Runs `task` once after `delay`.  Loop thread only.
  void RunAfter(Duration delay, std::function<void()> task);

  // Runs `task` every `period`, first after one period.  Loop thread only.
  void RunEvery(Duration period, std::function<void()> task);

  // Watches a file descriptor for `events` (EPOLLIN and so on).
  void Watch(int fd, uint32_t events, FdHandler handler);

  // Changes the events that a watched descriptor is watched for.
  void Rewatch(int fd, uint32_t events);

  // Stops watching; the handler is not called again.  Does not close.
  void Unwatch(int fd);

 private:
  struct Timer {
    Time due;
    uint64_t order;
    std::function<void()> task;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void RunPosted();
  void RunTimers();
  int WaitMillis(Duration longest) const;

  int epoll_fd;
  int wake_fd;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
  uint64_t next_order = 0;
  std::unordered_map<int, FdHandler> handlers;
  Time caught_up = Now();
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_EVENT_LOOP_H_

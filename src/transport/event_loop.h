// An epoll event loop with timers and tasks, which runs on one thread.
//
// A process has one EventLoop.  Its decision core, its peer connections and its timers all
// run on the loop's thread, so the core needs no lock.  Other threads (HTTP servers, the
// HTTP client) pass work to the loop with Post.  Only Post, Stop and stopped may be called
// from any thread.
//
//   EventLoop loop;
//   loop.RunEvery(milliseconds(100), [&] { core.Tick(Now()); });
//   loop.Run();                       // until Stop() is called
//
// The loop uses epoll for file descriptors, an eventfd that wakes it for posted tasks, and a
// heap of timers, the earliest of which sets the timeout of epoll_wait.

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
  // Receives the epoll events (EPOLLIN and so on) that are ready on a file descriptor.
  using FdHandler = std::function<void(uint32_t events)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.  Every handler and task runs on the calling thread.
  void Run();

  // Waits at most `max_wait` for events, then runs the handlers of the ready descriptors,
  // the posted tasks and the timers that are due.
  void RunOnce(Duration max_wait);

  // The latest time at which no descriptor had an event to be handled: events that are
  // handled now became ready after it.  Usually this is milliseconds ago, but it can be
  // seconds ago if the process was suspended or did not get to run.
  Time last_idle_at() const { return this->last_idle; }

  // Makes Run return soon.  Safe from any thread.
  void Stop();
  bool stopped() const { return this->stopping.load(); }

  // Runs `task` on the loop's thread, after all tasks that were posted earlier.  Safe from
  // any thread.  Tasks posted after Run has returned are dropped.
  void Post(std::function<void()> task);

  // Runs `task` once after `delay`.  Loop thread only.
  void RunAfter(Duration delay, std::function<void()> task);

  // Runs `task` every `period`, first after one period.  Loop thread only.
  void RunEvery(Duration period, std::function<void()> task);

  // Calls `handler` whenever one of `events` (EPOLLIN and so on) is ready on the descriptor.
  // Watch, Rewatch and Unwatch are for the loop's thread only.
  void Watch(int fd, uint32_t events, FdHandler handler);

  // Changes the events for which a descriptor is watched.
  void Rewatch(int fd, uint32_t events);

  // Stops watching a descriptor; its handler is not called again.  Does not close the
  // descriptor, and does nothing if it is not watched.
  void Unwatch(int fd);

 private:
  struct Timer {
    Time due;
    // Timers that are due at the same time run in the order in which they were set.
    uint64_t order;
    std::function<void()> task;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void RunPosted();
  void RunTimers();
  int WaitMillis(Duration max_wait) const;

  int epoll_fd;
  int wake_fd;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
  uint64_t next_order = 0;
  std::unordered_map<int, FdHandler> handlers;
  Time last_idle = Now();
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_EVENT_LOOP_H_

// Simulated time: a queue that runs tasks in the order of their scheduled time.
//
//   EventQueue events(start);
//   events.After(milliseconds(30), [&] { ... });
//   events.RunUntil(start + seconds(6));
//
// Tasks scheduled for the same time run in the order in which they were added, so a run is
// deterministic.

#ifndef GULLWARD_TRIAL_EVENT_QUEUE_H_
#define GULLWARD_TRIAL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace gullward {

class EventQueue {
 public:
  explicit EventQueue(Time start) : current(start) {}

  Time now() const { return this->current; }

  void At(Time at, std::function<void()> task) {
    this->events.push({at, this->count++, std::move(task)});
  }
  void After(Duration delay, std::function<void()> task) {
    this->At(this->current + delay, std::move(task));
  }

  void RunUntil(Time end) {
    while (!this->events.empty() && this->events.top().at < end) {
      Event event = this->events.top();
      this->events.pop();
      this->current = event.at;
      event.task();
    }
  }

 private:
  struct Event {
    Time at;
    uint64_t number = 0;
    std::function<void()> task;

    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
  };

  Time current;
  std::priority_queue<Event> events;
  uint64_t count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_TRIAL_EVENT_QUEUE_H_

// Estimates the prefill work that an engine has not done yet.
//
// The engine's own load report is delayed.  The endpoint process has the list of prefills that it
// started and an estimate of the time of each, so it simulates the engine: elapsed time is
// deducted from the most urgent prefill first, and among equal priorities in the order of start.
// The first token of an answer corrects the estimate, because it shows that this prefill has ended
// whatever the estimate of its remaining time.
//
//   backlog.Add(id, priority, seconds);
//   backlog.AdvanceTo(now);
//   backlog.Remove(id);                       // at the first token or the end of the attempt
//   std::vector<double> by_priority = backlog.Millis();

#ifndef GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_
#define GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/request_id.h"

namespace gullward {

// The number of priorities that engines support; 0 is served first.
inline constexpr uint32_t kPriorities = 8;

class PrefillBacklog {
 public:
  // Adds a prefill that has been started and should take `seconds`.  Priorities of kPriorities and
  // above count as the last one.
  void Add(const AttemptId& id, uint32_t priority, double seconds);

  // Removes a prefill that has ended.  Unknown ids are ignored.
  void Remove(const AttemptId& id);

  // Deducts the time since the last call from the remaining work.
  void AdvanceTo(Time now);

  // Returns the remaining milliseconds of each priority.
  std::vector<double> Millis() const;

 private:
  struct Item {
    AttemptId id;
    uint32_t priority;
    double seconds;
  };

  // Ordered by priority, then by start.
  std::vector<Item> items;
  Time last_update;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_

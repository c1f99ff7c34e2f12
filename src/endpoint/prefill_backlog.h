// What an engine still has to prefill, as far as the endpoint process can tell.
//
// The engine's own load report lags.  The endpoint process knows what it has
// started and how long each prefill should take, so it follows the engine in
// thought: time that passes is spent on the most urgent prefill first, in order
// of start.  A first token corrects it: that prefill is over, whatever was
// thought to remain.
//
//   backlog.Add(id, priority, seconds);
//   backlog.AdvanceTo(now);
//   backlog.Remove(id);                       // first token, or the end
//   std::vector<double> by_priority = backlog.Millis();

#ifndef GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_
#define GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/request_id.h"

namespace gullward {

// Priorities that engines honour; 0 is served first.
inline constexpr uint32_t kPriorities = 8;

class PrefillBacklog {
 public:
  // Notes a prefill of so many seconds that has been started.
  void Add(const AttemptId& id, uint32_t priority, double seconds);

  // Notes that a prefill is over.  Unknown ids are ignored.
  void Remove(const AttemptId& id);

  // Spends the time since the last call.
  void AdvanceTo(Time now);

  // Remaining milliseconds by priority.
  std::vector<double> Millis() const;

 private:
  struct Item {
    AttemptId id;
    uint32_t priority;
    double seconds;
  };

  std::vector<Item> items;
  Time last;
};

}  // namespace gullward

#endif  // GULLWARD_ENDPOINT_PREFILL_BACKLOG_H_

// The simulated prefill queue of an engine; prefill_backlog.h describes the method.

#include "endpoint/prefill_backlog.h"

#include <algorithm>

namespace gullward {

void PrefillBacklog::Add(const AttemptId& id, uint32_t priority, double backlog_seconds) {
  Item item{id, std::min(priority, kPriorities - 1), backlog_seconds};
  auto position =
      std::upper_bound(this->items.begin(), this->items.end(), item,
                       [](const Item& a, const Item& b) { return a.priority < b.priority; });
  this->items.insert(position, item);
}

void PrefillBacklog::Remove(const AttemptId& id) {
  auto found = std::find_if(this->items.begin(), this->items.end(),
                            [&](const Item& item) { return item.id == id; });
  if (found != this->items.end()) this->items.erase(found);
}

void PrefillBacklog::AdvanceTo(Time now) {
  double left = ToSeconds(now - this->last_update);
  this->last_update = now;
  for (Item& item : this->items) {
    if (left <= 0) return;
    double spent = std::min(left, item.seconds);
    item.seconds -= spent;
    left -= spent;
  }
}

std::vector<double> PrefillBacklog::Millis() const {
  std::vector<double> millis(kPriorities, 0.0);
  for (const Item& item : this->items) millis[item.priority] += item.seconds * 1000;
  return millis;
}

}  // namespace gullward

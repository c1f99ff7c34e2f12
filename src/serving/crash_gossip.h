// News of engines that ended under requests, as it passes from gateway to gateway.
//
// Every gateway must hear of it, in every cell, within a fraction of a second, and nobody may
// have to tell all the others: so whoever has news tells it once to a few peers drawn by
// chance, and so does each who hears it for the first time.  With kFanout peers each, 300
// gateways have it after four hops; the one in a few hundred whom chance passes over learns it
// from the store, or from whomever it tells something that others know better.  What a
// gateway sends for one piece of news is the same in a fleet of any size.
//
//   CrashNewsQueue queue;
//   queue.Add(report);                         // new to us
//   while (queue.has_any()) Send(queue.TakePart());
//
// The queue is bounded; what does not fit is dropped and counted.

#ifndef GULLWARD_SERVING_CRASH_GOSSIP_H_
#define GULLWARD_SERVING_CRASH_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "serving/quarantine.h"

namespace gullward {

// A content in quarantine, and for how much longer.
struct QuarantineReport {
  ContentId content = 0;
  Duration left{};

  bool operator==(const QuarantineReport&) const = default;
};

// What one datagram carries.
struct CrashGossip {
  std::vector<CrashReport> crashes;
  // Contents that were answered whole, so that nothing is held against them.
  std::vector<ContentId> answered;
  std::vector<QuarantineReport> quarantined;

  bool empty() const {
    return this->crashes.empty() && this->answered.empty() && this->quarantined.empty();
  }

  bool operator==(const CrashGossip&) const = default;
};

class CrashGossipQueue {
 public:
  // Peers that are told one piece of news.  The part of a large fleet that nobody tells is
  // e to the minus so many, one in 400.
  static constexpr size_t kFanout = 6;
  // In one datagram: 16 bytes each, so under the usual 1,400 with the rest of it.
  static constexpr size_t kMaxBatchItems = 48;
  // That wait to be sent: the ends of a hundred engines with twenty requests each.
  static constexpr size_t kMaxQueued = 2048;

  void AddCrash(const CrashReport& report) { this->Add(&this->crashes, report); }
  void AddAnswered(ContentId content) { this->Add(&this->answered, content); }
  void AddQuarantined(const QuarantineReport& word) { this->Add(&this->quarantined, word); }

  bool has_any() const { return this->waiting() > 0; }

  // The next part: what is in quarantine first, since each moment may cost an engine.
  CrashGossip TakeBatch() {
    CrashGossip part;
    size_t room = kMaxBatchItems;
    room -= Move(&this->quarantined, &part.quarantined, room);
    room -= Move(&this->answered, &part.answered, room);
    Move(&this->crashes, &part.crashes, room);
    return part;
  }

  uint64_t dropped() const { return this->dropped_count; }

 private:
  size_t waiting() const {
    return this->crashes.size() + this->answered.size() + this->quarantined.size();
  }

  template <typename Item>
  void Add(std::deque<Item>* queue, const Item& item) {
    if (this->waiting() >= kMaxQueued) {
      this->dropped_count += 1;
      return;
    }
    queue->push_back(item);
  }

  template <typename Item>
  static size_t Move(std::deque<Item>* from, std::vector<Item>* to, size_t most) {
    size_t moved = 0;
    for (; moved < most && !from->empty(); ++moved) {
      to->push_back(from->front());
      from->pop_front();
    }
    return moved;
  }

  std::deque<CrashReport> crashes;
  std::deque<ContentId> answered;
  std::deque<QuarantineReport> quarantined;
  uint64_t dropped_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CRASH_GOSSIP_H_

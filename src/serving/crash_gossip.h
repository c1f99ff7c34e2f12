// Crash reports as gateways spread them among each other.
//
// Every gateway in every cell must receive a report within a fraction of a second, and no
// gateway may have to send it to all others.  The reports are therefore spread by gossip: a
// gateway that sees a crash, or receives a report for the first time, sends it once to kFanout
// randomly chosen peers.  300 gateways receive a report within four hops.  The one gateway in a
// few hundred that no peer chooses reads the result from the store, or receives it in the reply
// when it sends an outdated report itself.  The number of datagrams that a gateway sends for one
// report does not depend on the size of the fleet.
//
//   CrashGossipQueue queue;
//   queue.AddCrash(report);                       // seen here, or received for the first time
//   while (queue.has_any()) Send(queue.TakeBatch());
//
// The queue is bounded.  Items that do not fit are dropped and counted.

#ifndef GULLWARD_SERVING_CRASH_GOSSIP_H_
#define GULLWARD_SERVING_CRASH_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "serving/quarantine.h"

namespace gullward {

// A suspect in quarantine and the time that is left until its quarantine ends.
struct QuarantineReport {
  Suspect suspect;
  Duration left{};

  bool operator==(const QuarantineReport&) const = default;
};

// The gossip in one datagram.
struct CrashGossip {
  std::vector<CrashReport> crashes;
  // Suspects of requests that were answered completely, so that crashes no longer count against
  // them.
  std::vector<Suspect> answered;
  std::vector<QuarantineReport> quarantined;
  // Suspects with crashes that were answered completely at some time before: they are trusted more
  // than others, and their crashes still count.
  std::vector<Suspect> answered_before = {};

  bool empty() const {
    return this->crashes.empty() && this->answered.empty() && this->quarantined.empty() &&
           this->answered_before.empty();
  }

  bool operator==(const CrashGossip&) const = default;
};

class CrashGossipQueue {
 public:
  // Peers to which each item is sent.  In a large fleet the share of gateways that receive an
  // item from no peer is e^-kFanout, or one in 400.
  static constexpr size_t kFanout = 6;
  // Items in one datagram.  An item takes 16 bytes, so the datagram with its other fields stays
  // below the usual limit of 1,400 bytes.
  static constexpr size_t kMaxBatchItems = 48;
  // Items in the queue: the crashes of fifty engines, each with twenty contents and their parts.
  static constexpr size_t kMaxQueued = 2048;

  void AddCrash(const CrashReport& report) { this->Add(&this->crashes, report); }
  void AddAnswered(const Suspect& suspect) { this->Add(&this->answered, suspect); }
  void AddQuarantined(const QuarantineReport& report) { this->Add(&this->quarantined, report); }
  void AddAnsweredBefore(const Suspect& suspect) { this->Add(&this->answered_before, suspect); }

  bool has_any() const { return this->queued() > 0; }

  // Returns the items for the next datagram.  Quarantines go first, since a delay may
  // cost another engine.  Suspects that were answered before go last: a receiver without a crash of
  // the suspect ignores them.
  CrashGossip TakeBatch() {
    CrashGossip batch;
    size_t room = kMaxBatchItems;
    room -= Move(&this->quarantined, &batch.quarantined, room);
    room -= Move(&this->answered, &batch.answered, room);
    room -= Move(&this->crashes, &batch.crashes, room);
    Move(&this->answered_before, &batch.answered_before, room);
    return batch;
  }

  uint64_t dropped() const { return this->dropped_count; }

 private:
  size_t queued() const {
    return this->crashes.size() + this->answered.size() + this->quarantined.size() +
           this->answered_before.size();
  }

  template <typename Item>
  void Add(std::deque<Item>* queue, const Item& item) {
    if (this->queued() >= kMaxQueued) {
      this->dropped_count += 1;
      return;
    }
    queue->push_back(item);
  }

  template <typename Item>
  static size_t Move(std::deque<Item>* from, std::vector<Item>* to, size_t max_items) {
    size_t moved = 0;
    for (; moved < max_items && !from->empty(); ++moved) {
      to->push_back(from->front());
      from->pop_front();
    }
    return moved;
  }

  std::deque<CrashReport> crashes;
  std::deque<Suspect> answered;
  std::deque<QuarantineReport> quarantined;
  std::deque<Suspect> answered_before;
  uint64_t dropped_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_CRASH_GOSSIP_H_

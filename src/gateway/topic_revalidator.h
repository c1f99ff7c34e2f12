// Revalidates what has been read of a topic, the configuration or the engine list: shows by small
// reads that the store has nothing newer.
//
// The follower's own read waits at the store for a change (topic_follower.h), so it shows
// nothing until it returns.  The revalidator reads from the follower's offset without waiting.
// An answer without records shows that nothing newer had been written when the read was sent.
// An answer with records means that the follower's read should return them at once; if it does
// not, that read is stuck on a dead connection.  The revalidator requests the smallest possible
// answer: whole records, which it would discard, took half of a thin link's bandwidth from the
// follower while it caught up.
//
// One validation serves the fleet: the owner tells the other gateways of it, and the schedule
// (serving/revalidation_schedule.h) lets the first one ask.
//
// Shortly after the store's return from an older copy an answer shows nothing about newer
// versions, so no reads are sent then (store_returns.h).
//
//   TopicRevalidator revalidator(&loop, store, &recovery, topic, bounds, seed, hooks);
//   revalidator.Tick(validated_at, now);  // every few milliseconds

#ifndef GULLWARD_GATEWAY_TOPIC_REVALIDATOR_H_
#define GULLWARD_GATEWAY_TOPIC_REVALIDATOR_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "gateway/topic_follower.h"
#include "serving/revalidation_schedule.h"

namespace gullward {

class TopicRevalidator {
 public:
  // An answer that takes longer counts as slow.  The store usually answers in 4 ms, and an
  // outage is detected after a second.
  static constexpr Duration kSlowAnswer = milliseconds(100);

  struct Hooks {
    // Returns the offset up to which all records are in force; nothing before the first read.
    std::function<std::optional<uint64_t>()> position;
    // Called when nothing newer had been written at `sent`.  Returns whether this validates
    // what has been read: it does not if something newer is known that the store lacks.
    std::function<bool(Time sent)> validated;
    // Called when records exist that the follower has not read, and again after
    // TopicFollower::kMaxLagAtStore if it still has not.
    std::function<void()> behind;
    // Called when the store begins to answer slowly, or at its usual speed again.  Optional.
    std::function<void(bool is_slow, Duration latency)> speed_changed = {};
  };

  TopicRevalidator(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                   std::string topic, RevalidationBounds bounds, uint64_t seed, Hooks hooks);

  // Sends a read if one is due, given when the topic was last validated.
  void Tick(Time validated_at, Time now);
  // Sends a read at the next tick.  Called when a peer reports a return of the store that this
  // gateway has not seen.
  void RevalidateSoon() { this->is_requested = true; }

  // Sets whether this gateway is to ask the store before those that read from peers.
  void SetIsRoot(bool is_root) { this->schedule.SetReadsStore(is_root); }

  uint64_t calls() const { return this->client.calls(); }

 private:
  void Revalidate(uint64_t position, Time now);
  void RecordLatency(Duration latency);
  void OnAnswer(const StoreAnswer& answer, uint64_t position, std::optional<uint64_t> epoch,
                Time sent);
  void ReportBehind(uint64_t position);

  EventLoop* loop;
  StoreClient client;
  StoreRecovery* recovery;
  std::string topic;
  RevalidationSchedule schedule;
  Hooks hooks;
  bool store_is_slow = false;
  bool is_requested = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TOPIC_REVALIDATOR_H_

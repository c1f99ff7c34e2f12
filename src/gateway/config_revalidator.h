// Proves by small reads that the newest configuration is the one in force here.
//
// The follower's own read waits at the store for a change (topic_follower.h), so it
// proves nothing until it comes back.  The prover asks at the follower's place in
// the log without waiting: an answer without records proves that nothing newer had
// been written when the question was sent.  An answer with records is news that the
// follower's read should bring at once; if it does not, that read hangs on a dead
// connection.  The question asks for next to nothing of the records: whole ones, thrown
// away, took half of a thin link from the follower while it caught up.
//
// Right after the store's return from an older copy nothing is proved by it, so nothing is
// asked (store_returns.h).
//
//   ConfigProver prover(&loop, store, topic, trust, seed, hooks);
//   prover.Tick(proved_at, now);          // every few milliseconds

#ifndef GULLWARD_GATEWAY_CONFIG_REVALIDATOR_H_
#define GULLWARD_GATEWAY_CONFIG_REVALIDATOR_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "gateway/topic_follower.h"
#include "serving/revalidation_schedule.h"

namespace gullward {

class ConfigRevalidator {
 public:
  // An answer without waiting that takes longer than this is slow: the store's usual
  // is 4 ms, and an outage is noticed after a second.
  static constexpr Duration kSlowAnswer = milliseconds(100);

  struct Hooks {
    // The offset up to which all records are in force; nothing before the first are.
    std::function<std::optional<uint64_t>()> position;
    // Nothing newer had been written at that time.  Whether that proves the configuration
    // current: it does not where a newer one is known of that the store lacks.
    std::function<bool(Time sent)> validated;
    // The store has begun to answer slowly, or to answer as usual again.
    std::function<void(bool is_slow, Duration took)> speed_changed;
    // There are records that the follower has not brought yet.
    std::function<void()> behind;
  };

  ConfigRevalidator(EventLoop* event_loop, SocketAddress store, StoreRecovery* store_recovery,
                    std::string topic, Duration key_trust, uint64_t seed, Hooks hooks);

  // Asks if it is time, given when the configuration was last proved current.
  void Tick(Time proved_at, Time now);
  // A peer knows of a return of the store that we have not seen: asks at the next tick.
  void RevalidateSoon() { this->is_requested = true; }

  uint64_t calls() const { return this->client.calls(); }

 private:
  void Revalidate(uint64_t position, Time now);
  void RecordLatency(Duration took);
  void OnAnswer(const StoreAnswer& answer, uint64_t position, std::optional<uint64_t> epoch,
                Time sent);

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

#endif  // GULLWARD_GATEWAY_CONFIG_REVALIDATOR_H_

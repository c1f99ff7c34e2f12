// Paces the retries of this process while the platform's store does not answer.
//
// A process has several clients of the store, and every call has a cost, even a refused one.
// A client whose call has failed therefore registers here instead of retrying by itself.  After
// each pause one registered client retries, in order of registration.  When any call succeeds,
// all of them retry at once.
//
// StoreRecovery also owns the process-wide record of the store's returns (store_returns.h).
//
//   StoreRecovery recovery(&loop);
//   recovery.RetryLater([this] { this->Read(); });  // after a failed call
//   recovery.OnCallSucceeded();                     // after a successful call
//
// A registered client must live as long as the loop runs.

#ifndef GULLWARD_GATEWAY_STORE_RECOVERY_H_
#define GULLWARD_GATEWAY_STORE_RECOVERY_H_

#include <deque>
#include <functional>

#include "base/clock.h"
#include "gateway/store_returns.h"
#include "transport/event_loop.h"

namespace gullward {

class StoreRecovery {
 public:
  // The pauses double from the first to the longest, so that the end of an outage of several
  // seconds is detected within a fraction of a second.
  static constexpr Duration kFirstPause = milliseconds(100);
  static constexpr Duration kMaxPause = milliseconds(400);
  // The longest pause of a gateway that reads from peers: its peers tell it when they have read
  // from the store again.
  static constexpr Duration kMaxPauseOfReaders = milliseconds(3200);

  explicit StoreRecovery(EventLoop* event_loop) : loop(event_loop), returns_seen(event_loop) {}

  // Sets the longest pause from now on.
  void SetMaxPause(Duration pause) { this->max_pause = pause; }

  // Registers a client whose call has failed.  `retry` is called when it may retry.
  void RetryLater(std::function<void()> retry);

  // Handles a successful call: all registered clients retry at once.
  void OnCallSucceeded();

  StoreReturns& returns() { return this->returns_seen; }
  const StoreReturns& returns() const { return this->returns_seen; }

 private:
  void StartPause();
  void TryNext();

  EventLoop* loop;
  StoreReturns returns_seen;
  std::deque<std::function<void()>> waiting;
  // Reset to kFirstPause when a call succeeds.
  Duration next_pause = kFirstPause;
  Duration max_pause = kMaxPause;
  bool is_pausing = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_RECOVERY_H_

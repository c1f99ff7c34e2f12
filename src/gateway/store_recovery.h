// Spaces out the calls of this process while the platform's store does not answer.
//
// Several readers of one process would each try again and again, and every call has
// its price, a refused one too.  So whoever's call has failed waits here: one of
// those who wait tries after each pause, in turn, and the first answer that anyone
// gets lets all the others go on at once.
//
// It also keeps what all of them know of the store's returns (store_returns.h).
//
//   StoreRecovery recovery(&loop);
//   recovery.Wait([this] { this->ReadAgain(); });   // after a failed call
//   recovery.NoteAnswer();                          // after one that worked
//
// Whoever waits here must live as long as the loop runs.

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
  // Pauses double from the first to the longest: the end of an outage of seconds
  // must be noticed within a fraction of a second.
  static constexpr Duration kFirstPause = milliseconds(100);
  static constexpr Duration kMaxPause = milliseconds(400);

  explicit StoreRecovery(EventLoop* event_loop) : loop(event_loop), returns_seen(event_loop) {}

  // The caller's own call has failed: it may try again when `retry` is called.
  void RetryLater(std::function<void()> retry);

  // A call has worked: all who wait try at once.
  void OnCallSucceeded();

  StoreReturns& returns() { return this->returns_seen; }
  const StoreReturns& returns() const { return this->returns_seen; }

 private:
  void StartPause();
  void TryNext();

  EventLoop* loop;
  StoreReturns returns_seen;
  std::deque<std::function<void()>> waiting;
  // The first again once the store has answered.
  Duration next_pause = kFirstPause;
  bool pausing = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_RECOVERY_H_

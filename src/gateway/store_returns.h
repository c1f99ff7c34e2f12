// Detects that the platform's store has returned from an older copy, and notifies the parts of
// the process that rely on writes that the store had acknowledged.
//
// All clients of the store in this process record the epoch of each answer here
// (serving/store_epoch.h).  After a return each listener is called once, from the event loop, so
// that no listener runs while an answer is being handled.
//
//   StoreReturns returns(&loop);
//   returns.OnReturn([this] { ... });       // read and write again what was lost
//   bool usable = returns.RecordEpoch(epoch, sent);

#ifndef GULLWARD_GATEWAY_STORE_RETURNS_H_
#define GULLWARD_GATEWAY_STORE_RETURNS_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "serving/store_epoch.h"
#include "transport/event_loop.h"

namespace gullward {

class StoreReturns {
 public:
  explicit StoreReturns(EventLoop* event_loop) : loop(event_loop) {}

  // Adds a listener, which must live as long as the loop runs.
  void OnReturn(std::function<void()> listener) { this->listeners.push_back(std::move(listener)); }

  // Records the epoch stated by the answer to a call sent at `sent`.  Returns whether the answer
  // may be used: it may not if it was made before a known return of the store.
  bool RecordEpoch(std::optional<uint64_t> answered, Time sent) {
    StoreEpoch::AnswerStatus standing = this->state.OnAnswer(answered, sent, Now());
    if (standing == StoreEpoch::AnswerStatus::kReturned) this->NotifyListeners();
    return standing != StoreEpoch::AnswerStatus::kOutdated;
  }

  // Records that a gateway has observed this epoch for long enough to regard it as settled.
  void Settle(uint64_t settled_epoch) { this->state.MarkSettled(settled_epoch, Now()); }

  const StoreEpoch& epoch() const { return this->state; }

 private:
  void NotifyListeners() {
    this->loop->RunAfter(Duration(0), [this] {
      for (const std::function<void()>& listener : this->listeners) listener();
    });
  }

  EventLoop* loop;
  StoreEpoch state;
  std::vector<std::function<void()>> listeners;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_RETURNS_H_

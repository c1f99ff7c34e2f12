// Detects that the platform's store has returned from an older copy, or answers again after it was
// silent, and notifies the parts of the process that this concerns.
//
// All clients of the store in this process record here the epoch of each answer
// (serving/store_epoch.h), and each call that got no answer.  A return from an older copy concerns
// the parts that rely on writes that the store had acknowledged.  The end of a silence concerns
// those whose calls may wait at the store for long: a call that arrived during the silence is never
// answered.
//
// Each listener is called once, from the event loop, so that no listener runs while an answer is
// being handled.
//
//   StoreReturns returns(&loop);
//   returns.OnReturn([this] { ... });       // read and write again what was lost
//   returns.OnAnswersAgain([this](Time answered) { ... });
//   bool usable = returns.RecordEpoch(epoch, sent);
//   returns.RecordNoAnswer();

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

  // Adds a listener, which must live as long as the loop runs.  It is called with the time of the
  // first answer after a call that got none.
  void OnAnswersAgain(std::function<void(Time answered)> listener) {
    this->silence_listeners.push_back(std::move(listener));
  }

  // Records the epoch stated by the answer to a call sent at `sent`.  Returns whether the answer
  // may be used: it may not if it was made before a known return of the store.
  bool RecordEpoch(std::optional<uint64_t> answered, Time sent) {
    StoreEpoch::AnswerStatus standing = this->state.OnAnswer(answered, sent, Now());
    if (standing == StoreEpoch::AnswerStatus::kReturned) this->NotifyListeners();
    return standing != StoreEpoch::AnswerStatus::kOutdated;
  }

  // Records that a call got no answer: it timed out, or its connection was lost.
  void RecordNoAnswer() { this->is_silent = true; }

  // Records that a call was answered, whatever the answer was.
  void RecordAnswer() {
    if (!std::exchange(this->is_silent, false)) return;
    this->loop->RunAfter(Duration(0), [this, answered = Now()] {
      for (const auto& listener : this->silence_listeners) listener(answered);
    });
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
  std::vector<std::function<void(Time answered)>> silence_listeners;
  // Whether the last call that has ended got no answer.
  bool is_silent = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_RETURNS_H_

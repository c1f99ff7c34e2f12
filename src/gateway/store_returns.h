// Notices that the platform's store has come back from an older copy, and tells those who
// rest on what it had acknowledged.
//
// All clients of the store in this process note the epoch of each answer here
// (serving/store_epoch.h).  After a return the listeners are told once, from the event loop,
// so none of them is called in the middle of an answer's handling.
//
//   StoreReturns returns(&loop);
//   returns.OnReturn([this] { ... });       // read and write again what was lost
//   bool usable = returns.Note(epoch, sent);

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

  // Listeners must live as long as the loop runs.
  void OnReturn(std::function<void()> listener) { this->listeners.push_back(std::move(listener)); }

  // Takes the epoch that an answer tells to a call sent at `sent`.  Whether the answer may be
  // used: not where it is from before a return that is known.
  bool RecordEpoch(std::optional<uint64_t> told, Time sent) {
    StoreEpoch::AnswerStatus standing = this->state.OnAnswer(told, sent, Now());
    if (standing == StoreEpoch::AnswerStatus::kReturned) this->NotifyListeners();
    return standing != StoreEpoch::AnswerStatus::kOutdated;
  }

  // A gateway has seen that epoch for long enough.
  void Settle(uint64_t settled) { this->state.MarkSettled(settled, Now()); }

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

// Tracks the epoch of the platform's store, and decides what an answer of the store proves.
//
// The store may come back from a backup that is some seconds old; this is called a return of the
// store.  Everything that the store acknowledged after the backup is then lost, and its offsets
// are assigned again.  Each answer carries the store's epoch, which increases with every return.
// This gives three rules:
//
//   - An offset in a topic is valid only in the epoch in which it was read.
//   - An answer to a call that was sent before a newer epoch was first received is outdated and
//     must be ignored.
//   - Directly after a return the store lacks what the operator and the engines have not written
//     again yet.  In this time the epoch is unsettled: the store may show neither the newest
//     configuration nor the complete list of engines.
//
// A process that has just started cannot find out when the epoch began.  It treats the epoch as
// unsettled until kRewriteTime after its own first answer, unless a gateway reports that it has
// seen the epoch for that long (MarkSettled).
//
//   StoreEpoch epoch;
//   switch (epoch.OnAnswer(answer_epoch, sent, now)) ...
//   if (epoch.IsSettledFor(sent)) ...       // a read sent at that time shows the complete state
//
// A store that reports no epoch never returns from a backup, so its answers are always settled.

#ifndef GULLWARD_SERVING_STORE_EPOCH_H_
#define GULLWARD_SERVING_STORE_EPOCH_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace gullward {

class StoreEpoch {
 public:
  // Time after a return in which the operator and the engines write the lost data again.  The
  // platform states about two seconds; the rest allows for network delays.
  static constexpr Duration kRewriteTime = milliseconds(2500);

  enum class AnswerStatus {
    // The answer belongs to the current epoch.
    kCurrent,
    // The store has returned, and the answer is the first one of the new epoch.
    kReturned,
    // The answer was written before the latest return.
    kOutdated,
  };

  // Records the epoch of an answer that arrived at `now` to a call sent at `sent`.
  // `answer_epoch` is empty if the store reports none.
  AnswerStatus OnAnswer(std::optional<uint64_t> answer_epoch, Time sent, Time now);

  // Records that a gateway has seen `settled_epoch` for at least kRewriteTime.  Ignored if it is
  // not the current epoch.
  void MarkSettled(uint64_t settled_epoch, Time now);

  // Whether a read sent at `sent` shows all data that was written before the return.
  bool IsSettledFor(Time sent) const { return this->has_answer && sent >= this->settled_at_time; }

  // Whether any answer has arrived.
  bool is_known() const { return this->has_answer; }
  // The epoch of the newest answer; empty if the store reports none.
  std::optional<uint64_t> current() const { return this->epoch; }
  // The time from which the current epoch counts as settled.
  Time settled_at() const { return this->settled_at_time; }
  // Returns of the store since the process started.
  uint64_t returns() const { return this->return_count; }

 private:
  void BeginEpoch(std::optional<uint64_t> new_epoch, Time now);

  bool has_answer = false;
  std::optional<uint64_t> epoch;
  Time began_at{};
  Time settled_at_time{};
  uint64_t return_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_STORE_EPOCH_H_

// Which return of the platform's store an answer belongs to, and what it proves.
//
// The store may come back from a copy that is some seconds old.  What it had acknowledged
// since is gone, and offsets are given out again.  Each answer tells the store's epoch, which
// rises with every return, so:
//
//   - A place in a topic belongs to the epoch in which it was read, and says nothing in
//     another one.
//   - An answer to a call that was sent before a newer epoch was heard of is outdated: it is
//     as good as none.
//   - Right after a return the store lacks what the operator and the engines have not written
//     again yet.  Until that is over, the epoch is unsettled, and what the store shows is
//     neither the newest configuration nor the whole list of engines.
//
// A process that has just started cannot know when the epoch began.  It takes it for unsettled
// for kRewriteTime from its own first sight, unless a gateway has said that it saw the
// epoch for so long (Settle).
//
//   StoreEpoch epoch;
//   switch (epoch.Hear(answer_epoch, sent, now)) ...
//   if (epoch.IsSettledFor(sent)) ...       // the read that was sent then proves something
//
// A store that tells no epoch never returns from a copy: its answers are always settled.

#ifndef GULLWARD_SERVING_STORE_EPOCH_H_
#define GULLWARD_SERVING_STORE_EPOCH_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace gullward {

class StoreEpoch {
 public:
  // In which the operator and the engines write again what was lost: the platform says about
  // two seconds, and the rest is for the ways to us.
  static constexpr Duration kRewriteTime = milliseconds(2500);

  enum class AnswerStatus {
    kCurrent,
    // The store has returned: the answer is the first one of its epoch.
    kReturned,
    // The answer was made before a return that is known.
    kOutdated,
  };

  // Takes the epoch of an answer, which came now to a call sent at `sent`.
  AnswerStatus OnAnswer(std::optional<uint64_t> told, Time sent, Time now);

  // A gateway has seen that epoch for the whole of kRewriteTime.
  void MarkSettled(uint64_t settled, Time now);

  // Whether what was written before the return is there again, for a read sent at `sent`.
  bool IsSettledFor(Time sent) const { return this->heard && sent >= this->settled_at_time; }

  // Whether any answer has come.
  bool is_known() const { return this->heard; }
  // The epoch of the newest answer; nothing where the store tells none.
  std::optional<uint64_t> current() const { return this->epoch; }
  // When it is settled, as far as is known.
  Time settled_at() const { return this->settled_at_time; }
  // Returns seen since the process began.
  uint64_t returns() const { return this->return_count; }

 private:
  void Begin(std::optional<uint64_t> next, Time now);

  bool heard = false;
  std::optional<uint64_t> epoch;
  Time heard_at{};
  Time settled_at_time{};
  uint64_t return_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_STORE_EPOCH_H_

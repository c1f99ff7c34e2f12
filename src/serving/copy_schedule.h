// When a gateway writes the engines' list to the copy that all gateways share.
//
// Every gateway has the same list, so one write serves all, and nobody is appointed to
// make it.  After a change each waits for a time of its own choice; whoever comes first
// writes, and tells the others by its datagrams which content the copy has.  Two that
// write at the same moment write the same.
//
//   CopySchedule schedule(seed);
//   schedule.NoteList(fingerprint, now);         // our list has changed
//   schedule.NoteCopy(fingerprint);              // a peer says what the copy has
//   if (schedule.IsDue(now)) { write; schedule.NoteWritten(now); }

#ifndef GULLWARD_SERVING_COPY_SCHEDULE_H_
#define GULLWARD_SERVING_COPY_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace gullward {

class CopySchedule {
 public:
  // Engines come and go in groups; each write is a call to the store.
  static constexpr Duration kSettle = milliseconds(300);
  // Over which the gateways spread: a datagram of a peer takes milliseconds, and five
  // gateways then write 1.1 times on the mean.
  static constexpr Duration kSpread = milliseconds(1200);
  // Between two writes of one gateway.
  static constexpr Duration kLeastPause = seconds(2);

  explicit CopySchedule(uint64_t seed) : random(seed) {}

  // Our list has this content now.
  void NoteList(uint64_t fingerprint, Time now) {
    if (fingerprint == this->listed) return;
    this->listed = fingerprint;
    this->due_at = now + kSettle + this->DrawSpread();
  }

  // The copy has this content, as a peer says.
  void NoteCopy(uint64_t fingerprint) { this->copied = fingerprint; }

  // We have begun to write our list.
  void NoteWritten(Time now) {
    this->copied = this->listed;
    this->written_at = now;
  }

  // The write failed: it is due again after the usual pause.
  void NoteFailed() { this->copied = 0; }

  // The store has lost what it held, and is to be left alone until then.
  void NoteLost(Time left_alone_until) {
    this->copied = 0;
    this->due_at = left_alone_until + this->DrawSpread();
  }

  bool IsDue(Time now) const {
    if (this->listed == 0 || this->listed == this->copied) return false;
    return now >= this->due_at && now - this->written_at >= kLeastPause;
  }

  // The content that the copy has, as far as known; 0 where it is not.
  uint64_t copied_content() const { return this->copied; }

 private:
  Duration DrawSpread() {
    std::uniform_int_distribution<int64_t> spread(0, kSpread.count());
    return Duration(spread(this->random));
  }

  std::mt19937_64 random;
  uint64_t listed = 0;
  uint64_t copied = 0;
  Time due_at{};
  Time written_at{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_COPY_SCHEDULE_H_

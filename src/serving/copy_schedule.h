// When a gateway writes the engines' list to the copy that all gateways share.
//
// Every gateway has the same list, so one write serves all, and nobody is appointed to
// make it.  After a change each waits for a time of its own drawing, the longer the more
// gateways hear of one another; whoever comes first writes, and tells the others by its
// datagrams what the copy holds.  Two that write at the same moment write the same.
//
// Words on the copy pass from gateway to gateway and may be old when they come.  So each
// write has a revision, one more than the highest that its writer knew, and only a higher
// one replaces what is known: else two contents would go round and round, and everybody
// whose list is the other one would write.
//
//   CopySchedule schedule(seed);
//   schedule.NoteList(fingerprint, now);         // our list has changed
//   schedule.NoteCopy(mark, now);                // a peer says what the copy has
//   if (schedule.IsDue(now)) { write; schedule.NoteWritten(now); }

#ifndef GULLWARD_SERVING_COPY_SCHEDULE_H_
#define GULLWARD_SERVING_COPY_SCHEDULE_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace gullward {

// What the copy holds, as far as a gateway knows.
struct CopyVersion {
  // Of the write that it is from; 0 where none is known.
  uint64_t revision = 0;
  // The list's fingerprint; 0 where it is not known.
  uint64_t fingerprint = 0;

  auto operator<=>(const CopyVersion&) const = default;
};

class CopySchedule {
 public:
  // Engines come and go in groups; each write is a call to the store.
  static constexpr Duration kSettleDelay = milliseconds(300);
  // Over which the gateways spread, at least and for each of them: the news of a write takes
  // a third of a second, within which one more of them should come on the mean.
  static constexpr Duration kMinSpread = milliseconds(1200);
  static constexpr Duration kSpreadPerGateway = milliseconds(400);
  // Between two writes of the copy, whoever makes them.
  static constexpr Duration kMinPause = seconds(2);

  explicit CopySchedule(uint64_t seed) : random(seed) {}

  // How many gateways tell each other of the copy.
  void SetGateways(size_t count) {
    this->spread = std::max<Duration>(kMinSpread, count * kSpreadPerGateway);
  }

  // Our list has this content now.
  void NoteList(uint64_t fingerprint, Time now) {
    if (fingerprint == this->list_fingerprint) return;
    this->list_fingerprint = fingerprint;
    this->due_at = std::max(now + kSettleDelay, this->paused_until) + this->RandomDelay();
  }

  // The copy holds this, as a peer says.
  void NoteCopy(const CopyVersion& mark, Time now) {
    if (mark <= this->copied) return;
    this->copied = mark;
    this->Pause(now);
  }

  // We have begun to write our list.
  void NoteWritten(Time now) {
    this->copied = {this->copied.revision + 1, this->list_fingerprint};
    this->Pause(now);
  }

  // The write failed: it is due again after the usual pause.
  void NoteFailed() { this->copied.fingerprint = 0; }

  // The store has lost what it held, and is to be left alone until then.
  void NoteStoreReturn(Time left_alone_until) {
    this->copied.fingerprint = 0;
    this->paused_until = left_alone_until;
    this->due_at = left_alone_until + this->RandomDelay();
  }

  bool IsDue(Time now) const {
    bool is_wanted =
        this->list_fingerprint != 0 && this->list_fingerprint != this->copied.fingerprint;
    return is_wanted && now >= this->due_at;
  }

  // What we tell peers.
  const CopyVersion& copy() const { return this->copied; }

 private:
  Duration RandomDelay() {
    std::uniform_int_distribution<int64_t> draw(0, this->spread.count());
    return Duration(draw(this->random));
  }

  void Pause(Time now) {
    this->paused_until = now + kMinPause;
    this->due_at = this->paused_until + this->RandomDelay();
  }

  std::mt19937_64 random;
  Duration spread = kMinSpread;
  uint64_t list_fingerprint = 0;
  CopyVersion copied;
  Time due_at{};
  Time paused_until{};
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_COPY_SCHEDULE_H_

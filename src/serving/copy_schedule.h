// Decides when a gateway writes the engine list to the copy that all gateways share.
//
// All gateways have the same list, so one write by any of them is enough, and no gateway is
// assigned to it.  After a change each gateway waits for a random delay.  The first gateway whose
// delay ends writes the copy and sends its version to the others in its datagrams, and these
// then need no write of their own.  The delays are spread over a longer time if there are more
// gateways.  Two gateways that write at the same moment write the same content.
//
// Versions pass from gateway to gateway and may be outdated when they arrive.  Each write
// therefore has a revision that is one higher than the highest that the writer has received, and
// only a higher version replaces the recorded one.  Without revisions two contents could circulate
// forever, and every gateway with the other content would write its list again.
//
//   CopySchedule schedule(seed);
//   schedule.NoteList(fingerprint, now);         // this gateway's list has changed
//   schedule.NoteCopy(version, now);             // a peer has sent the version of the copy
//   if (schedule.IsDue(now)) { write; schedule.NoteWritten(now); }

#ifndef GULLWARD_SERVING_COPY_SCHEDULE_H_
#define GULLWARD_SERVING_COPY_SCHEDULE_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace gullward {

// Identifies what the copy holds.  Versions are ordered by revision, and then by
// fingerprint.
struct CopyVersion {
  // Number of the write; 0 if no write has been recorded.
  uint64_t revision = 0;
  // Hash of the list; 0 if unknown.
  uint64_t fingerprint = 0;

  auto operator<=>(const CopyVersion&) const = default;
};

class CopySchedule {
 public:
  // Delay after a change before the list is written.  Engines start and stop in groups, and each
  // write costs a call to the store.
  static constexpr Duration kSettleDelay = milliseconds(300);
  // The random delays are spread over kSpreadPerGateway for each gateway, and at least over
  // kMinSpread.  A new version reaches the other gateways in a third of a second, and on average
  // at most one more gateway should write in this time.
  static constexpr Duration kMinSpread = milliseconds(1200);
  static constexpr Duration kSpreadPerGateway = milliseconds(400);
  // Time between two writes of the copy by any gateways.
  static constexpr Duration kMinPause = seconds(2);

  explicit CopySchedule(uint64_t seed) : random(seed) {}

  // Sets the number of gateways that send each other the version of the copy.
  void SetGateways(size_t count) {
    this->spread = std::max<Duration>(kMinSpread, count * kSpreadPerGateway);
  }

  // Records that this gateway's list has this fingerprint now.
  void NoteList(uint64_t fingerprint, Time now) {
    if (fingerprint == this->list_fingerprint) return;
    this->list_fingerprint = fingerprint;
    this->due_at = std::max(now + kSettleDelay, this->paused_until) + this->RandomDelay();
  }

  // Records the version of the copy that a peer has sent.
  void NoteCopy(const CopyVersion& version, Time now) {
    if (version <= this->copied) return;
    this->copied = version;
    this->Pause(now);
  }

  // Records that this gateway has started to write its list.
  void NoteWritten(Time now) {
    this->copied = {this->copied.revision + 1, this->list_fingerprint};
    this->Pause(now);
  }

  // Records that the write failed.  It is due again after the usual pause.
  void NoteFailed() { this->copied.fingerprint = 0; }

  // Records that the store was restored from a backup and may have lost the copy.  No write is due
  // before `not_before`.
  void NoteStoreReturn(Time not_before) {
    this->copied.fingerprint = 0;
    this->paused_until = not_before;
    this->due_at = not_before + this->RandomDelay();
  }

  bool IsDue(Time now) const {
    bool is_wanted =
        this->list_fingerprint != 0 && this->list_fingerprint != this->copied.fingerprint;
    return is_wanted && now >= this->due_at;
  }

  // The version to send to peers.
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

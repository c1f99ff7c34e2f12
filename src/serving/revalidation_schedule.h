// Decides when this process revalidates its configuration, that is, asks the store whether the
// configuration is still the newest one.
//
// Two bounds call for it.  API keys may be accepted for a bounded time after the last validation
// (freshness.h).  And a change must be in force within a bounded time, although the store may lose
// the answer to the read that waits for it, or be silent to the gateway from which this one reads.
// Only a validation shows that.
//
// Each validation costs a call to the store.  A validation by one process serves all of them
// (peer_freshness.h), so one call per interval is enough for the whole fleet, and no process is
// assigned to make it.  Each process waits until the last validation has reached an age below
// which none is needed, and then for a random delay.  The process with the shortest delay asks the
// store and sends the result to the others, which then draw a new delay.  A process that receives
// no results from others asks the store itself in time.
//
// In a large fleet the gateways that read the configuration from the store (reader_tree.h) are to
// ask first, since their answers reach all others.  The others wait for longer, and ask only if no
// answer reaches them: the store may be silent to those gateways alone.
//
//   RevalidationSchedule schedule({.key_trust = seconds(5), .change = seconds(2)}, seed);
//   if (schedule.IsDue(validated_at, now)) { schedule.NoteRequested(); ... }
//   schedule.NoteBehind(now);        // the store has a newer configuration

#ifndef GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_
#define GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace gullward {

// The bounds that call for validations.
struct RevalidationBounds {
  // How long keys may be accepted after a validation.
  Duration key_trust{};
  // The time within which a change must be in force.
  Duration change{};
  // Whether `change` also holds for a process that reads from a peer.
  bool covers_readers = true;

  bool operator==(const RevalidationBounds&) const = default;
};

class RevalidationSchedule {
 public:
  // Shares of the shorter bound.  No process asks during the first, and the random delays are
  // spread over the second.  The remaining 0.4 leave time for a store that answers slowly or not at
  // first, and for reading a change.
  static constexpr double kQuietShare = 0.3;
  static constexpr double kJitterShare = 0.3;
  // The same two shares for a process that reads from a peer.  The remaining 0.3 leave time for
  // replacing a read that waits at the peer.
  static constexpr double kQuietShareOfReaders = 0.5;
  static constexpr double kJitterShareOfReaders = 0.2;
  // Pause after the store has reported a newer configuration, which is in force here by then.
  static constexpr Duration kNewerConfigPause = milliseconds(500);
  // A shorter bound is not taken into account: it could not be kept when a read is lost, and would
  // cost many calls.
  static constexpr Duration kMinBound = milliseconds(500);

  RevalidationSchedule(RevalidationBounds revalidation_bounds, uint64_t seed)
      : bounds(revalidation_bounds), random(seed) {}

  // Whether to ask the store now.  `validated_at` is the time of the last validation.
  bool IsDue(Time validated_at, Time now) {
    if (validated_at != this->drawn_for) this->DrawDelay(validated_at);
    return !this->is_requested && now >= this->due_at && now >= this->not_before;
  }

  // Sets whether this process reads the configuration from the store itself, as by default.
  void SetReadsStore(bool reads) {
    if (reads != this->reads_store) this->drawn_for = Time{};
    this->reads_store = reads;
  }

  // Whether a request to the store is pending.
  bool is_pending() const { return this->is_requested; }
  void NoteRequested() { this->is_requested = true; }
  void NoteValidated() { this->is_requested = false; }
  // The store did not answer and may be asked again.
  void NoteRetry() { this->is_requested = false; }
  // The store has a newer configuration than this process.
  void NoteBehind(Time now) {
    this->is_requested = false;
    this->not_before = now + kNewerConfigPause;
  }

 private:
  void DrawDelay(Time validated_at) {
    double quiet_share = this->reads_store ? kQuietShare : kQuietShareOfReaders;
    double jitter_share = this->reads_store ? kJitterShare : kJitterShareOfReaders;
    std::uniform_real_distribution<double> jitter(0, jitter_share);
    this->drawn_for = validated_at;
    this->due_at =
        validated_at + FromSeconds((quiet_share + jitter(this->random)) * ToSeconds(this->Bound()));
  }

  Duration Bound() const {
    bool covers_change = this->reads_store || this->bounds.covers_readers;
    if (!covers_change) return this->bounds.key_trust;
    return std::min(this->bounds.key_trust, std::max(this->bounds.change, kMinBound));
  }

  RevalidationBounds bounds;
  std::mt19937_64 random;
  bool reads_store = true;
  Time drawn_for{};
  Time due_at{};
  Time not_before{};
  bool is_requested = false;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_

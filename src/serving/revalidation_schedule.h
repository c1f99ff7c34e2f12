// When this process proves anew that its configuration is current.
//
// Keys may be accepted for a bounded time after the last proof (freshness.h), and
// each proof costs a call to the store.  A proof by any process serves all of them
// (peer_freshness.h), so one in every interval is enough for the whole fleet, and
// nobody has to be appointed to get it: each process waits, beyond an age at which
// nobody needs a new proof, for a time that it draws by lot.  Who drew the shortest
// asks the store and tells the others, who then draw again.  A process that hears
// nobody asks for itself in time.
//
//   ProofSchedule schedule(trust, seed);
//   if (schedule.IsDue(proved_at, now)) { schedule.NoteAsked(); ... }
//   schedule.NoteBehind(now);        // there was news instead of a proof

#ifndef GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_
#define GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace gullward {

class RevalidationSchedule {
 public:
  // Shares of the time for which keys may be trusted: up to the first nobody asks,
  // and the lots are drawn over the second.  Four tenths remain for a store that is
  // slow or silent at first.
  static constexpr double kQuietShare = 0.3;
  static constexpr double kJitterShare = 0.3;
  // After news: they are in force by then.
  static constexpr Duration kNewerConfigPause = milliseconds(500);

  RevalidationSchedule(Duration key_trust, uint64_t seed) : trust(key_trust), random(seed) {}

  // Whether to ask now, given when the configuration was last proved current.
  bool IsDue(Time proved_at, Time now) {
    if (proved_at != this->drawn_for) this->Draw(proved_at);
    return !this->asking && now >= this->due && now >= this->not_before;
  }

  bool is_pending() const { return this->asking; }
  void NoteRequested() { this->asking = true; }
  void NoteValidated() { this->asking = false; }
  // The store did not answer, and may be asked again.
  void NoteRetry() { this->asking = false; }
  void NoteBehind(Time now) {
    this->asking = false;
    this->not_before = now + kNewerConfigPause;
  }

 private:
  void Draw(Time proved_at) {
    std::uniform_real_distribution<double> lot(0, kJitterShare);
    this->drawn_for = proved_at;
    this->due = proved_at + FromSeconds((kQuietShare + lot(this->random)) * ToSeconds(this->trust));
  }

  Duration trust;
  std::mt19937_64 random;
  Time drawn_for{};
  Time due{};
  Time not_before{};
  bool asking = false;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_REVALIDATION_SCHEDULE_H_

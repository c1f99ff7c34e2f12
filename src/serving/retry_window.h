// How many second attempts this process may make for one service.
//
// All entry processes share one bound: in any window, second attempts are at
// most a ratio of the requests plus a fixed slack.  Without a word between them
// they keep to it by arithmetic: each process spends the ratio of its own
// requests and an equal part of the slack.
//
// A process that starts may follow one that has just spent its part, and knows nothing
// of it.  So it has no part of the slack until a whole window has passed since its start:
// by then whatever was spent before is out of the window.  The ratio of its own requests
// it has at once.  With a whole part at once, five processes under failing engines exceeded
// the bound in 8 of 10 simulated days with one round of restarts, in none without restarts.
//
//   RetryWindow window(bounds, process_started);
//   window.AddRequest(now);
//   if (!window.TakeRetry(now)) ...      // give up instead
//
// The window is kept in buckets of a tenth of it; counting one bucket more than
// the window holds keeps the answer on the safe side.

#ifndef GULLWARD_SERVING_RETRY_WINDOW_H_
#define GULLWARD_SERVING_RETRY_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

// Processes that the slack is divided among until it is known how many there are.
inline constexpr double kUnknownSharers = 40;
// Others may start that are not known yet; then this many times the known ones.
inline constexpr double kSharersMargin = 1.4;

// What the operator allows for one service.
struct RetryBounds {
  Duration window = seconds(10);
  // Second attempts for each request.
  double ratio = 0.2;
  // For all processes together.
  double slack = 100;

  bool operator==(const RetryBounds&) const = default;
};

class RetryWindow {
 public:
  // `process_started` is when this process began; left out, it has been up for long.
  explicit RetryWindow(const RetryBounds& retry_bounds, Time process_started = Time{})
      : bounds(retry_bounds), started(process_started) {}

  // Counts a request that was sent at `sent` at the earliest.  One that waited to be read
  // while the process stood still must not allow second attempts as if it were new.
  void AddRequest(Time sent);

  // Says how many processes there are, this one included.
  void SetProcesses(size_t count) {
    this->sharers = std::max(1.0, kSharersMargin * static_cast<double>(count));
  }

  // Takes one retry if the window has one left.
  bool TakeRetry(Time now);

  // Retries left in the window.
  double Left(Time now);

 private:
  static constexpr size_t kBuckets = 11;
  struct Bucket {
    int64_t number = -1;
    double requests = 0;
    double retries = 0;
  };

  // The bucket of a moment, or null where it has given its place to a later one.
  Bucket* At(Time moment);
  // This process's part of the slack.
  double SlackShare(Time now) const;

  RetryBounds bounds;
  Time started;
  std::array<Bucket, kBuckets> buckets{};
  double sharers = kUnknownSharers;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_RETRY_WINDOW_H_

// How many second attempts this process may make for one service.
//
// All entry processes share one bound: in any window, second attempts are at most a ratio
// of the requests plus a fixed slack.  Without a word between them they keep to it by
// arithmetic: each process earns the ratio of its own requests and an equal part of the
// slack, as credit that attempts are taken from.
//
// A process may be killed at any moment, and its successor knows nothing of what it has
// spent.  So credit that is saved up has to be small against the part of the slack, and a
// life begins with none:
//
//   - half of the part of the slack may be saved; the other half flows in over a window;
//   - each request earns the ratio, up to the ratio of a fifth of a window's requests.
//
// In any window, and through any number of restarts, the lives of one process then spend no
// more than the ratio of the requests of that window, and what was saved at its begin, and
// what flowed in: the part of the slack, as long as a fifth of a window's requests earns less
// than half of it.  With the ratio of a whole window of requests, processes that die after
// seconds of failures would exceed the bound.
//
//   RetryBucket bucket(bounds, process_started);
//   bucket.AddRequest(sent, now);
//   if (!bucket.TakeRetry(now)) ...      // give up instead

#ifndef GULLWARD_SERVING_RETRY_BUCKET_H_
#define GULLWARD_SERVING_RETRY_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

// Processes that the slack is divided among until it is known how many there are.
inline constexpr double kAssumedProcesses = 40;
// Others may start that are not known yet; then this many times the known ones.
inline constexpr double kProcessMargin = 1.4;

// What the operator allows for one service.
struct RetryBounds {
  Duration window = seconds(10);
  // Second attempts for each request.
  double ratio = 0.2;
  // For all processes together.
  double slack = 100;

  bool operator==(const RetryBounds&) const = default;
};

class RetryBucket {
 public:
  // Of the part of the slack, how much may be saved.
  static constexpr double kSavedShare = 0.5;
  // Requests whose ratio may be saved: those of a window divided by this.
  static constexpr int kSavedPerWindow = 5;

  // `process_started` is when this process began; left out, it has been up for long.
  explicit RetryBucket(const RetryBounds& retry_bounds, Time process_started = Time{})
      : bounds(retry_bounds), filled_at(process_started) {}

  // Counts a request that was sent at `sent` at the earliest.  One that waited for a window
  // or longer to be read, since the process stood still, earns nothing: the bound counts it
  // where it was sent.
  void AddRequest(Time sent, Time now);
  void AddRequest(Time now) { this->AddRequest(now, now); }

  // Says how many processes there are, this one included.
  void SetProcessCount(size_t count) {
    this->sharers = std::max(1.0, kProcessMargin * static_cast<double>(count));
  }

  // Takes one retry if there is credit for it.
  bool TakeRetry(Time now);

  // Credit for so many retries.
  double Available(Time now);

 private:
  // Requests of one fifth of a window.
  struct Period {
    int64_t number = -1;
    double requests = 0;
  };

  double SlackPart() const { return this->bounds.slack / this->sharers; }
  double MostSavedSlack() const { return kSavedShare * this->SlackPart(); }
  double MostSavedOfRequests() const;
  void CountRequest(Time now);
  void Fill(Time now);

  RetryBounds bounds;
  double sharers = kAssumedProcesses;
  // When the slack last flowed in.
  Time filled_at;
  // Of the part of the slack, so that it follows the number of processes.
  double saved_share = 0;
  double from_requests = 0;
  Period current;
  Period before;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_RETRY_BUCKET_H_

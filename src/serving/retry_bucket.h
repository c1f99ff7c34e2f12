// Limits the retries that this process makes for one service.
//
// All gateways share one bound: in any window of time, retries are at most a ratio of the requests
// plus a fixed slack.  They keep to it without communication: each process earns the ratio of its
// own requests and an equal share of the slack as credit, and each retry spends credit.
//
// A process may be killed at any moment, and its successor does not know what it has spent.
// Therefore the credit that can be saved is small compared with the share of the slack, and a
// process starts with none:
//
//   - Half of the share of the slack may be saved; the other half is earned over each window.
//   - Each request earns the ratio.  At most the ratio of a fifth of a window's requests is saved.
//
// In any window, and over any number of restarts, the successive processes of one gateway thus
// spend at most the ratio of the requests in that window, plus the credit saved at its start, plus
// the credit earned from the slack.  The last two together stay within the share of the slack as
// long as a fifth of a window's requests earns less than half of that share.  If the ratio of a
// whole window of requests could be saved, processes that crash after some seconds of failures
// would exceed the bound.
//
//   RetryBucket bucket(bounds, process_started);
//   bucket.AddRequest(sent, now);
//   if (!bucket.TakeRetry(now)) ...      // do not retry

#ifndef GULLWARD_SERVING_RETRY_BUCKET_H_
#define GULLWARD_SERVING_RETRY_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

// The number of processes among which the slack is divided until SetProcessCount is called.
inline constexpr double kAssumedProcesses = 40;
// The known number of processes is multiplied by this, since others may start that are not known
// yet.
inline constexpr double kProcessMargin = 1.4;

// The bound that the operator sets for one service.
struct RetryBounds {
  Duration window = seconds(10);
  // Retries for each request.
  double ratio = 0.2;
  // Additional retries in a window, for all processes together.
  double slack = 100;

  bool operator==(const RetryBounds&) const = default;
};

class RetryBucket {
 public:
  // Share of the process's slack that may be saved.
  static constexpr double kSavedShare = 0.5;
  // A window is divided into this many periods.  The ratio of the requests of one period may be
  // saved.
  static constexpr int kPeriodsPerWindow = 5;

  // `process_started` is the start of this process; by default it counts as long ago.
  explicit RetryBucket(const RetryBounds& retry_bounds, Time process_started = Time{})
      : bounds(retry_bounds), updated_at(process_started) {}

  // Counts a request that was sent at `sent` at the earliest.  A request that was read a window or
  // more after it was sent, because the process was suspended, earns nothing: the bound counts it
  // in the window in which it was sent.
  void AddRequest(Time sent, Time now);
  void AddRequest(Time now) { this->AddRequest(now, now); }

  // Sets the number of processes, including this one.
  void SetProcessCount(size_t count) {
    this->processes = std::max(1.0, kProcessMargin * static_cast<double>(count));
  }

  // Spends the credit for one retry.  Returns false if there is not enough.
  bool TakeRetry(Time now);

  // The credit, in retries.
  double Available(Time now);

 private:
  // The requests of one period.
  struct Period {
    int64_t number = -1;
    double requests = 0;
  };

  double SlackShare() const { return this->bounds.slack / this->processes; }
  double MaxSavedSlack() const { return kSavedShare * this->SlackShare(); }
  double MaxSavedFromRequests() const;
  void CountRequest(Time now);
  void EarnSlack(Time now);

  RetryBounds bounds;
  double processes = kAssumedProcesses;
  // When credit was last earned from the slack.
  Time updated_at;
  // Credit from the slack, as a fraction of SlackShare(), so that it follows the number of
  // processes.
  double saved_share = 0;
  double from_requests = 0;
  Period current;
  Period previous;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_RETRY_BUCKET_H_

// retry_window.h tells the arithmetic.

#include "serving/retry_window.h"

#include <algorithm>

namespace gullward {

RetryWindow::Bucket* RetryWindow::At(Time moment) {
  int64_t width =
      std::max<int64_t>(this->bounds.window.count() / static_cast<int64_t>(kBuckets - 1), 1);
  int64_t number = moment.time_since_epoch().count() / width;
  Bucket& bucket = this->buckets[static_cast<size_t>(number) % kBuckets];
  if (bucket.number > number) return nullptr;
  if (bucket.number < number) bucket = Bucket{number, 0, 0};
  return &bucket;
}

void RetryWindow::AddRequest(Time sent) {
  if (Bucket* bucket = this->At(sent)) bucket->requests += 1;
}

double RetryWindow::SlackShare(Time now) const {
  bool predecessor_counts = now - this->started < this->bounds.window;
  return predecessor_counts ? 0 : this->bounds.slack / this->sharers;
}

double RetryWindow::Left(Time now) {
  int64_t newest = this->At(now)->number;
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : this->buckets) {
    if (newest - bucket.number >= static_cast<int64_t>(kBuckets)) continue;
    // Requests are counted over one bucket less than retries.
    if (newest - bucket.number < static_cast<int64_t>(kBuckets) - 1) requests += bucket.requests;
    retries += bucket.retries;
  }
  return this->bounds.ratio * requests + this->SlackShare(now) - retries;
}

bool RetryWindow::TakeRetry(Time now) {
  if (this->Left(now) < 1) return false;
  this->At(now)->retries += 1;
  return true;
}

}  // namespace gullward

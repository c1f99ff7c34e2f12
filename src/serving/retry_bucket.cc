// retry_bucket.h tells the arithmetic.

#include "serving/retry_bucket.h"

namespace gullward {
namespace {

// Credit is a sum of fractions; so much of a retry is lost to rounding.
constexpr double kRounding = 1e-9;

}  // namespace

// The ratio of the busier of this fifth of a window and the one before.  A process that has
// few requests could else never save a whole attempt.
double RetryBucket::MostSavedOfRequests() const {
  double requests = std::max(this->current.requests, this->before.requests);
  double least = 1 - std::min(this->MostSavedSlack(), 1.0);
  return std::max(this->bounds.ratio * requests, least);
}

void RetryBucket::CountRequest(Time now) {
  int64_t length = std::max<int64_t>(this->bounds.window.count() / kSavedPerWindow, 1);
  int64_t number = now.time_since_epoch().count() / length;
  if (number != this->current.number) {
    bool follows = number == this->current.number + 1;
    this->before = follows ? this->current : Period{};
    this->current = Period{number, 0};
  }
  this->current.requests += 1;
}

void RetryBucket::AddRequest(Time sent, Time now) {
  if (now - sent >= this->bounds.window) return;
  this->CountRequest(now);
  double most = this->MostSavedOfRequests();
  if (this->from_requests >= most) return;
  this->from_requests = std::min(this->from_requests + this->bounds.ratio, most);
}

// What flows in over a window is what may not be saved of the part.
void RetryBucket::Fill(Time now) {
  double windows = ToSeconds(now - this->filled_at) / ToSeconds(this->bounds.window);
  this->filled_at = std::max(this->filled_at, now);
  if (windows <= 0) return;
  this->saved_share = std::min(this->saved_share + (1 - kSavedShare) * windows, kSavedShare);
}

double RetryBucket::Available(Time now) {
  this->Fill(now);
  return this->from_requests + this->saved_share * this->SlackPart();
}

bool RetryBucket::TakeRetry(Time now) {
  if (this->Available(now) < 1 - kRounding) return false;
  double of_requests = std::min(this->from_requests, 1.0);
  this->from_requests -= of_requests;
  double of_slack = 1 - of_requests;
  if (of_slack > 0) {
    this->saved_share = std::max(0.0, this->saved_share - of_slack / this->SlackPart());
  }
  return true;
}

}  // namespace gullward

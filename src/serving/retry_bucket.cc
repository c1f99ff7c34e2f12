// Credit from requests is spent before credit from the slack.

#include "serving/retry_bucket.h"

namespace gullward {
namespace {

// Tolerance for rounding errors, in retries: credit is a sum of fractions.
constexpr double kRounding = 1e-9;

}  // namespace

// The ratio of the requests of the current or the previous period, whichever has more.  Together
// with the slack at least one whole retry can be saved; otherwise a process with few requests could
// never retry.
double RetryBucket::MaxSavedFromRequests() const {
  double requests = std::max(this->current.requests, this->previous.requests);
  double min_saved = 1 - std::min(this->MaxSavedSlack(), 1.0);
  return std::max(this->bounds.ratio * requests, min_saved);
}

void RetryBucket::CountRequest(Time now) {
  int64_t length = std::max<int64_t>(this->bounds.window.count() / kPeriodsPerWindow, 1);
  int64_t number = now.time_since_epoch().count() / length;
  if (number != this->current.number) {
    bool is_next = number == this->current.number + 1;
    this->previous = is_next ? this->current : Period{};
    this->current = Period{number, 0};
  }
  this->current.requests += 1;
}

void RetryBucket::AddRequest(Time sent, Time now) {
  if (now - sent >= this->bounds.window) return;
  this->CountRequest(now);
  double max_saved = this->MaxSavedFromRequests();
  if (this->from_requests >= max_saved) return;
  this->from_requests = std::min(this->from_requests + this->bounds.ratio, max_saved);
}

// The share of the slack that is earned over a window is the part that cannot be saved.
void RetryBucket::EarnSlack(Time now) {
  double windows = ToSeconds(now - this->updated_at) / ToSeconds(this->bounds.window);
  this->updated_at = std::max(this->updated_at, now);
  if (windows <= 0) return;
  this->saved_share = std::min(this->saved_share + (1 - kSavedShare) * windows, kSavedShare);
}

double RetryBucket::Available(Time now) {
  this->EarnSlack(now);
  return this->from_requests + this->saved_share * this->SlackShare();
}

bool RetryBucket::TakeRetry(Time now) {
  if (this->Available(now) < 1 - kRounding) return false;
  double spent_from_requests = std::min(this->from_requests, 1.0);
  this->from_requests -= spent_from_requests;
  double spent_from_slack = 1 - spent_from_requests;
  if (spent_from_slack > 0) {
    this->saved_share = std::max(0.0, this->saved_share - spent_from_slack / this->SlackShare());
  }
  return true;
}

}  // namespace gullward

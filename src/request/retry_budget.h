// How many retries an entry may make, so that trouble does not feed itself.
//
// When half the engines die at once, every request on them wants a second try,
// on the half that is left.  A budget keeps retries to a small fraction of what
// succeeds: each success adds `ratio` of a retry, each retry takes one, and the
// purse never holds more than kMaxRetries.
//
//   RetryBudget budget(0.1);
//   if (!budget.Take()) ...          // give the request up, at once

#ifndef GULLWARD_REQUEST_RETRY_BUDGET_H_
#define GULLWARD_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace gullward {

// Retries that can be saved up; an entry starts with these.
inline constexpr double kMaxRetries = 20;

class RetryBudget {
 public:
  explicit RetryBudget(double retries_per_success) : ratio(retries_per_success) {}

  void SetRatio(double retries_per_success) { this->ratio = retries_per_success; }

  // Notes a request that succeeded.
  void AddSuccess() { this->purse = std::min(this->purse + this->ratio, kMaxRetries); }

  // Takes one retry, or says that there is none left.
  bool Take() {
    if (this->purse < 1) return false;
    this->purse -= 1;
    return true;
  }

  double left() const { return this->purse; }

 private:
  double ratio;
  double purse = kMaxRetries;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_RETRY_BUDGET_H_

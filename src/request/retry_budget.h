// Limits the retries of an entry, so that retries cannot overload the engines that are left.
//
// When half of the engines crash at once, all of their requests are due for a retry on the
// other half.  The budget limits retries to a small fraction of the requests that succeed:
// each success adds `ratio` retries to the balance, each retry takes one from it, and the
// balance never exceeds kMaxRetries.
//
//   RetryBudget budget(0.1);
//   if (!budget.Take()) ...          // fail the request at once

#ifndef GULLWARD_REQUEST_RETRY_BUDGET_H_
#define GULLWARD_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace gullward {

// Upper bound of the balance, in retries.  An entry starts with a full balance.
inline constexpr double kMaxRetries = 20;

class RetryBudget {
 public:
  explicit RetryBudget(double retries_per_success) : ratio(retries_per_success) {}

  void SetRatio(double retries_per_success) { this->ratio = retries_per_success; }

  // Adds the share of a retry that one successful request earns.
  void AddSuccess() { this->balance = std::min(this->balance + this->ratio, kMaxRetries); }

  // Takes one retry from the balance.  Returns false if less than one is left.
  bool Take() {
    if (this->balance < 1) return false;
    this->balance -= 1;
    return true;
  }

  double left() const { return this->balance; }

 private:
  double ratio;
  double balance = kMaxRetries;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_RETRY_BUDGET_H_

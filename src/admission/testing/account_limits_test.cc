// Tests the limits of token rate and requests in flight, for one entry and for several.

#define BOOST_TEST_MODULE account_limits
#include "admission/account_limits.h"

#include <boost/test/unit_test.hpp>

namespace gullward {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(TheBucketFillsAtItsRate) {
  AccountLimits limits;
  EffectiveLimit limit{100, 200, 0};
  BOOST_TEST((limits.Admit("a", limit, 150, kStart).code == ResultCode::kOk));
  LimitResult refused = limits.Admit("a", limit, 100, kStart);
  BOOST_TEST((refused.code == ResultCode::kRateLimited));
  // The 50 missing tokens take half a second at 100 tokens per second.
  BOOST_TEST((refused.retry_after == milliseconds(500)));
  Time back = kStart + refused.retry_after;
  BOOST_TEST((limits.Admit("a", limit, 100, back).code == ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(ARequestLargerThanTheBucketLeavesANegativeBalance) {
  AccountLimits limits;
  EffectiveLimit limit{100, 200, 0};
  BOOST_TEST((limits.Admit("a", limit, 1000, kStart).code == ResultCode::kOk));
  LimitResult refused = limits.Admit("a", limit, 1, kStart + seconds(1));
  BOOST_TEST((refused.code == ResultCode::kRateLimited));
  BOOST_TEST((limits.Admit("a", limit, 1, kStart + seconds(9)).code == ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(FinishedRequestsNoLongerCountAsInFlight) {
  AccountLimits limits;
  EffectiveLimit limit{0, 0, 2};
  limits.Admit("a", limit, 1, kStart);
  limits.Admit("a", limit, 1, kStart);
  BOOST_TEST((limits.Admit("a", limit, 1, kStart).code == ResultCode::kTooManyInFlight));
  BOOST_TEST((limits.Admit("b", limit, 1, kStart).code == ResultCode::kOk));
  limits.Finish("a");
  BOOST_TEST((limits.Admit("a", limit, 1, kStart).code == ResultCode::kOk));
}

// For any number of entries, all entries together admit the limit and no more.
BOOST_AUTO_TEST_CASE(EntriesDivideALimit) {
  for (size_t entries : {1u, 2u, 3u, 8u}) {
    std::vector<AccountLimits> all(entries);
    for (AccountLimits& limits : all) limits.SetEntries(entries);
    EffectiveLimit limit{1000, 1000, 0};
    uint64_t admitted = 0;
    for (int step = 0; step < 1000; ++step) {
      Time now = kStart + milliseconds(10) * step;
      AccountLimits& limits = all[static_cast<size_t>(step) % entries];
      if (limits.Admit("a", limit, 50, now).code == ResultCode::kOk) admitted += 50;
    }
    // A burst of 1,000 tokens, then ten seconds at 1,000 tokens per second.
    BOOST_TEST(admitted <= 11'000u);
    BOOST_TEST(admitted >= 10'000u);
  }
}

BOOST_AUTO_TEST_CASE(IdleAccountsAreRemoved) {
  AccountLimits limits;
  EffectiveLimit limit{100, 100, 0};
  limits.Admit("a", limit, 50, kStart);
  limits.Prune(kStart + seconds(10));
  BOOST_TEST(limits.accounts() == 1u);
  limits.Finish("a");
  limits.Prune(kStart + milliseconds(100));
  BOOST_TEST(limits.accounts() == 1u);
  limits.Prune(kStart + seconds(10));
  BOOST_TEST(limits.accounts() == 0u);
}

}  // namespace
}  // namespace gullward

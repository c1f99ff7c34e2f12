// Tests that engines that state a limit receive no more requests than the users' bound allows,
// from fleets of any size and under all faults, and that the allowed rate is used.

#define BOOST_TEST_MODULE limit_trial
#include <boost/test/unit_test.hpp>
#include <string>

#include "trial/fleet_tables.h"

namespace gullward {
namespace {

struct Size {
  size_t gateways;
  size_t engines;
  int seeds;
  // How long the limit is in force, and a divisor of the request rate, since large fleets take
  // long to simulate.
  Duration limit_duration;
  double rate_divisor;
};

const Size kSizes[] = {{5, 18, 2, seconds(30), 1},
                       {30, 60, 1, seconds(12), 3},
                       {100, 150, 1, seconds(8), 6},
                       {300, 300, 1, seconds(6), 12}};

LimitTrialOptions Sized(const LimitCondition& condition, const Size& size, int seed) {
  LimitTrialOptions options = condition.options;
  options.limited_from = seconds(1);
  options.limited_until = options.limited_from + size.limit_duration;
  options.duration = options.limited_until + seconds(1);
  options.requests_per_s /= size.rate_divisor;
  options.seed = static_cast<uint64_t>(seed);
  return options;
}

BOOST_AUTO_TEST_CASE(BoundHoldsAtEverySize) {
  for (const Size& size : kSizes) {
    for (const LimitCondition& condition : LimitConditions(size.gateways, size.engines)) {
      for (int seed = 1; seed <= size.seeds; ++seed) {
        BOOST_TEST_CONTEXT(size.gateways << " gateways, " << condition.name << ", seed " << seed) {
          BOOST_TEST(PlayLimits(Sized(condition, size, seed)).max_of_allowed <= 1.0);
        }
      }
    }
  }
}

// If gateways ignore notices, the bound is violated, which shows that the trial can detect that.
BOOST_AUTO_TEST_CASE(WithoutFollowingNoticesTheBoundIsViolated) {
  for (size_t gateways : {5, 30}) {
    LimitTrialOptions options;
    options.gateways = gateways;
    options.engine_notices = false;
    BOOST_TEST(PlayLimits(options).max_of_allowed > 2.0);
  }
}

// All engines state a limit and callers send more than all limits together.  At least 90 % of the
// allowed rate must be used, and at least half if one gateway in turn is always down.
BOOST_AUTO_TEST_CASE(AllowedRateIsUsed) {
  LimitTrialOptions busy;
  busy.limited_share = 1;
  busy.requests_per_s = 40;
  BOOST_TEST(PlayLimits(busy).limit_used >= 0.9);
  LimitTrialOptions killed = busy;
  killed.kill_interval = seconds(2);
  BOOST_TEST(PlayLimits(killed).limit_used >= 0.5);
}

// Gateways that send no requests to an engine receive the end of its limit from the gateways that
// do.
BOOST_AUTO_TEST_CASE(AllGatewaysReceiveTheEndOfALimit) {
  LimitTrialOptions options;
  // The only engine is limited, so all requests go to it while its limit allows any.
  options.engines = 1;
  options.limited_share = 1;
  options.gateways = 30;
  options.data_centres = 1;
  LimitTrialResult result = PlayLimits(options);
  BOOST_TEST(result.lifted_after_ms >= 0);
  BOOST_TEST(result.lifted_after_ms <= 5000);
}

BOOST_AUTO_TEST_CASE(NoticeBytesPerGatewayDoNotGrowWithTheFleet) {
  LimitTrialOptions few;
  few.gateways = 30;
  few.engines = 60;
  LimitTrialOptions many = few;
  many.gateways = 100;
  many.engines = 200;
  BOOST_TEST(PlayLimits(many).bytes_per_s <= 1.6 * PlayLimits(few).bytes_per_s);
}

BOOST_AUTO_TEST_CASE(RunsAreDeterministic) {
  LimitTrialOptions options;
  options.limited_until = seconds(15);
  options.duration = seconds(20);
  BOOST_TEST((PlayLimits(options) == PlayLimits(options)));
}

}  // namespace
}  // namespace gullward

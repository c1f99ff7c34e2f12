// Engines in need get no more than the users allow, from fleets of any size and whatever
// befalls these, and what they are ready to take is used.

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
  // How long the need lasts, and a divisor of the requests: large fleets take long to play.
  Duration need;
  double slower;
};

const Size kSizes[] = {{5, 18, 2, seconds(30), 1},
                       {30, 60, 1, seconds(12), 3},
                       {100, 150, 1, seconds(8), 6},
                       {300, 300, 1, seconds(6), 12}};

LimitTrialOptions Sized(const LimitCondition& condition, const Size& size, int seed) {
  LimitTrialOptions options = condition.options;
  options.need_from = seconds(1);
  options.need_to = options.need_from + size.need;
  options.length = options.need_to + seconds(1);
  options.requests_per_s /= size.slower;
  options.seed = static_cast<uint64_t>(seed);
  return options;
}

BOOST_AUTO_TEST_CASE(TheBoundIsKeptAtEverySize) {
  for (const Size& size : kSizes) {
    for (const LimitCondition& condition : LimitConditions(size.gateways, size.engines)) {
      for (int seed = 1; seed <= size.seeds; ++seed) {
        BOOST_TEST_CONTEXT(size.gateways << " gateways, " << condition.name << ", seed " << seed) {
          BOOST_TEST(PlayLimits(Sized(condition, size, seed)).most_of_allowed <= 1.0);
        }
      }
    }
  }
}

// Without it the bound is broken, so the trial can show it.
BOOST_AUTO_TEST_CASE(WithoutFollowingNoticesTheBoundIsBroken) {
  for (size_t gateways : {5, 30}) {
    LimitTrialOptions options;
    options.gateways = gateways;
    options.engine_notices = false;
    BOOST_TEST(PlayLimits(options).most_of_allowed > 2.0);
  }
}

// Where all engines are in need and callers want more than they take together, what they are
// ready to take is used: at least half where one gateway in turn is always down.
BOOST_AUTO_TEST_CASE(WhatEnginesAreReadyToTakeIsUsed) {
  LimitTrialOptions busy;
  busy.limited_share = 1;
  busy.requests_per_s = 40;
  BOOST_TEST(PlayLimits(busy).limit_used >= 0.9);
  LimitTrialOptions killed = busy;
  killed.kill_every = seconds(2);
  BOOST_TEST(PlayLimits(killed).limit_used >= 0.5);
}

// Those who send an engine nothing hear of the end of its need from those who do.
BOOST_AUTO_TEST_CASE(TheEndOfTheNeedIsToldToAll) {
  LimitTrialOptions options;
  // One engine in need is always asked, since callers want all that there is.
  options.engines = 1;
  options.limited_share = 1;
  options.gateways = 30;
  options.data_centres = 1;
  LimitTrialResult result = PlayLimits(options);
  BOOST_TEST(result.lifted_after_ms >= 0);
  BOOST_TEST(result.lifted_after_ms <= 5000);
}

BOOST_AUTO_TEST_CASE(WhatAGatewayTellsDoesNotGrowWithTheFleet) {
  LimitTrialOptions few;
  few.gateways = 30;
  few.engines = 60;
  LimitTrialOptions many = few;
  many.gateways = 100;
  many.engines = 200;
  BOOST_TEST(PlayLimits(many).bytes_per_s <= 1.6 * PlayLimits(few).bytes_per_s);
}

BOOST_AUTO_TEST_CASE(ARunDependsOnItsOptionsOnly) {
  LimitTrialOptions options;
  options.need_to = seconds(15);
  options.length = seconds(20);
  BOOST_TEST((PlayLimits(options) == PlayLimits(options)));
}

}  // namespace
}  // namespace gullward

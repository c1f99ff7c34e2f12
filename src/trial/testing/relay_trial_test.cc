// Tests that the calls to the store do not grow with the fleet, and that changes reach all gateways
// in time while gateways end, freeze, or are refused by the store.

#define BOOST_TEST_MODULE relay_trial
#include "trial/relay_trial.h"

#include <boost/test/unit_test.hpp>

namespace gullward {
namespace {

// The users' shortest bound on the time until a change must be in force.
constexpr Duration kChangeBound = seconds(2);

// The load guarded against: each change cost one call for each gateway.
BOOST_AUTO_TEST_CASE(CallsForAChangeDoNotGrowWithTheFleet) {
  double calls_at_100 = PlayRelay({.gateways = 100}).store_calls_per_s;
  double calls_at_1000 = PlayRelay({.gateways = 1000}).store_calls_per_s;
  BOOST_TEST(calls_at_1000 <= calls_at_100 * 1.05);
  RelayTrialOptions without;
  without.gateways = 100;
  without.is_relayed = false;
  BOOST_TEST(PlayRelay(without).store_calls_per_s > 5 * calls_at_100);
}

BOOST_AUTO_TEST_CASE(AStartOfAllCostsFewCallsAndIsQuick) {
  for (size_t gateways : {30, 300, 1000}) {
    RelayTrialResult result = PlayRelay({.gateways = gateways, .duration = seconds(4)});
    BOOST_TEST(result.store_calls <= 40u, gateways << " gateways: " << result.store_calls);
    BOOST_TEST(ToSeconds(result.started_after) <= 2.0, gateways);
    BOOST_TEST(ToSeconds(result.started_after) > 0.0, gateways);
  }
}

BOOST_AUTO_TEST_CASE(ChangesReachAllInTime) {
  struct Row {
    const char* name;
    RelayTrialOptions options;
  };
  const Row rows[] = {
      {"calm", {}},
      {"a gateway killed every second", {.kill_interval = seconds(1)}},
      {"a gateway frozen every second", {.freeze_interval = seconds(1)}},
      {"both", {.kill_interval = milliseconds(700), .freeze_interval = milliseconds(900)}},
      {"a third refused by the store", {.refused_share = 0.34}},
      {"slow hops", {.hop_delay = milliseconds(60)}},
  };
  for (const Row& row : rows) {
    for (size_t gateways : {5, 30, 300}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        RelayTrialOptions options = row.options;
        options.gateways = gateways;
        options.seed = seed;
        RelayTrialResult result = PlayRelay(options);
        BOOST_TEST(ToSeconds(result.longest_change) <= ToSeconds(kChangeBound),
                   row.name << ", " << gateways << " gateways, seed " << seed << ": "
                            << ToSeconds(result.longest_change) << " s");
      }
    }
  }
}

// A silence that begins just after a change, so that the next reads are sent into it.
RelayTrialOptions SilentAfterAChange(size_t gateways, Duration silence) {
  return {
      .gateways = gateways, .silent_from = seconds(10) + milliseconds(2), .silent_for = silence};
}

const size_t kFleets[] = {5, 30, 300};
const Duration kSilences[] = {milliseconds(300), milliseconds(1900), milliseconds(2900),
                              milliseconds(3900), milliseconds(6500)};

// Failure guarded against: all gateways that read from the store waited on reads that it never
// answered, so that no gateway of the fleet saw the next change in time.
BOOST_AUTO_TEST_CASE(ChangesAfterASilenceReachAllInTime) {
  for (size_t gateways : kFleets) {
    for (Duration silence : kSilences) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        RelayTrialOptions options = SilentAfterAChange(gateways, silence);
        options.seed = seed;
        Duration longest = PlayRelay(options).longest_change;
        BOOST_TEST(ToSeconds(longest) <= ToSeconds(kChangeBound),
                   gateways << " gateways, silent for " << ToSeconds(silence) << " s, seed " << seed
                            << ": " << ToSeconds(longest) << " s");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(WithoutRenewalAndRevalidationASilenceHidesChanges) {
  for (size_t gateways : kFleets) {
    RelayTrialOptions options = SilentAfterAChange(gateways, seconds(3));
    options.renews_reads = options.revalidates = false;
    BOOST_TEST(ToSeconds(PlayRelay(options).longest_change) > 10);
  }
}

// The store is silent to the roots for long, and serves all other gateways.
RelayTrialOptions SilentToRoots(size_t gateways, uint64_t seed) {
  return {.gateways = gateways,
          .change_interval = milliseconds(1700),
          .silent_for = seconds(15),
          .is_silent_to_roots_only = true,
          .seed = seed};
}

const size_t kFleetsWithReaders[] = {30, 300, 1000};

// Failure guarded against: the roots' reads stayed open, and the gateways that read from them saw
// no change although the store would have told them.
BOOST_AUTO_TEST_CASE(ChangesReachTheOthersWhileTheStoreIsSilentToTheRoots) {
  for (size_t gateways : kFleetsWithReaders) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      Duration longest = PlayRelay(SilentToRoots(gateways, seed)).longest_change;
      BOOST_TEST(ToSeconds(longest) <= ToSeconds(kChangeBound),
                 gateways << " gateways, seed " << seed << ": " << ToSeconds(longest) << " s");
      BOOST_TEST_MESSAGE(gateways << " gateways: " << ToSeconds(longest) << " s");
    }
  }
}

BOOST_AUTO_TEST_CASE(WithoutRevalidationByReadersSilentRootsHideChanges) {
  for (size_t gateways : kFleetsWithReaders) {
    RelayTrialOptions options = SilentToRoots(gateways, /*seed=*/1);
    options.revalidates_as_reader = false;
    BOOST_TEST(ToSeconds(PlayRelay(options).longest_change) > 10);
  }
}

// While the store answers the roots, what they are shown reaches the others before these ask.
BOOST_AUTO_TEST_CASE(ReadersSeldomAskWhileTheRootsAreServed) {
  for (size_t gateways : kFleetsWithReaders) {
    RelayTrialOptions options{.gateways = gateways, .change_interval = seconds(60)};
    uint64_t with_readers = PlayRelay(options).store_calls;
    options.revalidates_as_reader = false;
    uint64_t roots_only = PlayRelay(options).store_calls;
    BOOST_TEST(with_readers <= roots_only * 1.1,
               gateways << " gateways: " << with_readers << " for " << roots_only);
  }
}

BOOST_AUTO_TEST_CASE(GatewaysThatTheStoreRefusesSeldomAskIt) {
  RelayTrialOptions options{.gateways = 300, .refused_share = 0.35};
  RelayTrialResult relayed = PlayRelay(options);
  options.is_relayed = false;
  RelayTrialResult alone = PlayRelay(options);
  BOOST_TEST(relayed.refused_calls * 10 < alone.refused_calls,
             relayed.refused_calls << " of " << alone.refused_calls);
}

BOOST_AUTO_TEST_CASE(ARunDependsOnItsOptionsOnly) {
  RelayTrialOptions options{.kill_interval = seconds(1)};
  BOOST_TEST((PlayRelay(options) == PlayRelay(options)));
}

}  // namespace
}  // namespace gullward

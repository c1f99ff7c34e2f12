// What may not grow with a fleet does not, and work does not herd on a few engines.

#define BOOST_TEST_MODULE scale
#include <boost/test/unit_test.hpp>

#include "trial/scale_trial.h"

namespace gullward {
namespace {

ScaleResult Play(size_t gateways, bool cells) {
  ScaleOptions options;
  options.gateways = gateways;
  options.engines = 10 * gateways;
  options.length = seconds(2);
  options.mechanisms.cells = cells;
  return PlayScale(options);
}

// Undivided, what a gateway prices and keeps grows with the fleet; this is what cells are
// for, and what the other tests would show if they were off.
BOOST_AUTO_TEST_CASE(WithoutCellsTheCostOfAGatewayGrowsWithTheFleet) {
  ScaleResult few = Play(10, /*cells=*/false);
  ScaleResult many = Play(60, /*cells=*/false);
  BOOST_TEST(many.candidates >= 5 * few.candidates);
  BOOST_TEST(many.datagrams_per_s >= 4 * few.datagrams_per_s);
}

// With cells it is flat between 100 and 300 gateways.
BOOST_AUTO_TEST_CASE(WithCellsItDoesNot) {
  ScaleResult hundred = Play(100, /*cells=*/true);
  ScaleResult threefold = Play(300, /*cells=*/true);
  BOOST_TEST(threefold.candidates <= 1.6 * hundred.candidates);
  BOOST_TEST(threefold.datagrams_per_s <= 1.6 * hundred.datagrams_per_s);
  BOOST_TEST(threefold.words_kept <= 2 * hundred.words_kept);
}

// Slots are taken to a third; nobody should meet a full engine.
BOOST_AUTO_TEST_CASE(FewFindAnEngineFullWhileOthersHaveRoom) {
  for (size_t gateways : {30, 100}) {
    BOOST_TEST_CONTEXT(gateways << " gateways") {
      BOOST_TEST(Play(gateways, /*cells=*/true).found_full <= 0.01);
    }
  }
}

BOOST_AUTO_TEST_CASE(ARunDependsOnItsOptionsOnly) {
  BOOST_TEST((Play(30, true) == Play(30, true)));
}

}  // namespace
}  // namespace gullward

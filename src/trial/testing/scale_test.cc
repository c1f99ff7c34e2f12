// Tests that with cells the cost per gateway does not grow with the fleet, and that gateways do
// not send their requests to the same few engines.

#define BOOST_TEST_MODULE scale
#include <boost/test/unit_test.hpp>

#include "trial/scale_trial.h"

namespace gullward {
namespace {

ScaleResult Play(size_t gateways, bool cells) {
  ScaleOptions options;
  options.gateways = gateways;
  options.engines = 10 * gateways;
  options.duration = seconds(2);
  options.mechanisms.cells = cells;
  return PlayScale(options);
}

// Without cells the engines that a gateway evaluates and the datagrams that it sends grow with
// the fleet.  This shows that the test below would fail if cells were off.
BOOST_AUTO_TEST_CASE(WithoutCellsTheCostOfAGatewayGrowsWithTheFleet) {
  ScaleResult few = Play(10, /*cells=*/false);
  ScaleResult many = Play(60, /*cells=*/false);
  BOOST_TEST(many.candidates >= 5 * few.candidates);
  BOOST_TEST(many.datagrams_per_s >= 4 * few.datagrams_per_s);
}

// With cells the cost stays nearly the same from 100 to 300 gateways.
BOOST_AUTO_TEST_CASE(WithCellsTheCostOfAGatewayDoesNotGrow) {
  ScaleResult hundred = Play(100, /*cells=*/true);
  ScaleResult threefold = Play(300, /*cells=*/true);
  BOOST_TEST(threefold.candidates <= 1.6 * hundred.candidates);
  BOOST_TEST(threefold.datagrams_per_s <= 1.6 * hundred.datagrams_per_s);
  BOOST_TEST(threefold.peer_loads_kept <= 2 * hundred.peer_loads_kept);
}

// About a third of the slots are in use, so almost no request should arrive at a full engine.
BOOST_AUTO_TEST_CASE(RequestsRarelyArriveAtAFullEngineWhileOthersHaveRoom) {
  for (size_t gateways : {30, 100}) {
    BOOST_TEST_CONTEXT(gateways << " gateways") {
      BOOST_TEST(Play(gateways, /*cells=*/true).found_full <= 0.01);
    }
  }
}

BOOST_AUTO_TEST_CASE(RunsAreDeterministic) { BOOST_TEST((Play(30, true) == Play(30, true))); }

}  // namespace
}  // namespace gullward

// Answers a load that turns every ten seconds between a flood of short prompts and one of very long
// ones: requests are refused by the learned price, and the longest kind keeps its share.

#define BOOST_TEST_MODULE room_price
#include "gateway/room_price.h"

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <map>

#include "serving/engine_costs.h"
#include "serving/load_digest.h"
#include "serving/refusal.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
const WorkKey kShort{"models", "short"};
const WorkKey kVast{"models", "vast"};
constexpr size_t kEngines = 10;

struct Served {
  double asked = 0;
  double refused = 0;

  double share() const { return (this->asked - this->refused) / this->asked; }
};

// One gateway before engines that work off what is accepted.
struct Site {
  explicit Site(bool keeps_shares) : rank_of_vast(keeps_shares ? 0 : 1) {}

  void Ask(const WorkKey& key, double tokens, double engine_seconds) {
    Demand demand;
    demand.prompt_tokens = tokens;
    demand.objective_ms = key == kVast ? 4000 : 600;
    demand.rank_steps = key == kVast ? this->rank_of_vast : 0;
    this->room_price.SetTerms(key, kEngines, this->now, &demand);
    Placement placement;
    placement.engine_seconds = engine_seconds;
    placement.first_event_ms = 1000 * this->backlog / kEngines;
    placement.utilization = std::min(this->backlog / kEngines, 1.0);
    bool is_refused = ShouldRefuse(placement, demand);
    this->room_price.Note(key, demand, placement, is_refused, this->now);
    if (!is_refused) this->backlog += engine_seconds;
    Served& counts = this->served[key.route];
    counts.asked += 1;
    counts.refused += is_refused ? 1 : 0;
  }

  void Run(Duration duration, int shorts_per_step, int steps_per_vast) {
    constexpr Duration kStep = milliseconds(50);
    for (int step = 0; step < duration / kStep; ++step) {
      this->now += kStep;
      this->backlog = std::max(this->backlog - kEngines * ToSeconds(kStep), 0.0);
      for (int i = 0; i < shorts_per_step; ++i) this->Ask(kShort, 1500, 0.036);
      if (step % steps_per_vast == 0) this->Ask(kVast, 250'000, 7);
    }
  }

  int rank_of_vast;
  EventLog log{open("/dev/null", O_WRONLY)};
  RoomPrice room_price{true, &this->log};
  Time now = kStart;
  // Engine seconds accepted and not yet done.
  double backlog = 0;
  std::map<std::string, Served> served;
};

void RunTides(Site* site) {
  for (int turn = 0; turn < 4; ++turn) {
    // Shorts ask for 14 engine seconds a second of 10, and vast prompts for 7 beside them.
    site->Run(seconds(10), 20, 20);
    // Shorts ask for 0.7, vast prompts for 23.
    site->Run(seconds(10), 1, 6);
  }
}

// Routes of different rank are not compared, so there the price alone decides.
BOOST_AUTO_TEST_CASE(LongestKindKeepsItsShareInTides) {
  Site by_price(/*keeps_shares=*/false);
  RunTides(&by_price);
  Site with_shares(/*keeps_shares=*/true);
  RunTides(&with_shares);
  double total_asked = 0;
  double total_refused = 0;
  for (const auto& [route, served] : with_shares.served) {
    total_asked += served.asked;
    total_refused += served.refused;
    BOOST_TEST_MESSAGE(route << " " << served.share() << " by price alone "
                             << by_price.served[route].share());
  }
  double total_share = 1 - total_refused / total_asked;
  BOOST_TEST(with_shares.served["vast"].share() > by_price.served["vast"].share());
  BOOST_TEST(with_shares.served["vast"].share() > total_share - 0.1);
}

// In a lasting flood of short prompts the price alone refuses nearly all vast ones.
BOOST_AUTO_TEST_CASE(LongestKindIsNotRefusedByPriceAlone) {
  Site by_price(/*keeps_shares=*/false);
  by_price.Run(seconds(60), 20, 20);
  BOOST_TEST(by_price.served["vast"].share() < 0.2);
  Site with_shares(/*keeps_shares=*/true);
  with_shares.Run(seconds(20), 20, 20);
  with_shares.served.clear();
  with_shares.Run(seconds(40), 20, 20);
  Served& vast = with_shares.served["vast"];
  Served& shorts = with_shares.served["short"];
  BOOST_TEST_MESSAGE("vast " << vast.share() << " short " << shorts.share());
  double all = 1 - (vast.refused + shorts.refused) / (vast.asked + shorts.asked);
  BOOST_TEST(vast.share() > all - 0.1);
}

// Guards against the price overwriting what an account's share of the engine time has set.
BOOST_AUTO_TEST_CASE(TheFactorOfAnotherPartIsKept) {
  Site site(/*keeps_shares=*/true);
  Demand demand;
  demand.refusal.value_factor = 0.5;
  site.room_price.SetTerms(kVast, kEngines, site.now, &demand);
  BOOST_TEST(demand.refusal.value_factor == 0.5);
}

BOOST_AUTO_TEST_CASE(SwitchedOffNothingIsCountedOrChanged) {
  EventLog log(open("/dev/null", O_WRONLY));
  RoomPrice room_price(false, &log);
  Placement placement;
  placement.engine_seconds = 100;
  for (int i = 0; i < 1000; ++i) {
    Demand demand;
    room_price.SetTerms(kShort, kEngines, kStart, &demand);
    BOOST_REQUIRE((demand == Demand{}));
    room_price.Note(kShort, demand, placement, true, kStart);
  }
  room_price.ApplyPeer("box-2", 1, 1, {{kShort, {100, 50, 100, 100}}}, kStart);
  BOOST_TEST(room_price.WorkToSend(kStart).empty());
  BOOST_TEST(room_price.prices().services().empty());
}

BOOST_AUTO_TEST_CASE(CallersThatReturnAreNotCounted) {
  EventLog log(open("/dev/null", O_WRONLY));
  RoomPrice room_price(true, &log);
  Demand demand;
  room_price.Note(kShort, demand, Placement{}, true, kStart);
  demand.was_refused_before = true;
  room_price.Note(kShort, demand, Placement{}, true, kStart);
  BOOST_TEST(room_price.WorkToSend(kStart).at(kShort).asked == 1);
}

BOOST_AUTO_TEST_CASE(DigestCarriesValidWorkOnly) {
  const double kNan = std::numeric_limits<double>::quiet_NaN();
  LoadDigest digest;
  digest.box = "box-1";
  digest.work = {{kShort, {4, 1, 0.5, 3}}, {kVast, {1, 0, 7, 25}}};
  BOOST_TEST((DecodeDigest(EncodeDigest(digest)) == digest));
  LoadDigest wild = digest;
  wild.work[{"models", "a"}] = {kNan, 0, 1, 1};
  wild.work[{"models", "b"}] = {1, 2, 1, 1};
  wild.work[{"models", "c"}] = {1, 0, -1, 1};
  wild.work[{"models", ""}] = {1, 0, 1, 1};
  wild.work[{"", "d"}] = {1, 0, 1, 1};
  BOOST_TEST((DecodeDigest(EncodeDigest(wild)) == digest));
  for (int i = 0; i < 200; ++i) wild.work[{"models", std::to_string(i)}] = {1, 0, 1, 1};
  BOOST_TEST(DecodeDigest(EncodeDigest(wild))->work.size() == LoadDigest::kMaxWorkEntries);
  // A gateway of the version before sends none.
  digest.work.clear();
  BOOST_TEST((DecodeDigest(EncodeDigest(digest)) == digest));
}

}  // namespace
}  // namespace gullward

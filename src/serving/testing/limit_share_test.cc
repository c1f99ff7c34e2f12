// The parts of a limit, the credit for them, and who counts as silent.

#define BOOST_TEST_MODULE limit_share
#include "serving/limit_share.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/peer_liveness.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);

std::vector<std::string> Boxes(size_t count) {
  std::vector<std::string> boxes;
  for (size_t i = 0; i < count; ++i) boxes.push_back(absl::StrCat("box-", i));
  return boxes;
}

std::vector<std::string> Without(std::vector<std::string> boxes, const std::string& box) {
  std::erase(boxes, box);
  return boxes;
}

// What each of the gateways works out for itself.
std::map<std::string, double> Shares(const std::string& engine,
                                     const std::vector<std::string>& boxes) {
  std::map<std::string, double> shares;
  for (const std::string& box : boxes) {
    double share = ShareOfLimit(engine, box, Without(boxes, box));
    if (share > 0) shares[box] = share;
  }
  return shares;
}

BOOST_AUTO_TEST_CASE(PartsAddUpToTheWholeAtEverySize) {
  for (size_t count : {1, 2, 5, 6, 30, 100, 300}) {
    for (int i = 0; i < 20; ++i) {
      std::map<std::string, double> shares = Shares(absl::StrCat("i-", i), Boxes(count));
      BOOST_TEST(shares.size() == std::min(count, kSharers));
      double sum = 0;
      for (const auto& [box, share] : shares) sum += share;
      BOOST_TEST(std::abs(sum - 1) < 1e-9, count << " gateways, engine " << i);
    }
  }
}

// Engines fall to all gateways alike.
BOOST_AUTO_TEST_CASE(NoGatewayHasManyMoreThanItsPart) {
  std::map<std::string, int> engines_of;
  constexpr int kEngines = 1000;
  for (int i = 0; i < kEngines; ++i) {
    for (const auto& [box, share] : Shares(absl::StrCat("i-", i), Boxes(50))) {
      engines_of[box] += 1;
    }
  }
  BOOST_TEST(engines_of.size() == 50u);
  for (const auto& [box, count] : engines_of) BOOST_TEST(count <= 2 * kEngines * 5 / 50);
}

// One that comes or goes changes at most one of an engine's sharers.
BOOST_AUTO_TEST_CASE(AGatewayMoreChangesOneSharerAtMost) {
  std::vector<std::string> boxes = Boxes(30);
  for (int i = 0; i < 50; ++i) {
    std::string engine = absl::StrCat("i-", i);
    std::map<std::string, double> all = Shares(engine, boxes);
    for (const std::string& gone : boxes) {
      size_t kept = 0;
      for (const auto& [box, share] : Shares(engine, Without(boxes, gone))) kept += all.count(box);
      BOOST_REQUIRE(kept >= kSharers - 1);
    }
  }
}

// However requests come, an engine that all sharers send to gets no more in any four seconds
// than five and five times its limit; counted the slow way.
BOOST_AUTO_TEST_CASE(CreditKeepsToTheBoundInAnyWindow) {
  constexpr Duration kWindow = seconds(4);
  for (double limit : {0.5, 1.5, 2.5, 20.0}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      std::mt19937_64 random(seed);
      std::exponential_distribution<double> pause(seed % 2 == 0 ? 100 : 3 * limit);
      std::vector<LimitCredit> sharers(kSharers);
      std::deque<Time> arrivals;
      size_t most = 0;
      Time now = kStart;
      while (now < kStart + seconds(60)) {
        // Long pauses, in which all save, and bursts.
        now += random() % 200 == 0 ? seconds(6) : FromSeconds(pause(random));
        LimitCredit& credit = sharers[random() % sharers.size()];
        if (credit.Left(limit / kSharers, now) < 1) continue;
        credit.Take();
        arrivals.push_back(now);
        while (now - arrivals.front() >= kWindow) arrivals.pop_front();
        most = std::max(most, arrivals.size());
      }
      BOOST_TEST(static_cast<double>(most) <= 5 + 5 * limit, limit << " a second, seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(CreditBeginsWithNoneAndARateThatRoseCountsFromThenOn) {
  LimitCredit credit;
  BOOST_TEST(credit.Left(1, kStart) == 0);
  BOOST_TEST((credit.UntilOne() == seconds(1)));
  BOOST_TEST(credit.Left(1, kStart + seconds(1)) == 1);
  BOOST_TEST((credit.UntilOne() == Duration::zero()));
  credit.Take();
  // For how long the rate has been 10 is not known.
  BOOST_TEST(credit.Left(10, kStart + seconds(2)) == 1);
  // Whose part has passed on to another has nothing saved when it comes back.
  BOOST_TEST(credit.Left(0, kStart + seconds(3)) == 0);
  BOOST_TEST((credit.UntilOne() == Duration::max()));
  BOOST_TEST(credit.Left(1, kStart + seconds(9)) == 0);
}

BOOST_AUTO_TEST_CASE(WhoIsNotHeardOfIsSilentUnlessMostAre) {
  PeerLiveness liveness;
  std::vector<std::string> boxes = Boxes(4);
  auto silent_at = [&](Duration after) { return liveness.SilentPeers(boxes, kStart + after); };
  // Nobody before there was time to hear of them.
  BOOST_TEST(silent_at(seconds(0)).empty());
  for (const char* box : {"box-0", "box-1", "box-2"}) liveness.OnDatagram(box, kStart + seconds(4));
  BOOST_TEST((silent_at(PeerLiveness::kSilenceTimeout) == std::set<std::string>{"box-3"}));
  // Three of four: the fault is here.
  liveness.OnDatagram("box-0", kStart + seconds(10));
  BOOST_TEST(silent_at(seconds(11)).empty());
  for (const std::string& box : boxes) liveness.OnDatagram(box, kStart + seconds(12));
  BOOST_TEST(silent_at(seconds(13)).empty());
  // One that is new is not silent yet.
  boxes.push_back("box-9");
  BOOST_TEST(silent_at(seconds(14)).empty());
}

}  // namespace
}  // namespace gullward

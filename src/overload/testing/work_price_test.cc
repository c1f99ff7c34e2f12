// Answers a load whose kinds compete for the same engines: what engine time is worth follows from
// the work that is asked, at any number of gateways, and no kind of equal rank falls far behind.

#define BOOST_TEST_MODULE work_price
#include "overload/work_price.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"

namespace gullward {
namespace {

constexpr double kDefaultPrice = 8;
const Time kStart = Time{} + seconds(1000);
const WorkKey kShort{"models", "short"};
const WorkKey kVast{"models", "vast"};
// One request of each kind: 26 and 3.5 of value per engine second.
constexpr AskedWork kShortWork{.engine_seconds = 0.04, .value = 1.04};
constexpr AskedWork kVastWork{.engine_seconds = 8, .value = 28};

// The slow, obvious version: a kind finds room if the kinds of more value per second leave any.
double SlowPrice(const std::vector<WorkSums>& kinds, double room) {
  double asked = 0;
  double lowest = std::numeric_limits<double>::infinity();
  for (const WorkSums& kind : kinds) {
    asked += kind.engine_seconds;
    double better = 0;
    for (const WorkSums& other : kinds) {
      bool is_better = other.value / other.engine_seconds > kind.value / kind.engine_seconds;
      if (is_better) better += other.engine_seconds;
    }
    if (better < room) lowest = std::min(lowest, kind.value / kind.engine_seconds);
  }
  return asked <= room ? 0 : lowest;
}

BOOST_AUTO_TEST_CASE(PriceIsThatOfTheLastKindThatFindsRoom) {
  const WorkSums dear{100, 0, 4, 104};
  const WorkSums cheap{1, 0, 8, 28};
  struct {
    const char* name;
    std::vector<WorkSums> kinds;
    double room;
    double price;
  } cases[] = {
      {"nothing is asked", {}, 5, 0},
      {"all find room", {dear, cheap}, 12, 0},
      {"the last finds some room", {cheap, dear}, 11, 3.5},
      {"the last finds none", {cheap, dear}, 4, 26},
      {"the first alone is too much", {dear, cheap}, 1, 26},
      {"a kind without engine time", {dear, {5, 0, 0, 7}}, 3, 26},
  };
  for (const auto& one : cases) {
    BOOST_TEST(PriceOfLastServed(one.kinds, one.room) == one.price, one.name);
  }
}

BOOST_AUTO_TEST_CASE(PriceIsThatOfTheSlowVersion) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int> whole(1, 6);
  for (int round = 0; round < 5000; ++round) {
    std::vector<WorkSums> kinds(static_cast<size_t>(whole(random)));
    for (WorkSums& kind : kinds) kind = {1, 0, 1.0 * whole(random), 1.0 * whole(random)};
    double room = 3.0 * whole(random);
    BOOST_REQUIRE(PriceOfLastServed(kinds, room) == SlowPrice(kinds, room));
  }
}

// Gateways of one cell.  Requests reach them in turn, and each sends its sums to all others every
// half second.
struct Cell {
  explicit Cell(size_t count) : tallies(count), incarnations(count, 1) {}

  void Ask(const WorkKey& key, const AskedWork& work) {
    do this->next = (this->next + 1) % this->tallies.size();
    while (this->next == this->stopped);
    this->tallies[this->next].Note(key, work, this->now);
  }

  // Runs the cell under a steady load.
  void Run(Duration duration, int shorts_per_s, int vasts_per_s) {
    constexpr int kStepsPerS = 10;
    int steps = static_cast<int>(duration / milliseconds(100));
    for (int step = 1; step <= steps; ++step) {
      this->now += milliseconds(100);
      for (int i = 0; i < shorts_per_s / kStepsPerS; ++i) this->Ask(kShort, kShortWork);
      if (step % kStepsPerS < vasts_per_s) this->Ask(kVast, kVastWork);
      if (step % 5 == 0) this->Exchange();
    }
  }

  void Exchange() {
    this->sequence += 1;
    for (size_t from = 0; from < this->tallies.size(); ++from) {
      if (from == this->stopped) continue;
      std::map<WorkKey, WorkSums> work = this->tallies[from].OwnWork(this->now);
      for (size_t to = 0; to < this->tallies.size(); ++to) {
        if (to == from) continue;
        this->tallies[to].ApplyPeer(absl::StrCat("box-", from), this->incarnations[from],
                                    this->sequence, work, this->now);
      }
    }
    for (WorkTally& tally : this->tallies) tally.ForgetExpired(this->now);
  }

  void Restart(size_t gateway) {
    this->tallies[gateway] = WorkTally();
    this->incarnations[gateway] += 1;
  }

  double PriceAt(size_t gateway, double engines) const {
    WorkPrices prices(kDefaultPrice);
    prices.Update("models", this->tallies[gateway].WorkOf("models", this->now), engines, this->now);
    return prices.TermsOf("models", "short").value_per_engine_second;
  }

  Time now = kStart;
  std::vector<WorkTally> tallies;
  std::vector<uint64_t> incarnations;
  uint64_t sequence = 0;
  size_t next = 0;
  // The gateway that is stopped, if it is less than the number of gateways.
  size_t stopped = std::numeric_limits<size_t>::max();
};

// The flood of short prompts asks for 16 engine seconds a second, and vast ones for 40.
constexpr double kEngines = 10;

BOOST_AUTO_TEST_CASE(GatewaysOfAnyNumberComeToTheSamePrice) {
  double expected = 0;
  for (size_t count : {1, 2, 20, 300}) {
    Cell cell(count);
    cell.Run(seconds(10), 400, 5);
    if (count == 1) expected = cell.PriceAt(0, kEngines);
    BOOST_TEST(expected > 20);
    for (size_t gateway : {size_t{0}, count / 2, count - 1}) {
      BOOST_TEST(std::abs(cell.PriceAt(gateway, kEngines) - expected) < 0.02 * expected,
                 count << " gateways, gateway " << gateway);
    }
  }
}

// The load turns from short prompts to vast ones and back every ten seconds.
BOOST_AUTO_TEST_CASE(PriceFollowsTheLoadWithinSeconds) {
  Cell cell(4);
  for (int turn = 0; turn < 3; ++turn) {
    cell.Run(seconds(4), 400, 0);
    BOOST_TEST(cell.PriceAt(0, kEngines) > 20);
    cell.Run(seconds(6), 400, 0);
    cell.Run(seconds(4), 20, 8);
    BOOST_TEST(cell.PriceAt(0, kEngines) < 6);
    cell.Run(seconds(6), 20, 8);
  }
  cell.Run(WorkTally::kLifetime, 20, 0);
  BOOST_TEST(cell.PriceAt(0, kEngines) < kDefaultPrice);
}

BOOST_AUTO_TEST_CASE(GatewayWithoutEvidenceUsesTheDefault) {
  WorkPrices prices(kDefaultPrice);
  BOOST_TEST((prices.TermsOf("models", "short") == RouteTerms{kDefaultPrice, 1}));
  prices.Update("models", {}, kEngines, kStart);
  BOOST_TEST((prices.TermsOf("models", "short") == RouteTerms{kDefaultPrice, 1}));
  Cell cell(1);
  cell.Ask(kVast, kVastWork);
  BOOST_TEST(std::abs(cell.PriceAt(0, kEngines) - kDefaultPrice) < 1);
}

// A failure: the callers of a gateway that stops go to the others, which know its last sums.
BOOST_AUTO_TEST_CASE(PriceHoldsWhenAGatewayDies) {
  for (size_t count : {2, 20}) {
    Cell cell(count);
    cell.Run(seconds(10), 300, 0);
    double before = cell.PriceAt(0, kEngines);
    BOOST_TEST(before > 20);
    cell.stopped = count - 1;
    for (int i = 0; i < 40; ++i) {
      cell.Run(milliseconds(500), 300, 0);
      BOOST_TEST(std::abs(cell.PriceAt(0, kEngines) - before) < 0.05 * before);
    }
    BOOST_TEST(cell.tallies[0].entries() == count - 1);
  }
}

// A failure: a gateway that starts again knows nothing at first, and its peers still know its old
// sums.
BOOST_AUTO_TEST_CASE(PriceHoldsWhenAGatewayRestarts) {
  Cell cell(20);
  cell.Run(seconds(10), 300, 0);
  double before = cell.PriceAt(0, kEngines);
  cell.Restart(3);
  BOOST_TEST(cell.PriceAt(3, kEngines) == kDefaultPrice);
  for (int i = 0; i < 20; ++i) {
    cell.Run(milliseconds(500), 300, 0);
    for (size_t gateway : {0, 3}) {
      BOOST_TEST(std::abs(cell.PriceAt(gateway, kEngines) - before) < 0.05 * before);
    }
  }
}

// A failure: a peer sends sums that cannot be right.
BOOST_AUTO_TEST_CASE(WildSumsChangeNothingOrLittle) {
  const double kNan = std::numeric_limits<double>::quiet_NaN();
  const double kInfinity = std::numeric_limits<double>::infinity();
  WorkTally tally;
  tally.Note(kShort, kShortWork, kStart);
  std::map<std::string, RouteWork> before = tally.WorkOf("models", kStart);
  for (const WorkSums& wild :
       {WorkSums{kNan, 0, 1, 1}, WorkSums{1, 0, kInfinity, 1}, WorkSums{1, 0, 1, -1},
        WorkSums{1, 2, 1, 1}, WorkSums{1, 0, 1, 1e300}}) {
    tally.ApplyPeer("box-2", 1, 1, {{kShort, wild}}, kStart);
    BOOST_TEST((tally.WorkOf("models", kStart) == before));
  }
  // Valid but wrong sums: the price stays within its bounds and the names within theirs.
  std::map<WorkKey, WorkSums> many;
  for (int i = 0; i < 1000; ++i) {
    many[{absl::StrCat("s-", i % 40), absl::StrCat("r-", i)}] = {1, 0, 1, 1};
  }
  many[kShort] = {1, 0, 100, 1e9};
  tally.ApplyPeer("box-2", 1, 2, many, kStart);
  BOOST_TEST(tally.entries() <= WorkTally::kMaxServices * WorkTally::kMaxRoutes);
  tally.Note({"other", "first"}, kShortWork, kStart);
  BOOST_TEST(tally.WorkOf("other", kStart).size() == 1);
  WorkPrices prices(kDefaultPrice);
  prices.Update("models", tally.WorkOf("models", kStart), kEngines, kStart);
  BOOST_TEST(prices.TermsOf("models", "short").value_per_engine_second <=
             WorkPrices::kMaxPrice * kDefaultPrice);
  tally.ForgetExpired(kStart + WorkTally::kLifetime + seconds(1));
  BOOST_TEST(tally.entries() == 0);
}

BOOST_AUTO_TEST_CASE(OldDatagramsAreIgnored) {
  WorkTally tally;
  tally.ApplyPeer("box-2", 1, 5, {{kShort, {4, 0, 1, 1}}}, kStart);
  tally.ApplyPeer("box-2", 1, 4, {{kShort, {9, 0, 1, 1}}}, kStart);
  BOOST_TEST(tally.WorkOf("models", kStart).at("short").sums.asked == 4);
}

// Routes are compared with those of their own rank, and only while they are asked.
BOOST_AUTO_TEST_CASE(RouteThatIsShortOfItsShareIsRaised) {
  struct {
    const char* name;
    int other_rank;
    double refused;
    bool is_raised;
  } cases[] = {
      {"nothing is refused", 0, 0, false},
      {"a little more is refused", 0, 1, false},
      {"much more is refused", 0, 10, true},
      {"the others are more urgent", 1, 10, false},
  };
  for (const auto& one : cases) {
    std::map<std::string, RouteWork> work = {
        {"vast", {{20, one.refused, 10, 35}, 0}},
        {"short", {{200, 0, 8, 208}, one.other_rank}},
        {"unknown rank", {{200, 200, 8, 208}, {}}},
    };
    WorkPrices prices(kDefaultPrice);
    for (Time now = kStart; now <= kStart + seconds(30); now += milliseconds(500)) {
      prices.Update("models", work, kEngines, now);
    }
    const auto& routes = prices.services().at("models").routes;
    double expected = one.is_raised ? WorkPrices::kMaxShareFactor : 1;
    BOOST_TEST(routes.at("vast").factor == expected, one.name);
    BOOST_TEST(routes.at("short").factor == 1, one.name);
    BOOST_TEST(routes.count("unknown rank") == 0);
    BOOST_TEST(prices.TermsOf("models", "vast").value_factor ==
               std::min(expected, WorkPrices::kMaxValueFactor));
  }
}

}  // namespace
}  // namespace gullward

// Tests that each key is won by one request only, even if the log loses, delays or repeats appends.

#define BOOST_TEST_MODULE claimer
#include "claims/claimer.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace gullward {
namespace {

using Kind = ClaimOutcome::Kind;

ClaimerOptions Options(uint64_t writer) {
  ClaimerOptions options;
  options.writer = writer;
  return options;
}

RequestId Request(uint64_t writer, uint64_t sequence) { return {writer, sequence}; }

constexpr Time kStart{std::chrono::seconds(100)};

BOOST_AUTO_TEST_CASE(TheFirstClaimInTheLogWins) {
  Claimer one(Options(1));
  Claimer two(Options(2));
  one.Claim(7, Request(1, 1), kStart);
  two.Claim(7, Request(2, 1), kStart);
  ClaimBatch a = *one.Tick(kStart);
  ClaimBatch b = *two.Tick(kStart);
  // The log holds the record of `two` first.  Both claimers read both records.
  for (Claimer* claimer : {&one, &two}) {
    claimer->OnRecord(b, kStart);
    claimer->OnRecord(a, kStart);
  }
  BOOST_TEST((one.TakeOutcomes() ==
              std::vector<ClaimOutcome>{{Request(1, 1), Kind::kLost, Request(2, 1)}}));
  BOOST_TEST((two.TakeOutcomes() == std::vector<ClaimOutcome>{{Request(2, 1), Kind::kWon, {}}}));
}

BOOST_AUTO_TEST_CASE(AClaimHasNoOutcomeBeforeItIsReadBack) {
  Claimer claimer(Options(1));
  claimer.Claim(7, Request(1, 1), kStart);
  BOOST_REQUIRE(claimer.Tick(kStart).has_value());
  claimer.Tick(kStart + seconds(1));
  BOOST_TEST(claimer.TakeOutcomes().empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedAppendIsAppliedOnce) {
  Claimer claimer(Options(1));
  claimer.Claim(7, Request(1, 1), kStart);
  ClaimBatch first = *claimer.Tick(kStart);
  // The append was not read back in time and is repeated with the same sequence number.
  ClaimBatch again = *claimer.Tick(kStart + seconds(2));
  BOOST_TEST((first == again));
  claimer.OnRecord(first, kStart + seconds(3));
  claimer.OnRecord(again, kStart + seconds(3));
  BOOST_TEST(
      (claimer.TakeOutcomes() == std::vector<ClaimOutcome>{{Request(1, 1), Kind::kWon, {}}}));
  BOOST_TEST(claimer.keys() == 1u);
}

BOOST_AUTO_TEST_CASE(AnExpiredClaimIsReleasedWhenItIsRead) {
  Claimer claimer(Options(1));
  claimer.Claim(7, Request(1, 1), kStart);
  ClaimBatch late = *claimer.Tick(kStart);
  claimer.Tick(kStart + seconds(5));
  BOOST_TEST((claimer.TakeOutcomes() ==
              std::vector<ClaimOutcome>{{Request(1, 1), Kind::kUnavailable, {}}}));
  claimer.OnRecord(late, kStart + seconds(6));
  BOOST_TEST(claimer.TakeOutcomes().empty());
  ClaimBatch release = *claimer.Tick(kStart + seconds(7));
  claimer.OnRecord(release, kStart + seconds(7));
  BOOST_TEST(claimer.keys() == 0u);
  // The next request with the key wins it.
  claimer.Claim(7, Request(1, 2), kStart + seconds(8));
  claimer.OnRecord(*claimer.Tick(kStart + seconds(8)), kStart + seconds(8));
  BOOST_TEST(
      (claimer.TakeOutcomes() == std::vector<ClaimOutcome>{{Request(1, 2), Kind::kWon, {}}}));
}

BOOST_AUTO_TEST_CASE(AKeyExpiresAfterItsRetention) {
  ClaimTable table(ClaimTableOptions{seconds(10), 100});
  table.Apply({{1, 1}, {{ClaimKind::kClaim, 7, Request(1, 1)}}}, kStart);
  BOOST_TEST(table.Holder(7, kStart + seconds(9)).has_value());
  BOOST_TEST(!table.Holder(7, kStart + seconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyTheHolderReleasesAKey) {
  ClaimTable table(ClaimTableOptions{});
  table.Apply({{1, 1}, {{ClaimKind::kClaim, 7, Request(1, 1)}}}, kStart);
  table.Apply({{2, 1}, {{ClaimKind::kRelease, 7, Request(2, 5)}}}, kStart);
  BOOST_TEST((table.Holder(7, kStart) == Request(1, 1)));
  table.Apply({{1, 2}, {{ClaimKind::kRelease, 7, Request(1, 1)}}}, kStart);
  BOOST_TEST(!table.Holder(7, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(AFullTableRefusesNewClaims) {
  ClaimerOptions options = Options(1);
  options.table.max_keys = 2;
  Claimer claimer(options);
  claimer.OnRecord(
      {{2, 1}, {{ClaimKind::kClaim, 1, Request(2, 1)}, {ClaimKind::kClaim, 2, Request(2, 2)}}},
      kStart);
  claimer.Claim(3, Request(1, 1), kStart);
  BOOST_TEST((claimer.TakeOutcomes() ==
              std::vector<ClaimOutcome>{{Request(1, 1), Kind::kUnavailable, {}}}));
}

// Three claimers race for four keys through a log that loses, delays and repeats appends.  No key
// may be won by more than one request.
BOOST_AUTO_TEST_CASE(NoKeyIsWonTwiceInRandomRaces) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<Claimer> claimers;
    for (uint64_t w = 1; w <= 3; ++w) claimers.emplace_back(Options(w));
    std::vector<size_t> read(3, 0);
    std::vector<ClaimBatch> log;
    std::vector<ClaimBatch> delayed;
    std::map<uint64_t, int> wins;
    std::map<RequestId, uint64_t> key_of;
    for (int step = 0; step < 400; ++step) {
      Time now = kStart + milliseconds(50) * step;
      size_t w = random() % 3;
      if (random() % 4 == 0) {
        RequestId request = Request(w + 1, static_cast<uint64_t>(step));
        uint64_t key = random() % 4;
        key_of[request] = key;
        claimers[w].Claim(key, request, now);
      }
      if (auto batch = claimers[w].Tick(now)) {
        uint64_t outcome_of_append = random() % 4;
        if (outcome_of_append == 0) delayed.push_back(*batch);
        if (outcome_of_append >= 2) log.push_back(*batch);
      }
      if (random() % 3 == 0 && !delayed.empty()) {
        log.push_back(delayed.back());
        delayed.pop_back();
      }
      size_t reader = random() % 3;
      while (read[reader] < log.size()) claimers[reader].OnRecord(log[read[reader]++], now);
      for (Claimer& claimer : claimers) {
        for (const ClaimOutcome& outcome : claimer.TakeOutcomes()) {
          if (outcome.kind == Kind::kWon) ++wins[key_of[outcome.request]];
        }
      }
    }
    for (const auto& [key, count] : wins) BOOST_TEST(count <= 1, "seed " << seed << " key " << key);
  }
}

}  // namespace
}  // namespace gullward

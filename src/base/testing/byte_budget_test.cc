// Tests the bound on what all holders keep against a plain sum, and that it is given back.

#define BOOST_TEST_MODULE byte_budget
#include "base/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <vector>

namespace gullward {
namespace {

constexpr size_t kMaxEach = 100;
constexpr size_t kMaxInAll = 500;

BOOST_AUTO_TEST_CASE(BothBoundsAgreeWithAPlainSum) {
  std::mt19937_64 random(11);
  auto budget = std::make_shared<ByteBudget>(kMaxEach, kMaxInAll);
  std::vector<ByteReservation> holders;
  std::vector<size_t> sizes(12);
  for (size_t i = 0; i < sizes.size(); ++i) holders.emplace_back(budget);
  for (int i = 0; i < 5000; ++i) {
    size_t holder = random() % sizes.size();
    if (random() % 10 == 0) {
      holders[holder] = ByteReservation(budget);
      sizes[holder] = 0;
    } else {
      sizes[holder] = random() % (kMaxEach + 20);
      bool is_within = holders[holder].Set(sizes[holder]);
      size_t sum = std::accumulate(sizes.begin(), sizes.end(), size_t{0});
      BOOST_REQUIRE(is_within == (sizes[holder] <= kMaxEach && sum <= kMaxInAll));
    }
    BOOST_REQUIRE(budget->used() == std::accumulate(sizes.begin(), sizes.end(), size_t{0}));
  }
  holders.clear();
  BOOST_TEST(budget->used() == 0u);
}

BOOST_AUTO_TEST_CASE(AMovedReservationIsCountedOnce) {
  auto budget = std::make_shared<ByteBudget>(kMaxEach, kMaxInAll);
  {
    ByteReservation first(budget);
    first.Set(60);
    ByteReservation second(std::move(first));
    BOOST_TEST(budget->used() == 60u);
    second.Set(10);
    BOOST_TEST(budget->used() == 10u);
  }
  BOOST_TEST(budget->used() == 0u);
}

}  // namespace
}  // namespace gullward

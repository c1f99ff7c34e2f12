// One large client account asks for most of the engines' time while several small ones ask for a
// little, and the engines are short of room.

#define BOOST_TEST_MODULE account_share
#include "overload/account_share.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace gullward {
namespace {

constexpr Time kStart = Time(seconds(100));
constexpr double kBusy = 0.9;
constexpr double kRoomy = 0.5;

AccountShares SharesOf(const std::vector<std::pair<std::string, double>>& held,
                       double utilization) {
  AccountShares shares;
  for (const auto& [account, engine_seconds] : held) {
    shares.NoteAsked(account, utilization, kStart);
    shares.Add(account, engine_seconds, kStart);
  }
  return shares;
}

BOOST_AUTO_TEST_CASE(AnAccountGivesWayOnlyOverTwiceItsEqualShareAndOnlyWhileRoomIsShort) {
  struct Case {
    const char* what;
    std::vector<std::pair<std::string, double>> held;
    double utilization;
    // Of account "a".
    double factor;
  };
  const std::vector<Case> table = {
      {"nothing known", {}, kBusy, 1},
      {"alone", {{"a", 50}}, kBusy, 1},
      {"one of two holds nearly all", {{"a", 50}, {"b", 0}}, kBusy, 1},
      {"twice the equal share", {{"a", 20}, {"b", 5}, {"c", 5}, {"d", 10}}, kBusy, 1},
      {"two and a half equal shares", {{"a", 25}, {"b", 5}, {"c", 5}, {"d", 5}}, kBusy, 0.8},
      {"the same with room", {{"a", 25}, {"b", 5}, {"c", 5}, {"d", 5}}, kRoomy, 1},
      {"the same, utilization unknown",
       {{"a", 25}, {"b", 5}, {"c", 5}, {"d", 5}},
       std::numeric_limits<double>::quiet_NaN(),
       1},
      {"five equal shares", {{"a", 50}, {"b", 0}, {"c", 0}, {"d", 0}, {"e", 0}}, kBusy, 0.5},
  };
  for (const Case& test_case : table) {
    AccountShares shares = SharesOf(test_case.held, test_case.utilization);
    BOOST_TEST_CONTEXT(test_case.what) {
      BOOST_TEST(shares.ValueFactor("a", kStart) == test_case.factor,
                 boost::test_tools::tolerance(1e-9));
      BOOST_TEST(shares.ValueFactor("b", kStart) == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(WhatAnAccountHeldIsForgotten) {
  AccountShares shares = SharesOf({{"a", 50}, {"b", 0}, {"c", 0}, {"d", 0}}, kBusy);
  BOOST_TEST(shares.ValueFactor("a", kStart) == 0.5);
  Time later = kStart + seconds(20);
  for (const char* other : {"b", "c", "d"}) shares.Add(other, 12.5, later);
  BOOST_TEST(shares.ValueFactor("a", later) == 1);
  // The other accounts have left.
  BOOST_TEST(shares.ValueFactor("a", later + AccountShares::kForgetAfter + seconds(1)) == 1);
}

// Failure: values that are no engine time change nothing, and accounts without end need no memory
// without end.
BOOST_AUTO_TEST_CASE(InvalidValuesAreIgnoredAndMemoryIsBounded) {
  AccountShares shares = SharesOf({{"a", 25}, {"b", 5}, {"c", 5}, {"d", 5}}, kBusy);
  for (double invalid :
       {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    shares.Add("a", invalid, kStart);
  }
  BOOST_TEST(shares.ValueFactor("a", kStart) == 0.8, boost::test_tools::tolerance(1e-9));
  for (int i = 0; i < 1000; ++i) shares.NoteAsked("account-" + std::to_string(i), kBusy, kStart);
  BOOST_TEST(shares.accounts() == AccountShares::kMaxAccounts);
  // The account that held the most is still known.
  BOOST_TEST(shares.ValueFactor("a", kStart) == 0.5);
}

}  // namespace
}  // namespace gullward

// The load pattern: a flood of very long prompts comes in waves, callers are refused at the crest
// and told to return, and they return to any gateway: on time, early, late, twice, or not at all.

#define BOOST_TEST_MODULE return_book
#include "overload/return_book.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <set>

namespace gullward {
namespace {

constexpr uint64_t kContent = 7;

Time At(int ms) { return Time{} + seconds(100) + milliseconds(ms); }

ReturnPromise PromiseOf(uint64_t content, int due_ms, double engine_seconds = 2, int rank = 0) {
  return {content, "models", rank, milliseconds(due_ms), engine_seconds, false};
}

double AllReserved(const ReturnBook& book, Time now) {
  return book.PromisedSeconds("models", ReturnBook::kMaxRankSteps, now);
}

BOOST_AUTO_TEST_CASE(APromiseIsMatchedFromItsDueTimeUntilItLapses) {
  struct Row {
    int at_ms;
    ReturnMatch match;
    double reserved;
  };
  for (const Row& row : std::vector<Row>{{0, ReturnMatch::kEarly, 2},
                                         {979, ReturnMatch::kEarly, 2},
                                         {980, ReturnMatch::kOnTime, 2},
                                         {2000, ReturnMatch::kOnTime, 2},
                                         {2001, ReturnMatch::kUnknown, 0}}) {
    ReturnBook book;
    BOOST_TEST(book.Promise(PromiseOf(kContent, 1000), At(0)));
    BOOST_TEST((book.Match(kContent, At(row.at_ms)) == row.match), row.at_ms);
    BOOST_TEST((book.Match(kContent + 1, At(row.at_ms)) == ReturnMatch::kUnknown));
    BOOST_TEST(AllReserved(book, At(row.at_ms)) == row.reserved);
    bool is_early = row.match == ReturnMatch::kEarly;
    BOOST_TEST(book.TimeUntilDue(kContent, At(row.at_ms)).has_value() == is_early);
  }
}

BOOST_AUTO_TEST_CASE(APromiseNeitherMovesNorIsGrantedTwice) {
  ReturnBook book;
  BOOST_TEST(book.Promise(PromiseOf(kContent, 1000), At(0)));
  BOOST_TEST(!book.Promise(PromiseOf(kContent, 500), At(100)));
  book.Receive(PromiseOf(kContent, 300, 9), At(100));
  BOOST_TEST((book.TimeUntilDue(kContent, At(100)) == milliseconds(900)));
  BOOST_TEST(AllReserved(book, At(100)) == 2);
  book.Keep(kContent, At(1000));
  BOOST_TEST((book.Match(kContent, At(1000)) == ReturnMatch::kUnknown));
  BOOST_TEST(!book.Promise(PromiseOf(kContent, 500), At(1001)));
  // Once the time of the first has passed, the same content is a new request.
  BOOST_TEST(book.Promise(PromiseOf(kContent, 500), At(2001)));
  BOOST_TEST(book.lapsed() == 0u);
}

BOOST_AUTO_TEST_CASE(OnlyPromisesThatGoFirstKeepRoomAndMostWhenTheyAreDue) {
  ReturnBook book;
  book.Promise(PromiseOf(1, 500, 1, /*rank=*/0), At(0));
  book.Promise(PromiseOf(2, 750, 8, /*rank=*/1), At(0));
  book.Promise(PromiseOf(3, 2500, 100, /*rank=*/0), At(0));
  struct Row {
    int rank;
    int at_ms;
    double kept;
    double promised;
  };
  for (const Row& row : std::vector<Row>{{0, 0, 0.5, 101},
                                         {1, 0, 0.5 + 2, 109},
                                         {0, 500, 1, 101},
                                         {1, 750, 0.75 + 8, 109},
                                         {1, 1000, 0.5 + 6, 109},
                                         {1, 1501, 100 * 0.001 + 8 * 0.249, 108},
                                         {0, 2500, 100, 100}}) {
    BOOST_TEST_CONTEXT("rank " << row.rank << " at " << row.at_ms) {
      double kept = book.SecondsKept("models", row.rank, At(row.at_ms));
      BOOST_TEST(kept == row.kept, boost::test_tools::tolerance(1e-9));
      BOOST_TEST(book.PromisedSeconds("models", row.rank, At(row.at_ms)) == row.promised);
      BOOST_TEST(book.SecondsKept("others", row.rank, At(row.at_ms)) == 0);
    }
  }
}

// Passes what one book has to send to another, `delay_ms` later.
void Pass(ReturnBook* from, ReturnBook* to, int at_ms, int delay_ms = 0) {
  for (const ReturnPromise& promise : from->TakeUnsent(At(at_ms))) {
    to->Receive(promise, At(at_ms + delay_ms));
  }
}

BOOST_AUTO_TEST_CASE(ACallerIsKnownAtAnotherGatewayAndItsReturnAtTheFirst) {
  ReturnBook first;
  ReturnBook second;
  first.Promise(PromiseOf(kContent, 1000), At(0));
  Pass(&first, &second, 50);
  BOOST_TEST(first.TakeUnsent(At(60)).empty());
  // What came from a peer is not passed on.
  BOOST_TEST(second.TakeUnsent(At(60)).empty());
  BOOST_TEST((second.TimeUntilDue(kContent, At(50)) == milliseconds(950)));
  BOOST_TEST((second.Match(kContent, At(1000)) == ReturnMatch::kOnTime));
  second.Keep(kContent, At(1000));
  Pass(&second, &first, 1050);
  BOOST_TEST((first.Match(kContent, At(1050)) == ReturnMatch::kUnknown));
  BOOST_TEST(AllReserved(first, At(1050)) == 0);
  BOOST_TEST(first.IsEmpty(At(2001)));
  BOOST_TEST(first.lapsed() == 0u);
}

BOOST_AUTO_TEST_CASE(APromiseThatComesAfterItsReturnDoesNotReviveIt) {
  ReturnBook first;
  ReturnBook second;
  first.Promise(PromiseOf(kContent, 300), At(0));
  std::vector<ReturnPromise> delayed = first.TakeUnsent(At(0));
  first.Keep(kContent, At(300));
  Pass(&first, &second, 300);
  second.Receive(delayed.front(), At(400));
  BOOST_TEST((second.Match(kContent, At(700)) == ReturnMatch::kUnknown));
  BOOST_TEST(AllReserved(second, At(700)) == 0);
}

// The gateway that promised dies, or the datagram that tells of the return is lost.
BOOST_AUTO_TEST_CASE(RoomThatIsKeptInVainIsFreeAfterTheGrace) {
  ReturnBook dead;
  ReturnBook left;
  dead.Promise(PromiseOf(kContent, 1000), At(0));
  Pass(&dead, &left, 0, /*delay_ms=*/20);
  BOOST_TEST(AllReserved(left, At(2000)) == 2);
  BOOST_TEST(AllReserved(left, At(2021)) == 0);
  BOOST_TEST(left.IsEmpty(At(2021)));
  BOOST_TEST(left.lapsed() == 0u);
  BOOST_TEST(dead.IsEmpty(At(2021)));
  BOOST_TEST(dead.lapsed() == 1u);
}

BOOST_AUTO_TEST_CASE(WildPromisesChangeNothing) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  std::vector<ReturnPromise> wild(10, PromiseOf(kContent, 1000));
  wild[0].due_in = ReturnBook::kMaxDue + Duration(1);
  wild[1].due_in = -ReturnBook::kGrace - Duration(1);
  wild[2].due_in = Duration::max();
  wild[3].due_in = Duration::min();
  wild[4].engine_seconds = -1;
  wild[5].engine_seconds = std::nan("");
  wild[6].engine_seconds = kInfinity;
  wild[7].service = "";
  wild[8].service = std::string(ReturnBook::kMaxServiceBytes + 1, 'x');
  wild[9].rank_steps = -1;
  ReturnBook book;
  for (ReturnPromise& promise : wild) {
    BOOST_TEST(!book.Promise(promise, At(0)));
    book.Receive(promise, At(0));
    promise.is_kept = true;
    book.Receive(promise, At(0));
    BOOST_TEST(book.IsEmpty(At(0)));
  }
  book.Promise(PromiseOf(kContent, 1000), At(0));
  for (const ReturnPromise& promise : wild) book.Receive(promise, At(0));
  BOOST_TEST((book.Match(kContent, At(1000)) == ReturnMatch::kOnTime));
}

BOOST_AUTO_TEST_CASE(AFullBookGrantsNothingUntilPromisesLapse) {
  ReturnBook book;
  for (uint64_t i = 0; i < ReturnBook::kMaxPromises; ++i) {
    BOOST_TEST_REQUIRE(book.Promise(PromiseOf(i, 500), At(0)));
  }
  const uint64_t next = ReturnBook::kMaxPromises;
  BOOST_TEST(!book.Promise(PromiseOf(next, 500), At(0)));
  book.Receive(PromiseOf(next, 500), At(0));
  BOOST_TEST((book.Match(next, At(500)) == ReturnMatch::kUnknown));
  BOOST_TEST(book.Promise(PromiseOf(next, 500), At(1501)));
}

}  // namespace
}  // namespace gullward

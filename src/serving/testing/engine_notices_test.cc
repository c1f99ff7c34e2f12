// What is kept of engines' notices, for how long, and what takes them back.

#define BOOST_TEST_MODULE engine_notices
#include "serving/engine_notices.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr char kEngine[] = "i-7@1764720000123";
const EngineNotice kNothing;
const EngineNotice kLeaving{.leaving = true};

Time At(int ms) { return kStart + milliseconds(ms); }
EngineNotice Limit(double per_s) { return {.limit_per_s = per_s}; }
EngineNotice Rest(Duration rest) { return {.rest = rest}; }

// Answers pass one another on the way, so an answer without a limit may be older than the
// limit.
BOOST_AUTO_TEST_CASE(ALimitHoldsUntilALaterRequestsAnswerNamesNone) {
  struct Answer {
    int sent_ms;
    int came_ms;
    EngineNotice notice;
  };
  struct Row {
    const char* name;
    std::vector<Answer> answers;
    std::optional<double> limit;
  };
  const Row table[] = {
      {"none named", {{0, 10, kNothing}}, std::nullopt},
      {"named", {{0, 10, Limit(2.5)}}, 2.5},
      {"named again, lower", {{0, 10, Limit(2.5)}, {5, 20, Limit(1)}}, 1},
      {"sent before it was named", {{0, 10, Limit(2.5)}, {5, 20, kNothing}}, 2.5},
      {"sent after it was named", {{0, 10, Limit(2.5)}, {11, 20, kNothing}}, std::nullopt},
      {"named once more since",
       {{0, 10, Limit(2.5)}, {11, 30, Limit(2.5)}, {12, 31, kNothing}},
       2.5},
      {"unreadable", {{0, 10, Limit(2.5)}, {11, 20, EngineNotice{.malformed = true}}}, 2.5},
      {"another notice beside none",
       {{0, 10, Limit(2.5)}, {11, 20, Rest(seconds(1))}},
       std::nullopt},
  };
  for (const Row& row : table) {
    EngineNotices notices;
    for (const Answer& answer : row.answers) {
      notices.Hear(kEngine, answer.notice, At(answer.sent_ms), At(answer.came_ms));
    }
    BOOST_TEST((notices.LimitOf(kEngine) == row.limit), row.name);
  }
}

BOOST_AUTO_TEST_CASE(LeavingHoldsForTheLifeOfTheEngine) {
  EngineNotices notices;
  notices.Hear(kEngine, kLeaving, At(0), At(10));
  notices.Hear(kEngine, kNothing, At(20), At(30));
  BOOST_TEST(notices.IsLeaving(kEngine));
  BOOST_TEST(!notices.IsLeaving("i-7@1764720009999"));
  // Off the list and back on it.
  notices.Forget({}, At(1000));
  BOOST_TEST(notices.IsLeaving(kEngine));
  notices.Forget({kEngine}, At(2000));
  notices.Forget({}, At(2000) + EngineNotices::kKeptFor - milliseconds(1));
  BOOST_TEST(notices.IsLeaving(kEngine));
  notices.Forget({}, At(2000) + EngineNotices::kKeptFor);
  BOOST_TEST(!notices.Has(kEngine));
}

BOOST_AUTO_TEST_CASE(APauseHoldsUntilItsEnd) {
  EngineNotices notices;
  BOOST_TEST(notices.Hear(kEngine, Rest(seconds(3)), At(0), At(10)).rest);
  // A shorter one that is asked for meanwhile does not shorten it.
  BOOST_TEST(!notices.Hear(kEngine, Rest(seconds(1)), At(0), At(20)).rest);
  notices.Hear(kEngine, kNothing, At(30), At(40));
  BOOST_TEST((notices.RestLeft(kEngine, At(10)) == seconds(3)));
  BOOST_TEST((notices.RestLeft(kEngine, At(3009)) == milliseconds(1)));
  BOOST_TEST((notices.RestLeft(kEngine, At(3010)) == Duration::zero()));
  notices.Forget({kEngine}, At(3010));
  BOOST_TEST(!notices.Has(kEngine));
}

BOOST_AUTO_TEST_CASE(ChangesAreToldOnce) {
  EngineNotices notices;
  using Change = EngineNotices::Change;
  BOOST_TEST((notices.Hear(kEngine, kNothing, At(0), At(1)) == Change{}));
  BOOST_TEST((notices.Hear(kEngine, Limit(2), At(0), At(2)) == Change{.limit = true}));
  BOOST_TEST((notices.Hear(kEngine, Limit(2), At(0), At(3)) == Change{}));
  BOOST_TEST((notices.Hear(kEngine, kNothing, At(4), At(5)) == Change{.limit = true}));
  BOOST_TEST((notices.Hear(kEngine, kLeaving, At(6), At(7)) == Change{.leaving = true}));
  BOOST_TEST((notices.Hear(kEngine, kLeaving, At(8), At(9)) == Change{}));
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndWhatIsDroppedIsCounted) {
  EngineNotices notices;
  for (size_t i = 0; i <= EngineNotices::kCapacity; ++i) {
    notices.Hear(absl::StrCat("i-", i), kLeaving, At(0), At(static_cast<int>(i)));
  }
  BOOST_TEST(notices.leaving() == EngineNotices::kCapacity);
  BOOST_TEST(notices.forgotten() == 1u);
  // The one heard of longest ago.
  BOOST_TEST(!notices.IsLeaving("i-0"));
  BOOST_TEST(notices.IsLeaving("i-1"));
}

}  // namespace
}  // namespace gullward

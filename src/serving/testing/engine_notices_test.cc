// What is kept of engines' notices, for how long, and what takes them back.

#define BOOST_TEST_MODULE engine_notices
#include "serving/engine_notices.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/load_digest.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr char kEngine[] = "i-7@1764720000123";
const EngineNotice kNothing{.is_own_success = true};
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
      {"unreadable",
       {{0, 10, Limit(2.5)}, {11, 20, EngineNotice{.malformed = true, .is_own_success = true}}},
       2.5},
      {"a failure that names none", {{0, 10, Limit(2.5)}, {11, 20, EngineNotice{}}}, 2.5},
      {"a failure that asks for a pause", {{0, 10, Limit(2.5)}, {11, 20, Rest(seconds(1))}}, 2.5},
  };
  for (const Row& row : table) {
    EngineNotices notices;
    for (const Answer& answer : row.answers) {
      notices.Receive(kEngine, answer.notice, At(answer.sent_ms), At(answer.came_ms));
    }
    BOOST_TEST((notices.LimitOf(kEngine) == row.limit), row.name);
  }
}

BOOST_AUTO_TEST_CASE(LeavingHoldsForTheLifeOfTheEngine) {
  EngineNotices notices;
  notices.Receive(kEngine, kLeaving, At(0), At(10));
  notices.Receive(kEngine, kNothing, At(20), At(30));
  BOOST_TEST(notices.IsLeaving(kEngine));
  BOOST_TEST(!notices.IsLeaving("i-7@1764720009999"));
  // Off the list and back on it.
  notices.Forget({}, At(1000));
  BOOST_TEST(notices.IsLeaving(kEngine));
  notices.Forget({kEngine}, At(2000));
  notices.Forget({}, At(2000) + EngineNotices::kRetention - milliseconds(1));
  BOOST_TEST(notices.IsLeaving(kEngine));
  notices.Forget({}, At(2000) + EngineNotices::kRetention);
  BOOST_TEST(!notices.Has(kEngine));
}

BOOST_AUTO_TEST_CASE(APauseHoldsUntilItsEnd) {
  EngineNotices notices;
  BOOST_TEST(notices.Receive(kEngine, Rest(seconds(3)), At(0), At(10)).rest);
  // A shorter one that is asked for meanwhile does not shorten it.
  BOOST_TEST(!notices.Receive(kEngine, Rest(seconds(1)), At(0), At(20)).rest);
  notices.Receive(kEngine, kNothing, At(30), At(40));
  BOOST_TEST((notices.RestLeft(kEngine, At(10)) == seconds(3)));
  BOOST_TEST((notices.RestLeft(kEngine, At(3009)) == milliseconds(1)));
  BOOST_TEST((notices.RestLeft(kEngine, At(3010)) == Duration::zero()));
  notices.Forget({kEngine}, At(3010));
  BOOST_TEST(!notices.Has(kEngine));
}

BOOST_AUTO_TEST_CASE(ChangesAreToldOnce) {
  EngineNotices notices;
  using Change = EngineNotices::Change;
  BOOST_TEST((notices.Receive(kEngine, kNothing, At(0), At(1)) == Change{}));
  BOOST_TEST((notices.Receive(kEngine, Limit(2), At(0), At(2)) == Change{.limit = true}));
  BOOST_TEST((notices.Receive(kEngine, Limit(2), At(0), At(3)) == Change{}));
  BOOST_TEST((notices.Receive(kEngine, kNothing, At(4), At(5)) == Change{.limit = true}));
  BOOST_TEST((notices.Receive(kEngine, kLeaving, At(6), At(7)) == Change{.leaving = true}));
  BOOST_TEST((notices.Receive(kEngine, kLeaving, At(8), At(9)) == Change{}));
}

bool Nobody(const std::string&) { return false; }
bool Everybody(const std::string&) { return true; }

NoticeReport WordOf(std::optional<double> per_s, Duration age) {
  return {.limit = LimitReport{per_s, age}};
}

// Words of other gateways come in any order, and are about different moments.
BOOST_AUTO_TEST_CASE(OfALimitTheLatestIsBelievedWhoeverTellsIt) {
  struct Row {
    const char* name;
    std::vector<NoticeReport> words;
    std::optional<double> limit;
  };
  const Row table[] = {
      {"told", {WordOf(3, seconds(1))}, 3},
      {"lifted since", {WordOf(3, seconds(2)), WordOf(std::nullopt, seconds(1))}, std::nullopt},
      {"lifted before", {WordOf(3, seconds(1)), WordOf(std::nullopt, seconds(2))}, 3},
      {"lifted, then an old word",
       {WordOf(3, seconds(3)), WordOf(std::nullopt, seconds(1)), WordOf(3, seconds(2))},
       std::nullopt},
      {"too old", {WordOf(3, EngineNotices::kOldestWord + seconds(1))}, std::nullopt},
      {"lifted, nothing known", {WordOf(std::nullopt, seconds(1))}, std::nullopt},
  };
  for (const Row& row : table) {
    EngineNotices notices;
    for (const NoticeReport& word : row.words) notices.ReceiveReport(kEngine, word, At(60'000));
    BOOST_TEST((notices.LimitOf(kEngine) == row.limit), row.name);
  }
}

BOOST_AUTO_TEST_CASE(ChangesAreToldOnAtOnceAndSharersTellAgain) {
  EngineNotices notices;
  notices.Receive(kEngine, Limit(2), At(0), At(100));
  auto words = notices.ReportsToSend(/*all=*/false, Nobody, At(150));
  BOOST_REQUIRE(words.count(kEngine) == 1u);
  BOOST_TEST((words[kEngine] == WordOf(2, milliseconds(50))));
  BOOST_TEST(notices.ReportsToSend(false, Everybody, At(160)).empty());
  // Once more in a round, in case that it was lost; then by those who share the limit.
  BOOST_TEST(notices.ReportsToSend(true, Nobody, At(2000)).size() == 1u);
  BOOST_TEST(notices.ReportsToSend(true, Nobody, At(5000)).empty());
  BOOST_TEST(notices.ReportsToSend(true, Everybody, At(5000)).size() == 1u);
  // Its end too.
  notices.Receive(kEngine, kNothing, At(6000), At(6100));
  words = notices.ReportsToSend(false, Nobody, At(6100));
  BOOST_TEST((words[kEngine] == WordOf(std::nullopt, milliseconds(100))));
  // What others told is not told on by whoever has no share.
  EngineNotices other;
  other.ReceiveReport(kEngine, WordOf(2, seconds(1)), At(0));
  BOOST_TEST(other.ReportsToSend(true, Nobody, At(100)).empty());
}

BOOST_AUTO_TEST_CASE(ThatAnEngineLeavesIsToldAndHoldsForGood) {
  EngineNotices notices;
  notices.Receive(kEngine, kLeaving, At(0), At(100));
  BOOST_TEST(!notices.Admits(kEngine, 1, At(100)));
  BOOST_TEST(!notices.TimeUntilAdmission(kEngine, 1, At(100)).has_value());
  auto words = notices.ReportsToSend(/*all=*/false, Nobody, At(150));
  BOOST_TEST((words[kEngine] == NoticeReport{.leaving = true}));
  EngineNotices other;
  BOOST_TEST((other.ReceiveReport(kEngine, words[kEngine], At(160)) ==
              EngineNotices::Change{.leaving = true}));
  BOOST_TEST(!other.Admits(kEngine, 1, At(100'000)));
}

BOOST_AUTO_TEST_CASE(WordsTravelUnchanged) {
  LoadDigest digest;
  digest.box = "box-1";
  digest.notices = {{"i-1", {LimitReport{2.5, milliseconds(40)}, false}},
                    {"i-2", {LimitReport{std::nullopt, seconds(1)}, true}},
                    {"i-3", {std::nullopt, true}}};
  std::optional<LoadDigest> read = DecodeDigest(EncodeDigest(digest));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == digest));
}

BOOST_AUTO_TEST_CASE(ALimitAdmitsWhatTheShareEarns) {
  EngineNotices notices;
  BOOST_TEST(notices.Admits(kEngine, 0, At(0)));
  notices.Receive(kEngine, Limit(2), At(0), At(0));
  BOOST_TEST(!notices.Admits(kEngine, 0.5, At(0)));
  BOOST_TEST((notices.TimeUntilAdmission(kEngine, 0.5, At(0)) == seconds(1)));
  BOOST_TEST(notices.Admits(kEngine, 0.5, At(1000)));
  notices.NoteSent(kEngine, 0.5, At(1000));
  BOOST_TEST(!notices.Admits(kEngine, 0.5, At(1001)));
  // Without a share nothing is known of when.
  BOOST_TEST(!notices.Admits(kEngine, 0, At(9000)));
  BOOST_TEST(!notices.TimeUntilAdmission(kEngine, 0, At(9000)).has_value());
  notices.Receive(kEngine, kNothing, At(9001), At(9002));
  BOOST_TEST(notices.Admits(kEngine, 0, At(9003)));
}

BOOST_AUTO_TEST_CASE(AnEngineThatTakesNothingIsAskedNowAndThen) {
  EngineNotices notices;
  notices.Receive(kEngine, Limit(0), At(0), At(0));
  BOOST_TEST(!notices.Admits(kEngine, 1, At(0)));
  BOOST_TEST(!notices.Admits(kEngine, 1, At(9'000)));
  BOOST_TEST(notices.Admits(kEngine, 1, At(10'000)));
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndWhatIsDroppedIsCounted) {
  EngineNotices notices;
  for (size_t i = 0; i <= EngineNotices::kCapacity; ++i) {
    notices.Receive(absl::StrCat("i-", i), kLeaving, At(0), At(static_cast<int>(i)));
  }
  BOOST_TEST(notices.leaving() == EngineNotices::kCapacity);
  BOOST_TEST(notices.forgotten() == 1u);
  // The one heard of longest ago.
  BOOST_TEST(!notices.IsLeaving("i-0"));
  BOOST_TEST(notices.IsLeaving("i-1"));
}

}  // namespace
}  // namespace gullward

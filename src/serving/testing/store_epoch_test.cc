// Tests of how the store's epochs are tracked when the store returns from a backup, and of the
// engine list and the record of departed engines in this time.

#define BOOST_TEST_MODULE store_epoch
#include "serving/store_epoch.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "serving/departed_engines.h"
#include "serving/engine_directory.h"
#include "serving/settled_epoch.h"

namespace gullward {
namespace {

using AnswerStatus = StoreEpoch::AnswerStatus;

const Time kStart = Time{} + seconds(1000);
constexpr std::optional<uint64_t> kNone = std::nullopt;

Time At(int ms) { return kStart + milliseconds(ms); }

BOOST_AUTO_TEST_CASE(StatusOfAnswers) {
  struct Answer {
    std::optional<uint64_t> epoch;
    int sent_ms;
    int came_ms;
    AnswerStatus status;
  };
  struct Case {
    const char* name;
    std::vector<Answer> answers;
  };
  const Case cases[] = {
      {"a store that reports no epoch",
       {{kNone, 0, 10, AnswerStatus::kCurrent}, {kNone, 5, 20, AnswerStatus::kCurrent}}},
      {"one return",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {5, 40, 50, AnswerStatus::kCurrent}}},
      {"several returns at once",
       {{4, 0, 10, AnswerStatus::kCurrent}, {9, 20, 30, AnswerStatus::kReturned}}},
      {"an answer of an older epoch arrives late",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {4, 15, 40, AnswerStatus::kOutdated},
        {5, 50, 60, AnswerStatus::kCurrent}}},
      {"a higher epoch in the answer to an old call",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {6, 5, 40, AnswerStatus::kReturned}}},
      {"a store that starts to report epochs",
       {{kNone, 0, 10, AnswerStatus::kCurrent}, {1, 20, 30, AnswerStatus::kReturned}}},
      {"a late answer without an epoch",
       {{4, 0, 10, AnswerStatus::kCurrent}, {kNone, 5, 20, AnswerStatus::kOutdated}}},
      {"a store that stops reporting epochs",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {kNone, 20, 30, AnswerStatus::kReturned},
        {kNone, 40, 50, AnswerStatus::kCurrent}}},
      {"a store that restarts its count",
       {{4, 0, 10, AnswerStatus::kCurrent}, {1, 20, 30, AnswerStatus::kReturned}}},
  };
  for (const Case& test_case : cases) {
    StoreEpoch epoch;
    for (const Answer& answer : test_case.answers) {
      AnswerStatus status = epoch.OnAnswer(answer.epoch, At(answer.sent_ms), At(answer.came_ms));
      BOOST_TEST((status == answer.status), test_case.name);
    }
  }
}

BOOST_AUTO_TEST_CASE(WhenAnEpochIsSettled) {
  const Time later = At(10) + StoreEpoch::kRewriteTime;
  StoreEpoch without_answer;
  BOOST_TEST(!without_answer.IsSettledFor(later));

  StoreEpoch no_epoch;
  no_epoch.OnAnswer(kNone, At(0), At(10));
  BOOST_TEST(no_epoch.IsSettledFor(At(0)));

  StoreEpoch started;
  started.OnAnswer(7, At(0), At(10));
  BOOST_TEST(!started.IsSettledFor(At(20)));
  BOOST_TEST(!started.IsSettledFor(later - milliseconds(1)));
  BOOST_TEST(started.IsSettledFor(later));
  // Only a record of the current epoch settles it.
  started.MarkSettled(6, At(30));
  BOOST_TEST(!started.IsSettledFor(At(40)));
  started.MarkSettled(7, At(50));
  BOOST_TEST(!started.IsSettledFor(At(40)));
  BOOST_TEST(started.IsSettledFor(At(50)));
  // After the next return the epoch is unsettled again.  A record that arrives after the epoch has
  // settled does not change the time.
  started.OnAnswer(8, At(60), At(70));
  BOOST_TEST(!started.IsSettledFor(At(80)));
  BOOST_TEST(started.IsSettledFor(At(70) + StoreEpoch::kRewriteTime));
  started.MarkSettled(8, At(70) + 2 * StoreEpoch::kRewriteTime);
  BOOST_TEST(started.IsSettledFor(At(70) + StoreEpoch::kRewriteTime));
}

// Runs a store with one topic, as the platform describes it, against a reader that reads at
// random times and resumes from its last offset.  After each read the reader must hold exactly what
// the store holds, also if the store has returned from a backup since the last read.
BOOST_AUTO_TEST_CASE(AReaderHoldsWhatTheStoreHoldsAfterEveryReturn) {
  for (uint64_t seed = 0; seed < 400; ++seed) {
    std::mt19937_64 random(seed);
    auto below = [&](uint64_t bound) { return random() % bound; };
    std::vector<int> log;
    std::vector<int> backup;
    uint64_t store_epoch = 1;
    int next_value = 1;
    StoreEpoch epoch;
    std::vector<int> read;
    std::optional<uint64_t> read_epoch;
    for (int step = 0; step < 60; ++step) {
      Time now = At(100 * step);
      switch (below(5)) {
        case 0:
          log.push_back(next_value++);
          break;
        case 1:
          backup = log;
          break;
        case 2:
          log = backup;
          store_epoch += 1 + below(2);
          break;
        default: {
          epoch.OnAnswer(store_epoch, now - milliseconds(50), now);
          bool has_offset = read_epoch == epoch.current() && read.size() <= log.size();
          size_t from = has_offset ? read.size() : 0;
          if (!has_offset) read.clear();
          read.insert(read.end(), log.begin() + static_cast<ptrdiff_t>(from), log.end());
          read_epoch = epoch.current();
          BOOST_TEST_REQUIRE(read == log, "seed " << seed << " step " << step);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(SettledEpochRecordsAreNumbers) {
  BOOST_TEST((DecodeSettledEpoch(EncodeSettledEpoch(17)) == std::optional<uint64_t>(17)));
  for (const char* value : {"", "x", "-1", "1.5", "99999999999999999999999", "1 2"}) {
    BOOST_TEST(!DecodeSettledEpoch(value).has_value(), value);
  }
}

EngineRecord Engine(const std::string& id, int64_t started_at_ms = 1, bool draining = false) {
  return {id, "pool", {"10.0.0.1", 8080}, "hall-1", 16, draining, started_at_ms};
}

std::set<std::string> UsableOf(EngineDirectory* directory, Time now) {
  std::set<std::string> ids;
  for (const EngineRecord* engine : directory->Usable("pool", now)) ids.insert(engine->id);
  return ids;
}

using Ids = std::set<std::string>;

BOOST_AUTO_TEST_CASE(AStaleListKeepsDepartedEnginesOutAndNewEnginesIn) {
  const Time settled = At(2500);
  EngineDirectory directory;
  directory.Replace({Engine("stays"), Engine("drains"), Engine("goes")}, At(0), Time{});
  directory.Update(Engine("drains", 1, /*draining=*/true));
  directory.Remove("goes", At(100), Time{});
  directory.Update(Engine("new"));

  directory.ReplaceFromStaleList({Engine("stays"), Engine("drains"), Engine("goes")}, At(1000),
                                 settled);
  BOOST_TEST(UsableOf(&directory, At(1000)) == (Ids{"stays", "new"}));
  BOOST_TEST(UsableOf(&directory, At(2400)) == (Ids{"stays", "new"}));
  // "new" has not been written again, so it is removed.  "goes" was only missing from the list
  // for a time and is usable again.
  BOOST_TEST(UsableOf(&directory, settled) == (Ids{"goes", "stays"}));
}

BOOST_AUTO_TEST_CASE(EntriesThatEnginesWriteAgainApplyAtOnce) {
  const Time settled = At(2500);
  EngineDirectory directory;
  directory.Replace({Engine("goes"), Engine("back"), Engine("drains")}, At(0), Time{});
  directory.Remove("goes", At(100), Time{});
  directory.Remove("back", At(100), Time{});
  directory.Update(Engine("drains", 1, /*draining=*/true));
  directory.ReplaceFromStaleList({Engine("goes"), Engine("back"), Engine("drains")}, At(1000),
                                 settled);
  directory.Remove("goes", At(1500), Time{});
  directory.Update(Engine("back"));
  BOOST_TEST(UsableOf(&directory, At(1600)) == Ids{"back"});
  BOOST_TEST(UsableOf(&directory, At(9000)) == Ids{"back"});
  // A later incarnation of the engine that left is a different engine.
  directory.Update(Engine("drains", 2));
  BOOST_TEST(UsableOf(&directory, At(9000)) == (Ids{"back", "drains"}));
}

BOOST_AUTO_TEST_CASE(DepartedEnginesAreBounded) {
  DepartedEngines departures;
  for (size_t i = 0; i < 2 * DepartedEngines::kMaxEntries; ++i) {
    departures.Add("life-" + std::to_string(i), kStart);
  }
  BOOST_TEST(departures.size() == DepartedEngines::kMaxEntries);
  BOOST_TEST(
      departures.Contains("life-" + std::to_string(2 * DepartedEngines::kMaxEntries - 1), kStart));
  BOOST_TEST(!departures.Contains("life-0", kStart));
  departures.Add("last", kStart + DepartedEngines::kRetention);
  BOOST_TEST(departures.size() == 1u);
  BOOST_TEST(!departures.Contains("last", kStart + 2 * DepartedEngines::kRetention));
}

}  // namespace
}  // namespace gullward

// What is believed of the platform's store across its returns from older copies.

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

BOOST_AUTO_TEST_CASE(StandingOfAnswers) {
  struct Answer {
    std::optional<uint64_t> epoch;
    int sent_ms;
    int came_ms;
    AnswerStatus standing;
  };
  struct Row {
    const char* name;
    std::vector<Answer> answers;
  };
  const Row table[] = {
      {"a store that tells none",
       {{kNone, 0, 10, AnswerStatus::kCurrent}, {kNone, 5, 20, AnswerStatus::kCurrent}}},
      {"one return",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {5, 40, 50, AnswerStatus::kCurrent}}},
      {"several returns at once",
       {{4, 0, 10, AnswerStatus::kCurrent}, {9, 20, 30, AnswerStatus::kReturned}}},
      {"an older answer comes late",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {4, 15, 40, AnswerStatus::kOutdated},
        {5, 50, 60, AnswerStatus::kCurrent}}},
      {"a higher one whose call is old",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {5, 20, 30, AnswerStatus::kReturned},
        {6, 5, 40, AnswerStatus::kReturned}}},
      {"a store that begins to tell",
       {{kNone, 0, 10, AnswerStatus::kCurrent}, {1, 20, 30, AnswerStatus::kReturned}}},
      {"an answer without, sent before",
       {{4, 0, 10, AnswerStatus::kCurrent}, {kNone, 5, 20, AnswerStatus::kOutdated}}},
      {"a store that ceases to tell",
       {{4, 0, 10, AnswerStatus::kCurrent},
        {kNone, 20, 30, AnswerStatus::kReturned},
        {kNone, 40, 50, AnswerStatus::kCurrent}}},
      {"a store that counts anew",
       {{4, 0, 10, AnswerStatus::kCurrent}, {1, 20, 30, AnswerStatus::kReturned}}},
  };
  for (const Row& row : table) {
    StoreEpoch epoch;
    for (const Answer& answer : row.answers) {
      AnswerStatus standing = epoch.OnAnswer(answer.epoch, At(answer.sent_ms), At(answer.came_ms));
      BOOST_TEST((standing == answer.standing), row.name);
    }
  }
}

BOOST_AUTO_TEST_CASE(WhenAnEpochIsSettled) {
  const Time later = At(10) + StoreEpoch::kRewriteTime;
  StoreEpoch never_heard;
  BOOST_TEST(!never_heard.IsSettledFor(later));

  StoreEpoch without;
  without.OnAnswer(kNone, At(0), At(10));
  BOOST_TEST(without.IsSettledFor(At(0)));

  StoreEpoch started;
  started.OnAnswer(7, At(0), At(10));
  BOOST_TEST(!started.IsSettledFor(At(20)));
  BOOST_TEST(!started.IsSettledFor(later - milliseconds(1)));
  BOOST_TEST(started.IsSettledFor(later));
  // Another epoch's mark says nothing; this one's does.
  started.MarkSettled(6, At(30));
  BOOST_TEST(!started.IsSettledFor(At(40)));
  started.MarkSettled(7, At(50));
  BOOST_TEST(!started.IsSettledFor(At(40)));
  BOOST_TEST(started.IsSettledFor(At(50)));
  // The next return unsettles it, and a mark that comes late does not settle it earlier.
  started.OnAnswer(8, At(60), At(70));
  BOOST_TEST(!started.IsSettledFor(At(80)));
  BOOST_TEST(started.IsSettledFor(At(70) + StoreEpoch::kRewriteTime));
  started.MarkSettled(8, At(70) + 2 * StoreEpoch::kRewriteTime);
  BOOST_TEST(started.IsSettledFor(At(70) + StoreEpoch::kRewriteTime));
}

// A store with one topic, as the platform describes it, and a reader that may be cut off at
// any moment.  Whatever the reader takes for proved must be what the store held.
BOOST_AUTO_TEST_CASE(NoReaderProvesWhatTheStoreDoesNotHold) {
  for (uint64_t seed = 0; seed < 400; ++seed) {
    std::mt19937_64 random(seed);
    auto below = [&](uint64_t bound) { return random() % bound; };
    std::vector<int> log;
    std::vector<int> copy;
    uint64_t store_epoch = 1;
    int next_value = 1;
    StoreEpoch epoch;
    std::vector<int> read;
    std::optional<uint64_t> read_in;
    for (int step = 0; step < 60; ++step) {
      Time now = At(100 * step);
      switch (below(5)) {
        case 0:
          log.push_back(next_value++);
          break;
        case 1:
          copy = log;
          break;
        case 2:
          log = copy;
          store_epoch += 1 + below(2);
          break;
        default: {
          epoch.OnAnswer(store_epoch, now - milliseconds(50), now);
          bool has_place = read_in == epoch.current() && read.size() <= log.size();
          size_t from = has_place ? read.size() : 0;
          if (!has_place) read.clear();
          read.insert(read.end(), log.begin() + static_cast<ptrdiff_t>(from), log.end());
          read_in = epoch.current();
          BOOST_TEST_REQUIRE(read == log, "seed " << seed << " step " << step);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(MarksAreNumbers) {
  BOOST_TEST((DecodeSettledEpoch(EncodeSettledEpoch(17)) == std::optional<uint64_t>(17)));
  for (const char* value : {"", "x", "-1", "1.5", "99999999999999999999999", "1 2"}) {
    BOOST_TEST(!DecodeSettledEpoch(value).has_value(), value);
  }
}

EngineRecord Engine(const std::string& id, int64_t born = 1, bool draining = false) {
  return {id, "pool", {"10.0.0.1", 8080}, "hall-1", 16, draining, born};
}

std::set<std::string> UsableOf(EngineDirectory* directory, Time now) {
  std::set<std::string> ids;
  for (const EngineRecord* engine : directory->Usable("pool", now)) ids.insert(engine->id);
  return ids;
}

using Ids = std::set<std::string>;

BOOST_AUTO_TEST_CASE(AnOlderListUndoesNoLeavingAndLosesNoNewcomer) {
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
  // The newcomer has not written again; the one that left was only gone from the list.
  BOOST_TEST(UsableOf(&directory, settled) == (Ids{"goes", "stays"}));
}

BOOST_AUTO_TEST_CASE(WhatEnginesWriteAgainCountsAtOnce) {
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
  // A later life of the one that left is another engine.
  directory.Update(Engine("drains", 2));
  BOOST_TEST(UsableOf(&directory, At(9000)) == (Ids{"back", "drains"}));
}

BOOST_AUTO_TEST_CASE(DeparturesAreBounded) {
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

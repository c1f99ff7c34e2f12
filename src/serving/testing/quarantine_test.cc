// What is held against a content, when it is judged, and what is forgotten.

#define BOOST_TEST_MODULE quarantine
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/crash_gossip.h"
#include "serving/load_digest.h"
#include "serving/quarantine_entry.h"
#include "serving/shared_quarantine.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr Duration kLasts = std::chrono::minutes(30);
constexpr ContentId kDeadly = 7;
constexpr ContentId kInnocent = 8;

// An engine's end under a content, so long after the start.
struct End {
  ContentId content;
  EngineKey engine;
  int at_ms;
};

Time At(int ms) { return kStart + milliseconds(ms); }

struct JudgementCase {
  const char* what;
  std::vector<End> ends;
  bool deadly_refused_at_once;
  std::vector<ContentId> quarantined;
};

const JudgementCase kJudgements[] = {
    {"one engine is chance", {{kDeadly, 1, 0}}, false, {}},
    {"two may be chance", {{kDeadly, 1, 0}, {kDeadly, 2, 1000}}, false, {}},
    {"three are not", {{kDeadly, 1, 0}, {kDeadly, 2, 1000}, {kDeadly, 3, 2000}}, true, {kDeadly}},
    {"one engine counts once, whoever tells it",
     {{kDeadly, 1, 0}, {kDeadly, 1, 500}, {kDeadly, 1, 1000}, {kDeadly, 2, 2000}},
     false,
     {}},
    {"three in one moment are a rack",
     {{kDeadly, 1, 0}, {kDeadly, 2, 10}, {kDeadly, 3, 20}},
     false,
     {}},
    {"a rack and one more are not",
     {{kDeadly, 1, 0}, {kDeadly, 2, 10}, {kDeadly, 3, 20}, {kDeadly, 4, 1000}},
     true,
     {kDeadly}},
    {"of two that lost the same engines, one was only there",
     {{kDeadly, 1, 0},
      {kInnocent, 1, 0},
      {kDeadly, 2, 1000},
      {kInnocent, 2, 1000},
      {kDeadly, 3, 2000},
      {kInnocent, 3, 2000}},
     true,
     {}},
    {"the next engine tells which",
     {{kDeadly, 1, 0},
      {kInnocent, 1, 0},
      {kDeadly, 2, 1000},
      {kInnocent, 2, 1000},
      {kDeadly, 3, 2000},
      {kInnocent, 3, 2000},
      {kDeadly, 4, 3000},
      {kDeadly, 5, 4000}},
     true,
     {kDeadly}},
    {"company is no excuse for ever",
     {{kDeadly, 1, 0},
      {kInnocent, 1, 0},
      {kDeadly, 2, 1000},
      {kInnocent, 2, 1000},
      {kDeadly, 3, 2000},
      {kInnocent, 3, 2000},
      {kDeadly, 4, 3000},
      {kInnocent, 4, 3000},
      {kDeadly, 5, 4000},
      {kInnocent, 5, 4000}},
     true,
     {kDeadly, kInnocent}},
};

BOOST_AUTO_TEST_CASE(Judgements) {
  for (const JudgementCase& one : kJudgements) {
    BOOST_TEST_CONTEXT(one.what) {
      Quarantine quarantine(kLasts);
      Time last = kStart;
      for (const End& end : one.ends) {
        last = At(end.at_ms);
        quarantine.NoteCrash({end.content, end.engine}, last);
      }
      BOOST_TEST(quarantine.RefusedFor(kDeadly, last).has_value() == one.deadly_refused_at_once);
      BOOST_TEST(quarantine.Evaluate(last + Quarantine::kDecisionDelay / 2).empty());
      Time settled = last + Quarantine::kDecisionDelay;
      quarantine.Evaluate(settled);
      std::vector<ContentId> quarantined = quarantine.Quarantined(settled);
      std::sort(quarantined.begin(), quarantined.end());
      BOOST_TEST(quarantined == one.quarantined, boost::test_tools::per_element());
    }
  }
}

// Three engines, a second apart.
void EndThree(Quarantine* quarantine, ContentId content, Time begin, EngineKey first_engine = 1) {
  for (EngineKey i = 0; i < Quarantine::kMinCrashes; ++i) {
    quarantine->NoteCrash({content, first_engine + i}, begin + seconds(i));
  }
}

BOOST_AUTO_TEST_CASE(ThreeInOneMomentCountWhereOneGotItAfterAnotherHadEnded) {
  Quarantine quarantine(kLasts);
  quarantine.NoteCrash({kDeadly, 1}, At(0), At(-50));
  quarantine.NoteCrash({kDeadly, 2}, At(20), At(5));
  quarantine.NoteCrash({kDeadly, 3}, At(40), At(25));
  BOOST_TEST(quarantine.RefusedFor(kDeadly, At(40)).has_value());
  BOOST_TEST(quarantine.Evaluate(At(40) + Quarantine::kDecisionDelay).size() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsAContentAndWordsThatComeLate) {
  Quarantine quarantine(kLasts);
  EndThree(&quarantine, kInnocent, kStart);
  Time answered = kStart + seconds(2);
  BOOST_TEST(quarantine.NoteAnswered(kInnocent, answered));
  BOOST_TEST(!quarantine.NoteAnswered(kInnocent, answered));
  BOOST_TEST(!quarantine.NoteCrash({kInnocent, 9}, answered + milliseconds(100)));
  BOOST_TEST(quarantine.Evaluate(answered + seconds(1)).empty());
  BOOST_TEST(!quarantine.RefusedFor(kInnocent, answered));
  // Later ends count again.
  BOOST_TEST(quarantine.NoteCrash({kInnocent, 10}, answered + Quarantine::kClearedFor));
}

// A content that was answered once is held against like any other from then on: what is noted
// before the record of the answer is dropped must last as long.
BOOST_AUTO_TEST_CASE(AnEndSoonAfterAnAnswerIsRememberedAsLongAsAnyOther) {
  for (Duration after : {Quarantine::kClearedFor, Quarantine::kClearedFor + milliseconds(400)}) {
    Quarantine quarantine(kLasts);
    quarantine.NoteCrash({kInnocent, 1}, kStart);
    quarantine.NoteAnswered(kInnocent, kStart);
    BOOST_TEST(quarantine.NoteCrash({kInnocent, 2}, kStart + after));
    quarantine.Tick(kStart + after + Quarantine::kClearedFor);
    BOOST_TEST(quarantine.CrashCount(kInnocent) == 1u);
    quarantine.Tick(kStart + after + Quarantine::kSuspicionLifetime);
    BOOST_TEST(quarantine.CrashCount(kInnocent) == 0u);
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerLiftsAQuarantine) {
  Quarantine quarantine(kLasts);
  EndThree(&quarantine, kInnocent, kStart);
  Time judged = kStart + seconds(3);
  BOOST_TEST(quarantine.Evaluate(judged).size() == 1);
  BOOST_TEST(quarantine.NoteAnswered(kInnocent, judged));
  BOOST_TEST(!quarantine.RefusedFor(kInnocent, judged));
  BOOST_TEST(quarantine.quarantined() == 0);
}

// What ran beside a content in quarantine has nothing to answer for.
BOOST_AUTO_TEST_CASE(EnginesOfAContentInQuarantineCountAgainstNobodyElse) {
  Quarantine quarantine(kLasts);
  EndThree(&quarantine, kDeadly, kStart);
  Time judged = kStart + seconds(3);
  quarantine.Evaluate(judged);
  for (EngineKey engine : {1, 2, 3}) quarantine.NoteCrash({kInnocent, engine}, judged);
  BOOST_TEST(quarantine.UnexplainedCrashCount(kInnocent) == 0);
  BOOST_TEST(quarantine.Evaluate(judged + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(ARivalThatIsAnsweredLeavesTheOther) {
  Quarantine quarantine(kLasts);
  EndThree(&quarantine, kDeadly, kStart);
  EndThree(&quarantine, kInnocent, kStart);
  Time settled = kStart + seconds(3);
  BOOST_TEST(quarantine.Evaluate(settled).empty());
  quarantine.NoteAnswered(kInnocent, settled);
  std::vector<ContentId> guilty = quarantine.Evaluate(settled);
  BOOST_TEST(guilty == std::vector<ContentId>{kDeadly}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AQuarantineEndsByItself) {
  Quarantine quarantine(kLasts);
  EndThree(&quarantine, kDeadly, kStart);
  Time judged = kStart + seconds(3);
  quarantine.Evaluate(judged);
  BOOST_TEST((quarantine.RefusedFor(kDeadly, judged) == kLasts));
  BOOST_TEST(!quarantine.RefusedFor(kDeadly, judged + kLasts));
  quarantine.Tick(judged + kLasts);
  BOOST_TEST(quarantine.quarantined() == 0);
  BOOST_TEST(!quarantine.HasRecordOf(kDeadly));
}

BOOST_AUTO_TEST_CASE(AnothersWordHoldsAsLongAsOwnAtMost) {
  Quarantine quarantine(kLasts);
  BOOST_TEST(quarantine.AdoptFromPeer(kDeadly, 10 * kLasts, kStart));
  BOOST_TEST(!quarantine.AdoptFromPeer(kDeadly, kLasts, kStart));
  BOOST_TEST((quarantine.RefusedFor(kDeadly, kStart) == kLasts));
}

BOOST_AUTO_TEST_CASE(SuspicionFades) {
  Quarantine quarantine(kLasts);
  quarantine.NoteCrash({kInnocent, 1}, kStart);
  quarantine.Tick(kStart + Quarantine::kSuspicionLifetime - seconds(1));
  BOOST_TEST(quarantine.suspects() == 1);
  quarantine.Tick(kStart + Quarantine::kSuspicionLifetime);
  BOOST_TEST(quarantine.suspects() == 0);
}

// Those under which one engine has ended go first, and what goes is counted.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  Quarantine quarantine(kLasts);
  quarantine.NoteCrash({kDeadly, 1}, kStart);
  quarantine.NoteCrash({kDeadly, 2}, kStart + seconds(1));
  for (ContentId i = 0; i < 3 * Quarantine::kMaxSuspects; ++i) {
    quarantine.NoteCrash({1000 + i, 3}, kStart + seconds(2));
  }
  BOOST_TEST(quarantine.suspects() <= Quarantine::kMaxSuspects);
  BOOST_TEST(quarantine.forgotten() >= 2 * Quarantine::kMaxSuspects);
  BOOST_TEST(quarantine.UnexplainedCrashCount(kDeadly) == 2);
  for (ContentId i = 0; i < 2 * Quarantine::kMaxQuarantined; ++i) {
    quarantine.AdoptFromPeer(1'000'000 + i, kLasts, kStart + milliseconds(i));
  }
  BOOST_TEST(quarantine.quarantined() == Quarantine::kMaxQuarantined);
  // The latest are kept.
  ContentId latest = 1'000'000 + 2 * Quarantine::kMaxQuarantined - 1;
  BOOST_TEST(quarantine.IsQuarantined(latest, kStart + seconds(3)));
}

// The slow obvious count: of each content the engines that ended under it, without those of
// contents in quarantine, by looking at everything that was ever said.
class SlowCount {
 public:
  void Note(const CrashReport& report) { this->engines[report.content].insert(report.engine); }
  void Answered(ContentId content) { this->engines.erase(content); }

  size_t Unexplained(ContentId content, const std::vector<ContentId>& quarantined) const {
    std::set<EngineKey> explained;
    for (ContentId one : quarantined) {
      auto found = this->engines.find(one);
      if (found != this->engines.end())
        explained.insert(found->second.begin(), found->second.end());
    }
    auto found = this->engines.find(content);
    if (found == this->engines.end()) return 0;
    return static_cast<size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](EngineKey engine) { return explained.count(engine) == 0; }));
  }

 private:
  std::map<ContentId, std::set<EngineKey>> engines;
};

BOOST_AUTO_TEST_CASE(CountsAreThoseOfTheSlowCount) {
  constexpr ContentId kContents = 12;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Quarantine quarantine(kLasts);
    SlowCount slow;
    Time now = kStart;
    for (int step = 0; step < 300; ++step) {
      // Far enough apart that words after an answer count.
      now += seconds(3);
      ContentId content = random() % kContents;
      if (random() % 12 == 0) {
        quarantine.NoteAnswered(content, now);
        slow.Answered(content);
      } else {
        CrashReport report{content, random() % 25};
        quarantine.NoteCrash(report, now);
        slow.Note(report);
      }
      quarantine.Evaluate(now + seconds(1));
      std::vector<ContentId> quarantined = quarantine.Quarantined(now);
      for (ContentId one = 0; one < kContents; ++one) {
        bool is_in = quarantine.IsQuarantined(one, now);
        if (is_in) continue;
        BOOST_REQUIRE(quarantine.UnexplainedCrashCount(one) == slow.Unexplained(one, quarantined));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(NewsGoesOnceAndWhatIsInQuarantineFirst) {
  CrashGossipQueue queue;
  for (uint64_t i = 0; i < CrashGossipQueue::kMaxBatchItems; ++i) queue.AddCrash({i, 1});
  queue.AddAnswered(5);
  queue.AddQuarantined({6, kLasts});
  CrashGossip first = queue.TakeBatch();
  BOOST_TEST(first.quarantined.size() == 1);
  BOOST_TEST(first.answered.size() == 1);
  BOOST_TEST(first.crashes.size() == CrashGossipQueue::kMaxBatchItems - 2);
  BOOST_TEST(queue.TakeBatch().crashes.size() == 2);
  BOOST_TEST(queue.TakeBatch().empty());
}

BOOST_AUTO_TEST_CASE(NewsThatDoesNotFitIsCounted) {
  CrashGossipQueue queue;
  for (uint64_t i = 0; i < CrashGossipQueue::kMaxQueued + 10; ++i) queue.AddCrash({i, 1});
  BOOST_TEST(queue.dropped() == 10);
}

BOOST_AUTO_TEST_CASE(WhoeverReportsWhatIsInQuarantineIsToldSo) {
  SharedQuarantine knows("box-1", kLasts, {});
  SharedQuarantine does_not("box-2", kLasts, {});
  knows.AdoptFromPeer({kDeadly, kLasts}, "store", kStart);
  does_not.NoteCrash({kDeadly, 1}, kStart);
  CrashGossip reply = knows.Receive("box-2", does_not.TakeGossip(), kStart);
  BOOST_TEST(reply.quarantined.size() == 1);
  does_not.Receive("box-1", reply, kStart);
  BOOST_TEST(does_not.contents().IsQuarantined(kDeadly, kStart));
  // What is known is told no further.
  BOOST_TEST(knows.Receive("box-2", {{{kDeadly, 1}}, {}, {}}, kStart).empty());
}

// Two gateways that tell each other come to rest.
BOOST_AUTO_TEST_CASE(NewsComesToRest) {
  SharedQuarantine left("box-1", kLasts, {});
  SharedQuarantine right("box-2", kLasts, {});
  for (EngineKey engine : {1, 2}) left.NoteCrash({kInnocent, engine}, kStart);
  right.NoteCrash({kInnocent, 3}, kStart);
  right.NoteAnswered(kInnocent, kStart);
  int rounds = 0;
  for (; rounds < 10; ++rounds) {
    CrashGossip to_right = left.TakeGossip();
    CrashGossip to_left = right.TakeGossip();
    if (to_right.empty() && to_left.empty()) break;
    right.Receive("box-1", to_right, kStart);
    left.Receive("box-2", to_left, kStart);
  }
  BOOST_TEST(rounds < 4);
}

BOOST_AUTO_TEST_CASE(NewsSurvivesTheWire) {
  LoadDigest digest;
  digest.box = "box-1";
  digest.crash_gossip.crashes = {{1, 2}, {3, 4}};
  digest.crash_gossip.answered = {5};
  digest.crash_gossip.quarantined = {{6, seconds(7)}};
  std::optional<LoadDigest> decoded = DecodeDigest(EncodeDigest(digest));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == digest));
}

BOOST_AUTO_TEST_CASE(EntriesOfTheStore) {
  QuarantineEntry entry{1'764'720'000'123, "box-1", 3};
  BOOST_TEST((DecodeQuarantineEntry(EncodeQuarantineEntry(entry)) == entry));
  BOOST_TEST(!DecodeQuarantineEntry("").has_value());
  BOOST_TEST(!DecodeQuarantineEntry("not an entry").has_value());
  BOOST_TEST(QuarantineKey(0xab) == "quarantine/00000000000000ab");
  BOOST_TEST((ContentOfKey("quarantine/00000000000000ab") == ContentId{0xab}));
  for (const char* other : {"box-1", "quarantine/", "quarantine/00000000000000zz",
                            "quarantine/00000000000000ab0", "quarantine/ab"}) {
    BOOST_TEST(!ContentOfKey(other).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ContentsDifferInEachOfTheirParts) {
  RequestContent one{"shop", "POST", "/chat/x", "hello"};
  std::set<ContentId> seen{ContentOf(one)};
  BOOST_TEST(seen.count(ContentOf(one)) == 1);
  for (RequestContent other : {RequestContent{"mill", "POST", "/chat/x", "hello"},
                               RequestContent{"shop", "PUT", "/chat/x", "hello"},
                               RequestContent{"shop", "POST", "/chat/xh", "ello"},
                               RequestContent{"shop", "POST", "/chat/x", "hell"}}) {
    BOOST_TEST(seen.insert(ContentOf(other)).second);
  }
}

}  // namespace
}  // namespace gullward

// Tests of the quarantine: which crashes count against a content, when it is put into quarantine,
// how gateways exchange their reports, and the encoded forms.

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
#include "wire/gullward_generated.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
constexpr Duration kQuarantineDuration = std::chrono::minutes(30);
constexpr ContentId kCrashing = 7;
constexpr ContentId kHarmless = 8;

// An engine crashes `at_ms` after the start while running a content.
struct CrashEvent {
  ContentId content;
  EngineKey engine;
  int at_ms;
};

Time At(int ms) { return kStart + milliseconds(ms); }

struct DecisionCase {
  const char* what;
  std::vector<CrashEvent> crashes;
  bool is_refused_at_once;
  std::vector<Suspect> quarantined;
};

const DecisionCase kDecisionCases[] = {
    {"one crash may be a coincidence", {{kCrashing, 1, 0}}, false, {}},
    {"two crashes may be a coincidence", {{kCrashing, 1, 0}, {kCrashing, 2, 1000}}, false, {}},
    {"three crashes are not a coincidence",
     {{kCrashing, 1, 0}, {kCrashing, 2, 1000}, {kCrashing, 3, 2000}},
     true,
     {kCrashing}},
    {"several reports of the same crash count once",
     {{kCrashing, 1, 0}, {kCrashing, 1, 500}, {kCrashing, 1, 1000}, {kCrashing, 2, 2000}},
     false,
     {}},
    {"three simultaneous crashes count as a rack failure",
     {{kCrashing, 1, 0}, {kCrashing, 2, 10}, {kCrashing, 3, 20}},
     false,
     {}},
    {"a rack failure and one later crash lead to a quarantine",
     {{kCrashing, 1, 0}, {kCrashing, 2, 10}, {kCrashing, 3, 20}, {kCrashing, 4, 1000}},
     true,
     {kCrashing}},
    {"two contents with the same crashes are both spared",
     {{kCrashing, 1, 0},
      {kHarmless, 1, 0},
      {kCrashing, 2, 1000},
      {kHarmless, 2, 1000},
      {kCrashing, 3, 2000},
      {kHarmless, 3, 2000}},
     true,
     {}},
    {"further crashes tell the contents apart",
     {{kCrashing, 1, 0},
      {kHarmless, 1, 0},
      {kCrashing, 2, 1000},
      {kHarmless, 2, 1000},
      {kCrashing, 3, 2000},
      {kHarmless, 3, 2000},
      {kCrashing, 4, 3000},
      {kCrashing, 5, 4000}},
     true,
     {kCrashing}},
    {"five crashes lead to a quarantine even if all are shared",
     {{kCrashing, 1, 0},
      {kHarmless, 1, 0},
      {kCrashing, 2, 1000},
      {kHarmless, 2, 1000},
      {kCrashing, 3, 2000},
      {kHarmless, 3, 2000},
      {kCrashing, 4, 3000},
      {kHarmless, 4, 3000},
      {kCrashing, 5, 4000},
      {kHarmless, 5, 4000}},
     true,
     {kCrashing, kHarmless}},
};

BOOST_AUTO_TEST_CASE(QuarantineDecisions) {
  for (const DecisionCase& test_case : kDecisionCases) {
    BOOST_TEST_CONTEXT(test_case.what) {
      Quarantine quarantine(kQuarantineDuration);
      Time last = kStart;
      for (const CrashEvent& crash : test_case.crashes) {
        last = At(crash.at_ms);
        quarantine.NoteCrash({crash.content, crash.engine}, last);
      }
      BOOST_TEST(quarantine.RefusedFor(kCrashing, last).has_value() ==
                 test_case.is_refused_at_once);
      BOOST_TEST(quarantine.Evaluate(last + Quarantine::kDecisionDelay / 2).empty());
      Time decided_at = last + Quarantine::kDecisionDelay;
      quarantine.Evaluate(decided_at);
      std::vector<Suspect> quarantined = quarantine.Quarantined(decided_at);
      std::sort(quarantined.begin(), quarantined.end());
      BOOST_TEST(quarantined == test_case.quarantined, boost::test_tools::per_element());
    }
  }
}

// A content that many callers send runs on every engine that a crashing one takes down, and on some
// that crash for other reasons.  Its answers show that it is not the cause.
BOOST_AUTO_TEST_CASE(AContentThatWasAnsweredIsNotTakenForTheCause) {
  Quarantine quarantine(kQuarantineDuration);
  // The first crash, and an answer on another engine.
  for (ContentId content : {kCrashing, kHarmless}) quarantine.NoteCrash({content, 1}, At(0));
  quarantine.NoteAnswered(kHarmless, At(50));
  // An engine that crashes by itself, and then one after the other under the crashing content,
  // without an answer to anyone in between.
  quarantine.NoteCrash({kHarmless, 20}, At(2500));
  for (EngineKey engine = 2; engine <= 6; ++engine) {
    Time now = At(3000 + 200 * static_cast<int>(engine));
    for (ContentId content : {kCrashing, kHarmless}) quarantine.NoteCrash({content, engine}, now);
    BOOST_TEST(!quarantine.RefusedFor(kHarmless, now).has_value());
    BOOST_TEST(quarantine.AllowsSecondAttempt(kHarmless));
  }
  quarantine.Evaluate(At(9000));
  BOOST_TEST(quarantine.IsQuarantined(kCrashing, At(9000)));
  BOOST_TEST(!quarantine.IsQuarantined(kHarmless, At(9000)));
}

// The engines may crash faster than any request is answered.
BOOST_AUTO_TEST_CASE(AnAnswerBeforeTheFirstCrashCounts) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteAnswered(kHarmless, At(0));
  for (EngineKey engine = 1; engine <= 5; ++engine) {
    Time now = At(1000 + 200 * static_cast<int>(engine));
    for (ContentId content : {kCrashing, kHarmless}) quarantine.NoteCrash({content, engine}, now);
    BOOST_TEST(!quarantine.RefusedFor(kHarmless, now).has_value());
  }
  quarantine.Evaluate(At(9000));
  BOOST_TEST(quarantine.IsQuarantined(kCrashing, At(9000)));
  BOOST_TEST(!quarantine.IsQuarantined(kHarmless, At(9000)));
}

BOOST_AUTO_TEST_CASE(ContentsAreRememberedForAWhile) {
  RecentContents contents;
  contents.Add(1, kStart);
  BOOST_TEST(contents.Contains(1));
  contents.Add(2, kStart + RecentContents::kGeneration);
  BOOST_TEST(contents.Contains(1));
  contents.Add(2, kStart + 2 * RecentContents::kGeneration);
  BOOST_TEST(!contents.Contains(1));
  BOOST_TEST(contents.Contains(2));
  // Many others push it out sooner.
  for (size_t i = 0; i <= 2 * RecentContents::kMaxPerGeneration; ++i) {
    contents.Add(100 + i, kStart + 2 * RecentContents::kGeneration);
  }
  BOOST_TEST(!contents.Contains(2));
}

// An answered content may begin to crash engines, which may have got other software.
BOOST_AUTO_TEST_CASE(AContentThatWasAnsweredMayBecomeTheCause) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteCrash({kCrashing, 1}, At(0));
  quarantine.NoteAnswered(kCrashing, At(50));
  for (EngineKey engine = 2; engine <= 4; ++engine) {
    quarantine.NoteCrash({kCrashing, engine}, At(3000 + 1000 * static_cast<int>(engine)));
  }
  BOOST_TEST(!quarantine.AllowsSecondAttempt(kCrashing));
  BOOST_TEST(quarantine.RefusedFor(kCrashing, At(7000)).has_value());
  quarantine.Evaluate(At(9000));
  BOOST_TEST(quarantine.IsQuarantined(kCrashing, At(9000)));
}

// Parts.  P crashes engines; F and G are held by many requests.
constexpr Suspect kP = Suspect::OfPart(70);
constexpr Suspect kF = Suspect::OfPart(80);
constexpr Suspect kG = Suspect::OfPart(90);

struct PartCase {
  const char* what;
  // Parts that were answered before the first crash.
  std::vector<Suspect> answered;
  // The suspects that were running on each engine that crashed, and when, in milliseconds.
  std::vector<std::pair<int, std::vector<Suspect>>> crashes;
  std::vector<Suspect> quarantined;
  // Requests with these parts that are refused after the decision.
  std::vector<std::vector<Suspect>> refused;
  std::vector<std::vector<Suspect>> allowed;
};

const PartCase kPartCases[] = {
    {"two crashes may be a coincidence", {}, {{0, {kP}}, {1000, {kP}}}, {}, {}, {{kP}}},
    {"three crashes of different contents with one part",
     {},
     {{0, {1, kP}}, {1000, {2, kP}}, {2000, {3, kP}}},
     {kP},
     {{kP}, {4, kP}, {4, kP, kF}},
     {{1}, {kF}}},
    {"a content and its part that nobody answered: only the content is refused",
     {},
     {{0, {1, kP}}, {1000, {1, kP}}, {2000, {1, kP}}},
     {},
     {{1, kP}},
     {{2, kP}}},
    {"a content that crashes engines is the cause, and not its part",
     {},
     {{0, {1, kP}}, {1000, {1, kP}}, {2000, {1, kP}}, {3000, {1, kP}}, {4000, {1, kP}}},
     {1},
     {{1, kP}},
     {{2, kP}}},
    {"a content that crashes engines is the cause, and not its part that was answered",
     {kF},
     {{0, {1, kF}}, {1000, {1, kF}}, {2000, {1, kF}}},
     {1},
     {{1, kF}},
     {{2, kF}}},
    {"a burst counts once, also after others",
     {},
     {{0, {kF}}, {10, {kF}}, {20, {kF}}, {30, {kF}}, {9000, {kF}}, {9010, {kF}}, {9020, {kF}}},
     {},
     {},
     {{kF}}},
    {"parts that shared some of the engines are spared",
     {},
     {{0, {kP, kF}}, {1000, {kP, kF}}, {2000, {kP, kG}}, {3000, {kP}}, {4000, {kP}}},
     {kP},
     {{kP, kF}},
     {{kF}, {kG}, {kF, kG}}},
    {"a part that was answered is not taken for the one that always comes with it",
     {kF},
     {{0, {kP, kF}}, {1000, {kP, kF}}, {2000, {kP, kF}}},
     {kP},
     {{kP, kF}, {kP}},
     {{kF}}},
    {"parts that always come together and were never answered are refused together only",
     {},
     {{0, {kP, kF}}, {1000, {kP, kF}}, {2000, {kP, kF}}, {3000, {kP, kF}}, {4000, {kP, kF}}},
     {},
     {{kP, kF}},
     {{kP}, {kF}}},
    {"an answered part with three crashes of its own may be a coincidence",
     {kF},
     {{0, {kF}}, {1000, {kF}}, {2000, {kF}}, {3000, {kF}}},
     {},
     {},
     {{kF}}},
    {"an answered part may become the cause",
     {kP, kF},
     {{0, {1, kP, kF}}, {1000, {2, kP}}, {2000, {3, kP}}, {3000, {4, kP, kF}}, {4000, {5, kP}}},
     {kP},
     {{kP}},
     {{kF}}},
    {"a content that shared all its engines with the part is spared",
     {},
     {{0, {1, kP}}, {1000, {1, kP}}, {2000, {1, kP}}, {3000, {2, kP}}, {4000, {3, kP}}},
     {kP},
     {{1, kP}},
     {{1}}},
};

BOOST_AUTO_TEST_CASE(DecisionsOnParts) {
  for (const PartCase& test_case : kPartCases) {
    BOOST_TEST_CONTEXT(test_case.what) {
      Quarantine quarantine(kQuarantineDuration);
      for (const Suspect& suspect : test_case.answered) quarantine.NoteAnswered(suspect, kStart);
      Time last = kStart;
      EngineKey engine = 0;
      for (const auto& [at_ms, suspects] : test_case.crashes) {
        last = At(at_ms);
        engine += 1;
        for (const Suspect& suspect : suspects) quarantine.NoteCrash({suspect, engine}, last);
      }
      Time decided_at = last + Quarantine::kDecisionDelay;
      quarantine.Evaluate(decided_at);
      std::vector<Suspect> quarantined = quarantine.Quarantined(decided_at);
      std::sort(quarantined.begin(), quarantined.end());
      BOOST_TEST(quarantined == test_case.quarantined, boost::test_tools::per_element());
      for (const std::vector<Suspect>& request : test_case.refused) {
        BOOST_TEST(quarantine.RefusedFor(request, decided_at).has_value());
      }
      for (const std::vector<Suspect>& request : test_case.allowed) {
        BOOST_TEST(!quarantine.RefusedFor(request, decided_at).has_value());
      }
    }
  }
}

// The first answer to one of two parts that always came together shows that the other is the cause.
BOOST_AUTO_TEST_CASE(AnAnswerTellsTwoPartsApart) {
  for (bool by_peer : {false, true}) {
    Quarantine quarantine(kQuarantineDuration);
    for (EngineKey engine = 1; engine <= 4; ++engine) {
      Time now = At(1000 * static_cast<int>(engine));
      for (const Suspect& suspect : {kP, kF}) quarantine.NoteCrash({suspect, engine}, now);
    }
    Time now = At(6000);
    BOOST_TEST(quarantine.Evaluate(now).empty());
    by_peer ? quarantine.NoteAnsweredByPeer(kF) : void(quarantine.NoteAnswered(kF, now));
    BOOST_TEST(quarantine.Evaluate(now) == std::vector<Suspect>{kP},
               boost::test_tools::per_element());
    BOOST_TEST(!quarantine.RefusedFor(kF, now).has_value());
  }
}

// A gateway that was cut off may have counted only a part of the crashes.
BOOST_AUTO_TEST_CASE(APartThatIsAnsweredHereIsNotTakenFromAPeer) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteAnswered(kF, kStart);
  BOOST_TEST(!quarantine.AdoptFromPeer(kF, kQuarantineDuration, At(1000)));
  BOOST_TEST(quarantine.AdoptFromPeer(kP, kQuarantineDuration, At(1000)));
  for (EngineKey engine = 1; engine <= 5; ++engine) {
    quarantine.NoteCrash({kF, engine}, At(2000 + 200 * static_cast<int>(engine)));
  }
  BOOST_TEST(quarantine.AdoptFromPeer(kF, kQuarantineDuration, At(4000)));
}

BOOST_AUTO_TEST_CASE(AnswersClearPartsAndQuarantinesOfPartsExpire) {
  Quarantine quarantine(kQuarantineDuration);
  for (const Suspect& suspect : {kP, kF}) {
    for (EngineKey engine = 1; engine <= 3; ++engine) {
      quarantine.NoteCrash({suspect, 10 * suspect.hash + engine},
                           At(1000 * static_cast<int>(engine)));
    }
  }
  Time decided_at = At(4000);
  BOOST_TEST(quarantine.Evaluate(decided_at).size() == 2u);
  BOOST_TEST(quarantine.NoteAnswered(kF, decided_at));
  BOOST_TEST(!quarantine.RefusedFor(kF, decided_at).has_value());
  Time before_end = decided_at + kQuarantineDuration - seconds(1);
  BOOST_TEST(quarantine.RefusedFor(kP, before_end).has_value());
  BOOST_TEST(!quarantine.RefusedFor(kP, before_end + seconds(1)).has_value());
}

// Adds kMinCrashes crashes that are one second apart.
void AddCrashes(Quarantine* quarantine, ContentId content, Time begin, EngineKey first_engine = 1) {
  for (EngineKey i = 0; i < Quarantine::kMinCrashes; ++i) {
    quarantine->NoteCrash({content, first_engine + i}, begin + seconds(i));
  }
}

BOOST_AUTO_TEST_CASE(SimultaneousCrashesCountIfARequestWasResentAfterACrash) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteCrash({kCrashing, 1}, At(0), At(-50));
  quarantine.NoteCrash({kCrashing, 2}, At(20), At(5));
  quarantine.NoteCrash({kCrashing, 3}, At(40), At(25));
  BOOST_TEST(quarantine.RefusedFor(kCrashing, At(40)).has_value());
  BOOST_TEST(quarantine.Evaluate(At(40) + Quarantine::kDecisionDelay).size() == 1);
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsAContentAndLateReportsAreIgnored) {
  Quarantine quarantine(kQuarantineDuration);
  AddCrashes(&quarantine, kHarmless, kStart);
  Time answered = kStart + seconds(2);
  BOOST_TEST(quarantine.NoteAnswered(kHarmless, answered));
  BOOST_TEST(!quarantine.NoteAnswered(kHarmless, answered));
  BOOST_TEST(!quarantine.NoteCrash({kHarmless, 9}, answered + milliseconds(100)));
  BOOST_TEST(quarantine.Evaluate(answered + seconds(1)).empty());
  BOOST_TEST(!quarantine.RefusedFor(kHarmless, answered));
  // Later crashes count again.
  BOOST_TEST(quarantine.NoteCrash({kHarmless, 10}, answered + Quarantine::kClearedFor));
}

// Guards against losing a crash that is reported while the record of an earlier answer still
// exists: it must be kept for kSuspicionLifetime, like any other crash.
BOOST_AUTO_TEST_CASE(ACrashSoonAfterAnAnswerIsKeptAsLongAsAnyOther) {
  for (Duration after : {Quarantine::kClearedFor, Quarantine::kClearedFor + milliseconds(400)}) {
    Quarantine quarantine(kQuarantineDuration);
    quarantine.NoteCrash({kHarmless, 1}, kStart);
    quarantine.NoteAnswered(kHarmless, kStart);
    BOOST_TEST(quarantine.NoteCrash({kHarmless, 2}, kStart + after));
    quarantine.Tick(kStart + after + Quarantine::kClearedFor);
    BOOST_TEST(quarantine.CrashCount(kHarmless) == 1u);
    quarantine.Tick(kStart + after + Quarantine::kSuspicionLifetime);
    BOOST_TEST(quarantine.CrashCount(kHarmless) == 0u);
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerEndsAQuarantine) {
  Quarantine quarantine(kQuarantineDuration);
  AddCrashes(&quarantine, kHarmless, kStart);
  Time decided_at = kStart + seconds(3);
  BOOST_TEST(quarantine.Evaluate(decided_at).size() == 1);
  BOOST_TEST(quarantine.NoteAnswered(kHarmless, decided_at));
  BOOST_TEST(!quarantine.RefusedFor(kHarmless, decided_at));
  BOOST_TEST(quarantine.quarantined() == 0);
}

// Contents that were running on the same engines as a content in quarantine are not suspected.
BOOST_AUTO_TEST_CASE(CrashesOfAQuarantinedContentCountAgainstNoOther) {
  Quarantine quarantine(kQuarantineDuration);
  AddCrashes(&quarantine, kCrashing, kStart);
  Time decided_at = kStart + seconds(3);
  quarantine.Evaluate(decided_at);
  for (EngineKey engine : {1, 2, 3}) quarantine.NoteCrash({kHarmless, engine}, decided_at);
  BOOST_TEST(quarantine.UnexplainedCrashCount(kHarmless) == 0);
  BOOST_TEST(quarantine.Evaluate(decided_at + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(AnAnswerToOneOfTwoContentsPutsTheOtherIntoQuarantine) {
  Quarantine quarantine(kQuarantineDuration);
  AddCrashes(&quarantine, kCrashing, kStart);
  AddCrashes(&quarantine, kHarmless, kStart);
  Time decided_at = kStart + seconds(3);
  BOOST_TEST(quarantine.Evaluate(decided_at).empty());
  quarantine.NoteAnswered(kHarmless, decided_at);
  std::vector<Suspect> newly_quarantined = quarantine.Evaluate(decided_at);
  BOOST_TEST(newly_quarantined == std::vector<Suspect>{kCrashing},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AQuarantineExpires) {
  Quarantine quarantine(kQuarantineDuration);
  AddCrashes(&quarantine, kCrashing, kStart);
  Time decided_at = kStart + seconds(3);
  quarantine.Evaluate(decided_at);
  BOOST_TEST((quarantine.RefusedFor(kCrashing, decided_at) == kQuarantineDuration));
  BOOST_TEST(!quarantine.RefusedFor(kCrashing, decided_at + kQuarantineDuration));
  quarantine.Tick(decided_at + kQuarantineDuration);
  BOOST_TEST(quarantine.quarantined() == 0);
  BOOST_TEST(!quarantine.HasRecordOf(kCrashing));
}

BOOST_AUTO_TEST_CASE(AQuarantineFromAPeerLastsNoLongerThanOneDecidedHere) {
  Quarantine quarantine(kQuarantineDuration);
  BOOST_TEST(quarantine.AdoptFromPeer(kCrashing, 10 * kQuarantineDuration, kStart));
  BOOST_TEST(!quarantine.AdoptFromPeer(kCrashing, kQuarantineDuration, kStart));
  BOOST_TEST((quarantine.RefusedFor(kCrashing, kStart) == kQuarantineDuration));
}

BOOST_AUTO_TEST_CASE(SuspicionExpires) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteCrash({kHarmless, 1}, kStart);
  quarantine.Tick(kStart + Quarantine::kSuspicionLifetime - seconds(1));
  BOOST_TEST(quarantine.suspects() == 1);
  quarantine.Tick(kStart + Quarantine::kSuspicionLifetime);
  BOOST_TEST(quarantine.suspects() == 0);
}

// Contents with one crash are evicted first, and evictions are counted.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  Quarantine quarantine(kQuarantineDuration);
  quarantine.NoteCrash({kCrashing, 1}, kStart);
  quarantine.NoteCrash({kCrashing, 2}, kStart + seconds(1));
  for (ContentId i = 0; i < 3 * Quarantine::kMaxSuspects; ++i) {
    quarantine.NoteCrash({1000 + i, 3}, kStart + seconds(2));
    quarantine.NoteCrash({Suspect::OfPart(1000 + i), 3}, kStart + seconds(2));
  }
  BOOST_TEST(quarantine.suspects() <= Quarantine::kMaxSuspects);
  BOOST_TEST(quarantine.forgotten() >= 2 * Quarantine::kMaxSuspects);
  BOOST_TEST(quarantine.UnexplainedCrashCount(kCrashing) == 2);
  for (ContentId i = 0; i < 2 * Quarantine::kMaxQuarantined; ++i) {
    quarantine.AdoptFromPeer(1'000'000 + i, kQuarantineDuration, kStart + milliseconds(i));
  }
  BOOST_TEST(quarantine.quarantined() == Quarantine::kMaxQuarantined);
  // The latest quarantines are kept.
  ContentId latest = 1'000'000 + 2 * Quarantine::kMaxQuarantined - 1;
  BOOST_TEST(quarantine.IsQuarantined(latest, kStart + seconds(3)));
}

// A simple reference: counts the engines that crashed under a content, without those that crashed
// under a quarantined content, by scanning all reports.
class ReferenceCount {
 public:
  void Note(const CrashReport& report) { this->engines[report.suspect].insert(report.engine); }
  void Answered(ContentId content) { this->engines.erase(content); }

  size_t Unexplained(ContentId content, const std::vector<Suspect>& quarantined) const {
    std::set<EngineKey> explained;
    for (const Suspect& other : quarantined) {
      auto found = this->engines.find(other);
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
  std::map<Suspect, std::set<EngineKey>> engines;
};

BOOST_AUTO_TEST_CASE(CrashCountsMatchTheReference) {
  constexpr ContentId kContents = 12;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Quarantine quarantine(kQuarantineDuration);
    ReferenceCount reference;
    Time now = kStart;
    for (int step = 0; step < 300; ++step) {
      // Far enough apart that reports after an answer count.
      now += seconds(3);
      ContentId content = random() % kContents;
      if (random() % 12 == 0) {
        quarantine.NoteAnswered(content, now);
        reference.Answered(content);
      } else {
        CrashReport report{content, random() % 25};
        quarantine.NoteCrash(report, now);
        reference.Note(report);
      }
      quarantine.Evaluate(now + seconds(1));
      std::vector<Suspect> quarantined = quarantine.Quarantined(now);
      for (ContentId other = 0; other < kContents; ++other) {
        bool is_quarantined = quarantine.IsQuarantined(other, now);
        if (is_quarantined) continue;
        BOOST_REQUIRE(quarantine.UnexplainedCrashCount(other) ==
                      reference.Unexplained(other, quarantined));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(GossipIsSentOnceAndQuarantinesGoFirst) {
  CrashGossipQueue queue;
  for (uint64_t i = 0; i < CrashGossipQueue::kMaxBatchItems; ++i) queue.AddCrash({i, 1});
  queue.AddAnswered(5);
  queue.AddQuarantined({6, kQuarantineDuration});
  CrashGossip first = queue.TakeBatch();
  BOOST_TEST(first.quarantined.size() == 1);
  BOOST_TEST(first.answered.size() == 1);
  BOOST_TEST(first.crashes.size() == CrashGossipQueue::kMaxBatchItems - 2);
  BOOST_TEST(queue.TakeBatch().crashes.size() == 2);
  BOOST_TEST(queue.TakeBatch().empty());
}

BOOST_AUTO_TEST_CASE(DroppedGossipIsCounted) {
  CrashGossipQueue queue;
  for (uint64_t i = 0; i < CrashGossipQueue::kMaxQueued + 10; ++i) queue.AddCrash({i, 1});
  BOOST_TEST(queue.dropped() == 10);
}

BOOST_AUTO_TEST_CASE(APeerThatReportsAQuarantinedContentReceivesTheQuarantine) {
  SharedQuarantine informed("box-1", kQuarantineDuration, {});
  SharedQuarantine uninformed("box-2", kQuarantineDuration, {});
  informed.AdoptFromPeer({kCrashing, kQuarantineDuration}, "store", kStart);
  uninformed.NoteCrash({kCrashing, 1}, kStart);
  CrashGossip reply = informed.Receive("box-2", uninformed.TakeGossip(), kStart);
  BOOST_TEST(reply.quarantined.size() == 1);
  uninformed.Receive("box-1", reply, kStart);
  BOOST_TEST(uninformed.suspects().IsQuarantined(kCrashing, kStart));
  // A crash that is already recorded gets no reply.
  BOOST_TEST(informed.Receive("box-2", {{{kCrashing, 1}}, {}, {}}, kStart).empty());
}

// Two gateways that pass reports to each other must stop when both have all of them.
BOOST_AUTO_TEST_CASE(GossipBetweenTwoGatewaysEnds) {
  SharedQuarantine left("box-1", kQuarantineDuration, {});
  SharedQuarantine right("box-2", kQuarantineDuration, {});
  for (EngineKey engine : {1, 2}) left.NoteCrash({kHarmless, engine}, kStart);
  right.NoteCrash({kHarmless, 3}, kStart);
  right.NoteAnswered(kHarmless, kStart);
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

// Gateways that pass all gossip on to each other at once.
class GossipingGateways {
 public:
  explicit GossipingGateways(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->gateways.emplace_back(absl::StrCat("box-", i), kQuarantineDuration,
                                  SharedQuarantine::Hooks{});
    }
  }

  SharedQuarantine& operator[](size_t number) { return this->gateways[number]; }

  // Passes gossip on until there is none left.
  void Exchange(Time now) {
    for (bool any = true; any;) {
      any = false;
      for (size_t from = 0; from < this->gateways.size(); ++from) {
        CrashGossip gossip = this->gateways[from].TakeGossip();
        any = any || !gossip.empty();
        if (!gossip.empty()) this->Send(from, gossip, now);
      }
    }
  }

  void Tick(Time now) {
    for (SharedQuarantine& gateway : this->gateways) gateway.Tick(now);
    this->Exchange(now);
  }

  // The number of gateways that refuse the content.
  size_t Refusing(ContentId content, Time now) const {
    auto refuses = [&](const SharedQuarantine& gateway) {
      return gateway.suspects().RefusedFor(content, now).has_value();
    };
    return static_cast<size_t>(
        std::count_if(this->gateways.begin(), this->gateways.end(), refuses));
  }

 private:
  void Send(size_t from, const CrashGossip& gossip, Time now) {
    for (size_t to = 0; to < this->gateways.size(); ++to) {
      if (to == from) continue;
      CrashGossip reply = this->gateways[to].Receive(absl::StrCat("box-", from), gossip, now);
      this->gateways[from].Receive(absl::StrCat("box-", to), reply, now);
    }
  }

  std::vector<SharedQuarantine> gateways;
};

// Guards against a gateway that has just started refusing a content that its peers have answered.
BOOST_AUTO_TEST_CASE(AGatewayLearnsFromPeersThatAContentWasAnswered) {
  // The answer is older than all crashes, or came between two of them.
  for (int answered_at_ms : {0, 1100}) {
    GossipingGateways gateways(4);
    for (int i = 0; i < 3; ++i) {
      Time crashed_at = At(1000 + 200 * i);
      if (answered_at_ms < 1000 + 200 * i) gateways[0].NoteAnswered(kHarmless, At(answered_at_ms));
      gateways.Exchange(crashed_at);
      EngineKey engine = 1 + static_cast<EngineKey>(i);
      for (ContentId content : {kCrashing, kHarmless}) {
        gateways[1].NoteCrash({content, engine}, crashed_at);
      }
      gateways.Exchange(crashed_at);
    }
    BOOST_TEST(gateways.Refusing(kHarmless, At(1400)) == 0u, "answered at " << answered_at_ms);
    BOOST_TEST(gateways.Refusing(kCrashing, At(1400)) == 4u);
    gateways.Tick(At(2000));
    BOOST_TEST(gateways.Refusing(kHarmless, At(2000)) == 0u);
    BOOST_TEST(gateways.Refusing(kCrashing, At(2000)) == 4u);
  }
}

// Guards against counting crashes against a content that peers have answered after each of them.
BOOST_AUTO_TEST_CASE(AnAnswerAfterASingleCrashClearsTheContentEverywhere) {
  GossipingGateways gateways(3);
  for (int i = 0; i < 6; ++i) {
    Time crashed_at = kStart + i * seconds(30);
    gateways[0].NoteCrash({kHarmless, 1 + static_cast<EngineKey>(i)}, crashed_at);
    gateways.Exchange(crashed_at);
    gateways[0].NoteAnswered(kHarmless, crashed_at + milliseconds(500));
    gateways.Exchange(crashed_at + milliseconds(500));
    gateways.Tick(crashed_at + seconds(1));
    BOOST_TEST(gateways.Refusing(kHarmless, crashed_at + seconds(1)) == 0u, "crash " << i);
  }
}

BOOST_AUTO_TEST_CASE(GossipIsDecodedAsEncoded) {
  LoadDigest digest;
  digest.box = "box-1";
  digest.crash_gossip.crashes = {{1, 2}, {3, 4}};
  digest.crash_gossip.answered = {5};
  digest.crash_gossip.quarantined = {{6, seconds(7)}};
  digest.crash_gossip.answered_before = {8, 9};
  std::optional<LoadDigest> decoded = DecodeDigest(EncodeDigest(digest));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == digest));
  digest.crash_gossip.crashes.push_back({kP, 5});
  digest.crash_gossip.answered.push_back(kF);
  digest.crash_gossip.quarantined.push_back({kP, seconds(8)});
  digest.crash_gossip.answered_before.push_back(kG);
  decoded = DecodeDigest(EncodeDigest(digest));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == digest));
}

// Guards against a rolling upgrade in which gateways of the version before, which know contents
// only, take a part for a content.
BOOST_AUTO_TEST_CASE(PartsAreNotInTheFieldsOfContents) {
  LoadDigest digest;
  digest.box = "box-1";
  digest.crash_gossip.crashes = {{1, 2}, {kP, 2}};
  digest.crash_gossip.answered = {kF, 5};
  digest.crash_gossip.quarantined = {{kP, seconds(7)}};
  digest.crash_gossip.answered_before = {kG};
  std::string datagram = EncodeDigest(digest);
  const auto* packed = flatbuffers::GetRoot<fb::LoadDigest>(datagram.data());
  BOOST_REQUIRE(packed->crashes()->size() == 1u);
  BOOST_TEST(packed->crashes()->Get(0)->content() == 1u);
  BOOST_REQUIRE(packed->answered()->size() == 1u);
  BOOST_TEST(packed->answered()->Get(0) == 5u);
  BOOST_TEST(packed->quarantined() == nullptr);
  BOOST_TEST(packed->answered_before() == nullptr);
}

BOOST_AUTO_TEST_CASE(StoreKeysAndEntries) {
  QuarantineEntry entry{1'764'720'000'123, "box-1", 3};
  BOOST_TEST((DecodeQuarantineEntry(EncodeQuarantineEntry(entry)) == entry));
  BOOST_TEST(!DecodeQuarantineEntry("").has_value());
  BOOST_TEST(!DecodeQuarantineEntry("not an entry").has_value());
  BOOST_TEST(QuarantineKey(0xab) == "quarantine/00000000000000ab");
  BOOST_TEST((SuspectOfKey("quarantine/00000000000000ab") == Suspect(0xab)));
  BOOST_TEST(QuarantineKey(Suspect::OfPart(0xab)) == "quarantine-part/00000000000000ab");
  BOOST_TEST((SuspectOfKey("quarantine-part/00000000000000ab") == Suspect::OfPart(0xab)));
  for (const char* other :
       {"box-1", "quarantine/", "quarantine/00000000000000zz", "quarantine/00000000000000ab0",
        "quarantine/ab", "quarantine-part/", "quarantine-parts/00000000000000ab"}) {
    BOOST_TEST(!SuspectOfKey(other).has_value());
  }
}

BOOST_AUTO_TEST_CASE(EveryPartOfARequestChangesItsContentId) {
  RequestContent request{"shop", "POST", "/chat/x", "hello"};
  std::set<ContentId> seen{ContentOf(request)};
  BOOST_TEST(seen.count(ContentOf(request)) == 1);
  for (RequestContent other : {RequestContent{"mill", "POST", "/chat/x", "hello"},
                               RequestContent{"shop", "PUT", "/chat/x", "hello"},
                               RequestContent{"shop", "POST", "/chat/xh", "ello"},
                               RequestContent{"shop", "POST", "/chat/x", "hell"}}) {
    BOOST_TEST(seen.insert(ContentOf(other)).second);
  }
}

}  // namespace
}  // namespace gullward

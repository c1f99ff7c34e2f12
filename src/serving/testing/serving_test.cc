// Tests of the decisions in src/serving: tables of cases, and comparisons with simple, slow
// reference versions.

#define BOOST_TEST_MODULE serving
#include <boost/test/unit_test.hpp>
#include <random>

#include "serving/attempt_result.h"
#include "serving/config_index.h"
#include "serving/copy_schedule.h"
#include "serving/engine_directory.h"
#include "serving/engine_health.h"
#include "serving/event_splitter.h"
#include "serving/fleet.h"
#include "serving/freshness.h"
#include "serving/peer_freshness.h"
#include "serving/retry_bucket.h"
#include "serving/revalidation_schedule.h"
#include "serving/silence_timeout.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);

struct ClassifyRow {
  const char* what;
  AnswerFacts facts;
  AttemptResult result;
};

BOOST_AUTO_TEST_CASE(AnswersAreClassifiedByWhatTheyProve) {
  const ClassifyRow table[] = {
      {"sealed success", {200, true, false, false}, AttemptResult::kSuccess},
      {"unsealed success", {200, false, false, false}, AttemptResult::kUnknown},
      {"encoded success", {200, true, false, true}, AttemptResult::kUnknown},
      {"says not run", {503, false, true, false}, AttemptResult::kNotRun},
      {"503 without a statement that it was not run",
       {503, true, false, false},
       AttemptResult::kUnknown},
      {"429 without a statement that it was not run",
       {429, false, false, false},
       AttemptResult::kUnknown},
      {"answered by another engine", {421, false, false, false}, AttemptResult::kWrongEngine},
      {"failure of the engine", {500, true, false, false}, AttemptResult::kEngineFailure},
      {"rejected", {404, true, false, false}, AttemptResult::kRejected},
      {"redirected", {302, true, false, false}, AttemptResult::kRejected},
  };
  for (const ClassifyRow& row : table) {
    BOOST_TEST_CONTEXT(row.what) { BOOST_TEST((Classify(row.facts) == row.result)); }
  }
}

// Checks the guarantees for every combination of a request's state and an attempt's result.
BOOST_AUTO_TEST_CASE(EveryDecisionKeepsTheGuarantees) {
  const AttemptResult results[] = {AttemptResult::kSuccess,     AttemptResult::kEngineFailure,
                                   AttemptResult::kRejected,    AttemptResult::kNotRun,
                                   AttemptResult::kWrongEngine, AttemptResult::kUnknown};
  for (AttemptResult result : results) {
    for (Repeat repeat : {Repeat::kAllowed, Repeat::kNever, Repeat::kResumeStream}) {
      for (int bits = 0; bits < 8; ++bits) {
        for (int attempts = 1; attempts <= kMaxAttempts + 1; ++attempts) {
          RequestState state;
          state.repeat = repeat;
          state.answer_begun = (bits & 1) != 0;
          state.may_have_run = (bits & 2) != 0;
          state.time_left = (bits & 4) != 0;
          state.max_attempts = 2;
          state.attempts = attempts;
          bool not_run = result == AttemptResult::kNotRun || result == AttemptResult::kWrongEngine;
          state.attempts_run = state.may_have_run || !not_run ? 1 : 0;
          if (!not_run) state.may_have_run = true;
          NextStep step = DecideNext(result, state);
          NextStep rest = DecideWithoutRetry(result, state);
          // A request that may have run and must not run twice is never retried.
          bool ran = state.may_have_run && repeat == Repeat::kNever;
          if (ran && !not_run) BOOST_TEST((step != NextStep::kRetry));
          if (ran) BOOST_TEST((step != NextStep::kRefuse && rest != NextStep::kRefuse));
          if (!state.time_left) BOOST_TEST((step != NextStep::kRetry));
          if (attempts >= kMaxAttempts) BOOST_TEST((step != NextStep::kRetry));
          BOOST_TEST((rest != NextStep::kRetry));
          // After an answer has begun, no second response head is sent.
          bool new_head = rest == NextStep::kRefuse || rest == NextStep::kFail;
          if (state.answer_begun) BOOST_TEST(!new_head);
          if (state.answer_begun && repeat != Repeat::kResumeStream && !not_run &&
              result != AttemptResult::kSuccess) {
            BOOST_TEST((step == NextStep::kBreakOff));
          }
          if (result == AttemptResult::kRejected) BOOST_TEST((step != NextStep::kRetry));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheSharedBoundInEveryWindow) {
  // Ten processes with random traffic take every retry they can.  The bound is checked for every
  // window that ends with a retry, by counting all requests and retries in it.
  const RetryBounds bounds{seconds(10), 0.2, 106};
  constexpr int kProcesses = 10;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<RetryBucket> buckets(kProcesses, RetryBucket(bounds));
    for (RetryBucket& bucket : buckets) bucket.SetProcessCount(kProcesses);
    std::vector<Time> requests;
    std::vector<Time> retries;
    Time now = kStart;
    for (int step = 0; step < 8000; ++step) {
      now += milliseconds(random() % 12);
      RetryBucket& bucket = buckets[random() % kProcesses];
      if (random() % 100 < 30) {
        bucket.AddRequest(now);
        requests.push_back(now);
      } else if (bucket.TakeRetry(now)) {
        retries.push_back(now);
      }
    }
    for (Time end : retries) {
      auto in_window = [&](const std::vector<Time>& times) {
        return std::count_if(times.begin(), times.end(),
                             [&](Time at) { return at <= end && at > end - bounds.window; });
      };
      double allowed = bounds.ratio * static_cast<double>(in_window(requests)) + bounds.slack;
      BOOST_REQUIRE(static_cast<double>(in_window(retries)) <= allowed);
    }
  }
}

// Guards against a slack that is divided by a fixed number of processes: 28 processes that each
// took a tenth of the slack exceeded the bound together.
BOOST_AUTO_TEST_CASE(TheSlackIsDividedByTheNumberOfProcesses) {
  RetryBucket bucket(RetryBounds{seconds(10), 0.2, 132});
  auto left = [&](size_t processes) {
    bucket.SetProcessCount(processes);
    return bucket.Available(kStart);
  };
  BOOST_TEST(left(28) * 28 <= 132);
  BOOST_TEST(left(5) > left(28));
}

WholeEvents ReferenceSplit(const std::string& text) {
  WholeEvents events;
  size_t done = 0;
  for (size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", end + 2)) {
    std::string event = text.substr(done, end + 2 - done);
    size_t id = event.find("id: ");
    if (id != std::string::npos) {
      events.last_id = event.substr(id + 4, event.find('\n', id) - id - 4);
    }
    events.count += 1;
    done = end + 2;
  }
  events.bytes = text.substr(0, done);
  return events;
}

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnWhereTheBytesAreSplit) {
  const std::string text = "id: 1\ndata: a\n\ndata: b\n\nid: 17\ndata: c\ndata: d\n\nid: 18\nda";
  for (size_t first = 0; first <= text.size(); ++first) {
    for (size_t second = first; second <= text.size(); ++second) {
      EventSplitter splitter;
      WholeEvents all;
      for (const std::string& part :
           {text.substr(0, first), text.substr(first, second - first), text.substr(second)}) {
        WholeEvents some = splitter.Feed(part);
        all.bytes += some.bytes;
        all.count += some.count;
        if (some.last_id) all.last_id = some.last_id;
      }
      BOOST_REQUIRE((all == ReferenceSplit(text)));
      BOOST_REQUIRE(splitter.has_partial_event());
    }
  }
  EventSplitter splitter;
  BOOST_TEST(splitter.Feed("id: 3\r\ndata: x\r\n\r\n").last_id.value_or("") == "3");
}

// Guards against searching an unfinished event anew with each piece: a quarter of a megabyte byte
// by byte would then take minutes.
BOOST_AUTO_TEST_CASE(AnEventInManyPiecesIsSearchedOnce) {
  for (const std::string& line : {std::string("a"), std::string("a\n"), std::string("a\r\n")}) {
    std::string text = "data: ";
    while (text.size() < 256 << 10) text += line;
    EventSplitter splitter;
    for (char byte : text) BOOST_REQUIRE(splitter.Feed(std::string_view(&byte, 1)).count == 0);
    BOOST_TEST(splitter.partial_bytes() == text.size());
    BOOST_TEST(splitter.Feed("\n\nid: 1\n\n").count >= 1);
    BOOST_TEST(!splitter.has_partial_event());
  }
}

const Route* ReferenceFindRoute(const ServingConfig& config, const std::string& host,
                                const std::string& path) {
  const Route* best = nullptr;
  for (const Route& route : config.routes) {
    bool is_match =
        route.host == host && path.compare(0, route.path_prefix.size(), route.path_prefix) == 0;
    if (!is_match) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

BOOST_AUTO_TEST_CASE(RouteLookupAgreesWithALinearSearch) {
  std::mt19937_64 random(7);
  const char* names[] = {"a", "b", "ab", "c"};
  ServingConfig config;
  for (int i = 0; i < 40; ++i) {
    Route route;
    route.name = std::to_string(i);
    route.host = random() % 2 == 0 ? "one" : "two";
    route.path_prefix = "/";
    for (uint64_t depth = random() % 4; depth > 0; --depth) {
      route.path_prefix += std::string(names[random() % 4]) + "/";
    }
    bool is_taken =
        std::any_of(config.routes.begin(), config.routes.end(), [&](const Route& other) {
          return other.host == route.host && other.path_prefix == route.path_prefix;
        });
    if (!is_taken) config.routes.push_back(route);
  }
  ConfigIndex index(config);
  for (int i = 0; i < 2000; ++i) {
    std::string host = random() % 2 == 0 ? "one" : "three";
    std::string path = "/";
    for (uint64_t depth = random() % 5; depth > 0; --depth) {
      path += std::string(names[random() % 4]) + (random() % 5 == 0 ? "" : "/");
    }
    const Route* expected = ReferenceFindRoute(index.config(), host, path);
    BOOST_REQUIRE((index.FindRoute(host, path) == expected));
    BOOST_REQUIRE((index.FindRoute(host + ":8080", path) == expected));
  }
}

EngineRecord Engine(const std::string& id, bool draining = false) {
  EngineRecord record;
  record.id = id;
  record.service = "pool";
  record.slots = 16;
  record.draining = draining;
  return record;
}

BOOST_AUTO_TEST_CASE(EnginesThatLeaveAreRemovedAndLapsedOnesAreKeptForATime) {
  EngineDirectory directory;
  directory.Update(Engine("a"));
  directory.Update(Engine("b", /*draining=*/true));
  directory.Update(Engine("c"));
  BOOST_TEST(directory.Usable("pool", kStart).size() == 2u);
  BOOST_TEST(directory.Usable("other", kStart).empty());
  const Time long_ago = kStart - seconds(60);
  directory.Remove("a", kStart, EngineDirectory::KeepUntil(long_ago));
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
  // c's entry expired while the list was unavailable: c is kept for kLapseGrace only.
  directory.Remove("c", kStart, EngineDirectory::KeepUntil(kStart));
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
  BOOST_TEST(directory.Usable("pool", kStart + EngineDirectory::kLapseGrace).empty());
  // b was draining, so it is not kept.
  directory.Remove("b", kStart, EngineDirectory::KeepUntil(kStart));
  BOOST_TEST(directory.size() == 0u);
  // e is listed again in time and stays.
  directory.Replace({Engine("d"), Engine("e")}, kStart, long_ago);
  directory.Replace({Engine("d")}, kStart, EngineDirectory::KeepUntil(kStart));
  directory.Update(Engine("e"));
  BOOST_TEST(directory.Usable("pool", kStart + seconds(10)).size() == 2u);
}

// Guards against a grace time that starts at an engine's removal instead of the list's return: an
// engine that left one second after the list came back was kept for another 1.9 s.
BOOST_AUTO_TEST_CASE(TheGraceTimeStartsWhenTheListReturns) {
  EngineDirectory directory;
  directory.Update(Engine("a"));
  Time removed = kStart + milliseconds(1040);
  directory.Remove("a", removed, EngineDirectory::KeepUntil(kStart));
  BOOST_TEST(directory.Usable("pool", removed).size() == 1u);
  BOOST_TEST(directory.Usable("pool", removed + milliseconds(500)).empty());
}

BOOST_AUTO_TEST_CASE(AFailingEngineIsSetAsideAndItsFailureRateDecays) {
  EngineHealth health;
  health.AddFailure(kStart);
  BOOST_TEST(!health.IsSetAside(kStart));
  health.AddFailure(kStart);
  BOOST_TEST(health.IsSetAside(kStart));
  BOOST_TEST(!health.IsSetAside(kStart + EngineHealth::kFirstPause));
  Duration pause{};
  for (int i = 0; i < 30; ++i) health.AddFailure(kStart);
  while (health.IsSetAside(kStart + pause)) pause += milliseconds(10);
  BOOST_TEST((pause <= EngineHealth::kMaxPause));
  double before = health.FailureRate(kStart);
  BOOST_TEST(health.FailureRate(kStart + EngineHealth::kHalfLife) < before * 0.51);
  health.AddSuccess(kStart);
  BOOST_TEST(!health.IsSetAside(kStart));
  EngineHealth unreachable;
  unreachable.AddCertainFailure(kStart);
  BOOST_TEST(unreachable.IsSetAside(kStart));
}

BOOST_AUTO_TEST_CASE(SilenceIsAcceptedWhileTheLoadExplainsIt) {
  BOOST_TEST((SilenceTimeout(100) == kMinSilenceTimeout));
  BOOST_TEST((SilenceTimeout(1000) == milliseconds(3000)));
  struct Case {
    const char* what;
    int requests;
    double reading_ms;
    Duration silent;
    bool is_explained;
  };
  const std::vector<Case> cases = {
      {"no work", 1, 0, milliseconds(950), false},
      {"a prompt to read", 1, 700, milliseconds(1000), true},
      {"a prompt that should have been read by now", 1, 700, milliseconds(1100), false},
      {"more requests than slots", 9, 0, milliseconds(1000), true},
      {"all slots taken", 8, 0, milliseconds(1000), false},
      {"a load that explains it, but at the maximum timeout", 9, 5000, kMaxSilenceTimeout, false},
  };
  for (const Case& test_case : cases) {
    EngineLoad load;
    load.requests = test_case.requests;
    load.reading_ms = test_case.reading_ms;
    BOOST_TEST_CONTEXT(test_case.what) {
      BOOST_TEST(LoadExplainsSilence(load, /*slots=*/8, test_case.silent) ==
                 test_case.is_explained);
    }
  }
}

BOOST_AUTO_TEST_CASE(TheFirstEventTimeoutIsLongerIfASecondEngineWouldBeLateToo) {
  struct Case {
    const char* what;
    double expected_ms;
    double objective_ms;
    Duration timeout;
  };
  const std::vector<Case> cases = {
      {"a short request: the usual timeout is longer", 100, 300, milliseconds(900)},
      {"a second engine could be in time", 300, 1500, milliseconds(900)},
      {"a second engine would be just in time", 750, 3000, milliseconds(2250)},
      {"a second engine would be just too late", 760, 3000, milliseconds(6000)},
      {"a second engine would be far too late", 1500, 3000, milliseconds(6000)},
      {"expected so late that the usual timeout is longest", 3000, 3000, milliseconds(9000)},
      {"no objective", 1000, 0, milliseconds(3000)},
  };
  for (const Case& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.what) {
      BOOST_TEST(
          (FirstEventTimeout(test_case.expected_ms, test_case.objective_ms) == test_case.timeout));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnEngineIsSuspectedAfterReportsOfTwoPeers) {
  struct Case {
    std::string name;
    // The engines that each peer has set aside, in the order of the reports.
    std::vector<std::pair<std::string, std::set<std::string>>> reports;
    bool is_suspected;
  };
  const std::vector<Case> cases = {
      {"no peer", {}, false},
      {"one peer", {{"a", {"e"}}}, false},
      {"one peer twice", {{"a", {"e"}}, {"a", {"e"}}}, false},
      {"two peers", {{"a", {"e"}}, {"b", {"e"}}}, true},
      {"the first peer has withdrawn its report", {{"a", {"e"}}, {"a", {}}, {"b", {"e"}}}, false},
      {"one peer has set aside too many engines",
       {{"a", {"e", "f", "g", "h"}}, {"b", {"e"}}},
       false},
      {"another engine", {{"a", {"f"}}, {"b", {"f"}}}, false},
  };
  for (const Case& test_case : cases) {
    PeerSuspicion suspicion("us");
    for (const auto& [peer, engines] : test_case.reports)
      suspicion.ReceiveSetAside(peer, engines, 12, kStart);
    BOOST_TEST_CONTEXT(test_case.name) {
      BOOST_TEST(suspicion.IsSuspected("e", kStart) == test_case.is_suspected);
    }
  }
}

BOOST_AUTO_TEST_CASE(GatewaysReturnToASuspectedEngineOneAfterAnother) {
  std::set<Duration> returns;
  for (int box = 0; box < 28; ++box) {
    PeerSuspicion suspicion("box-" + std::to_string(box));
    suspicion.ReceiveSetAside("a", {"e"}, 12, kStart);
    suspicion.ReceiveSetAside("b", {"e"}, 12, kStart);
    Duration avoided_for{};
    while (suspicion.IsSuspected("e", kStart + avoided_for)) avoided_for += milliseconds(10);
    BOOST_TEST((avoided_for >= PeerSuspicion::kReportLifetime));
    BOOST_TEST((avoided_for <= PeerSuspicion::kReportLifetime + PeerSuspicion::kReturnSpread));
    returns.insert(avoided_for);
  }
  BOOST_TEST(returns.size() > 14u);
}

BOOST_AUTO_TEST_CASE(AnEngineThatPeersAvoidIsAvoidedUnlessItAnsweredUs) {
  Fleet fleet({}, "us", "hall");
  for (int i = 0; i < 12; ++i) {
    std::string id = "e" + std::to_string(i);
    fleet.directory().Update({id, "apps", {"127.0.0.1", 1}, "hall", 8, false});
  }
  Service service;
  service.name = "apps";
  std::string first = fleet.Choose(service, {}, {}, kStart)->engine.id;
  for (const char* peer : {"a", "b"}) fleet.ReceiveSetAside(peer, {first}, kStart);
  BOOST_TEST(fleet.Choose(service, {}, {}, kStart)->engine.id != first);
  fleet.HealthOf(first).AddSuccess(kStart);
  BOOST_TEST(fleet.Choose(service, {}, {}, kStart)->engine.id == first);
  // After two reports, one own failure is enough to set the engine aside.
  fleet.NoteFailure(first, /*unreachable=*/false, kStart);
  BOOST_TEST((fleet.SetAsideEngines(kStart) == std::set<std::string>{first}));
  // A gateway for which most engines fail reports none of them.
  for (int i = 0; i < 12; ++i) fleet.NoteFailure("e" + std::to_string(i), true, kStart);
  BOOST_TEST(fleet.SetAsideEngines(kStart).empty());
}

// Twelve engines: e0 was unreachable once, and the others run forty requests each.  Checks with
// each switch whether a request is sent to e0, and whether one failure of e1 sets it aside after
// two peers have reported it.
BOOST_AUTO_TEST_CASE(EachSetAsideCanBeSwitchedOffAlone) {
  struct Case {
    std::string name;
    Mechanisms mechanisms;
    bool gets_e0;
    std::set<std::string> set_aside_after_named;
  };
  Mechanisms no_own;
  no_own.own_set_aside = false;
  Mechanisms no_peers;
  no_peers.peer_set_aside = false;
  const std::vector<Case> cases = {
      {"all on", {}, false, {"e0", "e1"}},
      {"own set-aside off", no_own, true, {"e0", "e1"}},
      {"peer set-aside off", no_peers, false, {"e0"}},
  };
  for (const Case& test_case : cases) {
    Fleet fleet({}, "us", "hall", test_case.mechanisms);
    uint64_t work = 0;
    for (int i = 0; i < 12; ++i) {
      std::string id = "e" + std::to_string(i);
      fleet.directory().Update({id, "apps", {"127.0.0.1", 1}, "hall", 8, false});
      for (int k = 0; i > 0 && k < 40; ++k) fleet.loads().Begin(work++, {{id}}, kStart);
    }
    fleet.NoteFailure("e0", /*unreachable=*/true, kStart);
    Service service;
    service.name = "apps";
    BOOST_TEST_CONTEXT(test_case.name) {
      BOOST_TEST((fleet.Choose(service, {}, {}, kStart)->engine.id == "e0") == test_case.gets_e0);
      for (const char* peer : {"a", "b"}) fleet.ReceiveSetAside(peer, {"e1"}, kStart);
      fleet.NoteFailure("e1", /*unreachable=*/false, kStart);
      BOOST_TEST((fleet.SetAsideEngines(kStart) == test_case.set_aside_after_named));
    }
  }
}

// Five gateways see the same changes, and each receives the version of a write at once.
BOOST_AUTO_TEST_CASE(AfterEachChangeAboutOneGatewayWritesTheCopy) {
  constexpr int kGateways = 5;
  constexpr int kChanges = 40;
  std::vector<CopySchedule> schedules;
  for (int i = 0; i < kGateways; ++i) schedules.emplace_back(i + 1);
  Time now = kStart;
  int writes = 0;
  for (int change = 1; change <= kChanges; ++change) {
    uint64_t content = static_cast<uint64_t>(change);
    for (CopySchedule& schedule : schedules) schedule.NoteList(content, now);
    Time until =
        now + CopySchedule::kMinPause + CopySchedule::kSettleDelay + CopySchedule::kMinSpread;
    for (; now < until; now += milliseconds(1)) {
      for (CopySchedule& schedule : schedules) {
        if (!schedule.IsDue(now)) continue;
        schedule.NoteWritten(now);
        writes += 1;
        const CopyVersion version = schedule.copy();
        for (CopySchedule& other : schedules) other.NoteCopy(version, now);
      }
    }
    for (const CopySchedule& schedule : schedules)
      BOOST_TEST(schedule.copy().fingerprint == content);
  }
  BOOST_TEST(writes >= kChanges);
  BOOST_TEST(writes <= kChanges + kChanges / 4);
}

BOOST_AUTO_TEST_CASE(AFailedCopyIsWrittenAgainAfterAPause) {
  CopySchedule schedule(1);
  BOOST_TEST(!schedule.IsDue(kStart));
  schedule.NoteList(7, kStart);
  BOOST_TEST(!schedule.IsDue(kStart));
  Time due = kStart + CopySchedule::kSettleDelay + CopySchedule::kMinSpread;
  BOOST_TEST(schedule.IsDue(due));
  schedule.NoteWritten(due);
  Time next_due = due + CopySchedule::kMinPause + CopySchedule::kMinSpread;
  BOOST_TEST(!schedule.IsDue(next_due));
  schedule.NoteFailed();
  BOOST_TEST(!schedule.IsDue(due));
  BOOST_TEST(!schedule.IsDue(due + CopySchedule::kMinPause - milliseconds(1)));
  BOOST_TEST(schedule.IsDue(next_due));
  schedule.NoteCopy({2, 7}, next_due);
  BOOST_TEST(!schedule.IsDue(next_due + seconds(60)));
}

BOOST_AUTO_TEST_CASE(AnOlderCopyVersionDoesNotReplaceANewerOne) {
  CopySchedule schedule(1);
  schedule.NoteCopy({5, 50}, kStart);
  schedule.NoteCopy({4, 40}, kStart);
  BOOST_TEST(schedule.copy().fingerprint == 50u);
  schedule.NoteCopy({6, 60}, kStart);
  BOOST_TEST(schedule.copy().fingerprint == 60u);
}

// The list changes twice a second.  Each gateway reads it at times of its own and sends the
// version of the copy every quarter to half a second, which may be a version that it received.
BOOST_AUTO_TEST_CASE(AListThatAlwaysChangesIsCopiedAboutOncePerPause) {
  const Duration time = seconds(60);
  for (size_t gateways : {5, 30, 100}) {
    std::mt19937_64 random(gateways);
    auto within = [&](int ms) { return milliseconds(random() % static_cast<uint64_t>(ms)); };
    std::vector<CopySchedule> schedules;
    std::vector<Time> next_send(gateways, kStart);
    std::vector<Time> next_read(gateways, kStart);
    for (size_t i = 0; i < gateways; ++i) {
      schedules.emplace_back(i + 1);
      schedules.back().SetGateways(gateways);
    }
    int writes = 0;
    for (Time now = kStart; now < kStart + time; now += milliseconds(10)) {
      uint64_t list = 1 + static_cast<uint64_t>(ToSeconds(now - kStart) * 2);
      for (size_t i = 0; i < gateways; ++i) {
        if (now >= next_read[i]) {
          schedules[i].NoteList(list, now);
          next_read[i] = now + milliseconds(500) + within(1000);
        }
        if (schedules[i].IsDue(now)) {
          schedules[i].NoteWritten(now);
          writes += 1;
        }
        if (now < next_send[i]) continue;
        next_send[i] = now + milliseconds(250) + within(250);
        const CopyVersion version = schedules[i].copy();
        for (CopySchedule& other : schedules) other.NoteCopy(version, now);
      }
    }
    double pauses = ToSeconds(time) / ToSeconds(CopySchedule::kMinPause);
    BOOST_TEST(writes <= 1.5 * pauses, gateways << " gateways: " << writes);
    BOOST_TEST(writes >= pauses / 3, gateways << " gateways: " << writes);
  }
}

BOOST_AUTO_TEST_CASE(KeysAreTrustedFromTheTimeTheReadWasSent) {
  KeyFreshness freshness(seconds(5));
  BOOST_TEST(!freshness.IsFresh(kStart));
  freshness.Confirm(kStart, kStart);
  BOOST_TEST(freshness.IsFresh(kStart + seconds(4)));
  BOOST_TEST(!freshness.IsFresh(kStart + seconds(5)));
  // An older read that is answered later does not shorten the trust.
  freshness.Confirm(kStart - seconds(1), kStart);
  BOOST_TEST(freshness.IsFresh(kStart + seconds(4)));
}

// A read that waits at the store while the trust runs out is answered with the first of the missed
// versions.
BOOST_AUTO_TEST_CASE(AfterALapseOnlyALaterReadCounts) {
  KeyFreshness freshness(seconds(5));
  const Time lapse = kStart + seconds(5) - KeyFreshness::kMargin;
  freshness.Confirm(kStart, kStart);
  freshness.Confirm(kStart + milliseconds(400), lapse + milliseconds(200));
  BOOST_TEST(!freshness.IsFresh(lapse + milliseconds(200)));
  freshness.Confirm(lapse + milliseconds(1), lapse + milliseconds(300));
  BOOST_TEST(freshness.IsFresh(lapse + milliseconds(300)));
  // In time, the same read counts.
  KeyFreshness in_time(seconds(5));
  in_time.Confirm(kStart, kStart);
  in_time.Confirm(kStart + milliseconds(400), lapse);
  BOOST_TEST(in_time.IsFresh(lapse + milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(KeysStayValidUntilChangedIfRevocationIsNotBounded) {
  KeyFreshness freshness(seconds(5), KeyTrust::kUntilChanged);
  // Nothing has been read yet, so there are no keys to accept.
  BOOST_TEST(!freshness.IsFresh(kStart));
  freshness.Confirm(kStart, kStart);
  BOOST_TEST(freshness.IsFresh(kStart + seconds(5)));
  BOOST_TEST(freshness.IsFresh(kStart + seconds(3600)));
}

// The number of validations in a run, and the greatest age of a process's last validation.
struct RevalidationRun {
  int validations = 0;
  Duration max_age{};
};

// Runs processes that receive each other's validations after `delay`, or never if it is empty.
RevalidationRun RunSchedules(int processes, RevalidationBounds bounds,
                             std::optional<Duration> delay) {
  std::vector<RevalidationSchedule> schedules;
  for (int i = 0; i < processes; ++i) schedules.emplace_back(bounds, 100 + i);
  std::vector<Time> validated_at(schedules.size(), kStart);
  std::vector<std::pair<Time, Time>> sent_validations;  // Arrival and time.
  RevalidationRun run;
  for (Time now = kStart; now < kStart + seconds(60); now += milliseconds(5)) {
    for (const auto& [arrives_at, validation] : sent_validations) {
      if (arrives_at > now) continue;
      for (Time& own : validated_at) own = std::max(own, validation);
    }
    for (size_t i = 0; i < schedules.size(); ++i) {
      run.max_age = std::max(run.max_age, now - validated_at[i]);
      if (!schedules[i].IsDue(validated_at[i], now)) continue;
      schedules[i].NoteRequested();
      schedules[i].NoteValidated();
      validated_at[i] = now;
      run.validations += 1;
      if (delay) sent_validations.emplace_back(now + *delay, now);
    }
  }
  return run;
}

BOOST_AUTO_TEST_CASE(OneValidationServesTheFleetAndNoProcessLosesTrust) {
  struct Case {
    int processes;
    std::optional<Duration> delay;
    int max_validations;
  };
  // A single process asks every 1.5 to 3 s.  Of many processes about one asks every 1.5 s.
  const std::vector<Case> cases = {{1, std::nullopt, 40},
                                   {28, milliseconds(5), 80},
                                   {28, milliseconds(50), 120},
                                   {28, std::nullopt, 28 * 40}};
  const RevalidationBounds bounds{.key_trust = seconds(5), .change = seconds(5)};
  for (const Case& test_case : cases) {
    RevalidationRun run = RunSchedules(test_case.processes, bounds, test_case.delay);
    BOOST_TEST(run.validations >= 20);
    BOOST_TEST(run.validations <= test_case.max_validations);
    BOOST_TEST((run.max_age <= milliseconds(3010)));
  }
}

// Failure guarded against: the interval followed from the bound on keys alone, and was longer than
// the time in which a change must be in force.
BOOST_AUTO_TEST_CASE(ALostReadIsFoundWithinTheBoundOnChanges) {
  const Duration changes[] = {seconds(2), seconds(3), seconds(5), seconds(9)};
  for (Duration change : changes) {
    for (int processes : {1, 5, 28}) {
      RevalidationRun run =
          RunSchedules(processes, {.key_trust = seconds(5), .change = change}, milliseconds(5));
      double bound_s = std::min(ToSeconds(change), 5.0);
      BOOST_TEST(ToSeconds(run.max_age) <= 0.6 * bound_s + 0.01);
      // Several processes may ask before the first answer arrives.
      BOOST_TEST(run.validations <= 2 * 60 / (0.3 * bound_s));
    }
  }
}

// Failure guarded against: the bound on changes was thought not to concern a process that reads
// from a peer, which asked the store only within the bound on keys.
BOOST_AUTO_TEST_CASE(AReaderOfAPeerAsksLaterButWithinTheBoundOnChanges) {
  struct Row {
    bool reads_store;
    bool covers_readers;
    Duration quiet_until;
    Duration due_by;
  };
  const Row rows[] = {{true, true, milliseconds(600), milliseconds(1200)},
                      {false, true, milliseconds(1000), milliseconds(1400)},
                      {true, false, milliseconds(600), milliseconds(1200)},
                      {false, false, milliseconds(2500), milliseconds(3500)}};
  for (const Row& row : rows) {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
      RevalidationSchedule schedule(
          {.key_trust = seconds(5), .change = seconds(2), .covers_readers = row.covers_readers},
          seed);
      schedule.SetReadsStore(row.reads_store);
      BOOST_TEST(!schedule.IsDue(kStart, kStart + row.quiet_until - milliseconds(1)));
      BOOST_TEST(schedule.IsDue(kStart, kStart + row.due_by));
    }
  }
}

BOOST_AUTO_TEST_CASE(AfterANewerConfigurationTheStoreIsAskedAgainAfterAPause) {
  RevalidationSchedule schedule({.key_trust = seconds(5), .change = seconds(5)}, 1);
  Time late = kStart + seconds(4);
  BOOST_TEST(schedule.IsDue(kStart, late));
  schedule.NoteRequested();
  BOOST_TEST(!schedule.IsDue(kStart, late));
  schedule.NoteBehind(late);
  BOOST_TEST(!schedule.IsDue(kStart, late));
  BOOST_TEST(schedule.IsDue(kStart, late + RevalidationSchedule::kNewerConfigPause));
}

BOOST_AUTO_TEST_CASE(PeerLoadIsCountedOnceAndExpiresWhenThePeerIsSilent) {
  LoadTracker tracker;
  EngineLoad three;
  three.requests = 3;
  tracker.ApplyPeer("p", 1, 5, {{"e", three}}, kStart);
  BOOST_TEST(tracker.LoadOn("e", kStart).requests == 3);
  // Late and duplicate datagrams change nothing.
  tracker.ApplyPeer("p", 1, 4, {{"e", EngineLoad{}}}, kStart);
  tracker.ApplyPeer("p", 1, 5, {{"e", three}}, kStart);
  BOOST_TEST(tracker.LoadOn("e", kStart).requests == 3);
  tracker.Begin(1, {{"e", 5000, 20, true, 200}}, kStart);
  BOOST_TEST(tracker.LoadOn("e", kStart).requests == 4);
  // The load of a new incarnation replaces all loads of the previous one.
  tracker.ApplyPeer("p", 2, 1, {{"f", three}}, kStart);
  BOOST_TEST(tracker.LoadOn("e", kStart).requests == 1);
  BOOST_TEST(tracker.LoadOn("f", kStart + LoadTracker::kPeerTimeout + milliseconds(1)).requests ==
             0);
  tracker.End(1);
  BOOST_TEST((tracker.LoadOn("e", kStart) == EngineLoad{}));
}

BOOST_AUTO_TEST_CASE(PeersReceiveChangesThatAffectTheirPlacement) {
  struct Case {
    const char* change;
    EngineLoad sent;
    EngineLoad now;
    bool is_significant;
    bool is_significant_without_reading;
  };
  EngineLoad reading;
  reading.requests = 2;
  reading.writers = 1;
  reading.reading_ms = 300;
  EngineLoad one_more = reading;
  one_more.requests = 3;
  EngineLoad writes = reading;
  writes.writers = 2;
  EngineLoad helps = reading;
  helps.reading_ms = 520;
  EngineLoad a_little = reading;
  a_little.reading_ms = 310;
  EngineLoad none = reading;
  none.reading_ms = 0;
  const std::vector<Case> cases = {
      {"no change", reading, reading, false, false},
      {"one more request", reading, one_more, true, true},
      {"a prompt was read", reading, writes, true, true},
      {"one more share of a helper", reading, helps, true, false},
      {"one less share of a helper", helps, reading, true, false},
      {"one more short prompt to read", reading, a_little, false, false},
      {"the last prompt was read", reading, none, true, true},
  };
  for (const Case& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.change) {
      BOOST_TEST(IsSignificantChange(test_case.sent, test_case.now) == test_case.is_significant);
      BOOST_TEST(IsSignificantChange(test_case.sent, test_case.now, /*count_reading=*/false) ==
                 test_case.is_significant_without_reading);
    }
  }
}

BOOST_AUTO_TEST_CASE(ALateStreamIsCountedAtTheLateStreamPause) {
  LoadTracker tracker;
  tracker.Begin(1, {{"e", 5000, 30, true, 250}}, kStart);
  tracker.Begin(2, {{"e", 5000, 30, true, 250}}, kStart);
  tracker.Begin(3, {{"e", 0, 60, true, 0}}, kStart);
  tracker.MarkAnswerLate(1);
  tracker.MarkAnswerLate(3);
  tracker.MarkAnswerLate(4);
  EngineLoad load = tracker.LoadOn("e", kStart);
  BOOST_TEST(load.requests == 3);
  BOOST_TEST_REQUIRE(load.streams.size() == 2u);
  BOOST_TEST((load.streams[0] == PauseClass{250, 1, 5000}));
  BOOST_TEST((load.streams[1] == PauseClass{kLateStreamPauseMs, 1, 5000}));
}

BOOST_AUTO_TEST_CASE(ReadingTimePassesForTheOldestPromptOnly) {
  LoadTracker tracker;
  tracker.Begin(1, {{"e", 50'000, 300, true, 200}}, kStart);
  tracker.Begin(2, {{"e", 50'000, 300, true, 200}}, kStart);
  BOOST_TEST(tracker.LoadOn("e", kStart + milliseconds(200)).RemainingReadingMs() == 400);
  tracker.MarkFirstEvent(1);
  BOOST_TEST(tracker.LoadOn("e", kStart + milliseconds(300)).RemainingReadingMs() == 0);
  BOOST_TEST(tracker.LoadOn("e", kStart).writers == 1);
}

// With random delays of the notes, the validation time that a note proves must never be later than
// the peer's real validation time.
BOOST_AUTO_TEST_CASE(APeersValidationNeverLooksNewerThanItIs) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    PeerFreshness us(1);
    PeerFreshness peer(2);
    Time now = kStart;
    for (int step = 0; step < 40; ++step) {
      now += milliseconds(random() % 500);
      us.BeginRound(now);
      FreshnessNote ours = us.NoteFor("peer", 7, now, now);
      now += milliseconds(random() % 3000);  // In the network or in a stopped process.
      if (random() % 4 != 0) peer.ReceiveNote("us", 1, ours, 7, now);
      now += milliseconds(random() % 700);
      peer.BeginRound(now);
      Time real_time = now - milliseconds(random() % 2000);
      FreshnessNote theirs = peer.NoteFor("us", 7, real_time, now);
      now += milliseconds(random() % 3000);
      std::optional<Time> validated_at = us.ReceiveNote("peer", 2, theirs, 7, now);
      if (validated_at) BOOST_REQUIRE((*validated_at <= real_time));
    }
  }
}

BOOST_AUTO_TEST_CASE(ANoteProvesNothingForANewerVersionOrAnotherIncarnation) {
  PeerFreshness us(1);
  us.BeginRound(kStart);
  FreshnessNote note{1, 7, milliseconds(100), 1, milliseconds(20), 1};
  BOOST_TEST(us.ReceiveNote("p", 2, note, 7, kStart).has_value());
  BOOST_TEST((*us.ReceiveNote("p", 2, note, 7, kStart) == kStart - milliseconds(80)));
  // With an own version above 7 the note still proves that no version above 7 existed then.
  BOOST_TEST(us.ReceiveNote("p", 2, note, 8, kStart).has_value());
  BOOST_TEST(!us.ReceiveNote("p", 2, note, 6, kStart).has_value());
  BOOST_TEST(us.newest_peer_version() == 7u);
  note.echoed_incarnation = 9;
  BOOST_TEST(!us.ReceiveNote("p", 2, note, 7, kStart).has_value());
  note = {2, 7, milliseconds(100), 0, milliseconds(20), 1};
  BOOST_TEST(!us.ReceiveNote("p", 2, note, 7, kStart).has_value());
  note.echoed_round = 99;
  BOOST_TEST(!us.ReceiveNote("p", 2, note, 7, kStart).has_value());
}

}  // namespace
}  // namespace gullward

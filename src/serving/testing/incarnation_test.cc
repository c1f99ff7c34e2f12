// Tests that state about an earlier incarnation of an engine does not affect the next one, for each
// kind of state, and compares the fleet with a simple model on random histories.

#define BOOST_TEST_MODULE incarnation
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "serving/engine_list.h"
#include "serving/fleet.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
const Service kPool{"pool", "/healthz", 100, true, {}};

EngineRecord EngineStarted(int64_t started, const std::string& id = "e-1") {
  return {id, "pool", {"10.0.0.1", 8080}, "hall-1", 16, /*draining=*/false, started};
}

Fleet NewFleet() { return Fleet(RetryBounds{}, "box-1", "hall-1"); }

EngineLoad Requests(int count) {
  EngineLoad load;
  load.requests = count;
  return load;
}

BOOST_AUTO_TEST_CASE(ALaterIncarnationReplacesAnEarlierOneAndNeverTheReverse) {
  EngineDirectory directory;
  directory.Update(EngineStarted(5));
  directory.Update(EngineStarted(9));
  directory.Update(EngineStarted(5));
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
  directory.Replace({EngineStarted(7)}, kStart, Time{});
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
  // An entry without a start time counts as earlier than any with one.
  directory.Update(EngineStarted(0));
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
}

BOOST_AUTO_TEST_CASE(ALaterIncarnationOfALeavingEngineMayGetWork) {
  EngineDirectory directory;
  EngineRecord leaving = EngineStarted(5);
  leaving.draining = true;
  directory.Update(leaving);
  BOOST_TEST(directory.Usable("pool", kStart).empty());
  directory.Update(EngineStarted(9));
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
  // The entry in which the earlier incarnation is leaving arrives again, late.
  directory.Update(leaving);
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(OnlyTheIncarnationThatWasNotAtItsAddressIsRemoved) {
  EngineDirectory directory;
  directory.Update(EngineStarted(9));
  directory.RemoveIncarnation(EngineStarted(5));
  BOOST_TEST(directory.size() == 1u);
  directory.RemoveIncarnation(EngineStarted(9));
  BOOST_TEST(directory.size() == 0u);
}

BOOST_AUTO_TEST_CASE(FailuresOfAnEarlierIncarnationDoNotSetTheNextOneAside) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(EngineStarted(5));
  fleet.directory().Update(EngineStarted(1, "e-2"));
  fleet.NoteFailure(EngineStarted(5).Incarnation(), /*unreachable=*/true, kStart);
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->engine.id == "e-2");
  fleet.directory().Update(EngineStarted(9));
  // An attempt at the earlier incarnation fails only now.
  fleet.NoteFailure(EngineStarted(5).Incarnation(), /*unreachable=*/true, kStart);
  BOOST_TEST(fleet.HealthOf(EngineStarted(9).Incarnation()).FailureRate(kStart) == 0);
  BOOST_TEST(fleet.SetAsideEngines(kStart).count(EngineStarted(9).Incarnation()) == 0u);
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 2u);
}

BOOST_AUTO_TEST_CASE(PeersReportsOnAnEarlierIncarnationDoNotSetTheNextOneAside) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(EngineStarted(9));
  for (int i = 2; i < 9; ++i) fleet.directory().Update(EngineStarted(1, "e-" + std::to_string(i)));
  for (const char* peer : {"box-2", "box-3", "box-4"}) {
    fleet.ReceiveSetAside(peer, {EngineStarted(5).Incarnation()}, kStart);
  }
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 8u);
  for (const char* peer : {"box-2", "box-3"}) {
    fleet.ReceiveSetAside(peer, {EngineStarted(9).Incarnation()}, kStart);
  }
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 7u);
}

BOOST_AUTO_TEST_CASE(WorkOnAnEarlierIncarnationIsNotLoadOfTheNextOne) {
  LoadTracker loads;
  loads.Begin(1, {WorkPart{EngineStarted(5).Incarnation(), 1000, 50, true, 200}}, kStart);
  loads.ApplyPeer("box-2", 7, 3, {{EngineStarted(5).Incarnation(), Requests(1)}}, kStart);
  BOOST_TEST(loads.LoadOn(EngineStarted(5).Incarnation(), kStart).requests == 2);
  BOOST_TEST((loads.LoadOn(EngineStarted(9).Incarnation(), kStart) == EngineLoad{}));
}

BOOST_AUTO_TEST_CASE(ARequestMayTryTheNextIncarnationOfAnEngineThatItTried) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(EngineStarted(9));
  fleet.directory().Update(EngineStarted(1, "e-2"));
  BOOST_TEST(fleet.Choose(kPool, {}, {EngineStarted(5).Incarnation()}, kStart)->candidates == 2u);
  BOOST_TEST(fleet.Choose(kPool, {}, {EngineStarted(9).Incarnation()}, kStart)->candidates == 1u);
}

BOOST_AUTO_TEST_CASE(TheCopyOfTheListKeepsStartTimes) {
  std::vector<EngineRecord> list = {EngineStarted(1764720000123), EngineStarted(0, "e-2")};
  std::optional<std::vector<EngineRecord>> read = DecodeEngineList(EncodeEngineList(list));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == list));
}

// A simple model of the directory and the loads: all facts are kept with their engine's id and
// start time, none is replaced, and each query looks at all of them.
class SimpleModel {
 public:
  void AddEntry(const std::string& id, int64_t started) { this->entries.push_back({id, started}); }
  void RemoveEntries(const std::string& id) {
    std::erase_if(this->entries, [&](const auto& fact) { return fact.first == id; });
  }
  void AddReport(const std::string& peer, const std::string& id, int64_t started, int requests,
                 uint64_t sequence) {
    this->reports.push_back({peer, id, started, requests, sequence});
  }

  // The start time of the latest incarnation on the list; -1 if there is none.
  int64_t StartOf(const std::string& id) const {
    int64_t latest = -1;
    for (const auto& [listed_id, started] : this->entries) {
      if (listed_id == id) latest = std::max(latest, started);
    }
    return latest;
  }

  // Requests on that incarnation, by each peer's report with the highest sequence number.
  int RequestsOn(const std::string& id) const {
    std::map<std::string, Report> newest;
    for (const Report& report : this->reports) {
      if (report.id != id || report.started != this->StartOf(id)) continue;
      Report& best = newest[report.peer];
      if (report.sequence > best.sequence) best = report;
    }
    int requests = 0;
    for (const auto& [peer, report] : newest) requests += report.requests;
    return requests;
  }

 private:
  struct Report {
    std::string peer;
    std::string id;
    int64_t started = 0;
    int requests = 0;
    uint64_t sequence = 0;
  };
  std::vector<std::pair<std::string, int64_t>> entries;
  std::vector<Report> reports;
};

// With restarts, reads of the list in any order (the list itself and its older copy), and
// reordered datagrams, the fleet always agrees with the model.
BOOST_AUTO_TEST_CASE(RandomHistoriesAgreeWithTheModel) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    Fleet fleet = NewFleet();
    SimpleModel model;
    std::map<std::string, int64_t> running;
    uint64_t sequence = 0;
    for (int step = 0; step < 400; ++step) {
      std::string id = "e-" + std::to_string(random() % 4);
      int64_t& started = running[id];
      int64_t listed_start =
          started - static_cast<int64_t>(random() % 3) * (random() % 4 == 0 ? 1 : 0);
      listed_start = std::max<int64_t>(listed_start, 1);
      switch (random() % 5) {
        case 0:
          started += 1 + static_cast<int64_t>(random() % 3);
          break;
        case 1:
        case 2:
          fleet.directory().Update(EngineStarted(listed_start, id));
          model.AddEntry(id, listed_start);
          break;
        case 3: {
          std::string peer = "box-" + std::to_string(2 + random() % 3);
          // Some datagrams arrive after ones that were sent later.
          uint64_t sent = ++sequence - (random() % 4 == 0 ? std::min<uint64_t>(sequence, 3) : 0);
          int requests = static_cast<int>(random() % 5);
          fleet.loads().ApplyPeer(
              peer, 1, sent, {{EngineStarted(listed_start, id).Incarnation(), Requests(requests)}},
              kStart);
          model.AddReport(peer, id, listed_start, requests, sent);
          break;
        }
        case 4:
          if (random() % 4 != 0) break;
          fleet.directory().Remove(id, kStart, Time{});
          model.RemoveEntries(id);
          break;
      }
      const EngineRecord* known = fleet.directory().Find(id);
      BOOST_REQUIRE((known == nullptr ? -1 : known->started_at_ms) == model.StartOf(id));
      if (known == nullptr) continue;
      EngineLoad load = fleet.loads().LoadOn(known->Incarnation(), kStart);
      BOOST_REQUIRE(load.requests == model.RequestsOn(id));
    }
  }
}

}  // namespace
}  // namespace gullward

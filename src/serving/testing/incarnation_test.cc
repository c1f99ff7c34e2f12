// Engines that start again under their id: what a new life does to each thing that is
// believed of an engine or kept for it, and a seeded comparison with a slow model.

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

EngineRecord Life(int64_t born, const std::string& id = "e-1") {
  return {id, "pool", {"10.0.0.1", 8080}, "hall-1", 16, /*draining=*/false, born};
}

Fleet NewFleet() { return Fleet(RetryBounds{}, "box-1", "hall-1"); }

EngineLoad Requests(int count) {
  EngineLoad load;
  load.requests = count;
  return load;
}

BOOST_AUTO_TEST_CASE(ALaterLifeReplacesAnEarlierOneAndNeverTheOtherWayRound) {
  EngineDirectory directory;
  directory.Update(Life(5));
  directory.Update(Life(9));
  directory.Update(Life(5));
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
  directory.Replace({Life(7)}, kStart, Time{});
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
  // An entry that does not say when comes from before those that do.
  directory.Update(Life(0));
  BOOST_TEST(directory.Find("e-1")->started_at_ms == 9);
}

BOOST_AUTO_TEST_CASE(ALaterLifeOfAnEngineThatWasLeavingMayGetWork) {
  EngineDirectory directory;
  EngineRecord leaving = Life(5);
  leaving.draining = true;
  directory.Update(leaving);
  BOOST_TEST(directory.Usable("pool", kStart).empty());
  directory.Update(Life(9));
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
  // The earlier life's word, that it leaves, comes late.
  directory.Update(leaving);
  BOOST_TEST(directory.Usable("pool", kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(OnlyTheLifeThatWasNotAtItsAddressIsForgotten) {
  EngineDirectory directory;
  directory.Update(Life(9));
  directory.RemoveIncarnation(Life(5));
  BOOST_TEST(directory.size() == 1u);
  directory.RemoveIncarnation(Life(9));
  BOOST_TEST(directory.size() == 0u);
}

BOOST_AUTO_TEST_CASE(FailuresOfAnEarlierLifeDoNotSetTheNextOneAside) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(Life(5));
  fleet.directory().Update(Life(1, "e-2"));
  fleet.NoteFailure(Life(5).Incarnation(), /*unreachable=*/true, kStart);
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->engine.id == "e-2");
  fleet.directory().Update(Life(9));
  // An attempt of before ends now.
  fleet.NoteFailure(Life(5).Incarnation(), /*unreachable=*/true, kStart);
  BOOST_TEST(fleet.HealthOf(Life(9).Incarnation()).FailureRate(kStart) == 0);
  BOOST_TEST(fleet.SetAsideEngines(kStart).count(Life(9).Incarnation()) == 0u);
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 2u);
}

BOOST_AUTO_TEST_CASE(PeersWordsOnAnEarlierLifeDoNotSetTheNextOneAside) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(Life(9));
  for (int i = 2; i < 9; ++i) fleet.directory().Update(Life(1, "e-" + std::to_string(i)));
  for (const char* peer : {"box-2", "box-3", "box-4"}) {
    fleet.ReceiveSetAside(peer, {Life(5).Incarnation()}, kStart);
  }
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 8u);
  for (const char* peer : {"box-2", "box-3"}) {
    fleet.ReceiveSetAside(peer, {Life(9).Incarnation()}, kStart);
  }
  BOOST_TEST(fleet.Choose(kPool, {}, {}, kStart)->candidates == 7u);
}

BOOST_AUTO_TEST_CASE(WorkOnAnEarlierLifeIsNoLoadOfTheNextOne) {
  LoadTracker book;
  book.Begin(1, {WorkPart{Life(5).Incarnation(), 1000, 50, true, 200}}, kStart);
  book.ApplyPeer("box-2", 7, 3, {{Life(5).Incarnation(), Requests(1)}}, kStart);
  BOOST_TEST(book.LoadOn(Life(5).Incarnation(), kStart).requests == 2);
  BOOST_TEST((book.LoadOn(Life(9).Incarnation(), kStart) == EngineLoad{}));
}

BOOST_AUTO_TEST_CASE(ARequestMayTryTheNextLifeOfAnEngineThatItTried) {
  Fleet fleet = NewFleet();
  fleet.directory().Update(Life(9));
  fleet.directory().Update(Life(1, "e-2"));
  BOOST_TEST(fleet.Choose(kPool, {}, {Life(5).Incarnation()}, kStart)->candidates == 2u);
  BOOST_TEST(fleet.Choose(kPool, {}, {Life(9).Incarnation()}, kStart)->candidates == 1u);
}

BOOST_AUTO_TEST_CASE(TheCopyOfTheListKeepsWhenAnEngineStarted) {
  std::vector<EngineRecord> list = {Life(1764720000123), Life(0, "e-2")};
  std::optional<std::vector<EngineRecord>> read = DecodeEngineList(EncodeEngineList(list));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == list));
}

// The slow and obvious version: every fact is kept with the id and the start that it is
// about, nothing is ever replaced, and each question looks at all of it.
class SlowModel {
 public:
  void Listed(const std::string& id, int64_t born) { this->listed.push_back({id, born}); }
  void Removed(const std::string& id) {
    std::erase_if(this->listed, [&](const auto& fact) { return fact.first == id; });
  }
  void Told(const std::string& peer, const std::string& id, int64_t born, int requests,
            uint64_t sequence) {
    this->told.push_back({peer, id, born, requests, sequence});
  }

  // The latest life on the list; -1: none.
  int64_t BornOf(const std::string& id) const {
    int64_t latest = -1;
    for (const auto& [listed_id, born] : this->listed) {
      if (listed_id == id) latest = std::max(latest, born);
    }
    return latest;
  }

  // Requests on that life, by each peer's word of the highest sequence.
  int RequestsOn(const std::string& id) const {
    std::map<std::string, Word> newest;
    for (const Word& word : this->told) {
      if (word.id != id || word.born != this->BornOf(id)) continue;
      Word& best = newest[word.peer];
      if (word.sequence > best.sequence) best = word;
    }
    int requests = 0;
    for (const auto& [peer, word] : newest) requests += word.requests;
    return requests;
  }

 private:
  struct Word {
    std::string peer;
    std::string id;
    int64_t born = 0;
    int requests = 0;
    uint64_t sequence = 0;
  };
  std::vector<std::pair<std::string, int64_t>> listed;
  std::vector<Word> told;
};

// Restarts, reads of the list in any order (the list itself and its older copy), and
// datagrams that cross: the fleet always believes what the slow model does.
BOOST_AUTO_TEST_CASE(RestartsReadsAndDatagramsInAnyOrderAreKeptApart) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    Fleet fleet = NewFleet();
    SlowModel model;
    std::map<std::string, int64_t> running;
    uint64_t sequence = 0;
    for (int step = 0; step < 400; ++step) {
      std::string id = "e-" + std::to_string(random() % 4);
      int64_t& born = running[id];
      int64_t said = born - static_cast<int64_t>(random() % 3) * (random() % 4 == 0 ? 1 : 0);
      said = std::max<int64_t>(said, 1);
      switch (random() % 5) {
        case 0:
          born += 1 + static_cast<int64_t>(random() % 3);
          break;
        case 1:
        case 2:
          fleet.directory().Update(Life(said, id));
          model.Listed(id, said);
          break;
        case 3: {
          std::string peer = "box-" + std::to_string(2 + random() % 3);
          // Some datagrams come after ones that were sent later.
          uint64_t sent = ++sequence - (random() % 4 == 0 ? std::min<uint64_t>(sequence, 3) : 0);
          int requests = static_cast<int>(random() % 5);
          fleet.loads().ApplyPeer(peer, 1, sent,
                                  {{Life(said, id).Incarnation(), Requests(requests)}}, kStart);
          model.Told(peer, id, said, requests, sent);
          break;
        }
        case 4:
          if (random() % 4 != 0) break;
          fleet.directory().Remove(id, kStart, Time{});
          model.Removed(id);
          break;
      }
      const EngineRecord* known = fleet.directory().Find(id);
      BOOST_REQUIRE((known == nullptr ? -1 : known->started_at_ms) == model.BornOf(id));
      if (known == nullptr) continue;
      EngineLoad load = fleet.loads().LoadOn(known->Incarnation(), kStart);
      BOOST_REQUIRE(load.requests == model.RequestsOn(id));
    }
  }
}

}  // namespace
}  // namespace gullward

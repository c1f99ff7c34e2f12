// Cells: who works on what, who is told of it, and what goes elsewhere.  Without sockets.

#define BOOST_TEST_MODULE cell
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

#include "serving/fleet.h"
#include "serving/gateway_entry.h"
#include "serving/peer_directory.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);
const Service kPool{"pool", "/healthz", 100, true, {}};

std::string Hall(size_t number) { return "hall-" + std::to_string(number); }

// So many engines, dealt out to data centres in turn.
std::vector<EngineRecord> Engines(size_t count, size_t data_centres) {
  std::vector<EngineRecord> engines;
  for (size_t i = 0; i < count; ++i) {
    engines.push_back(
        {"e-" + std::to_string(i), "pool", {"10.0.0.1", 80}, Hall(i % data_centres), 16, false, 0});
  }
  return engines;
}

std::vector<const EngineRecord*> Pointers(const std::vector<EngineRecord>& engines) {
  std::vector<const EngineRecord*> pointers;
  for (const EngineRecord& engine : engines) pointers.push_back(&engine);
  return pointers;
}

// Where gateways are many.
CellMap MapOf(const std::vector<EngineRecord>& engines, size_t gateways = 2700,
              size_t data_centres = 5) {
  std::vector<GatewayName> names;
  for (size_t i = 0; i < gateways; ++i) {
    names.push_back({"box-" + std::to_string(i), Hall(i % data_centres)});
  }
  return CellMap(Pointers(engines), names);
}

Peer PeerNumber(size_t number, size_t data_centres) {
  return {"box-" + std::to_string(number), {"10.0.0.2", 90}, Hall(number % data_centres)};
}

BOOST_AUTO_TEST_CASE(ASmallFleetIsOneCell) {
  for (size_t count : {size_t{0}, size_t{1}, size_t{18}, CellMap::kWholeFleet}) {
    std::vector<EngineRecord> engines = Engines(count, 3);
    CellMap cells = MapOf(engines);
    BOOST_TEST(cells.is_whole());
    for (const EngineRecord& engine : engines) {
      BOOST_TEST((cells.CellOf(engine) == cells.HomeOf("box", "elsewhere")));
    }
  }
}

// From the milestone's size to that of two years on: what a cell holds is bounded, and no
// engine is left without gateways where there are enough of these.
BOOST_AUTO_TEST_CASE(WhatACellHoldsDoesNotGrowWithTheFleet) {
  struct Row {
    size_t engines;
    size_t gateways;
    size_t data_centres;
  };
  for (const Row& row : {Row{150, 103, 5}, Row{302, 30, 5}, Row{997, 100, 5}, Row{2999, 300, 5},
                         Row{10'000, 2700, 29}}) {
    std::vector<EngineRecord> engines = Engines(row.engines, row.data_centres);
    CellMap cells = MapOf(engines, row.gateways, row.data_centres);
    std::map<Cell, size_t> engines_of;
    for (const EngineRecord& engine : engines) engines_of[cells.CellOf(engine)] += 1;
    std::map<Cell, size_t> gateways_of;
    for (size_t i = 0; i < row.gateways; ++i) {
      Peer peer = PeerNumber(i, row.data_centres);
      gateways_of[cells.HomeOf(peer.box, peer.data_centre)] += 1;
    }
    BOOST_TEST_CONTEXT(row.engines << " engines, " << row.gateways << " gateways") {
      for (const auto& [cell, count] : engines_of) {
        // A hash deals out unevenly.
        // Where gateways are few, so many engines for each; a cell has two to eight of them.
        size_t for_few_gateways = 12 * row.engines / row.gateways;
        BOOST_TEST(count <= std::max(3 * CellMap::kMaxEngines / 2, for_few_gateways));
        BOOST_TEST(count >= CellMap::kLeastEngines / 2);
      }
      for (const auto& [cell, count] : gateways_of) {
        BOOST_TEST(count <= PeerDirectory::kMaxPeersPerRound);
        BOOST_TEST(engines_of.count(cell) == 1u);
      }
      // No engine is without gateways.
      for (const auto& [cell, count] : engines_of) {
        BOOST_TEST(gateways_of[cell] >= CellMap::kLeastGateways);
      }
    }
  }
}

// A process that knows no peer yet works on all of its area, not on a part that might be
// another's alone.
BOOST_AUTO_TEST_CASE(AnAreaIsNotDividedAmongTooFewGateways) {
  for (size_t gateways : {0, 1, 5, 20, 60}) {
    CellMap cells = MapOf(Engines(2999, 5), gateways, /*data_centres=*/1);
    BOOST_TEST(cells.HomeOf("box-0", Hall(0)).parts <= std::max<size_t>(gateways / 2, 1));
    BOOST_TEST(cells.HomeOf("box-0", Hall(1)).parts == 1u);
  }
}

BOOST_AUTO_TEST_CASE(ADataCentreWithFewEnginesJoinsAnArea) {
  std::vector<EngineRecord> engines = Engines(90, 3);
  for (EngineRecord& engine : engines) {
    if (engine.data_centre == Hall(2) && engine.id != "e-2") engine.data_centre = Hall(0);
  }
  CellMap cells = MapOf(engines);
  Cell joined = cells.HomeOf("box", Hall(2));
  BOOST_TEST((joined.area == Hall(0) || joined.area == Hall(1)));
  BOOST_TEST(cells.CellOf(engines[2]).area == joined.area);
  // One where there is no engine at all is served, too.
  BOOST_TEST(!cells.HomeOf("box", "nowhere").area.empty());
}

// An engine more or less moves nobody, but where an area is cut in two or joined.
BOOST_AUTO_TEST_CASE(FewMoveWhenTheFleetChanges) {
  std::vector<EngineRecord> engines = Engines(400, 5);
  CellMap before = MapOf(engines);
  std::vector<EngineRecord> fewer(engines.begin() + 10, engines.end());
  CellMap after = MapOf(fewer);
  for (const EngineRecord& engine : fewer) {
    Cell was = before.CellOf(engine);
    Cell is = after.CellOf(engine);
    BOOST_TEST(was.area == is.area);
    BOOST_TEST(was.index % std::min(was.parts, is.parts) ==
               is.index % std::min(was.parts, is.parts));
  }
}

// However many members a cell has, one round tells a bounded number, and three rounds (what
// was told is forgotten after) tell all of so many.
BOOST_AUTO_TEST_CASE(NobodyIsLeftOutHoweverManyThereAre) {
  CellMap cells = MapOf(Engines(18, 3));
  Cell home = cells.HomeOf("box-0", Hall(0));
  for (size_t count : {size_t{4}, PeerDirectory::kMaxPeersPerRound, size_t{102}, size_t{140}}) {
    PeerDirectory peers;
    for (size_t i = 1; i <= count; ++i) peers.Update(PeerNumber(i, 3));
    std::set<std::string> told;
    for (int round = 0; round < 3; ++round) {
      std::vector<const Peer*> now = peers.MembersForRound("pool", cells, home, 1);
      BOOST_TEST(now.size() <= PeerDirectory::kMaxPeersPerRound);
      for (const Peer* peer : now) told.insert(peer->box);
      peers.BeginRound();
    }
    BOOST_TEST(told.size() == count);
    BOOST_TEST((peers.deferred() > 0) == (count > PeerDirectory::kMaxPeersPerRound));
  }
}

BOOST_AUTO_TEST_CASE(MembersFollowTheListAndThePeers) {
  std::vector<EngineRecord> engines = Engines(150, 5);
  CellMap cells = MapOf(engines);
  PeerDirectory peers;
  for (size_t i = 1; i < 103; ++i) peers.Update(PeerNumber(i, 5));
  Cell home = cells.HomeOf("box-0", Hall(0));
  BOOST_TEST(peers.MembersForRound("pool", cells, home, 1).size() == 20u);
  peers.Remove("box-5");
  BOOST_TEST(peers.MembersForRound("pool", cells, home, 1).size() == 19u);
  CellMap whole;
  BOOST_TEST(peers.MembersForRound("pool", whole, whole.HomeOf("box-0", Hall(0)), 2).size() ==
             PeerDirectory::kMaxPeersPerRound);
  std::mt19937_64 random(1);
  for (int i = 0; i < 50; ++i) {
    for (const Peer* peer : peers.SampleOutside(cells, home, 2, &random)) {
      BOOST_TEST(peer->data_centre != Hall(0));
    }
  }
  BOOST_TEST(peers.SampleOutside(whole, {}, 2, &random).empty());
}

Fleet FleetOf(const std::vector<EngineRecord>& engines, const Mechanisms& mechanisms = {}) {
  Fleet fleet(RetryBounds{}, "box-0", Hall(0), mechanisms);
  for (const EngineRecord& engine : engines) fleet.directory().Update(engine);
  return fleet;
}

EngineLoad FullLoad() {
  EngineLoad load;
  load.requests = 40;
  load.reading_ms = 60'000;
  return load;
}

// Fills every engine of the home cell.
void FillHome(Fleet* fleet) {
  std::map<std::string, EngineLoad> loads;
  for (const HomeEngine& engine : fleet->plan(kStart).ForService("pool").engines) {
    loads[engine.incarnation] = FullLoad();
  }
  fleet->loads().ApplyPeer("box-1", 1, 1, loads, kStart);
}

BOOST_AUTO_TEST_CASE(ADecisionLooksAtTheHomeCellOnly) {
  Fleet fleet = FleetOf(Engines(150, 5));
  std::optional<FleetChoice> choice = fleet.Choose(kPool, {}, {}, kStart);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->candidates == 30u);
  BOOST_TEST(choice->engine.data_centre == Hall(0));
  Mechanisms undivided;
  undivided.cells = false;
  Fleet whole = FleetOf(Engines(150, 5), undivided);
  BOOST_TEST(whole.Choose(kPool, {}, {}, kStart)->candidates == 150u);
}

BOOST_AUTO_TEST_CASE(WhatTheHomeCellWouldServeLateGoesToEnginesOnOffer) {
  for (bool spill : {true, false}) {
    Mechanisms mechanisms;
    mechanisms.spill = spill;
    Fleet fleet = FleetOf(Engines(150, 5), mechanisms);
    FillHome(&fleet);
    // Without an offer it stays, since nothing is known of the others.
    BOOST_TEST(!fleet.Choose(kPool, {}, {}, kStart)->spilled);
    Fleet offering(RetryBounds{}, "box-9", Hall(1));
    for (const EngineRecord& engine : Engines(150, 5)) offering.directory().Update(engine);
    std::map<std::string, EngineLoad> offer = offering.EnginesToOffer(kStart);
    BOOST_TEST(offer.size() == Spill::kEnginesTold);
    fleet.ReceiveOffer("box-9", 1, 1, offer, kStart);
    std::optional<FleetChoice> choice = fleet.Choose(kPool, {}, {}, kStart);
    BOOST_TEST(choice->spilled == spill);
    BOOST_TEST((choice->engine.data_centre == Hall(1)) == spill);
    // What was offered long ago is known no longer.
    Time later = kStart + LoadTracker::kPeerTimeout + milliseconds(1);
    FillHome(&fleet);
    BOOST_TEST(!fleet.Choose(kPool, {}, {}, later)->spilled);
  }
}

BOOST_AUTO_TEST_CASE(WhereTheHomeCellHasNoEngineLeftAnyOtherWillDo) {
  std::vector<EngineRecord> engines = Engines(150, 5);
  Fleet fleet = FleetOf(engines);
  std::set<std::string> tried;
  for (const EngineRecord& engine : engines) {
    if (engine.data_centre == Hall(0)) tried.insert(engine.id);
  }
  BOOST_TEST(fleet.Choose(kPool, {}, tried, kStart).has_value());
  for (EngineRecord& engine : engines) {
    if (engine.data_centre != Hall(0)) continue;
    engine.draining = true;
    fleet.directory().Update(engine);
  }
  std::optional<FleetChoice> choice = fleet.Choose(kPool, {}, {}, kStart);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->engine.data_centre != Hall(0));
}

// Gateways that have read the list at different moments may offer each other the same
// engines; the work there is not counted twice.
BOOST_AUTO_TEST_CASE(AnOfferOfHomeEnginesSaysNothing) {
  Fleet fleet = FleetOf(Engines(150, 5));
  const std::string home = fleet.plan(kStart).ForService("pool").engines.front().incarnation;
  fleet.ReceiveOffer("box-9", 1, 1, {{home, FullLoad()}}, kStart);
  BOOST_TEST((fleet.loads().LoadOn(home, kStart) == EngineLoad{}));
}

// What is kept of peers' words is bounded by what is current, not by all that was ever said.
BOOST_AUTO_TEST_CASE(WordsOfPeersAreForgotten) {
  LoadTracker book;
  Time now = kStart;
  for (size_t i = 0; i < 1000; ++i) {
    std::string engine = "e-" + std::to_string(i);
    book.ApplyPeer("box-" + std::to_string(i % 7), 1, i + 1, {{engine, FullLoad()}}, now);
    now += milliseconds(100);
    book.ForgetSilent(now);
    BOOST_REQUIRE(book.peer_entries() <= 17u);
  }
  book.ForgetSilent(now + seconds(2));
  BOOST_TEST(book.peer_entries() == 0u);
}

BOOST_AUTO_TEST_CASE(AGatewaysEntryIsReadAsItWasWritten) {
  Peer peer{"box-2", {"10.1.0.4", 7340}, "hall-1"};
  BOOST_TEST((DecodeGatewayEntry("box-2", EncodeGatewayEntry(peer)) == std::optional<Peer>(peer)));
  for (const std::string& value :
       {std::string(), std::string("10.1.0.4:7340"), std::string(40, 'x')}) {
    BOOST_TEST(!DecodeGatewayEntry("box-2", value).has_value());
  }
}

}  // namespace
}  // namespace gullward

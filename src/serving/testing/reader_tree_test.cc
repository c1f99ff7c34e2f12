// Tests from whom gateways read a topic: the shape of the tree, and the choice for each read.  Runs
// without sockets.

#define BOOST_TEST_MODULE reader_tree
#include "serving/reader_tree.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/topic_sources.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);

std::vector<GatewayName> Gateways(size_t count, size_t data_centres = 1) {
  std::vector<GatewayName> gateways;
  for (size_t i = 0; i < count; ++i) {
    gateways.push_back({absl::StrCat("box-", i), absl::StrCat("hall-", i % data_centres)});
  }
  return gateways;
}

std::map<std::string, ReaderPlace> Places(size_t count, size_t data_centres = 1) {
  std::map<std::string, ReaderPlace> places;
  std::vector<GatewayName> gateways = Gateways(count, data_centres);
  for (const GatewayName& gateway : gateways) {
    places[gateway.box] = PlaceInTree(gateway, gateways);
  }
  return places;
}

std::set<std::string> Roots(const std::map<std::string, ReaderPlace>& places) {
  std::set<std::string> roots;
  for (const auto& [box, place] : places) {
    if (place.reads_store) roots.insert(box);
  }
  return roots;
}

BOOST_AUTO_TEST_CASE(AFewGatewaysOfADataCentreReadTheStore) {
  for (size_t count : {16, 30, 100, 300, 1000}) {
    std::map<std::string, ReaderPlace> places = Places(count);
    BOOST_TEST(Roots(places).size() == kMinRoots, count << " gateways");
    std::map<std::string, size_t> children;
    size_t depth = 0;
    for (const auto& [box, place] : places) {
      if (!place.reads_store) children[place.sources.front()] += 1;
      if (!place.reads_store) depth = std::max(depth, place.sources.size());
      BOOST_TEST(std::count(place.sources.begin(), place.sources.end(), box) == 0);
    }
    for (const auto& [box, readers] : children) BOOST_TEST(readers <= kChildren, count);
    // The levels hold 4, 16, 64, 256 and 1,024 gateways; the other roots are the last sources.
    BOOST_TEST(depth <= 4 + kMinRoots - 1, count << " gateways");
  }
}

BOOST_AUTO_TEST_CASE(AllGatewaysOfASmallFleetReadTheStore) {
  for (size_t count : {1, 2, 5, 15}) {
    for (const auto& [box, place] : Places(count, /*data_centres=*/3)) {
      BOOST_TEST(place.reads_store);
      BOOST_TEST(!place.has_children);
      BOOST_TEST(place.sources.size() == count - 1, count << " gateways");
    }
  }
}

// No gateway is its own ancestor, and each chain leads to a root.
BOOST_AUTO_TEST_CASE(EveryChainOfParentsEndsAtARoot) {
  std::map<std::string, ReaderPlace> places = Places(300);
  for (const auto& [box, place] : places) {
    std::string at = box;
    for (size_t steps = 0; !places[at].reads_store; ++steps) {
      BOOST_REQUIRE(steps < 10);
      at = places[at].sources.front();
    }
    std::set<std::string> distinct(place.sources.begin(), place.sources.end());
    BOOST_TEST(distinct.size() == place.sources.size());
  }
}

BOOST_AUTO_TEST_CASE(ThePlaceDependsOnTheNamesOnly) {
  std::vector<GatewayName> gateways = Gateways(50);
  const GatewayName self = gateways[7];
  ReaderPlace place = PlaceInTree(self, gateways);
  std::mt19937_64 random(1);
  std::shuffle(gateways.begin(), gateways.end(), random);
  BOOST_TEST((PlaceInTree(self, gateways) == place));
  std::erase(gateways, self);
  BOOST_TEST((PlaceInTree(self, gateways) == place));
}

// Where the store refuses both roots of a tree, they read from other trees.
BOOST_AUTO_TEST_CASE(EachLargeDataCentreHasATreeOfItsOwn) {
  constexpr size_t kDataCentres = 5;
  std::map<std::string, ReaderPlace> places = Places(100, kDataCentres);
  std::map<std::string, std::string> data_centre_of;
  for (const GatewayName& gateway : Gateways(100, kDataCentres)) {
    data_centre_of[gateway.box] = gateway.data_centre;
  }
  BOOST_TEST(Roots(places).size() == kRootsPerTree * kDataCentres);
  for (const auto& [box, place] : places) {
    BOOST_TEST(place.has_children);
    std::set<std::string> remote;
    for (const std::string& source : place.sources) {
      if (data_centre_of[source] == data_centre_of[box]) continue;
      BOOST_TEST(places[source].reads_store);
      remote.insert(source);
    }
    BOOST_TEST(remote.size() == (place.reads_store ? kRootsPerTree * (kDataCentres - 1) : 0));
  }
}

BOOST_AUTO_TEST_CASE(SmallDataCentresShareATree) {
  for (size_t count : {20, 30}) {
    BOOST_TEST(Roots(Places(count, /*data_centres=*/5)).size() == kMinRoots, count << " gateways");
  }
  // Twenty gateways in one data centre, and three in two others, which read from the store.
  std::vector<GatewayName> gateways = Gateways(20);
  gateways.push_back({"small-0", "hall-8"});
  gateways.push_back({"small-1", "hall-8"});
  gateways.push_back({"small-2", "hall-9"});
  size_t roots = 0;
  for (const GatewayName& gateway : gateways) {
    ReaderPlace place = PlaceInTree(gateway, gateways);
    BOOST_TEST(place.has_children == (gateway.data_centre == "hall-0"));
    roots += place.reads_store ? 1 : 0;
  }
  BOOST_TEST(roots == kRootsPerTree + 3);
}

// With several subtrees, the members of a cell notice when one of them lags behind.
BOOST_AUTO_TEST_CASE(TheSubtreesAreOfEqualSize) {
  std::map<std::string, ReaderPlace> places = Places(100);
  std::map<std::string, size_t> sizes;
  for (const auto& [box, place] : places) {
    if (place.reads_store) continue;
    std::string at = box;
    while (!places[at].reads_store) at = places[at].sources.front();
    sizes[at] += 1;
  }
  BOOST_TEST(sizes.size() == kMinRoots);
  for (const auto& [root, size] : sizes) BOOST_TEST(size >= 20u);
}

// What happens to a gateway, and from whom it reads next.
struct SourcesRow {
  const char* name;
  bool reads_store;
  std::vector<std::string> peers;
  std::function<void(TopicSources*)> events;
  // The time of the question, after kStart.
  Duration at;
  // Empty for the store.
  std::string next;
};

const std::vector<std::string> kTwo = {"parent", "root"};

const std::vector<SourcesRow> kSourcesTable = {
    {"a root reads the store", true, {"other"}, [](auto*) {}, seconds(0), ""},
    {"others read the parent", false, kTwo, [](auto*) {}, seconds(0), "parent"},
    {"without peers, the store", false, {}, [](auto*) {}, seconds(0), ""},
    {"after a failure the store is asked once", false, kTwo,
     [](auto* sources) { sources->NotePeerFailed("parent", kStart); }, seconds(0), ""},
    {"then the next ancestor", false, kTwo,
     [](auto* sources) {
       sources->NotePeerFailed("parent", kStart);
       sources->NoteStoreAnswered();
     },
     seconds(1), "root"},
    {"and the parent again later", false, kTwo,
     [](auto* sources) {
       sources->NotePeerFailed("parent", kStart);
       sources->NoteStoreAnswered();
     },
     TopicSources::kPeerPause, "parent"},
    {"all peers failed",
     false,
     {"parent"},
     [](auto* sources) {
       sources->NotePeerFailed("parent", kStart);
       sources->NoteStoreAnswered();
     },
     seconds(1),
     ""},
    {"a root that the store refuses reads a peer",
     true,
     {"other"},
     [](auto* sources) { sources->NoteStoreFailed(kStart); },
     seconds(0),
     "other"},
    {"and asks the store again after a pause",
     true,
     {"other"},
     [](auto* sources) { sources->NoteStoreFailed(kStart); },
     TopicSources::kFirstStorePause,
     ""},
    {"the pause doubles",
     true,
     {"other"},
     [](auto* sources) {
       sources->NoteStoreFailed(kStart - TopicSources::kFirstStorePause);
       sources->NoteStoreFailed(kStart);
     },
     TopicSources::kFirstStorePause,
     "other"},
    {"an answer to another call ends the pause",
     true,
     {"other"},
     [](auto* sources) {
       sources->NoteStoreFailed(kStart);
       sources->EndStorePause(kStart);
     },
     seconds(0),
     ""},
    {"and not what is known of peers", false, kTwo,
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreFailed(kStart);
       sources->EndStorePause(kStart);
       sources->NoteStoreFailed(kStart);
     },
     seconds(0), "root"},
    {"after a stale peer the store is asked once", false, kTwo,
     [](auto* sources) { sources->NotePeerStale("parent", kStart); }, seconds(0), ""},
    {"then the next ancestor", false, kTwo,
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreAnswered();
     },
     seconds(0), "root"},
    {"also if the store refuses", false, kTwo,
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreFailed(kStart);
     },
     seconds(0), "root"},
    {"a stale peer is better than none while the store refuses",
     false,
     {"parent"},
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreFailed(kStart);
     },
     seconds(0),
     "parent"},
    {"but the store is better once it may be asked",
     false,
     {"parent"},
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreFailed(kStart);
     },
     TopicSources::kFirstStorePause,
     ""},
    {"with the store back, stale peers are read again",
     false,
     {"parent"},
     [](auto* sources) {
       sources->NotePeerStale("parent", kStart);
       sources->NoteStoreFailed(kStart);
       sources->NoteStoreAnswered();
     },
     seconds(0),
     "parent"},
};

BOOST_AUTO_TEST_CASE(TheSourceOfEachRead) {
  for (const SourcesRow& row : kSourcesTable) {
    TopicSources sources;
    sources.SetPlace({row.reads_store, row.peers, true});
    row.events(&sources);
    BOOST_TEST(sources.Next(kStart + row.at).value_or("") == row.next, row.name);
  }
}

}  // namespace
}  // namespace gullward

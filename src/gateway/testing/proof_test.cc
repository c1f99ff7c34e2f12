// An answer proves what held when its read was sent, and only of what was read.
//
// Failures guarded against: a gateway told its peers how current its configuration was while it
// held none that it could name, and reads that had waited at a store which had just returned from
// an older copy ended evacuations and removed engines.

#define BOOST_TEST_MODULE proof
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/testing/gateway_fixture.h"
#include "serving/gateway_entry.h"
#include "serving/load_digest.h"
#include "serving/store_epoch.h"

namespace gullward {
namespace {

constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kEnginesTopic[] = "keyed.servers";
constexpr char kPeersTopic[] = "keyed.gullward-entries";
constexpr char kEvacuation[] = "evacuate/hall-9";

// A peer that a gateway sends its notes to.
struct NotedPeer {
  explicit NotedPeer(GatewayFixture* fixture) {
    auto receive = [this](std::string_view datagram) {
      std::optional<LoadDigest> digest = DecodeDigest(datagram);
      if (digest && digest->freshness) this->notes.push_back(*std::move(digest));
    };
    BOOST_REQUIRE(this->socket.Bind(&fixture->loop, {"127.0.0.1", 0}, receive).ok());
    Peer entry{"box-9", {"127.0.0.1", this->socket.port()}, "hall-1"};
    fixture->store.Put(kPeersTopic, entry.box, EncodeGatewayEntry(entry));
  }

  bool HasNote(const std::function<bool(const LoadDigest&)>& condition) const {
    return std::any_of(this->notes.begin(), this->notes.end(), condition);
  }

  UdpSocket socket;
  std::vector<LoadDigest> notes;
};

BOOST_AUTO_TEST_CASE(AGatewayThatReadsATopicAnewProvesNothingOfIt) {
  GatewayFixture fixture({});
  NotedPeer peer(&fixture);
  fixture.Publish(fixture.DefaultConfig());
  fixture.StartGateway();
  auto proves = [](const LoadDigest& note) {
    return note.freshness->topic_proved_ago.has_value() && note.operator_read_to > 0;
  };
  BOOST_REQUIRE(fixture.RunUntil([&] { return peer.HasNote(proves); }));
  // Its offset is no longer in the log, and the answer with the newest records is late.
  fixture.store.SetFault(StoreFault::kReset);
  fixture.store.DropConnections();
  fixture.store.Put(kOperatorTopic, kEvacuation, "{}");
  fixture.store.Compact(kOperatorTopic);
  fixture.store.HoldNextAnswer(kOperatorTopic);
  fixture.store.SetFault(StoreFault::kNone);
  auto has_no_position = [](const LoadDigest& note) { return note.operator_read_to == 0; };
  BOOST_REQUIRE(fixture.RunUntil([&] { return peer.HasNote(has_no_position); }));
  for (const LoadDigest& note : peer.notes) {
    if (has_no_position(note)) BOOST_TEST(!note.freshness->topic_proved_ago.has_value());
  }
}

BOOST_AUTO_TEST_CASE(AgesOfProofsAreSentAsTheyAre) {
  LoadDigest digest;
  digest.box = "box-1";
  digest.freshness = FreshnessNote{};
  BOOST_TEST((DecodeDigest(EncodeDigest(digest)) == digest));
  digest.freshness->topic_proved_ago = milliseconds(1200);
  digest.freshness->engines_proved_ago = Duration(0);
  BOOST_TEST((DecodeDigest(EncodeDigest(digest)) == digest));
  // An age that is out of range counts as no proof.
  digest.freshness->engines_proved_ago = std::chrono::hours(25);
  BOOST_TEST(!DecodeDigest(EncodeDigest(digest))->freshness->engines_proved_ago.has_value());
}

struct ReturnCase {
  const char* topic;
  // Writes a record that the older copy lacks.
  std::function<void(GatewayFixture*)> write;
  // Whether the gateway goes by that record.
  std::function<bool(const GatewayFixture&)> holds;
};

// Lets the store return without the record.  The read of the topic is sent before all has been
// written again, and answered after that.  Further reads are refused for a moment.  Returns false
// if the read was sent too late, as on a busy machine.
bool ReturnWithALateAnswer(GatewayFixture* fixture, const ReturnCase& row) {
  fixture->store.RejectTopic(row.topic);
  fixture->store.DropConnections();
  fixture->store.RestoreCopy("2");
  Time all_written = Now() + StoreEpoch::kRewriteTime;
  fixture->RunFor(milliseconds(2050));
  fixture->store.HoldNextAnswer(row.topic);
  fixture->store.RejectTopic("");
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->store.IsHolding(); }));
  if (Now() >= all_written) return false;
  row.write(fixture);
  fixture->RunFor(milliseconds(850));
  fixture->store.RejectTopic(row.topic);
  fixture->store.ReleaseAnswer();
  return true;
}

// Plays the row.  Returns nothing if the read was sent too late, and otherwise whether the gateway
// went by the record all the time.
std::optional<bool> HoldsAllTheTime(const ReturnCase& row) {
  GatewayFixture fixture({.engines = 1});
  fixture.store.SetEpoch("1");
  fixture.Publish(fixture.DefaultConfig());
  fixture.store.Remove(kEnginesTopic, fixture.engines[0]->id());
  fixture.store.SaveCopy();
  row.write(&fixture);
  fixture.StartGateway();
  BOOST_REQUIRE(fixture.RunUntil([&] { return row.holds(fixture); }));
  if (!ReturnWithALateAnswer(&fixture, row)) return std::nullopt;
  bool holds = true;
  auto watch = [&](Duration duration) {
    fixture.RunUntil([&, until = Now() + duration] {
      holds = holds && row.holds(fixture);
      return Now() >= until;
    });
  };
  watch(milliseconds(300));
  fixture.store.RejectTopic("");
  watch(seconds(2));
  return holds;
}

BOOST_AUTO_TEST_CASE(AReadBeforeAllWasWrittenAgainEndsNothing) {
  const ReturnCase table[] = {
      {kOperatorTopic,
       [](GatewayFixture* fixture) { fixture->store.Put(kOperatorTopic, kEvacuation, "{}"); },
       [](const GatewayFixture& fixture) {
         return fixture.gateway->EvacuatedDataCentres().count("hall-9") != 0;
       }},
      {kEnginesTopic,
       [](GatewayFixture* fixture) { fixture->ListEngine(*fixture->engines[0], "models"); },
       [](const GatewayFixture& fixture) { return fixture.gateway->HasEngine("engine-0"); }}};
  constexpr int kMaxPlays = 20;
  for (const ReturnCase& row : table) {
    std::optional<bool> holds;
    for (int play = 0; play < kMaxPlays && !holds; ++play) holds = HoldsAllTheTime(row);
    BOOST_REQUIRE(holds.has_value());
    BOOST_TEST(*holds, row.topic);
  }
}

}  // namespace
}  // namespace gullward

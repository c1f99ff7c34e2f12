// An answer proves what held when its read was sent, and only of what was read.
//
// Failures guarded against: a gateway told its peers how current its configuration was while it
// held none that it could name.

#define BOOST_TEST_MODULE proof
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "gateway/testing/gateway_fixture.h"
#include "serving/gateway_entry.h"
#include "serving/load_digest.h"

namespace gullward {
namespace {

constexpr char kOperatorTopic[] = "keyed.op";
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

}  // namespace
}  // namespace gullward

// A request that crashes each engine that runs it is sent to a few engines, not to all.
//
// Failure guarded against: requests of one content came again and again at every gateway and
// crashed 44 and 49 engines of a fleet of 18 within twelve seconds.  All other requests on these
// engines broke off too.
//
// How it comes about: an engine that runs such a request is gone within a tenth of a second.
// The gateway sends the request to a second engine and answers 502.  If no gateway remembers the
// request beyond its own attempts, the caller's next try is sent on as if it were the first,
// at the same gateway or another one.

#define BOOST_TEST_MODULE crashing_request
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"
#include "serving/gateway_entry.h"
#include "serving/load_digest.h"

namespace gullward {
namespace {

constexpr char kCrashing[] = "crashing";
// Three crashes identify a request.  An exchange that is under way may add two, and one more may be
// needed to distinguish the request from the requests that ran beside it.
constexpr int kMaxEngineCrashes = 6;

bool CrashesEngines(const CallerRequest& request) {
  return absl::StartsWith(request.body, kCrashing);
}

// Returns a started fixture whose engines restart 300 ms after a crash.
std::unique_ptr<GatewayFixture> StartedWithCrashes() {
  GatewayFixtureOptions options{.engines = 12};
  options.engine.crashes_engine = CrashesEngines;
  auto fixture = StartedFixture(options);
  fixture->RestartEnginesAfter(milliseconds(300));
  return fixture;
}

// The pause between two tries: callers send about twenty a second.
constexpr Duration kPause = milliseconds(50);

bool IsQuarantined(const Reply& reply) {
  return reply.head.status == 503 && absl::StrContains(reply.body, "\"code\":2016");
}

// Sends a request of one crashing content again and again, to the gateways in turn, until it is
// refused or `max_tries` tries were made.  Returns the number of tries that were not refused.
int SendUntilRefused(GatewayFixture* fixture, const std::string& body, int max_tries) {
  for (int i = 0; i < max_tries; ++i) {
    size_t gateway = static_cast<size_t>(i) % (fixture->more_gateways.size() + 1);
    Reply reply =
        fixture->Call(fixture->StreamRequest(absl::StrCat(body, "-", i), "", body), gateway);
    if (IsQuarantined(reply)) return i;
    Time next = Now() + kPause;
    fixture->RunUntil([next] { return Now() >= next; });
  }
  return max_tries;
}

BOOST_AUTO_TEST_CASE(ARequestThatCrashesEnginesIsRefused) {
  auto fixture = StartedWithCrashes();
  BOOST_TEST(SendUntilRefused(fixture.get(), kCrashing, 12) < 12);
  BOOST_TEST(fixture->engine_crashes() <= kMaxEngineCrashes);
  Reply refused = fixture->Call(fixture->StreamRequest("later", "", kCrashing));
  BOOST_TEST(IsQuarantined(refused));
  BOOST_TEST(FindHeader(refused.head.headers, platform::kRetryAfter).has_value());
  BOOST_TEST(fixture->RunsOf("later") == 0);
  // Other requests are served.
  BOOST_TEST(fixture->Call(fixture->StreamRequest("other")).head.status == 200);
}

BOOST_AUTO_TEST_CASE(TheOtherGatewaysRefuseItToo) {
  auto fixture = StartedWithCrashes();
  fixture->AddGateway();
  fixture->AddGateway();
  BOOST_TEST(SendUntilRefused(fixture.get(), kCrashing, 12) < 12);
  BOOST_TEST(fixture->engine_crashes() <= kMaxEngineCrashes);
  for (size_t gateway = 0; gateway < 3; ++gateway) {
    std::string id = absl::StrCat("later-", gateway);
    BOOST_TEST(IsQuarantined(fixture->Call(fixture->StreamRequest(id, "", kCrashing), gateway)));
    BOOST_TEST(fixture->RunsOf(id) == 0);
  }
}

// The store keeps a quarantine for gateways that start later.
BOOST_AUTO_TEST_CASE(AGatewayThatStartsLaterRefusesItToo) {
  auto fixture = StartedWithCrashes();
  BOOST_TEST(SendUntilRefused(fixture.get(), kCrashing, 12) < 12);
  BOOST_REQUIRE(fixture->RunUntil([&] { return fixture->gateway->quarantined() == 1; }));
  BOOST_REQUIRE(
      fixture->RunUntil([&] { return fixture->store.appended("keyed.gullward-entries") == 2; }));
  fixture->AddGateway();
  Reply refused = fixture->Call(fixture->StreamRequest("later", "", kCrashing), 1);
  BOOST_TEST(IsQuarantined(refused));
  BOOST_TEST(fixture->RunsOf("later") == 0);
}

// Harmless requests that run on each engine that crashes are never refused and are served in the
// end.
BOOST_AUTO_TEST_CASE(RequestsBesideItAreServed) {
  auto fixture = StartedWithCrashes();
  bool refused = false;
  for (int i = 0; i < 12 && !refused; ++i) {
    auto beside = fixture->Send(fixture->StreamRequest(absl::StrCat("beside-", i), "", "harmless"));
    Reply crashing =
        fixture->Call(fixture->StreamRequest(absl::StrCat("crashing-", i), "", kCrashing));
    refused = IsQuarantined(crashing);
    BOOST_REQUIRE(fixture->RunUntil([&] { return beside->done; }));
    BOOST_TEST(!IsQuarantined(*beside));
    Time next = Now() + kPause;
    fixture->RunUntil([next] { return Now() >= next; });
  }
  BOOST_TEST(refused);
  BOOST_TEST(fixture->Call(fixture->StreamRequest("after", "", "harmless")).head.status == 200);
}

// Engines crash repeatedly for another reason while they run requests of one content.  The same
// content is answered on other engines, which clears it.
BOOST_AUTO_TEST_CASE(CrashesForOtherReasonsDoNotQuarantineARequest) {
  auto fixture = StartedWithCrashes();
  for (int round = 0; round < 5; ++round) {
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < 6; ++i) {
      std::string id = absl::StrCat("round-", round, "-", i);
      replies.push_back(fixture->Send(fixture->StreamRequest(id, "", "harmless")));
    }
    auto on = [](const EngineStandin& engine) {
      return engine.is_up() && !engine.received().empty();
    };
    fixture->RunUntil([&] {
      return std::any_of(fixture->engines.begin(), fixture->engines.end(),
                         [&](const auto& one) { return on(*one); });
    });
    for (size_t i = 0; i < 4; ++i) {
      if (fixture->engines[i]->is_up()) fixture->engines[i]->Crash();
    }
    for (const auto& reply : replies) {
      BOOST_REQUIRE(fixture->RunUntil([&] { return reply->done; }));
      BOOST_TEST(!IsQuarantined(*reply));
    }
    BOOST_REQUIRE(fixture->RunUntil([&] {
      return std::all_of(fixture->engines.begin(), fixture->engines.end(),
                         [](const auto& one) { return one->is_up(); });
    }));
  }
  BOOST_TEST(fixture->gateway->quarantined() == 0);
}

// A peer of the gateway that reports crashes.
struct ReportingPeer {
  explicit ReportingPeer(GatewayFixture* gateway_fixture) : fixture(gateway_fixture) {
    auto ignore = [](std::string_view) {};
    BOOST_REQUIRE(this->socket.Bind(&this->fixture->loop, {"127.0.0.1", 0}, ignore).ok());
    auto entry = [this] { return this->fixture->store.Newest("keyed.gullward-entries", "box-1"); };
    BOOST_REQUIRE(this->fixture->RunUntil([&] { return !entry().empty(); }));
    this->gateway = DecodeGatewayEntry("box-1", entry())->address;
  }

  // Reports that three engines crashed under the contents, one after the other.
  void ReportThreeCrashes(const std::vector<ContentId>& contents) {
    for (EngineKey engine : {1, 2, 3}) {
      LoadDigest digest;
      digest.box = "box-2";
      digest.sequence = engine;
      for (ContentId content : contents) digest.crash_gossip.crashes.push_back({content, engine});
      this->socket.Send(this->gateway, EncodeDigest(digest));
      Time next = Now() + Quarantine::kBurstWindow;
      this->fixture->RunUntil([next] { return Now() >= next; });
    }
  }

  GatewayFixture* fixture;
  UdpSocket socket;
  SocketAddress gateway;
};

ContentId ContentOfStream(const std::string& body) {
  return ContentOf({"shop", "POST", "/chat/x", body});
}

// Guards against refusing a harmless request that nobody has answered yet while the gateways decide
// which of the contents on the crashed engines is the cause.
BOOST_AUTO_TEST_CASE(ARequestWaitsForTheDecisionWhetherItCrashesEngines) {
  struct Row {
    const char* what;
    std::vector<ContentId> contents;
    bool is_served;
  };
  const Row table[] = {{"another content has the same crashes",
                        {ContentOfStream("suspect"), ContentOfStream("other")},
                        true},
                       {"it alone has them", {ContentOfStream("suspect")}, false}};
  for (const Row& row : table) {
    auto fixture = StartedWithCrashes();
    ReportingPeer peer(fixture.get());
    peer.ReportThreeCrashes(row.contents);
    Reply reply = fixture->Call(fixture->StreamRequest("one", "", "suspect"));
    BOOST_TEST(reply.head.status == (row.is_served ? 200 : 503), row.what);
    BOOST_TEST(IsQuarantined(reply) == !row.is_served, row.what);
    BOOST_TEST(fixture->RunsOf("one") == (row.is_served ? 1 : 0), row.what);
  }
}

// A broken connection to an engine that still runs does not count as a crash.
BOOST_AUTO_TEST_CASE(BrokenConnectionsDoNotCountAsCrashes) {
  auto fixture = StartedWithCrashes();
  for (auto& engine : fixture->engines) engine->FailAll(EngineFault::kTornEvent);
  for (int i = 0; i < 8; ++i) {
    Reply reply = fixture->Call(fixture->StreamRequest(absl::StrCat("torn-", i), "", "harmless"));
    BOOST_TEST(!IsQuarantined(reply));
  }
  BOOST_TEST(fixture->gateway->quarantined() == 0);
}

}  // namespace
}  // namespace gullward

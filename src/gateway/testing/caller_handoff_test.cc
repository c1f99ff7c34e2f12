// Connections that a gateway closes unread, and a gateway that gets most connections of all
// callers.

#define BOOST_TEST_MODULE caller_handoff
#include "gateway/caller_handoff.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

const Time kStart = Time{} + seconds(1000);

struct Phase {
  Duration duration;
  int connections_per_s;
  // How long before each connection the event loop was last idle.
  Duration backlog;
};

struct HandoffCase {
  const char* what;
  std::vector<Phase> phases;
  // Share of the connections of the last phase that are handed off, at least and at most.
  double min_share;
  double max_share;
};

const HandoffCase kHandoffCases[] = {
    {"a steady rate and a backlog", {{seconds(60), 20, {}}, {seconds(5), 20, seconds(2)}}, 0, 0},
    {"a surge without a backlog",
     {{seconds(60), 20, {}}, {seconds(5), 80, milliseconds(100)}},
     0,
     0},
    {"a surge and a backlog", {{seconds(60), 20, {}}, {seconds(5), 80, seconds(1)}}, 0.85, 0.95},
    {"the usual rate is not known", {{seconds(10), 20, {}}, {seconds(5), 80, seconds(1)}}, 0, 0},
    {"a surge that has become usual",
     {{seconds(60), 20, {}}, {seconds(120), 80, {}}, {seconds(5), 80, seconds(1)}},
     0,
     0},
    {"a surge after a pause",
     {{seconds(60), 5, {}}, {seconds(1), 0, {}}, {seconds(5), 100, seconds(1)}},
     0.85,
     0.95},
};

BOOST_AUTO_TEST_CASE(ConnectionsAreHandedOffInASurgeThatTheGatewayCannotKeepUpWith) {
  for (const HandoffCase& test_case : kHandoffCases) {
    BOOST_TEST_CONTEXT(test_case.what) {
      CallerHandoff handoff;
      Time now = kStart;
      double share = 0;
      for (const Phase& phase : test_case.phases) {
        int count = static_cast<int>(ToSeconds(phase.duration)) * phase.connections_per_s;
        int handed_off = 0;
        if (count == 0) now += phase.duration;
        for (int i = 0; i < count; ++i) {
          now += phase.duration / count;
          handed_off += handoff.ShouldHandOff(now - phase.backlog, now) ? 1 : 0;
        }
        if (count > 0) share = static_cast<double>(handed_off) / count;
      }
      BOOST_TEST(share >= test_case.min_share);
      BOOST_TEST(share <= test_case.max_share);
    }
  }
}

// A gateway that is ready must read some connections, however far behind it is.
BOOST_AUTO_TEST_CASE(SomeConnectionsAreReadAllTheSame) {
  CallerHandoff handoff;
  Time now = kStart;
  for (; now < kStart + seconds(60); now += milliseconds(50)) handoff.ShouldHandOff(now, now);
  Time last_read = now;
  for (Time end = now + seconds(5); now < end; now += milliseconds(2)) {
    if (!handoff.ShouldHandOff(now - seconds(3), now)) last_read = now;
    BOOST_TEST_REQUIRE(ToSeconds(now - last_read) <=
                       ToSeconds(CallerHandoff::kMinReadInterval) + 0.002);
  }
}

// Guards against serving fewer of the requests that are read, while the load balancer sends most
// new connections to one gateway and callers open new ones more often.
BOOST_AUTO_TEST_CASE(AGatewayThatGetsMostConnectionsServesWhatItReads) {
  auto fixture = StartedFixture({.engines = 6}, 3);
  auto served_share = [&](const std::string& name, int count, Duration pause, int to_first_in_ten) {
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < count; ++i) {
      size_t gateway = i % 10 < to_first_in_ten ? 0 : static_cast<size_t>(i) % 3;
      std::string id = absl::StrCat(name, "-", i);
      replies.push_back(fixture->Send(fixture->StreamRequest(id), gateway));
      Time next = Now() + pause;
      fixture->RunUntil([next] { return Now() >= next; });
    }
    auto is_done = [](const auto& reply) { return reply->done; };
    BOOST_REQUIRE(
        fixture->RunUntil([&] { return std::all_of(replies.begin(), replies.end(), is_done); }));
    auto is_served = [](const auto& reply) { return reply->head.status == 200 && reply->whole(); };
    auto is_read = [is_served](const auto& reply) {
      return reply->head.status != 0 || is_served(reply);
    };
    auto read = std::count_if(replies.begin(), replies.end(), is_read);
    BOOST_REQUIRE(read > 0);
    return static_cast<double>(std::count_if(replies.begin(), replies.end(), is_served)) /
           static_cast<double>(read);
  };
  double before = served_share("before", 40, milliseconds(20), 0);
  double during = served_share("during", 200, milliseconds(5), 9);
  BOOST_TEST(during >= 0.75 * before);
}

}  // namespace
}  // namespace gullward

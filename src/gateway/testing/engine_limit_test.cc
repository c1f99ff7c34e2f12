// An engine that states a limit, in requests a second from all gateways together, gets no more
// than that.
//
// Failure guarded against: two engines that had stated limits of 2.3 and 1.5 requests a second got
// 21 and 27 requests in four seconds from gateways that had received the limits.
//
// How it comes about: gateways that ignore the limit choose engines by price alone; and a gateway
// that keeps to the limit by itself does not share it with the others, so all of them together
// exceed it.

#define BOOST_TEST_MODULE engine_limit
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr double kLimit = 2.5;
// In any such window, an engine may get one and a half times its limit and five requests from the
// gateways that have received the limit, as the users require.
constexpr Duration kWindow = seconds(4);
constexpr size_t kMaxInWindow = 20;
// The pause between two requests of a caller.
constexpr Duration kPause = milliseconds(17);

std::vector<std::shared_ptr<Reply>> SendMany(GatewayFixture* fixture, int count,
                                             const std::string& name) {
  return fixture->SendMany(count, name, kPause,
                           [fixture](const std::string& id) { return fixture->StreamRequest(id); });
}

// Makes each gateway receive an answer of the only engine, and with it the engine's notice.
void ReportToAllGateways(GatewayFixture* fixture) {
  for (size_t gateway = 0; gateway <= fixture->more_gateways.size(); ++gateway) {
    BOOST_REQUIRE(fixture->RunUntil([&] {
      std::string request = fixture->StreamRequest(absl::StrCat("notice-", gateway));
      return fixture->Call(request, gateway).head.status == 200;
    }));
  }
}

// The maximum of requests that reached the engine within any window of kWindow, from the request
// with index `first` on.
size_t MaxInWindow(const EngineStandin& engine, size_t first) {
  size_t max_count = 0;
  const std::vector<EngineStandin::ReceivedRequest>& seen = engine.received();
  for (size_t begin = first; begin < seen.size(); ++begin) {
    size_t end = begin;
    while (end < seen.size() && seen[end].at - seen[begin].at < kWindow) ++end;
    max_count = std::max(max_count, end - begin);
  }
  return max_count;
}

// The engines that requests so far have named as readers.
std::vector<EngineStandin*> Readers(const GatewayFixture& fixture) {
  std::string named;
  for (const auto& engine : fixture.engines) {
    for (const EngineStandin::ReceivedRequest& seen : engine->received()) {
      auto readers = FindHeader(seen.request.head.headers, platform::kReaders);
      if (readers) named += std::string(*readers) + ",";
    }
  }
  std::vector<EngineStandin*> found;
  for (const auto& engine : fixture.engines) {
    if (absl::StrContains(named, engine->address().ToString())) found.push_back(engine.get());
  }
  return found;
}

std::string VeryLongRequest(const GatewayFixture& fixture, const std::string& id) {
  std::string request = fixture.StreamRequest(id);
  return request.replace(request.find("1000,80"), 7, "200000,80");
}

bool IsRefusedWithTime(const Reply& reply) {
  return reply.head.status == 503 &&
         FindHeader(reply.head.headers, platform::kRetryAfter).has_value();
}

BOOST_AUTO_TEST_CASE(OneGatewayKeepsALimit) {
  auto fixture = StartedFixture({.engines = 1}, /*gateways=*/1);
  ReportToAllGateways(fixture.get());
  EngineStandin& engine = *fixture->engines[0];
  engine.SetNotice({.limit_per_s = kLimit});
  ReportToAllGateways(fixture.get());
  size_t first = engine.received().size();
  auto replies = SendMany(fixture.get(), 60, "more");
  BOOST_TEST(MaxInWindow(engine, first) <= kMaxInWindow);
  // Requests beyond the limit are refused at once and say when to try again.
  for (const auto& reply : replies) {
    BOOST_TEST((reply->head.status == 200 || IsRefusedWithTime(*reply)));
  }
}

BOOST_AUTO_TEST_CASE(GatewaysKeepALimitTogether) {
  auto fixture = StartedFixture({.engines = 1}, /*gateways=*/5);
  EngineStandin& engine = *fixture->engines[0];
  engine.SetNotice({.limit_per_s = kLimit});
  ReportToAllGateways(fixture.get());
  size_t first = engine.received().size();
  SendMany(fixture.get(), 60, "more");
  BOOST_TEST(MaxInWindow(engine, first) <= kMaxInWindow);
}

// Second attempts count towards the limit.
BOOST_AUTO_TEST_CASE(RetriesKeepALimit) {
  auto fixture = StartedFixture({.engines = 2}, /*gateways=*/1);
  EngineStandin& limited = *fixture->engines[0];
  limited.SetNotice({.limit_per_s = kLimit});
  fixture->engines[1]->FailAll(EngineFault::kNotRun);
  SendMany(fixture.get(), 2, "notice");
  BOOST_REQUIRE(!limited.received().empty());
  size_t first = limited.received().size();
  SendMany(fixture.get(), 60, "more");
  BOOST_TEST(MaxInWindow(limited, first) <= kMaxInWindow);
}

// An engine that states a limit has not agreed to read parts of prompts for other engines.
BOOST_AUTO_TEST_CASE(AnEngineWithALimitIsNoReader) {
  auto fixture = StartedFixture({.engines = 3}, /*gateways=*/1);
  BOOST_REQUIRE(fixture->Call(VeryLongRequest(*fixture, "very-long")).head.status == 200);
  BOOST_REQUIRE(!Readers(*fixture).empty());
  for (const auto& engine : fixture->engines) engine->SetNotice({.limit_per_s = kLimit});
  // Enough requests at once for each engine to get one and to state its limit in the answer.
  std::vector<std::shared_ptr<Reply>> with_notice;
  for (int i = 0; i < 40; ++i) {
    with_notice.push_back(fixture->Send(fixture->StreamRequest(absl::StrCat("notice-", i))));
  }
  BOOST_REQUIRE(fixture->RunUntil([&] {
    return std::all_of(with_notice.begin(), with_notice.end(),
                       [](const auto& one) { return one->done; });
  }));
  for (const auto& engine : fixture->engines) BOOST_REQUIRE(!engine->received().empty());
  for (int i = 0; i < 6; ++i)
    fixture->Call(VeryLongRequest(*fixture, absl::StrCat("later-long-", i)));
  for (const auto& engine : fixture->engines) {
    for (const EngineStandin::ReceivedRequest& seen : engine->received()) {
      std::string id(FindHeader(seen.request.head.headers, platform::kAttemptId).value_or(""));
      bool is_later = absl::StartsWith(id, "later-long");
      BOOST_TEST((!is_later || !FindHeader(seen.request.head.headers, platform::kReaders)), id);
    }
  }
}

}  // namespace
}  // namespace gullward

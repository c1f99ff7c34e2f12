// Streams that are resumed at another engine after their engine broke off.
//
// Failure guarded against: a second engine refused the resumed stream, and the body of its refusal
// was written into the caller's answer, which a third engine then completed.

#define BOOST_TEST_MODULE resumed_stream
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_fixture.h"

namespace gullward {
namespace {

// The stand-in sends four events.
constexpr char kWholeStream[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
    "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n";

// Starts a gateway whose engines have these faults, in the order in which requests reach them,
// whichever engine that is.  Later requests have none.
std::unique_ptr<GatewayFixture> FixtureWithFaults(const std::vector<EngineFault>& faults) {
  auto left = std::make_shared<std::deque<EngineFault>>(faults.begin(), faults.end());
  GatewayFixtureOptions options{.engines = 4};
  options.engine.next_fault = [left] {
    if (left->empty()) return EngineFault::kNone;
    EngineFault next = left->front();
    left->pop_front();
    return next;
  };
  return StartedFixture(options);
}

void CheckHoldsOnlyEvents(const Reply& reply) {
  BOOST_TEST(absl::StartsWith(kWholeStream, reply.body));
  if (reply.whole()) BOOST_TEST(reply.body == kWholeStream);
}

// Guards against bytes of a failed second attempt in the answer that the first one began.
BOOST_AUTO_TEST_CASE(NothingOfAFailedSecondAttemptReachesTheCaller) {
  for (EngineFault second : AllEngineFaults()) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(second)) {
      auto fixture = FixtureWithFaults({EngineFault::kTornEvent, second});
      Reply reply = fixture->Call(fixture->StreamRequest("a"));
      BOOST_TEST(reply.head.status == 200);
      CheckHoldsOnlyEvents(reply);
      BOOST_TEST((FindHeader(reply.head.headers, "Content-Encoding") == std::nullopt));
    }
  }
}

// Guards against breaking off a stream that a third engine could complete.
BOOST_AUTO_TEST_CASE(AStreamIsCompletedAfterRefusalsWithABody) {
  for (EngineFault refusal : {EngineFault::kNotRun, EngineFault::kWrongEngine}) {
    auto fixture = FixtureWithFaults({EngineFault::kTornEvent, refusal, refusal});
    Reply reply = fixture->Call(fixture->StreamRequest("a"));
    BOOST_TEST(reply.whole());
    CheckHoldsOnlyEvents(reply);
  }
}

// Guards against the body of a refusal ahead of the first event of another engine's stream, or in
// place of a plain answer.
BOOST_AUTO_TEST_CASE(NothingOfAFailedFirstAttemptReachesTheCaller) {
  for (EngineFault first : {EngineFault::kNotRun, EngineFault::kWrongEngine, EngineFault::kUnsealed,
                            EngineFault::kEncoded, EngineFault::kBusyMayHaveRun}) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(first)) {
      auto fixture = FixtureWithFaults({first});
      Reply stream = fixture->Call(fixture->StreamRequest("a"));
      BOOST_TEST(stream.whole());
      BOOST_TEST(stream.body == kWholeStream);
      for (auto& app : fixture->apps) app->FailAll(first);
      Reply plain = fixture->Call(fixture->OnceRequest("b"));
      bool may_have_run = first != EngineFault::kNotRun && first != EngineFault::kWrongEngine;
      BOOST_TEST(plain.head.status == (may_have_run ? 502 : 503));
      BOOST_TEST(absl::StrContains(plain.body, "\"code\":"));
    }
  }
}

}  // namespace
}  // namespace gullward

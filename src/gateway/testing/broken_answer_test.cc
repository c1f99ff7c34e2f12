// Engines, orders, stores and peers whose answers have a broken head.
//
// Failure guarded against: an answer with a status below 100 was skipped like an interim one, so
// that the caller waited until its deadline; one with a status over 599 was passed on.

#define BOOST_TEST_MODULE broken_answer
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/store_client.h"
#include "gateway/testing/faulty_server_fixture.h"
#include "http/testing/broken_heads.h"

namespace gullward {
namespace {

// Deadlines are 4 and 8 s.
constexpr Duration kEarly = seconds(2);
constexpr char kPlainBody[] = "the whole answer";
constexpr char kWholeStream[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
    "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n";

// A silent engine is not left, so that only the broken answer can cause a second attempt.
constexpr Mechanisms kMechanisms = {.shared_order = false, .leave_silent_engines = false};

BOOST_AUTO_TEST_CASE(AnotherEngineAnswersARequestThatMayRunAgain) {
  for (const BrokenHead& row : BrokenHeads()) {
    for (bool streaming : {true, false}) {
      BOOST_TEST_CONTEXT(row.what << (streaming ? ", stream" : ", plain")) {
        FaultyServerFixture faulty({row.answer, ""}, streaming ? "models" : "app", true,
                                   kMechanisms);
        Time start = Now();
        Reply reply = faulty.fixture.Call(streaming ? faulty.fixture.StreamRequest("a")
                                                    : faulty.fixture.SafeRequest("a"));
        BOOST_TEST((reply.whole() && reply.head.status == 200));
        BOOST_TEST(reply.body == (streaming ? kWholeStream : kPlainBody));
        BOOST_TEST((Now() - start < kEarly));
        BOOST_TEST(faulty.server.answered() > 0);
      }
    }
  }
}

// The answer promises nothing, since the engine may have run the request.
BOOST_AUTO_TEST_CASE(ARequestThatMustNotRunTwiceFailsAtOnce) {
  for (const BrokenHead& row : BrokenHeads()) {
    BOOST_TEST_CONTEXT(row.what) {
      FaultyServerFixture faulty({row.answer, ""}, "app", false, kMechanisms);
      Time start = Now();
      Reply reply = faulty.fixture.Call(faulty.fixture.OnceRequest("a"));
      BOOST_TEST((reply.whole() && reply.head.status == 502));
      BOOST_TEST(absl::StrContains(reply.body, "\"code\":3002"));
      BOOST_TEST(!FindHeader(reply.head.headers, "Response-Seal").has_value());
      BOOST_TEST((Now() - start < kEarly));
    }
  }
}

// A prompt over one engine's memory is refused at once if every order for memory gets a broken
// answer.
BOOST_AUTO_TEST_CASE(AnOrderWithABrokenAnswerCountsAsRefused) {
  for (const char* status : {"000", "099", "600"}) {
    BOOST_TEST_CONTEXT(status) {
      FaultyServerFixture faulty({AnswerWith(absl::StrCat("HTTP/1.1 ", status, " Broken")), ""},
                                 "models", false);
      EngineRecord second{"second", "models", faulty.server.address(), "hall-1", 16, false};
      faulty.fixture.store.Put("keyed.servers", "second", platform::EngineDocument(second));
      BOOST_TEST(
          faulty.fixture.RunUntil([&] { return faulty.fixture.gateway->HasEngine("second"); }));
      std::string request = faulty.fixture.StreamRequest("long");
      request.replace(request.find("1000,80"), 7, "700000,800");
      Time start = Now();
      Reply reply = faulty.fixture.Call(request);
      BOOST_TEST((reply.whole() && reply.head.status >= 502));
      BOOST_TEST((Now() - start < kEarly));
    }
  }
}

BOOST_AUTO_TEST_CASE(ACallToTheStoreOrAPeerFailsAtOnce) {
  for (const BrokenHead& row : BrokenHeads()) {
    BOOST_TEST_CONTEXT(row.what) {
      EventLoop loop;
      EndlessServer server(&loop, {row.answer, ""});
      StoreClient client(&loop, server.address(), /*store_returns=*/nullptr);
      std::optional<StoreAnswer> answer;
      Time start = Now();
      client.Call({"GET", "/", ""}, StoreClient::kAnswerTimeout,
                  [&](const StoreAnswer& got) { answer = got; });
      while (!answer && Now() - start < kEarly) loop.RunOnce(milliseconds(20));
      BOOST_TEST_REQUIRE(answer.has_value());
      BOOST_TEST(answer->status == 0);
      BOOST_TEST(answer->reason == "connection lost");
      BOOST_TEST(answer->body.empty());
    }
  }
}

}  // namespace
}  // namespace gullward

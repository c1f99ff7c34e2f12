// Servers in trouble whose bytes never end, in a head, a body or an event.
//
// Failure guarded against: the gateway kept such bytes until the request's deadline, 100 MB for
// each caller in a second, and searched an unfinished event anew with each piece, so that other
// callers waited.

#define BOOST_TEST_MODULE endless_answer
#include <malloc.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/store_client.h"
#include "gateway/testing/faulty_server_fixture.h"

namespace gullward {
namespace {

// Callers at once, and what the gateway may hold for them: as much for ten times as many.
constexpr int kCallers = 8;
constexpr int kManyCallers = 80;
constexpr size_t kMaxGrowth = 32 << 20;
// What one endless answer takes in the stand-in and in the buffers of the fixture's caller.
constexpr size_t kStandinBytes = 256 << 10;
// Attempts that send garbage end well before the deadlines, which are 4 and 8 s.
constexpr Duration kEarly = seconds(2);

constexpr char kSealed[] = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
constexpr char kEvent[] = "id: 1\ndata: event-1\n\n";
constexpr char kWholeStream[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
    "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n";
constexpr char kPlainBody[] = "the whole answer";

struct EndlessRow {
  const char* what;
  EndlessAnswer answer;
};

std::string Head(const std::string& status, const std::string& fields = "") {
  return absl::StrCat("HTTP/1.1 ", status, "\r\n", fields, "\r\n");
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

// Answers that no route can pass on.
std::vector<EndlessRow> Garbage() {
  std::string letters(1000, 'a');
  std::string length = "Content-Length: 200000000\r\n";
  std::string not_run = "Not-Run: 1\r\n";
  std::string seal = "Response-Seal: s\r\n";
  return {
      {"status line", {"HTTP/1.1 200 ", letters}},
      {"head of one field", {"HTTP/1.1 200 OK\r\nX-A: ", letters}},
      {"head of many fields", {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"}},
      {"interim heads", {"", Head("100 Continue")}},
      {"interim heads with fields", {"", Head("103 Early Hints", "Link: </a>\r\n")}},
      {"answer to another request", {Head("200 OK", "Attempt-Id: other\r\n"), letters}},
      {"answers to other requests",
       {"", Head("200 OK", "Attempt-Id: other\r\nContent-Length: 0\r\n")}},
      {"refusal without a length", {Head("503 Unavailable", not_run), letters}},
      {"refusal with a length", {Head("503 Unavailable", not_run + length), letters}},
      {"refusal in chunks", {Head("503 Unavailable", not_run + kChunked), Chunk(letters)}},
      {"busy", {Head("503 Unavailable", kChunked), Chunk(letters)}},
      {"wrong engine", {Head("421 Misdirected"), letters}},
      {"failure without a length", {Head("500 Error", seal), letters}},
      {"failure with a length", {Head("500 Error", seal + length), letters}},
      {"failure in chunks", {Head("500 Error", seal + kChunked), Chunk(letters)}},
      {"rejection", {Head("404 Not Found", seal), letters}},
      {"unsealed", {Head("200 OK"), letters}},
      {"unsealed with a length", {Head("200 OK", length), letters}},
      {"encoded", {Head("200 OK", seal + "Content-Encoding: gzip\r\n"), letters}},
      {"chunk extension", {absl::StrCat(kSealed, kChunked, "\r\n5;"), letters}},
      {"trailer of one field", {absl::StrCat(kSealed, kChunked, "\r\n0\r\nX-A: "), letters}},
      {"trailer of many fields", {absl::StrCat(kSealed, kChunked, "\r\n0\r\n"), "X-A: a\r\n"}},
  };
}

// Answers that break off a stream only.
std::vector<EndlessRow> GarbageInStreams() {
  std::string letters(1000, 'a');
  std::string unframed = absl::StrCat(kSealed, "\r\n");
  std::string chunked = absl::StrCat(kSealed, kChunked, "\r\n");
  return {
      {"event of one line", {absl::StrCat(unframed, "data: "), letters}},
      {"event of many lines", {unframed, "data: a\n"}},
      {"event in chunks", {chunked, Chunk("data: a\n")}},
      {"event after a whole one", {absl::StrCat(unframed, kEvent, "data: "), letters}},
      {"trailer after a whole event",
       {absl::StrCat(chunked, Chunk(kEvent), "0\r\nX-A: "), letters}},
  };
}

// The bytes that the process has allocated; zero under a sanitizer, which has its own allocator.
size_t AllocatedBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// A server that answers without end, and what the process allocates meanwhile.
struct EndlessFixture : FaultyServerFixture {
  using FaultyServerFixture::FaultyServerFixture;

  // Sends requests, waits until all have ended, and returns the replies.
  std::vector<std::shared_ptr<Reply>> CallAll(
      const std::function<std::string(const std::string&)>& make, int callers = kCallers) {
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < callers; ++i) {
      replies.push_back(this->fixture.Send(make(absl::StrCat("caller-", i))));
    }
    this->fixture.RunUntil([&] {
      size_t now = AllocatedBytes();
      this->most_allocated = std::max(this->most_allocated, now);
      return std::all_of(replies.begin(), replies.end(), [](const auto& one) { return one->done; });
    });
    return replies;
  }

  size_t most_allocated = 0;
};

// Guards against memory that grows with what a server sends, against attempts that last until the
// deadline, and against requests that fail although another engine could answer them.
BOOST_AUTO_TEST_CASE(EndlessGarbageEndsTheAttemptEarlyAndAnotherEngineAnswers) {
  std::vector<EndlessRow> rows = Garbage();
  for (const EndlessRow& row : GarbageInStreams()) rows.push_back(row);
  for (size_t number = 0; number < rows.size(); ++number) {
    const EndlessRow& row = rows[number];
    bool is_plain_garbage = number < Garbage().size();
    for (bool streaming : {true, false}) {
      if (!streaming && !is_plain_garbage) continue;
      BOOST_TEST_CONTEXT(row.what << (streaming ? ", stream" : ", plain")) {
        EndlessFixture endless(row.answer, streaming ? "models" : "app", true);
        size_t before = endless.most_allocated = AllocatedBytes();
        Time start = Now();
        auto replies = endless.CallAll([&](const std::string& id) {
          return streaming ? endless.fixture.StreamRequest(id) : endless.fixture.SafeRequest(id);
        });
        for (const auto& reply : replies) {
          BOOST_TEST((reply->whole() && reply->head.status == 200));
          BOOST_TEST((reply->body == (streaming ? kWholeStream : kPlainBody)));
        }
        BOOST_TEST((Now() - start < kEarly));
        BOOST_TEST(endless.server.answered() > 0);
        BOOST_TEST(endless.most_allocated - before < kMaxGrowth);
        BOOST_TEST(endless.fixture.RunUntil([&] { return endless.server.open() == 0; }));
      }
    }
  }
}

// Guards against memory that grows with the number of callers.
BOOST_AUTO_TEST_CASE(ManyCallersTogetherHoldABoundedAmount) {
  EndlessFixture endless({Head("404 Not Found", "Response-Seal: s\r\n"), std::string(1000, 'a')},
                         "app", false);
  size_t before = endless.most_allocated = AllocatedBytes();
  auto replies = endless.CallAll(
      [&](const std::string& id) { return endless.fixture.SafeRequest(id); }, kManyCallers);
  for (const auto& reply : replies) BOOST_TEST((reply->whole() && reply->head.status >= 500));
  BOOST_TEST(endless.most_allocated - before < kMaxGrowth + kManyCallers * kStandinBytes);
}

// Guards against buffering answers for callers that do not read them, and against callers that
// wait for these.
BOOST_AUTO_TEST_CASE(CallersThatDoNotReadTakeABoundedAmount) {
  EndlessFixture endless({absl::StrCat(kSealed, "\r\n"), std::string(1000, 'a')}, "app", false);
  size_t before = AllocatedBytes();
  std::vector<std::shared_ptr<Reply>> replies;
  for (int i = 0; i < kManyCallers; ++i) {
    replies.push_back(endless.fixture.Send(endless.fixture.SafeRequest(absl::StrCat("slow-", i))));
  }
  endless.fixture.StopReading();
  BOOST_TEST(endless.fixture.RunUntil(
      [&] { return endless.server.answered() == static_cast<size_t>(kManyCallers); }));
  endless.fixture.RunFor(milliseconds(500));
  BOOST_TEST(AllocatedBytes() - before <
             kMaxAllUnreadBytes + kMaxGrowth + kManyCallers * kStandinBytes);
  BOOST_TEST((endless.fixture.Call("GET /none HTTP/1.1\r\nHost: test.example\r\n\r\n").whole()));
}

// Guards against replacing a failure that an engine has sent whole.
BOOST_AUTO_TEST_CASE(AFailureWithinTheLimitIsPassedOnWhole) {
  auto fixture = StartedFixture();
  for (auto& app : fixture->apps) app->FailAll(EngineFault::kFailed);
  Reply reply = fixture->Call(fixture->OnceRequest("a"));
  BOOST_TEST((reply.whole() && reply.head.status == 500));
  BOOST_TEST(reply.body == "it failed");
}

// Guards against holding a caller whose request must not run twice until its deadline.
BOOST_AUTO_TEST_CASE(ARequestThatMustNotRunTwiceFailsEarly) {
  for (const EndlessRow& row : Garbage()) {
    BOOST_TEST_CONTEXT(row.what) {
      EndlessFixture endless(row.answer, "app", false);
      size_t before = endless.most_allocated = AllocatedBytes();
      Time start = Now();
      auto replies =
          endless.CallAll([&](const std::string& id) { return endless.fixture.OnceRequest(id); });
      for (const auto& reply : replies) {
        BOOST_TEST(reply->whole());
        BOOST_TEST((reply->head.status == 502 || reply->head.status == 503));
        BOOST_TEST(absl::StrContains(reply->body, "\"code\":"));
      }
      BOOST_TEST((Now() - start < kEarly));
      BOOST_TEST(endless.most_allocated - before < kMaxGrowth);
    }
  }
}

// Guards against an engine that keeps its attempt alive with a few bytes at a time.
BOOST_AUTO_TEST_CASE(BytesThatTrickleInDoNotHoldTheRequest) {
  const EndlessRow rows[] = {
      {"refusal", {Head("503 Unavailable", "Not-Run: 1\r\n"), "a", milliseconds(20)}},
      {"unsealed", {Head("200 OK"), "a", milliseconds(20)}},
      {"failure", {Head("500 Error", "Response-Seal: s\r\n"), "a", milliseconds(20)}},
      {"event", {absl::StrCat(kSealed, "\r\ndata: "), "a", milliseconds(20)}},
      {"head", {"HTTP/1.1 200 OK\r\nX-A: ", "a", milliseconds(20)}},
      {"interim heads", {"", Head("100 Continue"), milliseconds(20)}},
  };
  for (const EndlessRow& row : rows) {
    BOOST_TEST_CONTEXT(row.what) {
      EndlessFixture endless(row.answer, "models", true);
      Time start = Now();
      auto replies =
          endless.CallAll([&](const std::string& id) { return endless.fixture.StreamRequest(id); });
      for (const auto& reply : replies) BOOST_TEST((reply->body == kWholeStream));
      BOOST_TEST((Now() - start < 2 * kEarly));
      BOOST_TEST(endless.server.answered() > 0);
    }
  }
}

}  // namespace
}  // namespace gullward

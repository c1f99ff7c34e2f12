// What reads answers through a connection, against servers whose answers are broken or do not end.
//
// Failure guarded against: a malformed head was taken for an answer, or for an interim one after
// which the final answer was awaited; which ones differed between the readers.

#define BOOST_TEST_MODULE broken_answer_readers
#include <boost/test/unit_test.hpp>
#include <optional>

#include "http/http_client.h"
#include "http/request_channel.h"
#include "http/testing/broken_heads.h"
#include "standins/endless_server.h"

namespace gullward {
namespace {

// A malformed head must fail the call long before its timeout.
constexpr Duration kAtOnce = seconds(2);
constexpr Duration kCallTimeout = seconds(8);

std::optional<ChannelResult> ReadByChannel(EventLoop* loop, const SocketAddress& server) {
  std::optional<ChannelResult> result;
  auto channel = RequestChannel::Open(loop, server);
  RequestChannel::Hooks hooks;
  hooks.done = [&](ChannelResult got) { result = got; };
  channel->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", std::move(hooks), /*is_head=*/false);
  Time until = Now() + kAtOnce;
  while (!result && Now() < until) loop->RunOnce(milliseconds(20));
  channel->Close();
  return result;
}

struct ClientRead {
  std::optional<HttpResult> result;
  size_t data_bytes = 0;
};

ClientRead ReadByClient(EventLoop* loop, const SocketAddress& server, bool has_data_hook) {
  ClientRead read;
  HttpClient client(loop);
  HttpCall call;
  call.url = "http://" + server.ToString() + "/";
  call.timeout = kCallTimeout;
  HttpClient::Hooks hooks;
  if (has_data_hook) hooks.data = [&](const std::string& part) { read.data_bytes += part.size(); };
  hooks.done = [&](const HttpResult& got) { read.result = got; };
  client.Start(std::move(call), std::move(hooks));
  Time until = Now() + kAtOnce;
  while (!read.result && Now() < until) loop->RunOnce(milliseconds(20));
  return read;
}

BOOST_AUTO_TEST_CASE(AChannelBreaksOffABrokenAnswerAtOnce) {
  for (const BrokenHead& row : BrokenHeads()) {
    BOOST_TEST_CONTEXT(row.what) {
      EventLoop loop;
      EndlessServer server(&loop, {row.answer, ""});
      std::optional<ChannelResult> result = ReadByChannel(&loop, server.address());
      BOOST_TEST((result == ChannelResult::kBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(AClientFailsABrokenAnswerAtOnce) {
  for (const BrokenHead& row : BrokenHeads()) {
    for (bool has_data_hook : {false, true}) {
      BOOST_TEST_CONTEXT(row.what << (has_data_hook ? ", in parts" : ", collected")) {
        EventLoop loop;
        EndlessServer server(&loop, {row.answer, ""});
        ClientRead read = ReadByClient(&loop, server.address(), has_data_hook);
        BOOST_TEST(read.result.has_value());
        if (!read.result) continue;
        BOOST_TEST(!read.result->complete);
        BOOST_TEST(read.result->connected);
        BOOST_TEST(read.result->status == 0);
        BOOST_TEST(read.result->body.empty());
        BOOST_TEST(!read.result->error.empty());
        BOOST_TEST(read.data_bytes == 0u);
      }
    }
  }
}

// Guards against heads that are read, and kept, for as long as they come.
BOOST_AUTO_TEST_CASE(AClientEndsAHeadThatDoesNotEnd) {
  const EndlessAnswer rows[] = {
      {"HTTP/1.1 200 OK\r\nX-A: ", std::string(1000, 'a')},
      {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", std::string(1000, 'a')},
  };
  for (const EndlessAnswer& row : rows) {
    BOOST_TEST_CONTEXT(row.prefix << ", then " << row.filler.substr(0, 20)) {
      EventLoop loop;
      EndlessServer server(&loop, row);
      ClientRead read = ReadByClient(&loop, server.address(), /*has_data_hook=*/false);
      BOOST_TEST(read.result.has_value());
      if (read.result) BOOST_TEST(!read.result->complete);
    }
  }
}

// Guards against rejecting valid answers.
BOOST_AUTO_TEST_CASE(AClientReadsWholeAnswersOfEveryFraming) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string answers[] = {
      ok + "Content-Length: 5\r\n\r\nright",
      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\nX-T: t\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nright",
      "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nright",
  };
  for (const std::string& answer : answers) {
    BOOST_TEST_CONTEXT(answer) {
      EventLoop loop;
      EndlessServer server(&loop, {answer, ""});
      ClientRead read = ReadByClient(&loop, server.address(), /*has_data_hook=*/false);
      BOOST_TEST_REQUIRE(read.result.has_value());
      BOOST_TEST(read.result->complete);
      BOOST_TEST(read.result->status == 200);
      BOOST_TEST(read.result->body == "right");
    }
  }
}

}  // namespace
}  // namespace gullward

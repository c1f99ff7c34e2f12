// Stores and peers whose answers never end.
//
// Failure guarded against: the store client kept such an answer whole, and waited for its end as
// long as bytes came.

#define BOOST_TEST_MODULE endless_store
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/store_client.h"
#include "gateway/testing/gateway_fixture.h"
#include "standins/endless_server.h"

namespace gullward {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";
constexpr char kInterim[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration kPause = milliseconds(50);
// An answer that is still arriving may take this long, and a margin for a busy machine.
constexpr Duration kLongest =
    StoreClient::kAnswerTimeout + StoreClient::kMaxTransferTime + seconds(5);

const std::vector<EndlessAnswer>& Rows() {
  static const auto* const rows = new std::vector<EndlessAnswer>{
      {std::string(kHead) + "X-A: ", std::string(1000, 'a')},
      {"", kInterim},
      {std::string(kHead) + "\r\n", std::string(1000, 'a')},
      {std::string(kHead) + "Content-Length: 200000000\r\n\r\n", std::string(1000, 'a')},
      {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
      {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5;", std::string(1000, 'a')},
      {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
      {"HTTP/1.1 503 Busy\r\n\r\n", std::string(1000, 'a')},
      {std::string(kHead) + "X-A: ", "a", kPause},
      {"", kInterim, kPause},
      {std::string(kHead) + "\r\n", "a", kPause},
      {std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5;", "a", kPause},
  };
  return *rows;
}

// Guards against a call that has no answer for as long as bytes come.
BOOST_AUTO_TEST_CASE(ACallWhoseAnswerNeverEndsFails) {
  EventLoop loop;
  struct Running {
    std::unique_ptr<EndlessServer> server;
    std::unique_ptr<StoreClient> client;
    std::optional<StoreAnswer> answer;
  };
  std::vector<std::unique_ptr<Running>> all;
  for (const EndlessAnswer& row : Rows()) {
    auto running = std::make_unique<Running>();
    running->server = std::make_unique<EndlessServer>(&loop, row);
    running->client = std::make_unique<StoreClient>(&loop, running->server->address(),
                                                    /*store_returns=*/nullptr);
    running->client->Call({"GET", "/", ""}, StoreClient::kAnswerTimeout,
                          [raw = running.get()](const StoreAnswer& got) { raw->answer = got; });
    all.push_back(std::move(running));
  }
  Time until = Now() + kLongest;
  auto all_answered = [&all] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto& one) { return one->answer.has_value(); });
  };
  while (!all_answered() && Now() < until) loop.RunOnce(milliseconds(20));
  for (size_t number = 0; number < all.size(); ++number) {
    BOOST_TEST_CONTEXT("row " << number) {
      BOOST_TEST_REQUIRE(all[number]->answer.has_value());
      BOOST_TEST(all[number]->answer->status == 0);
      BOOST_TEST(!all[number]->client->is_busy());
      BOOST_TEST(all[number]->server->open() == 0);
    }
  }
}

// Guards against taking the largest planned configuration for an answer without end.
BOOST_AUTO_TEST_CASE(AnAnswerWithinTheLimitIsRead) {
  EventLoop loop;
  StoreStandin store(&loop);
  constexpr size_t kConfigBytes = 4 << 20;
  store.Put("keyed.op", "config", std::string(kConfigBytes, 'v'));
  StoreClient client(&loop, store.address(), /*store_returns=*/nullptr);
  std::optional<StoreAnswer> answer;
  client.Call(platform::NewestRecordsRequest("keyed.op", ""), StoreClient::kAnswerTimeout,
              [&](const StoreAnswer& got) { answer = got; });
  while (!answer) loop.RunOnce(milliseconds(20));
  BOOST_TEST(answer->ok());
  BOOST_TEST(answer->body.size() > kConfigBytes);
}

}  // namespace
}  // namespace gullward

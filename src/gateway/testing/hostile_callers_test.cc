// Callers that keep to no limit, at the callers' port of a gateway process.
//
// Failure guarded against: the process held all that such callers sent, without a bound over all of
// them, and was ended by the platform when it exceeded the memory of its box.

#define BOOST_TEST_MODULE hostile_callers
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/caller_crowd.h"
#include "gateway/testing/gateway_processes.h"

namespace gullward {
namespace {

// The memory of the smallest box that runs a gateway.
constexpr size_t kBoxBytes = 160 << 20;
constexpr size_t kCrowd = 64;
constexpr size_t kManyCallers = 256;
// The longest legal body.
constexpr size_t kMaxBody = 4 << 20;
constexpr size_t kBlock = 64 << 10;
// Longer than the crowd needs to send, so that what it sent is held while more arrives.
constexpr Duration kEngineWork = seconds(2);

struct CrowdRow {
  const char* what;
  SentText text;
};

std::string HeadTo(const std::string& path, const std::string& framing) {
  return absl::StrCat("POST ", path,
                      " HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: crowd\r\n"
                      "X-Api-Key: key-1\r\n",
                      framing, "\r\n\r\n");
}

std::string OrderHead(const std::string& framing) { return HeadTo("/app/order/x", framing); }

std::string WithLength(size_t bytes) { return absl::StrCat("Content-Length: ", bytes); }

std::string Chunk(size_t bytes) {
  return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'c'), "\r\n");
}

// `bytes` of a body, in blocks.
SentPiece Body(size_t bytes) { return {std::string(kBlock, 'b'), bytes / kBlock}; }

std::string TinyChunks() {
  std::string text;
  for (int i = 0; i < 10'000; ++i) text += Chunk(1);
  return text;
}

std::vector<CrowdRow> Rows() {
  std::string chunked = OrderHead("Transfer-Encoding: chunked");
  std::string whole = OrderHead(WithLength(kMaxBody));
  std::string block_but_one(kBlock - 1, 'b');
  return {
      {"large chunks, short of the end", {{chunked}, {Chunk(kBlock), kMaxBody / kBlock}}},
      {"tiny chunks, short of the end", {{chunked}, {TinyChunks(), 50}}},
      {"one chunk, short of its end",
       {{chunked + absl::StrCat(absl::Hex(kMaxBody), "\r\n")},
        Body(kMaxBody - kBlock),
        {block_but_one}}},
      {"a legal length but for one byte", {{whole}, Body(kMaxBody - kBlock), {block_but_one}}},
      {"far over the limit, announced", {{OrderHead(WithLength(1 << 30))}, Body(4 * kMaxBody)}},
      {"far over the limit, in chunks", {{chunked}, {Chunk(kBlock), 4 * kMaxBody / kBlock}}},
      {"legal bodies, whole", {{whole}, Body(kMaxBody)}},
      {"legal bodies to a route that does not exist",
       {{HeadTo("/none/x", WithLength(kMaxBody))}, Body(kMaxBody)}},
      {"legal requests sent ahead",
       {{whole}, Body(kMaxBody), {whole}, Body(kMaxBody), {whole}, Body(kMaxBody)}},
      {"short requests sent ahead",
       {{OrderHead(WithLength(0))}, {"GET /none HTTP/1.1\r\nHost: test.example\r\n\r\n", 20'000}}},
      {"a head without end", {{"POST /app/order/x HTTP/1.1\r\n"}, {"X-A: " + TinyChunks(), 50}}},
  };
}

bool IsServed(const std::string& answer) {
  return absl::StartsWith(answer, "HTTP/1.1 200") && !absl::StrContains(answer, "\"code\":");
}

// The process lives, its memory is bounded, and ordinary callers are served.
void CheckGateway(GatewayProcesses* gateway) {
  SocketAddress callers = gateway->callers();
  BOOST_TEST(IsServed(GatewayProcesses::CallUntilServed(callers, OrdinaryStream("stream"))));
  BOOST_TEST(IsServed(GatewayProcesses::CallUntilServed(callers, OrdinaryOrder("order"))));
  BOOST_TEST(gateway->IsRunning());
  if (kMeasuresMemory) BOOST_TEST(gateway->PeakMemoryBytes() < kBoxBytes);
}

// Guards against memory that grows with what clients send, on each way in which they can.
BOOST_AUTO_TEST_CASE(ACrowdOfOneKindTakesABoundedAmount) {
  for (const CrowdRow& row : Rows()) {
    BOOST_TEST_CONTEXT(row.what) {
      GatewayProcesses gateway("hostile-callers");
      gateway.engine_work = kEngineWork;
      BOOST_REQUIRE(gateway.Start());
      {
        CallerCrowd crowd(gateway.callers(), kCrowd, row.text);
        crowd.Press();
        CheckGateway(&gateway);
      }
      // In calm, one request of the largest legal size is served.
      std::string large = OrdinaryOrder("large", kMaxBody);
      BOOST_TEST(IsServed(GatewayProcesses::CallUntilServed(gateway.callers(), large)));
      BOOST_TEST(gateway.IsRunning());
      BOOST_TEST_MESSAGE(row.what << ": " << (gateway.PeakMemoryBytes() >> 20) << " MB");
    }
  }
}

// Guards against memory that grows with the number of clients.
BOOST_AUTO_TEST_CASE(ManyCallersOfAllKindsTakeABoundedAmount) {
  GatewayProcesses gateway("hostile-many");
  gateway.engine_work = kEngineWork;
  BOOST_REQUIRE(gateway.Start());
  std::vector<CrowdRow> rows = Rows();
  std::vector<std::unique_ptr<CallerCrowd>> crowds;
  for (const CrowdRow& row : rows) {
    crowds.push_back(
        std::make_unique<CallerCrowd>(gateway.callers(), kManyCallers / rows.size(), row.text));
  }
  for (const auto& crowd : crowds) crowd->Press();
  CheckGateway(&gateway);
  BOOST_TEST_MESSAGE("all kinds: " << (gateway.PeakMemoryBytes() >> 20) << " MB");
}

}  // namespace
}  // namespace gullward

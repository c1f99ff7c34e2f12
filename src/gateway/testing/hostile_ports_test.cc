// Strangers at the ports of a gateway process that are not for callers: readiness, metrics, and
// the topics and datagrams of peers.  And crowds of connections at any port.
//
// Failure guarded against: nothing bounded how many connections a port held, what was held of
// their requests and answers, and how many senders of datagrams were remembered; a crowd ended the
// process or took its last descriptors, so that nobody was served.

#define BOOST_TEST_MODULE hostile_ports
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/caller_crowd.h"
#include "gateway/testing/gateway_processes.h"
#include "serving/load_digest.h"
#include "transport/udp_socket.h"

namespace gullward {
namespace {

// The memory of the smallest box that runs a gateway.
constexpr size_t kBoxBytes = 160 << 20;
constexpr size_t kCrowd = 64;
// Descriptors of the gateway in the tests with crowds of connections, and more clients than that.
constexpr unsigned kDescriptors = 200;
constexpr size_t kConnections = 400;

bool IsServed(const std::string& answer) { return absl::StartsWith(answer, "HTTP/1.1 200"); }

std::string Get(const std::string& path) {
  return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
}

void CheckServed(const SocketAddress& server, const std::string& request) {
  std::string answer = GatewayProcesses::CallUntilServed(server, request);
  BOOST_TEST(IsServed(answer), request.substr(0, request.find('\r')) << ": " << answer);
}

void CheckGateway(GatewayProcesses* gateway) {
  CheckServed(gateway->callers(), OrdinaryStream("stream"));
  CheckServed(gateway->callers(), OrdinaryOrder("order"));
  CheckServed(gateway->ready(), Get("/v1/readyz"));
  CheckServed(gateway->metrics(), Get("/metrics"));
  BOOST_TEST(gateway->IsRunning());
  if (kMeasuresMemory) BOOST_TEST(gateway->PeakMemoryBytes() < kBoxBytes);
}

struct PortRow {
  const char* what;
  SentText text;
  bool reads_answers;
};

std::vector<PortRow> Rows() {
  std::string chunked = "POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string get = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  std::string chunk = absl::StrCat("fff0\r\n", std::string(0xfff0, 'c'), "\r\n");
  return {
      {"pages asked for ahead and not read", {{get, 20'000}}, false},
      {"bodies over the limit", {{chunked}, {chunk, 100}}, true},
      {"bodies short of the end", {{chunked}, {"1\r\nc\r\n", 60'000}}, true},
  };
}

BOOST_AUTO_TEST_CASE(ACrowdAtThePagesTakesABoundedAmount) {
  for (const PortRow& row : Rows()) {
    BOOST_TEST_CONTEXT(row.what) {
      GatewayProcesses gateway("hostile-pages");
      BOOST_REQUIRE(gateway.Start());
      std::vector<std::unique_ptr<CallerCrowd>> crowds;
      for (const SocketAddress& port : {gateway.ready(), gateway.metrics(), gateway.peers()}) {
        crowds.push_back(std::make_unique<CallerCrowd>(port, kCrowd, row.text, row.reads_answers));
        crowds.back()->Press();
      }
      CheckGateway(&gateway);
      BOOST_TEST_MESSAGE(row.what << ": " << (gateway.PeakMemoryBytes() >> 20) << " MB");
    }
  }
}

// Guards against callers that take the last descriptors, which engines and the store need.
BOOST_AUTO_TEST_CASE(ACrowdOfConnectionsLeavesDescriptorsForTheOthers) {
  const SentText texts[] = {
      {{"", 0}},
      {{"POST /app/order/x HTTP/1.1\r\nHost: test.example\r\n"}},
      {{"POST /app/order/x HTTP/1.1\r\nHost: test.example\r\nContent-Length: 9\r\n\r\n"}},
  };
  for (const SentText& text : texts) {
    BOOST_TEST_CONTEXT(text.front().bytes) {
      GatewayProcesses gateway("hostile-connections");
      gateway.max_descriptors = kDescriptors;
      BOOST_REQUIRE(gateway.Start());
      std::vector<std::unique_ptr<CallerCrowd>> crowds;
      for (const SocketAddress& port :
           {gateway.callers(), gateway.ready(), gateway.metrics(), gateway.peers()}) {
        crowds.push_back(std::make_unique<CallerCrowd>(port, kConnections, text));
        crowds.back()->Press();
      }
      BOOST_TEST(gateway.OpenDescriptors() < kDescriptors);
      CheckGateway(&gateway);
      BOOST_TEST(gateway.OpenDescriptors() < kDescriptors);
    }
  }
}

// Guards against memory for each name that a datagram gives as its sender's.
BOOST_AUTO_TEST_CASE(DatagramsOfUnknownSendersTakeABoundedAmount) {
  GatewayProcesses gateway("hostile-datagrams");
  BOOST_REQUIRE(gateway.Start());
  EventLoop loop;
  UdpSocket socket;
  BOOST_REQUIRE(socket.Bind(&loop, {"127.0.0.1", 0}, [](std::string_view) {}).ok());
  constexpr int kSenders = 100'000;
  // As many as fit into a datagram.
  constexpr int kEngines = 12;
  for (int i = 0; i < kSenders; ++i) {
    LoadDigest digest;
    digest.box = absl::StrCat("stranger-", i, std::string(100, 's'));
    digest.incarnation = 1;
    digest.sequence = 1;
    for (int engine = 0; engine < kEngines; ++engine) {
      digest.loads[absl::StrCat("engine-", i, "-", engine, std::string(40, 'e'))] = EngineLoad{};
    }
    std::string datagram = EncodeDigest(digest);
    BOOST_REQUIRE(datagram.size() <= UdpSocket::kMaxBytes);
    socket.Send(gateway.peers(), datagram);
    // The socket's buffer is short; what exceeds it is lost.
    if (i % 50 == 0) std::this_thread::sleep_for(milliseconds(2));
  }
  CheckGateway(&gateway);
  BOOST_TEST_MESSAGE("datagrams: " << (gateway.PeakMemoryBytes() >> 20) << " MB");
}

}  // namespace
}  // namespace gullward

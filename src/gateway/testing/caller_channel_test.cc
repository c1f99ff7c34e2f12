// Callers at one server of CallerChannels that share a small memory.

#define BOOST_TEST_MODULE caller_channel
#include "gateway/caller_channel.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/tcp_listener.h"

namespace gullward {
namespace {

constexpr Duration kTestTimeout = seconds(30);
constexpr size_t kMemory = 1 << 20;
// Three quarters of the memory, which large requests may take together, hold two of these.
constexpr size_t kLargeBody = 300 << 10;

// A client that keeps what it receives.
struct Client {
  std::shared_ptr<TcpStream> stream;
  std::string received;
  bool is_closed = false;
};

class Server {
 public:
  explicit Server(const CallerLimits& caller_limits = {})
      : limits(caller_limits), memory(std::make_shared<RequestMemory>(kMemory)) {
    absl::Status status =
        this->listener.Listen(&this->loop, {"127.0.0.1", 0}, [this](int fd) { this->Accept(fd); });
    BOOST_REQUIRE(status.ok());
  }

  std::shared_ptr<Client> Connect() {
    auto client = std::make_shared<Client>();
    client->stream = TcpStream::Connect(&this->loop, {"127.0.0.1", this->listener.port()});
    Client* raw = client.get();
    client->stream->SetHooks(
        {.data = [raw](std::string_view bytes) { raw->received.append(bytes); },
         .closed = [raw](StreamEnd) { raw->is_closed = true; },
         .drained = {},
         .connected = {}});
    return client;
  }

  std::shared_ptr<Client> Send(const std::string& text) {
    std::shared_ptr<Client> client = this->Connect();
    client->stream->Write(text);
    return client;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    Time until = Now() + kTestTimeout;
    while (!condition() && Now() < until) {
      this->loop.RunOnce(milliseconds(5));
      for (const auto& channel : this->channels) channel->Tick(Now());
    }
    return condition();
  }

  EventLoop loop;
  CallerLimits limits;
  std::shared_ptr<RequestMemory> memory;
  TcpListener listener;
  std::vector<std::shared_ptr<CallerChannel>> channels;
  std::vector<CallerRequest> requests;
  std::vector<ResultCode> rejected;
  int gone = 0;
  // Whether requests are answered at once, and not at all otherwise.
  bool answers = true;

 private:
  void Accept(int fd) {
    auto channel = CallerChannel::Adopt(&this->loop, fd, this->limits, this->memory);
    CallerChannel* raw = channel.get();
    CallerChannel::Hooks hooks;
    hooks.request = [this, raw](CallerRequest request) {
      this->requests.push_back(std::move(request));
      if (this->answers) raw->Answer({200, "OK", {}}, "done");
    };
    hooks.malformed = [this, raw](ResultCode code) {
      this->rejected.push_back(code);
      raw->Answer({503, "Rejected", {}}, "");
    };
    hooks.gone = [this] { this->gone += 1; };
    hooks.needs_room = [this, raw](bool) {
      for (const auto& other : this->channels) {
        if (other.get() == raw || !other->StalledSince(Now())) continue;
        other->RejectUpload(ResultCode::kRequestMemoryFull);
        return true;
      }
      return false;
    };
    channel->SetHooks(std::move(hooks));
    this->channels.push_back(std::move(channel));
  }
};

std::string Post(size_t length, size_t sent) {
  return absl::StrCat("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ", length, "\r\n\r\n",
                      std::string(sent, 'b'));
}

// Guards against a body that is counted when it is read and not while it is used.
BOOST_AUTO_TEST_CASE(ARequestIsCountedAsLongAsItExists) {
  Server server;
  auto client = server.Send(Post(kLargeBody, kLargeBody));
  BOOST_TEST(server.RunUntil([&] { return server.requests.size() == 1; }));
  BOOST_TEST(server.memory->used() >= kLargeBody);
  server.requests.clear();
  BOOST_TEST(server.memory->used() == 0u);
}

BOOST_AUTO_TEST_CASE(ARequestThatDoesNotFitIsRejectedBeforeItsBodyIsRead) {
  Server server;
  server.answers = false;
  auto first = server.Send(Post(kLargeBody, kLargeBody));
  auto second = server.Send(Post(kLargeBody, kLargeBody));
  BOOST_REQUIRE(server.RunUntil([&] { return server.requests.size() == 2; }));
  auto third = server.Send(Post(kLargeBody, 0));
  BOOST_TEST(server.RunUntil([&] { return third->is_closed; }));
  BOOST_REQUIRE(server.rejected.size() == 1u);
  BOOST_TEST((server.rejected[0] == ResultCode::kRequestMemoryFull));
  BOOST_TEST(absl::StartsWith(third->received, "HTTP/1.1 503"));
  // A small request is served meanwhile.
  server.answers = true;
  auto small = server.Send(Post(1000, 1000));
  BOOST_TEST(server.RunUntil([&] { return absl::StrContains(small->received, "done"); }));
}

BOOST_AUTO_TEST_CASE(AStalledUploadGivesWay) {
  Server server;
  auto first = server.Send(Post(kLargeBody, kLargeBody - 1));
  auto second = server.Send(Post(kLargeBody, kLargeBody - 1));
  BOOST_REQUIRE(server.RunUntil([&] { return server.memory->used() >= 2 * kLargeBody - 2; }));
  BOOST_REQUIRE(server.RunUntil([&] {
    return server.channels[0]->StalledSince(Now()) && server.channels[1]->StalledSince(Now());
  }));
  auto third = server.Send(Post(kLargeBody, kLargeBody));
  BOOST_TEST(server.RunUntil([&] { return absl::StrContains(third->received, "done"); }));
  BOOST_TEST(server.rejected.size() == 1u);
  // The other stalled upload may still be finished.
  std::shared_ptr<Client> left = first->is_closed ? second : first;
  left->stream->Write("b");
  BOOST_TEST(server.RunUntil([&] { return absl::StrContains(left->received, "done"); }));
}

// A slow upload within the limits is no attack while there is memory.
BOOST_AUTO_TEST_CASE(ASlowUploadIsServed) {
  Server server;
  auto client = server.Send(Post(1000, 0));
  for (int i = 0; i < 10; ++i) {
    Time next = Now() + milliseconds(150);
    server.RunUntil([&] { return Now() >= next; });
    client->stream->Write(std::string(100, 'b'));
  }
  BOOST_TEST(server.RunUntil([&] { return absl::StrContains(client->received, "done"); }));
}

// Guards against an upload that is kept open without end by single bytes.
BOOST_AUTO_TEST_CASE(AnUploadHasAWholeTime) {
  CallerLimits limits;
  limits.request_timeout = milliseconds(300);
  Server server(limits);
  auto client = server.Send(Post(kLargeBody, 0));
  BOOST_TEST(server.RunUntil([&] {
    client->stream->Write("b");
    return !server.rejected.empty();
  }));
  BOOST_TEST((server.rejected[0] == ResultCode::kCallerStalled));
}

// Guards against reading on for a caller whose request is being answered.
BOOST_AUTO_TEST_CASE(BytesSentAheadAreNotReadOn) {
  Server server;
  server.answers = false;
  std::string one = Post(0, 0);
  std::string ahead;
  for (int i = 0; i < 100'000; ++i) ahead += one;
  auto client = server.Send(one + ahead);
  BOOST_REQUIRE(server.RunUntil([&] { return server.requests.size() == 1; }));
  Time until = Now() + milliseconds(300);
  server.RunUntil([&] { return Now() >= until; });
  BOOST_TEST(server.memory->used() < 3 * RequestMemory::kSmallBytes);
  BOOST_TEST(client->stream->pending() > 0u);
}

// Guards against answering one request inside the answer of the one before, which uses up the
// stack.
BOOST_AUTO_TEST_CASE(ManyRequestsSentAheadAreAnsweredInOrder) {
  constexpr size_t kRequests = 50'000;
  Server server;
  std::string text;
  for (size_t i = 0; i < kRequests; ++i) text += absl::StrCat("GET /", i, " HTTP/1.1\r\n\r\n");
  auto client = server.Send(text);
  size_t seen = 0;
  BOOST_TEST(server.RunUntil([&] {
    for (const CallerRequest& request : server.requests) {
      BOOST_REQUIRE(request.head.target == absl::StrCat("/", seen));
      seen += 1;
    }
    // What is kept would count against the memory.
    server.requests.clear();
    return seen == kRequests;
  }));
}

// Guards against answers that pile up for a caller that sends ahead and does not read.
BOOST_AUTO_TEST_CASE(ACallerThatDoesNotReadGetsNoFurtherAnswers) {
  Server server;
  auto client = server.Connect();
  client->stream->SetReading(false);
  std::string text;
  for (int i = 0; i < 400'000; ++i) text += "GET /a HTTP/1.1\r\n\r\n";
  client->stream->Write(text);
  size_t most = 0;
  // The connection ends after a while, since the client acknowledges nothing.
  BOOST_TEST(server.RunUntil([&] {
    server.requests.clear();
    if (!server.channels.empty()) most = std::max(most, server.channels[0]->pending());
    return server.gone == 1;
  }));
  BOOST_TEST(most > 0u);
  BOOST_TEST(most < RequestMemory::kSmallBytes);
  BOOST_TEST(server.memory->used() < 3 * RequestMemory::kSmallBytes);
}

// Guards against a caller that is not seen to leave because what it sent ahead is not read.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsSeenThoughItSentAhead) {
  Server server;
  server.answers = false;
  auto client = server.Send(Post(0, 0) + Post(0, 0));
  BOOST_REQUIRE(server.RunUntil([&] { return server.requests.size() == 1; }));
  BOOST_TEST(server.gone == 0);
  client->stream->Close();
  BOOST_TEST(server.RunUntil([&] { return server.gone == 1; }));
}

BOOST_AUTO_TEST_CASE(ACallerThatAsksFirstIsToldToContinueOnlyIfItsBodyFits) {
  Server server;
  server.answers = false;
  std::string head = absl::StrCat("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n",
                                  "Content-Length: ", kLargeBody, "\r\n\r\n");
  auto first = server.Send(head);
  BOOST_TEST(server.RunUntil([&] { return absl::StrContains(first->received, "100 Continue"); }));
  first->stream->Write(std::string(kLargeBody, 'b'));
  auto second = server.Send(Post(kLargeBody, kLargeBody));
  BOOST_REQUIRE(server.RunUntil([&] { return server.requests.size() == 2; }));
  auto third = server.Send(head);
  BOOST_TEST(server.RunUntil([&] { return third->is_closed; }));
  BOOST_TEST(!absl::StrContains(third->received, "100 Continue"));
}

// Guards against reading without end for a caller that has been refused.
BOOST_AUTO_TEST_CASE(ARefusedCallerIsReadOnOnlyForAWhile) {
  Server server;
  auto client = server.Send("no request\r\n\r\n");
  std::string block(1 << 20, 'b');
  BOOST_TEST(server.RunUntil([&] {
    if (client->stream->pending() == 0) client->stream->Write(block);
    return client->is_closed;
  }));
}

}  // namespace
}  // namespace gullward

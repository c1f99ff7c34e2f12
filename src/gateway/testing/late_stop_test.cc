// Requests that are read, decided or under way late in a planned stop.
//
// Failure guarded against: an upload that ended seconds after the stop signal was passed on to an
// engine, and the process ended before its answer, so that the caller's connection closed without
// one.

#define BOOST_TEST_MODULE late_stop
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway/testing/faulty_server_fixture.h"
#include "transport/tcp_stream.h"

namespace gullward {
namespace {

// An engine that is at work for longer than what is left of the grace.
constexpr Duration kLongWork = seconds(6);

// A caller that sends its request in parts.
struct Upload {
  Upload(EventLoop* loop, uint16_t port) : stream(TcpStream::Connect(loop, {"127.0.0.1", port})) {
    this->stream->SetHooks({.data = [this](std::string_view bytes) { this->answer.append(bytes); },
                            .closed = {},
                            .drained = {},
                            .connected = {}});
  }
  ~Upload() { this->stream->Close(); }

  std::shared_ptr<TcpStream> stream;
  std::string answer;
};

// A request whose deadline is after the end of the grace.
std::string LongOrder(const GatewayFixture& fixture, const std::string& id) {
  std::string request = fixture.OnceRequest(id, "0123456789");
  const std::string deadline = "Deadline-Ms: 4000";
  request.replace(request.find(deadline), deadline.size(), "Deadline-Ms: 20000");
  return request;
}

// Begins to send a LongOrder; kRestOfOrder ends it.
constexpr char kRestOfOrder[] = "56789";
std::unique_ptr<Upload> BeginUpload(GatewayFixture* fixture, const std::string& id) {
  auto upload = std::make_unique<Upload>(&fixture->loop, fixture->gateway->callers_port());
  std::string request = LongOrder(*fixture, id);
  upload->stream->Write(request.substr(0, request.size() - std::string(kRestOfOrder).size()));
  return upload;
}

// Whether an answer promises that the request has not run, and says when to come back.
bool IsRefusedForStop(const std::string& answer) {
  return absl::StartsWith(answer, "HTTP/1.1 503") && absl::StrContains(answer, "Retry-After: ") &&
         absl::StrContains(answer, "\"code\":2005");
}

bool IsRefusedForStop(const Reply& reply) {
  return reply.whole() && reply.head.status == 503 &&
         FindHeader(reply.head.headers, "Retry-After").has_value() &&
         absl::StrContains(reply.body, "\"code\":2005");
}

GatewayFixtureOptions SlowOptions() {
  GatewayFixtureOptions options;
  // The stream keeps the gateway busy until the end of the grace.
  options.engine.events = 1'000'000;
  options.app.work_duration = kLongWork;
  return options;
}

// The gateway's process ends once its loop has been stopped.
void RunUntilStopped(GatewayFixture* fixture) {
  BOOST_TEST(fixture->RunUntil([&] { return fixture->loop.stopped(); }));
}

BOOST_AUTO_TEST_CASE(AnUploadThatDoesNotEndInTimeIsRefusedAsNotRun) {
  auto fixture = StartedFixture(SlowOptions());
  auto busy = fixture->Send(fixture->StreamRequest("busy"));
  BOOST_TEST(fixture->RunUntil([&] { return !busy->body.empty(); }));
  const Duration ends[] = {milliseconds(2800), seconds(5), milliseconds(7400)};
  std::vector<std::unique_ptr<Upload>> uploads;
  for (size_t i = 0; i < std::size(ends); ++i) {
    uploads.push_back(BeginUpload(fixture.get(), absl::StrCat("upload-", i)));
  }
  fixture->RunFor(milliseconds(200));
  fixture->gateway->DrainAndStop();
  Time stop_began = Now();
  std::vector<Duration> answered_after(uploads.size(), Duration::zero());
  size_t ended = 0;
  BOOST_TEST(fixture->RunUntil([&] {
    Duration elapsed = Now() - stop_began;
    while (ended < uploads.size() && elapsed >= ends[ended]) {
      uploads[ended++]->stream->Write(kRestOfOrder);
    }
    for (size_t i = 0; i < uploads.size(); ++i) {
      bool is_new = !uploads[i]->answer.empty() && answered_after[i] == Duration::zero();
      if (is_new) answered_after[i] = elapsed;
    }
    return fixture->loop.stopped();
  }));
  for (size_t i = 0; i < uploads.size(); ++i) {
    BOOST_TEST_CONTEXT("upload " << i) {
      BOOST_TEST(IsRefusedForStop(uploads[i]->answer), uploads[i]->answer);
      // Callers that are refused at once have time to go elsewhere.
      BOOST_TEST((answered_after[i] < seconds(3)));
      BOOST_TEST(fixture->RunsOf(absl::StrCat("upload-", i)) == 0);
    }
  }
}

// Guards against a process that ends while its caller has not received the refusal.
BOOST_AUTO_TEST_CASE(AnUploadIsRefusedBeforeAGatewayWithoutOtherRequestsStops) {
  auto fixture = StartedFixture();
  auto upload = BeginUpload(fixture.get(), "alone");
  fixture->RunFor(milliseconds(200));
  fixture->gateway->DrainAndStop();
  RunUntilStopped(fixture.get());
  BOOST_TEST(IsRefusedForStop(upload->answer), upload->answer);
}

BOOST_AUTO_TEST_CASE(AnUploadThatEndsEarlyInTheStopIsServed) {
  auto fixture = StartedFixture();
  auto upload = BeginUpload(fixture.get(), "early");
  fixture->RunFor(milliseconds(200));
  fixture->gateway->DrainAndStop();
  fixture->RunFor(seconds(2));
  upload->stream->Write(kRestOfOrder);
  RunUntilStopped(fixture.get());
  BOOST_TEST(absl::StartsWith(upload->answer, "HTTP/1.1 200"), upload->answer);
  BOOST_TEST(fixture->RunsOf("early") == 1);
}

BOOST_AUTO_TEST_CASE(ARequestThatAnEngineHasAtTheEndGetsAnAnswerThatPromisesNothing) {
  GatewayFixtureOptions options = SlowOptions();
  options.stop_grace = seconds(3);
  auto fixture = StartedFixture(options);
  auto stream = fixture->Send(fixture->StreamRequest("stream"));
  auto once = fixture->Send(fixture->OnceRequest("once"));
  auto safe = fixture->Send(fixture->SafeRequest("safe"));
  BOOST_TEST(fixture->RunUntil([&] {
    return !stream->body.empty() && fixture->RunsOf("once") == 1 && fixture->RunsOf("safe") >= 1;
  }));
  fixture->gateway->DrainAndStop();
  RunUntilStopped(fixture.get());
  for (const auto& reply : {once, safe}) {
    BOOST_TEST_REQUIRE(reply->done);
    BOOST_TEST((reply->whole() && reply->head.status == 502));
    BOOST_TEST(absl::StrContains(reply->body, "\"code\":3008"));
  }
  BOOST_TEST(fixture->RunsOf("once") == 1);
  // A stream that has begun must not look complete.
  BOOST_TEST_REQUIRE(stream->done);
  BOOST_TEST(!stream->whole());
}

// An address that takes no connection, so that what is sent to it waits.
class FullListener {
 public:
  explicit FullListener(EventLoop* loop) {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_storage any;
    socklen_t length = SocketAddress{"127.0.0.1", 0}.Fill(&any);
    BOOST_REQUIRE(bind(this->fd, reinterpret_cast<sockaddr*>(&any), length) == 0);
    BOOST_REQUIRE(listen(this->fd, 0) == 0);
    for (int i = 0; i < 4; ++i) this->waiting.push_back(TcpStream::Connect(loop, this->address()));
  }
  ~FullListener() {
    for (const auto& stream : this->waiting) stream->Close();
    close(this->fd);
  }
  SocketAddress address() const { return {"127.0.0.1", LocalPort(this->fd)}; }

 private:
  int fd;
  std::vector<std::shared_ptr<TcpStream>> waiting;
};

BOOST_AUTO_TEST_CASE(ARequestThatWaitsUnsentAtTheEndIsRefusedAsNotRun) {
  GatewayFixtureOptions options;
  options.apps = 0;
  options.stop_grace = seconds(1);
  GatewayFixture fixture(options);
  FullListener full(&fixture.loop);
  fixture.RunFor(milliseconds(100));
  EngineRecord record{"full", "app", full.address(), "hall-1", 16, false};
  fixture.store.Put("keyed.servers", "full", platform::EngineDocument(record));
  fixture.Publish(fixture.DefaultConfig());
  fixture.StartGateway();
  BOOST_TEST(fixture.RunUntil([&] { return fixture.gateway->HasEngine("full"); }));
  auto once = fixture.Send(fixture.OnceRequest("once"));
  fixture.RunFor(milliseconds(100));
  BOOST_TEST_REQUIRE(!once->done);
  fixture.gateway->DrainAndStop();
  RunUntilStopped(&fixture);
  BOOST_TEST_REQUIRE(once->done);
  BOOST_TEST(IsRefusedForStop(*once), once->body);
}

// An engine that refuses a request late in the grace leaves no time for another one.
BOOST_AUTO_TEST_CASE(ARequestThatCameBackUnrunIsNotSentOnLate) {
  const std::string refusal = "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  FaultyServerFixture faulty({"", refusal, milliseconds(3200)}, "app", true);
  auto once = faulty.fixture.Send(faulty.fixture.OnceRequest("once"));
  BOOST_TEST(faulty.fixture.RunUntil([&] { return faulty.server.answered() > 0; }));
  faulty.fixture.gateway->DrainAndStop();
  RunUntilStopped(&faulty.fixture);
  BOOST_TEST_REQUIRE(once->done);
  BOOST_TEST(IsRefusedForStop(*once), once->body);
  BOOST_TEST(faulty.fixture.RunsOf("once") == 0);
}

BOOST_AUTO_TEST_CASE(WithoutTheMechanismAnUploadIsStillPassedOn) {
  GatewayFixtureOptions options = SlowOptions();
  options.app.work_duration = milliseconds(2);
  options.mechanisms.answer_at_stop = false;
  auto fixture = StartedFixture(options);
  auto busy = fixture->Send(fixture->StreamRequest("busy"));
  BOOST_TEST(fixture->RunUntil([&] { return !busy->body.empty(); }));
  auto upload = BeginUpload(fixture.get(), "late");
  fixture->RunFor(milliseconds(200));
  fixture->gateway->DrainAndStop();
  fixture->RunFor(seconds(3));
  upload->stream->Write(kRestOfOrder);
  BOOST_TEST(fixture->RunUntil([&] { return !upload->answer.empty(); }));
  BOOST_TEST(absl::StartsWith(upload->answer, "HTTP/1.1 200"), upload->answer);
}

}  // namespace
}  // namespace gullward

// Second attempts stay within the bound that all gateways share, whatever becomes of them.
//
// What was seen: more second attempts in ten seconds than the ratio and the slack allow (219
// where 205 were allowed) on a day on which engines failed and all five gateways were killed
// and started again.
//
// How it came about: each gateway may spend the ratio of its own requests and an equal part
// of the slack.  It had spent its part, died, and its successor had a whole part again.
//
// The cause: what a process does not know of (its predecessor's spending) counted as not
// spent.
//
// What proved it: the kill lies in the middle of the window that was over the bound, and the
// simulation below exceeds the bound with kills and never without.
//
// A search with other troubles beside failing engines found a second way: gateways that
// stood still for four seconds (438 where 419 were allowed).  Their callers left meanwhile;
// on waking, the gateways read requests with the callers' closes behind them, counted them
// as requests of that moment, which allows second attempts, and sent them to engines.
// What proved it: with such requests not sent but still counted the bound was broken on
// 2 of 2 days (438 of 417, 438 of 427), not counted either on 0 of 4.
//
// A wider search still broke it on 2 of 132 days (386 of 376, 377 of 371), in the window that
// begins as gateways go on after standing still: requests whose callers still wait count as
// of the moment at which they are read, though they were sent up to seconds before.

#define BOOST_TEST_MODULE retry_budget
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/testing/gateway_world.h"
#include "platform/headers.h"
#include "serving/fleet.h"
#include "serving/gateway_entry.h"
#include "testing/raw_http.h"

namespace gullward {
namespace {

constexpr char kService[] = "models";
const Time kStart = Time{} + seconds(1000);

// Five gateways under a load of which everything fails, so that each spends all it may.
class FailingFleet {
 public:
  FailingFleet(const RetryBounds& retry_bounds, uint64_t seed)
      : bounds(retry_bounds), random(seed), now(kStart) {
    // Long enough up to have their whole share.
    for (int i = 0; i < kGateways; ++i) this->gateways.push_back(this->NewGateway(Time{}));
  }

  void RunFor(Duration time) {
    for (Time until = this->now + time; this->now < until;) {
      this->now += milliseconds(1 + this->random() % 6);
      RetryBucket& window = this->gateways[this->random() % kGateways].RetryBucketOf(kService);
      if (this->random() % 100 < 10) {
        window.AddRequest(this->now);
        this->requests.push_back(this->now);
      } else if (window.TakeRetry(this->now)) {
        this->retries.push_back(this->now);
      }
    }
  }

  // Kills some gateways, one at least; each starts again at once and knows nothing.
  void KillSome() {
    size_t killed = 1 + this->random() % kGateways;
    for (size_t i = 0; i < killed; ++i) this->gateways[i] = this->NewGateway(this->now);
  }

  void KillAll() {
    for (Fleet& gateway : this->gateways) gateway = this->NewGateway(this->now);
  }

  // Requests only: nothing fails.
  void RunWell(Duration duration) {
    for (Time end = this->now + duration; this->now < end;) {
      this->now += milliseconds(this->random() % 40);
      this->gateways[this->random() % kGateways].RetryBucketOf(kService).AddRequest(this->now);
      this->requests.push_back(this->now);
    }
  }

  // The slow obvious count: in every window, as many as the bound allows.
  bool KeptTheBound() const {
    return std::all_of(this->retries.begin(), this->retries.end(), [this](Time begin) {
      double in_window = Count(this->retries, begin, begin + this->bounds.window);
      return in_window <= this->Allowed(begin);
    });
  }

 private:
  static constexpr int kGateways = 5;

  Fleet NewGateway(Time started) const {
    Fleet fleet(this->bounds, "box", "hall", Mechanisms{}, started);
    fleet.SetProcessCount(kGateways);
    return fleet;
  }

  static double Count(const std::vector<Time>& times, Time begin, Time end) {
    return static_cast<double>(std::count_if(times.begin(), times.end(),
                                             [&](Time at) { return at >= begin && at < end; }));
  }

  // Requests are those of the window, of the one before, or of half a window before,
  // whichever has most.
  double Allowed(Time begin) const {
    double most = 0;
    for (Duration earlier : {Duration(0), this->bounds.window / 2, this->bounds.window}) {
      Time from = begin - earlier;
      most = std::max(most, Count(this->requests, from, from + this->bounds.window));
    }
    return this->bounds.ratio * most + this->bounds.slack;
  }

  RetryBounds bounds;
  std::mt19937_64 random;
  Time now;
  std::vector<Fleet> gateways;
  std::vector<Time> requests;
  std::vector<Time> retries;
};

BOOST_AUTO_TEST_CASE(GatewaysThatStartAgainDoNotSpendTheSlackTwice) {
  const RetryBounds bounds{seconds(10), 0.2, 104};
  for (int kills : {0, 1, 2, 5}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      FailingFleet fleet(bounds, seed);
      fleet.RunFor(seconds(15));
      for (int i = 0; i < kills; ++i) {
        fleet.KillSome();
        fleet.RunFor(seconds(2));
      }
      fleet.RunFor(seconds(15));
      BOOST_TEST_CONTEXT(kills << " kills, seed " << seed) { BOOST_TEST(fleet.KeptTheBound()); }
    }
  }
}

// Each gateway has saved up second attempts while nothing failed; then everything fails,
// all of them die once they have spent that, and their successors know nothing of it.
BOOST_AUTO_TEST_CASE(WhatWasSavedAndSpentBeforeARestartIsNotSpentAgain) {
  const RetryBounds bounds{seconds(10), 0.2, 106};
  for (int failing_ms : {500, 1000, 2000, 4000}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      FailingFleet fleet(bounds, seed);
      fleet.RunWell(seconds(15));
      fleet.RunFor(milliseconds(failing_ms));
      fleet.KillAll();
      fleet.RunFor(seconds(15));
      BOOST_TEST_CONTEXT(failing_ms << " ms, seed " << seed) { BOOST_TEST(fleet.KeptTheBound()); }
    }
  }
}

// A gateway that has started is not left without second attempts: it has the ratio of its own
// requests from the first moment, and its share of the slack evenly over the first window.
BOOST_AUTO_TEST_CASE(AGatewayThatStartsHasTheRatioAtOnceAndItsShareOverAWindow) {
  const RetryBounds bounds{seconds(10), 0.2, 104};
  constexpr size_t kGateways = 5;
  Fleet fleet(bounds, "box", "hall", Mechanisms{}, kStart);
  fleet.SetProcessCount(kGateways);
  RetryBucket& bucket = fleet.RetryBucketOf(kService);
  for (int i = 0; i < 10; ++i) bucket.AddRequest(kStart);
  BOOST_TEST(bucket.TakeRetry(kStart));
  BOOST_TEST(bucket.TakeRetry(kStart));
  BOOST_TEST(!bucket.TakeRetry(kStart));
  double share = bounds.slack / (kProcessMargin * kGateways);
  int taken = 0;
  for (int second = 1; second <= 10; ++second) {
    while (bucket.TakeRetry(kStart + seconds(second))) taken += 1;
    BOOST_TEST(taken <= share * second / 10);
  }
  BOOST_TEST(taken >= std::floor(share / 2) - 1);
}

// Datagrams go to a bounded number of peers, but the slack is divided among all there are.
BOOST_AUTO_TEST_CASE(EveryGatewayCountsHoweverManyAreTold) {
  GatewayWorld world({});
  constexpr size_t kPeers = 60;
  for (size_t i = 0; i < kPeers; ++i) {
    world.store.Put(std::string(platform::kPeersTopic), absl::StrCat("peer-", i),
                    EncodeGatewayEntry({absl::StrCat("peer-", i), {"127.0.0.1", 9}, "hall-1"}));
  }
  world.Publish(world.DefaultConfig());
  world.StartGateway();
  BOOST_TEST(world.RunUntil([&] { return world.gateway->peers() > 0; }));
  BOOST_TEST(world.gateway->peers() == kPeers);
}

// Requests that reached an engine, second attempts included.
size_t ArrivalsOf(const GatewayWorld& world, const std::string& id) {
  size_t count = 0;
  for (const auto* list : {&world.engines, &world.apps}) {
    for (const auto& engine : *list) {
      for (const EngineStandin::Seen& seen : engine->seen()) {
        count += FindHeader(seen.request.head.headers, platform::kAttemptId) == id ? 1 : 0;
      }
    }
  }
  return count;
}

// A process that stands still (the loop does not run) reads what was sent meanwhile in one
// go.  What was sent a window ago or more allows no second attempt now.
BOOST_AUTO_TEST_CASE(ARequestCountsFromWhenItMayHaveBeenSent) {
  constexpr size_t kRequests = 10;
  struct Row {
    Duration window;
    Duration pause;
  };
  // Where nothing stands still, the window is longer than a loaded machine takes to send ten
  // requests: with one second it stood still for the whole of it now and then.
  const Row table[] = {{kTestPatience, Duration(0)}, {seconds(1), milliseconds(1500)}};
  for (const auto& [window, pause] : table) {
    WorldOptions options;
    options.retry = {.window = window, .ratio = 1, .slack = 0};
    GatewayWorld world(options);
    for (const auto& app : world.apps) app->FailAll(EngineFault::kFailed);
    world.Publish(world.DefaultConfig());
    world.StartGateway();
    // Nothing waits to be read when the process stands still.
    Time ready_at = Now();
    BOOST_TEST_REQUIRE(world.RunUntil([&] { return world.loop.caught_up_at() > ready_at; }));
    const std::string gateway = absl::StrCat("127.0.0.1:", world.gateway->callers_port());
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (size_t i = 0; i < kRequests; ++i) {
      callers.push_back(std::make_unique<RawConnection>(gateway));
      BOOST_TEST_REQUIRE(callers.back()->Send(world.SafeRequest("sent")));
    }
    std::this_thread::sleep_for(pause);
    BOOST_TEST(world.RunUntil([&] { return ArrivalsOf(world, "sent") >= kRequests; }));
    // Time for the second attempts, which would follow at once.
    for (int i = 0; i < 8; ++i) world.Call(world.SafeRequest("after"));
    bool stood_still = pause > window;
    BOOST_TEST(ArrivalsOf(world, "sent") == (stood_still ? kRequests : 2 * kRequests));
  }
}

// The loop does not run between a caller's request and its close, as in a process that
// stands still: both lie in the buffers when it goes on.
BOOST_AUTO_TEST_CASE(ARequestWhoseCallerHasLeftReachesNoEngine) {
  GatewayWorld world({});
  world.Publish(world.DefaultConfig());
  world.StartGateway();
  // Connections to engines are kept from here on, so a request could go out at once.
  std::vector<std::shared_ptr<Reply>> warm;
  for (int i = 0; i < 8; ++i) {
    warm.push_back(world.Send(world.SafeRequest("warm")));
    warm.push_back(world.Send(world.StreamRequest("warm")));
  }
  BOOST_TEST_REQUIRE(world.RunUntil([&] {
    return std::all_of(warm.begin(), warm.end(), [](const auto& reply) { return reply->done; });
  }));
  const std::string gateway = absl::StrCat("127.0.0.1:", world.gateway->callers_port());
  const std::string requests[] = {world.SafeRequest("left"), world.OnceRequest("left"),
                                  world.StreamRequest("left")};
  for (const std::string& request : requests) {
    for (int i = 0; i < 5; ++i) {
      RawConnection caller(gateway);
      BOOST_TEST_REQUIRE(caller.Send(request));
    }
    for (int i = 0; i < 4; ++i) world.Call(world.SafeRequest("stays"));
  }
  BOOST_TEST(ArrivalsOf(world, "left") == 0);
  BOOST_TEST(ArrivalsOf(world, "stays") == 12);
}

}  // namespace
}  // namespace gullward

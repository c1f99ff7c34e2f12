// A gateway whose machine was suspended knows that the time has passed.
//
// What was seen: nothing yet; the users' pages say that a machine may be suspended for
// seconds, and that the steady clock does not count them.
//
// How it would come about: keys may be relied on for five seconds after the configuration was
// proved current.  A machine sleeps for eight, wakes, and by the steady clock a moment has
// passed: keys that were taken away meanwhile are accepted.
//
// The cause: every age was measured by the steady clock, which stands still in a suspension.
//
// What proved it: the cases below, in which the kernel's clocks are answered by this program:
// all but the steady one go on by eight seconds.

#define BOOST_TEST_MODULE suspension
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "gateway/testing/gateway_fixture.h"

namespace {

std::atomic<int64_t> suspended_seconds{0};

}  // namespace

// Takes the place of the C library's: the steady clock does not count a suspension, all
// others do.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  long failed = syscall(SYS_clock_gettime, clock, time);
  bool steady =
      clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_MONOTONIC_COARSE;
  bool of_processor = clock == CLOCK_PROCESS_CPUTIME_ID || clock == CLOCK_THREAD_CPUTIME_ID;
  if (failed == 0 && !steady && !of_processor) time->tv_sec += suspended_seconds.load();
  return static_cast<int>(failed);
}

namespace gullward {
namespace {

constexpr int kSuspendedSeconds = 8;

BOOST_AUTO_TEST_CASE(TheClockCountsASuspension) {
  Time before = Now();
  suspended_seconds += kSuspendedSeconds;
  BOOST_TEST(ToSeconds(Now() - before) >= kSuspendedSeconds);
}

BOOST_AUTO_TEST_CASE(KeysAreNotReliedOnAfterASuspension) {
  GatewayFixture world({.engines = 1, .apps = 1});
  world.Publish(world.DefaultConfig());
  world.StartGateway();
  BOOST_TEST(world.Call(world.SafeRequest("before")).head.status == 200);
  suspended_seconds += kSuspendedSeconds;
  // Before the store can have proved anything anew.
  BOOST_TEST(!world.gateway->IsReady());
  // It is proved anew, and all is well again.
  BOOST_TEST(world.RunUntil([&] { return world.gateway->IsReady(); }));
  BOOST_TEST(world.Call(world.SafeRequest("after")).head.status == 200);
}

}  // namespace
}  // namespace gullward

// Tests that a gateway accounts for the time during which its machine was suspended.
//
// The users' machines may be suspended for seconds, which the monotonic clock does not count.
// Keys may be accepted for five seconds after the configuration was last shown to be current.
// If ages were measured by the monotonic clock, then after a suspension of eight seconds a
// gateway would still accept keys that were removed in the meantime.
//
// The tests replace clock_gettime: all clocks but the monotonic ones advance by eight seconds.

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

// Replaces the C library's function.  The monotonic clocks do not count a suspension; all other
// clocks do, except those of CPU time.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  long failed = syscall(SYS_clock_gettime, clock, time);
  bool is_steady =
      clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_MONOTONIC_COARSE;
  bool is_cpu_time = clock == CLOCK_PROCESS_CPUTIME_ID || clock == CLOCK_THREAD_CPUTIME_ID;
  if (failed == 0 && !is_steady && !is_cpu_time) time->tv_sec += suspended_seconds.load();
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
  GatewayFixture fixture({.engines = 1, .apps = 1});
  fixture.Publish(fixture.DefaultConfig());
  fixture.StartGateway();
  BOOST_TEST(fixture.Call(fixture.SafeRequest("before")).head.status == 200);
  suspended_seconds += kSuspendedSeconds;
  // Checked before the configuration can have been revalidated.
  BOOST_TEST(!fixture.gateway->IsReady());
  // After the revalidation the gateway is ready again.
  BOOST_TEST(fixture.RunUntil([&] { return fixture.gateway->IsReady(); }));
  BOOST_TEST(fixture.Call(fixture.SafeRequest("after")).head.status == 200);
}

}  // namespace
}  // namespace gullward

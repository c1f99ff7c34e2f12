// The clock and the types of times and durations.
//
// No decision core reads a clock: the time is a parameter of each call that needs it, so
// that tests and trials can pass any time and give the same results on every run.  Only
// the shells (the programs' main loops) call Now().
//
//   Time now = Now();
//   core.Tick(now, &actions);

#ifndef GULLWARD_BASE_CLOCK_H_
#define GULLWARD_BASE_CLOCK_H_

#include <time.h>

#include <chrono>

namespace gullward {

using Duration = std::chrono::microseconds;

// The kernel's CLOCK_BOOTTIME.  Like the steady clock it never goes back, but it also counts
// the time during which the machine was suspended.  Guarantees that depend on the age of data
// need this: an API key that was validated five seconds ago by the steady clock may have been
// revoked during a suspension of eight seconds.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

using Time = std::chrono::time_point<BootClock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The time since the machine's boot.
inline Time Now() { return std::chrono::time_point_cast<Duration>(BootClock::now()); }

// Seconds as a floating-point number, for estimates and reports.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Converts a number of seconds, rounded towards zero to microseconds.  Values beyond ten
// years in either direction, and NaN, are clamped to ten years, so that an extreme estimate
// cannot overflow a deadline.
inline Duration FromSeconds(double value) {
  constexpr double kTenYears = 10.0 * 365 * 86400;
  if (!(value < kTenYears)) value = kTenYears;
  if (value < -kTenYears) value = -kTenYears;
  return Duration(static_cast<int64_t>(value * 1e6));
}

// Whole milliseconds, rounded down; 0 for negative durations.
inline uint64_t ToMillis(Duration duration) {
  if (duration.count() <= 0) return 0;
  return static_cast<uint64_t>(duration.count() / 1000);
}

}  // namespace gullward

#endif  // GULLWARD_BASE_CLOCK_H_

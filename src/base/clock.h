// Time as every decision sees it.
//
// No decision core reads a clock: each call that needs the time is given it,
// so that a test or a trial can pass any time it likes and gets the same
// answer on every run.  Only the shells (the programs' main loops) call Now().
//
//   Time now = Now();
//   core.Tick(now, &actions);

#ifndef GULLWARD_BASE_CLOCK_H_
#define GULLWARD_BASE_CLOCK_H_

#include <chrono>

namespace gullward {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The machine's monotonic clock.
inline Time Now() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Seconds as a floating-point number, for estimates and reports.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The duration nearest to a number of seconds.  Values beyond ten years are
// cut to ten years, so that a wild estimate cannot overflow a deadline.
inline Duration FromSeconds(double value) {
  constexpr double kTenYears = 10.0 * 365 * 86400;
  if (!(value < kTenYears)) value = kTenYears;
  if (value < -kTenYears) value = -kTenYears;
  return Duration(static_cast<int64_t>(value * 1e6));
}

// Whole milliseconds, rounded down; negative durations count as none.
inline uint64_t ToMillis(Duration duration) {
  if (duration.count() <= 0) return 0;
  return static_cast<uint64_t>(duration.count() / 1000);
}

}  // namespace gullward

#endif  // GULLWARD_BASE_CLOCK_H_

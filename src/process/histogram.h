// Histograms of durations for the metrics page.
//
//   LatencyHistogram first_event;
//   first_event.Add(milliseconds(130));

#ifndef GULLWARD_PROCESS_HISTOGRAM_H_
#define GULLWARD_PROCESS_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace gullward {

// Counts durations in buckets, for one combination of labels of a metric.
class LatencyHistogram {
 public:
  // Upper bounds of the buckets in seconds.  They include the latency objectives of both
  // users (0.12, 0.3, 1.5, 3 and 4 s; for pauses 0.2, 0.5 and 0.8 s) and end at the users'
  // deadlines.
  static constexpr std::array<double, 12> kBounds = {0.03, 0.06, 0.12, 0.2, 0.3, 0.5,
                                                     0.8,  1.5,  3,    4,   10,  15};

  void Add(Duration latency) {
    double value = ToSeconds(latency);
    size_t bucket = 0;
    while (bucket < kBounds.size() && value > kBounds[bucket]) ++bucket;
    this->counts[bucket] += 1;
    this->total_count += 1;
    this->total_seconds += value;
  }

  // Number of durations of at most kBounds[bucket].
  uint64_t CumulativeCount(size_t bucket) const {
    uint64_t sum = 0;
    for (size_t i = 0; i <= bucket; ++i) sum += this->counts[i];
    return sum;
  }

  uint64_t count() const { return this->total_count; }
  double sum_seconds() const { return this->total_seconds; }

  bool operator==(const LatencyHistogram&) const = default;

 private:
  // The last bucket counts the durations above every bound.
  std::array<uint64_t, kBounds.size() + 1> counts{};
  uint64_t total_count = 0;
  double total_seconds = 0;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_HISTOGRAM_H_

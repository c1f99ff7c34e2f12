#include "overload/pace_evidence.h"

#include <algorithm>

namespace gullward {
namespace {

// Time that connecting to an engine and the way there and back may take, which says nothing of its
// pace.
constexpr double kTransferMs = 50;

double MillisBetween(Time begin, Time end) { return ToSeconds(end - begin) * 1000; }

}  // namespace

void GapSpan::Begin(const EventArrival& arrival) {
  this->has_begun = true;
  this->begin = arrival.at;
  this->events = 0;
  this->shortest_pass_ms = arrival.pass_ms;
  this->longest_pass_ms = arrival.pass_ms + arrival.remote_ms;
  this->reading_ms = arrival.reading_ms;
}

std::optional<PaceObservation> GapSpan::Add(const EventArrival& arrival) {
  if (!this->has_begun) {
    this->Begin(arrival);
    return std::nullopt;
  }
  this->events += arrival.events;
  this->shortest_pass_ms = std::min(this->shortest_pass_ms, arrival.pass_ms);
  this->longest_pass_ms = std::max(this->longest_pass_ms, arrival.pass_ms + arrival.remote_ms);
  // A prompt that is read across two arrivals is counted twice, which only widens the bounds.
  this->reading_ms += arrival.reading_ms;
  if (this->events < kEvents) return std::nullopt;
  PaceObservation seen{this->begin, arrival.at, 0, 0};
  double took_ms = MillisBetween(seen.begin, seen.end);
  double writing_ms = this->shortest_pass_ms * this->events;
  double all_work_ms = this->longest_pass_ms * this->events + this->reading_ms;
  this->Begin(arrival);
  if (writing_ms <= 0 || seen.end < seen.begin) return std::nullopt;
  seen.at_least = took_ms / all_work_ms;
  seen.at_most = took_ms / writing_ms;
  return seen;
}

std::optional<PaceObservation> FirstEventObservation(Time sent, Time now, double expected_ms) {
  if (expected_ms <= 0 || now <= sent) return std::nullopt;
  double took_ms = MillisBetween(sent, now);
  return PaceObservation{sent, now, std::max(took_ms - kTransferMs, 0.0) / expected_ms,
                         took_ms / expected_ms};
}

}  // namespace gullward

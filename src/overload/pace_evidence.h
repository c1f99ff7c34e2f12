// What the times of one answer prove about the pace of its engine.
//
// An engine works in passes and sends one event of each stream at the end of a pass.  Other work
// on the engine, and the network, lengthen the time between two events; nothing shortens it but
// events that the network delivers together.  Times are therefore taken over spans of two events,
// and each gives two bounds on the pace (engine_pace.h): at most, if the engine did nothing but
// write, and at least, if it did all the other work that may have been there.  A span that
// the reading of other prompts explains has wide bounds and proves nothing.
//
//   GapSpan span;
//   if (std::optional<PaceObservation> seen = span.Add({now, 1, pass_ms, reading_ms})) ...

#ifndef GULLWARD_OVERLOAD_PACE_EVIDENCE_H_
#define GULLWARD_OVERLOAD_PACE_EVIDENCE_H_

#include <optional>

#include "base/clock.h"

namespace gullward {

// What was seen of an engine from `begin` to `end`: its pace was from `at_least` to `at_most`.
struct PaceObservation {
  Time begin{};
  Time end{};
  double at_least = 0;
  double at_most = 0;

  bool operator==(const PaceObservation&) const = default;
};

// Events of one stream that arrived together, and the work that was known on the engine then.
struct EventArrival {
  Time at{};
  int events = 1;
  // The published time of a pass with the streams on the engine, in milliseconds.
  double pass_ms = 0;
  // Added to a pass if a request on the engine has its memory on others too, in milliseconds.
  // Whether one has is known of this gateway's requests only.
  double remote_ms = 0;
  // The published reading time of all prompts whose first event has not come, in milliseconds.
  double reading_ms = 0;

  bool operator==(const EventArrival&) const = default;
};

// Collects the arrivals of one stream into spans.
class GapSpan {
 public:
  // Events per span.
  static constexpr int kEvents = 2;

  // Returns an observation at the end of each span.  The first arrival begins the first span, and
  // each end of a span begins the next.
  std::optional<PaceObservation> Add(const EventArrival& arrival);

  bool operator==(const GapSpan&) const = default;

 private:
  void Begin(const EventArrival& arrival);

  Time begin{};
  int events = 0;
  // Over the arrivals of the span, its beginning included.
  double shortest_pass_ms = 0;
  double longest_pass_ms = 0;
  double reading_ms = 0;
  bool has_begun = false;
};

// What the first event proves of an engine that was idle when the request was sent and got no other
// work since.  `expected_ms` is the published time to the first event.  No value if nothing is
// published.
std::optional<PaceObservation> FirstEventObservation(Time sent, Time now, double expected_ms);

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_PACE_EVIDENCE_H_

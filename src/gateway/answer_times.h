// Measures when the parts of one answer arrive from the engine and compares the times with the
// aims of the route, for the metrics and the log.
//
//   AnswerTimes times(request.arrived);
//   times.NoteEvent(now);                          // for each read that holds whole events
//   Duration first = times.FirstAfter(route, now);  // at the answer's end
//   times.AddToHistograms(route, prompt_tokens, first, &counters);
//   if (times.IsLate(route, first)) times.AddToLine(route, first, &line);

#ifndef GULLWARD_GATEWAY_ANSWER_TIMES_H_
#define GULLWARD_GATEWAY_ANSWER_TIMES_H_

#include "gateway/gateway_state.h"
#include "process/event_log.h"
#include "serving/serving_config.h"

namespace gullward {

class AnswerTimes {
 public:
  explicit AnswerTimes(Time request_arrived) : arrived(request_arrived) {}

  // Records the arrival of whole events of a stream.
  void NoteEvent(Time now);

  // Returns the time from the request's arrival to the first event of a stream.  For an answer
  // that is not a stream, returns the time to `now`, when the answer is whole.
  Duration FirstAfter(const Route& route, Time now) const;

  // Adds a successful answer to the histograms.
  void AddToHistograms(const Route& route, double prompt_tokens, Duration first,
                       GatewayCounters* counters) const;

  // Whether the first event (or the whole answer) missed the route's objective, or a pause
  // between two events of a stream was longer than the route aims at.
  bool IsLate(const Route& route, Duration first) const;

  // Adds the times and the aims to a log line, in milliseconds.
  void AddToLine(const Route& route, Duration first, LogLine* line) const;

  bool operator==(const AnswerTimes&) const = default;

 private:
  Time arrived;
  // From the request's arrival to the first event.
  Duration first_event_after{};
  // The longest time between two arrivals of events.
  Duration longest_pause{};
  // Time{} before the first event.
  Time last_event_at{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ANSWER_TIMES_H_

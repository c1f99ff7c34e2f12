// When the parts of one answer came, held against the route's aims: for the metrics
// and for the log.
//
//   AnswerTimes times(request.arrived);
//   times.NoteEvent(now);                          // for each event that goes on
//   Duration first = times.FirstAfter(route, now);  // at the answer's end
//   times.Count(route, prompt_tokens, first, &counters);
//   if (times.IsLate(route, first)) times.Describe(route, first, &line);

#ifndef GULLWARD_GATEWAY_ANSWER_TIMES_H_
#define GULLWARD_GATEWAY_ANSWER_TIMES_H_

#include "gateway/gateway_state.h"
#include "process/event_log.h"
#include "serving/serving_config.h"

namespace gullward {

class AnswerTimes {
 public:
  explicit AnswerTimes(Time request_arrived) : arrived(request_arrived) {}

  // Whole events of a stream have come in.
  void NoteEvent(Time now);

  // From the request's arrival to a stream's first event, or to the whole of an
  // answer that is no stream and that ends now.
  Duration FirstAfter(const Route& route, Time now) const;

  // Adds an answer that ended well to the histograms.
  void Count(const Route& route, double prompt_tokens, Duration first,
             GatewayCounters* counters) const;

  // Whether the first event, or a later one, came later than the route aims at.
  bool IsLate(const Route& route, Duration first) const;

  // Adds the times and the aims to a line, in milliseconds.
  void Describe(const Route& route, Duration first, LogLine* line) const;

  bool operator==(const AnswerTimes&) const = default;

 private:
  Time arrived;
  // From the request's arrival to the first event.
  Duration first_event_after{};
  // The longest time between two events.
  Duration longest_pause{};
  Time last_event_at{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_ANSWER_TIMES_H_

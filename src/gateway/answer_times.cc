// A route whose longest pause is zero has no aim for pauses, so no pause is late there.

#include "gateway/answer_times.h"

#include <algorithm>

namespace gullward {

void AnswerTimes::NoteEvent(Time now) {
  bool is_first = this->last_event_at == Time{};
  if (is_first) {
    this->first_event_after = now - this->arrived;
  } else {
    this->longest_pause = std::max(this->longest_pause, now - this->last_event_at);
  }
  this->last_event_at = now;
}

Duration AnswerTimes::FirstAfter(const Route& route, Time now) const {
  return route.streaming ? this->first_event_after : now - this->arrived;
}

void AnswerTimes::AddToHistograms(const Route& route, double prompt_tokens, Duration first,
                                  GatewayCounters* counters) const {
  if (route.streaming) {
    const char* length = PromptLengthLabel(prompt_tokens);
    counters->first_event[length].Add(first);
    counters->longest_pause[length].Add(this->longest_pause);
  } else {
    counters->plain_answer.Add(first);
  }
}

bool AnswerTimes::IsLate(const Route& route, Duration first) const {
  bool paused = route.streaming && route.longest_pause.count() > 0 &&
                this->longest_pause > route.longest_pause;
  return first > route.objective || paused;
}

void AnswerTimes::AddToLine(const Route& route, Duration first, LogLine* line) const {
  line->Number("first_ms", ToSeconds(first) * 1000)
      .Number("objective_ms", ToSeconds(route.objective) * 1000)
      .Number("pause_ms", ToSeconds(this->longest_pause) * 1000)
      .Number("pause_aim_ms", ToSeconds(route.longest_pause) * 1000);
}

}  // namespace gullward

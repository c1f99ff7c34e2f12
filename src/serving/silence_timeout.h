// Determines how long an engine may be silent before its request is tried on another engine.
//
// An engine that crashed without closing its connections looks the same as a busy one.  The basic
// timeout is therefore a multiple of the time in which the next event was expected.  After that
// the known load of the engine is considered: if it has prompts to read, or more requests than
// slots, the wait goes on up to a limit that is shorter than the time after which callers give up.
//
// The timeout of a first event is longer if another engine could not meet the objective either:
// then leaving the engine discards the reading that it has done, and gains nothing unless the
// engine has crashed.
//
//   if (silent < SilenceTimeout(expected_ms)) return;        // not yet late
//   if (silent < FirstEventTimeout(expected_ms, objective_ms)) return;
//   if (LoadExplainsSilence(load, engine.slots, silent)) return;

#ifndef GULLWARD_SERVING_SILENCE_TIMEOUT_H_
#define GULLWARD_SERVING_SILENCE_TIMEOUT_H_

#include <algorithm>

#include "base/clock.h"
#include "serving/engine_load.h"

namespace gullward {

// The shortest timeout.  Callers give up a stream after two seconds of silence, so time must be
// left for the other engine.
inline constexpr Duration kMinSilenceTimeout = milliseconds(900);
// An event may take this many times the expected time.
inline constexpr double kSilenceFactor = 3;
// An engine that is known to be reading may be silent for this many times its reading time, but
// for no longer than kMaxSilenceTimeout, since callers give up.
inline constexpr double kReadingFactor = 1.5;
inline constexpr Duration kMaxSilenceTimeout = milliseconds(1700);

// The basic timeout for an event that was expected within `expected_ms` milliseconds.
inline Duration SilenceTimeout(double expected_ms) {
  return std::max<Duration>(FromSeconds(kSilenceFactor * expected_ms / 1000), kMinSilenceTimeout);
}

// A first event that is late on any engine is waited for up to this many times its objective.
// Callers give up at four times the objective, and another engine needs time as well.  Without
// this longer timeout, a prompt whose readers have newer work to do first would be abandoned and
// read again from its start.
inline constexpr double kLateObjectives = 2;

// The timeout for a first event with an objective.  It exceeds SilenceTimeout if a second engine
// that is tried after SilenceTimeout would miss the objective too.
inline Duration FirstEventTimeout(double expected_ms, double objective_ms) {
  Duration usual = SilenceTimeout(expected_ms);
  bool second_is_in_time = ToSeconds(usual) * 1000 + expected_ms <= objective_ms;
  if (second_is_in_time) return usual;
  return std::max<Duration>(usual, FromSeconds(kLateObjectives * objective_ms / 1000));
}

// Whether the known load explains that an engine with `slots` slots has been silent for `silent`.
inline bool LoadExplainsSilence(const EngineLoad& load, int slots, Duration silent) {
  if (silent >= kMaxSilenceTimeout) return false;
  bool is_full = load.requests > slots;
  return is_full || ToSeconds(silent) * 1000 < kReadingFactor * load.reading_ms;
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_SILENCE_TIMEOUT_H_

// How long an engine may be silent before its request is tried elsewhere.
//
// An engine that has died without closing its connections looks like one that is
// busy.  So the time for which its next event was expected is taken a few times over,
// and after that its known load is asked: work to read, or more requests than slots,
// is reason enough to go on waiting, up to a limit that callers set by leaving.
//
// A first event that another engine would bring late too is waited for longer still:
// leaving then throws the reading away and gains nothing unless the engine is dead.
//
//   if (silent < PatienceWith(expected_ms)) return;          // nothing to wonder at
//   if (silent < PatienceForFirst(expected_ms, objective_ms)) return;
//   if (ExcusesSilence(load, engine.slots, silent)) return;  // busy, by all we know

#ifndef GULLWARD_SERVING_SILENCE_TIMEOUT_H_
#define GULLWARD_SERVING_SILENCE_TIMEOUT_H_

#include <algorithm>

#include "base/clock.h"
#include "serving/engine_load.h"

namespace gullward {

// The shortest silence that makes us try another engine.  Callers give a stream
// up after two seconds, so there must be time for the other one.
inline constexpr Duration kMinSilenceTimeout = milliseconds(900);
// A first event may take this much longer than expected, and so may a pause.
inline constexpr double kPatienceFactor = 3;
// An engine that is known to read may be silent for this much longer than that
// reading should take, but no longer than callers wait.
inline constexpr double kReadingFactor = 1.5;
inline constexpr Duration kMaxSilenceTimeout = milliseconds(1700);

// The silence that needs no excuse where the next event was expected within so long.
inline Duration SilenceTimeout(double expected_ms) {
  return std::max<Duration>(FromSeconds(kPatienceFactor * expected_ms / 1000), kMinSilenceTimeout);
}

// A first event that is late anyway is waited for up to so many times its objective.
// Callers leave at four times, and another engine needs time too.  Without it prompts whose
// helpers have newer work to do first would be left and read again from their start.
inline constexpr double kLateObjectives = 2;

// The same for a first event with an objective: where a second engine, left to at the
// usual time, could not meet it either, the wait is longer.
inline Duration FirstEventTimeout(double expected_ms, double objective_ms) {
  Duration usual = SilenceTimeout(expected_ms);
  bool second_is_in_time = ToSeconds(usual) * 1000 + expected_ms <= objective_ms;
  if (second_is_in_time) return usual;
  return std::max<Duration>(usual, FromSeconds(kLateObjectives * objective_ms / 1000));
}

// Whether what is known to be on an engine with so many slots explains its silence.
inline bool LoadExplainsSilence(const EngineLoad& load, int slots, Duration silent) {
  if (silent >= kMaxSilenceTimeout) return false;
  bool full = load.requests > slots;
  return full || ToSeconds(silent) * 1000 < kReadingFactor * load.reading_ms;
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_SILENCE_TIMEOUT_H_

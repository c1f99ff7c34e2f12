// A published speed of model engines, for tests.

#ifndef GULLWARD_SERVING_TESTING_PUBLISHED_SPEED_H_
#define GULLWARD_SERVING_TESTING_PUBLISHED_SPEED_H_

#include "serving/serving_config.h"

namespace gullward {

// Values as one user's operator publishes them.
inline EngineSpeed PublishedSpeed() {
  EngineSpeed speed;
  speed.slots = 16;
  speed.memory_tokens = 450'000;
  speed.step_ms = 0.925;
  speed.step_ms_per_request = 0.00483;
  speed.step_ms_per_thousand_context = 0.00254;
  speed.prefill_tokens_per_ms = 256;
  speed.prefill_ms_per_million_pairs = 0.0917;
  speed.steps_per_pass = 46;
  speed.usual_answer_tokens = 1540;
  return speed;
}

}  // namespace gullward

#endif  // GULLWARD_SERVING_TESTING_PUBLISHED_SPEED_H_

// The loads of all candidates are advanced together; the search prices one placement for each
// halving.

#include "serving/room_forecast.h"

#include <algorithm>
#include <cmath>

#include "serving/engine_costs.h"
#include "serving/refusal.h"

namespace gullward {
namespace {

// Requests that end within `later_ms`.  Their ends are spread evenly over the time of one answer.
int RequestsEnded(const EngineSpeed& speed, const Candidate& candidate, double later_ms) {
  int running = std::min(candidate.load.requests, std::max(candidate.slots, 1));
  double step_ms = StepMs(speed, running, candidate.load.context_tokens);
  double answer_ms = std::max(speed.usual_answer_tokens * step_ms, 1.0);
  double ended = std::floor(later_ms * running / answer_ms);
  return static_cast<int>(std::min<double>(ended, candidate.load.requests));
}

// Removes the streams and the context of requests that have ended: the same share of each class.
void KeepShare(double share, EngineLoad* load) {
  load->context_tokens *= share;
  for (PauseClass& streams : load->streams) {
    double kept = std::ceil(streams.streams * share);
    streams.context_tokens *= kept / std::max(streams.streams, 1);
    streams.streams = static_cast<int>(kept);
  }
  std::erase_if(load->streams, [](const PauseClass& streams) { return streams.streams == 0; });
}

}  // namespace

EngineLoad LoadAfter(const EngineSpeed& speed, const Candidate& candidate, double later_ms) {
  EngineLoad load = candidate.load;
  load.read_ms = std::min(load.read_ms + later_ms, load.reading_ms);
  if (load.requests == 0) return load;
  int left = load.requests - RequestsEnded(speed, candidate, later_ms);
  KeepShare(static_cast<double>(left) / load.requests, &load);
  load.requests = left;
  bool is_reading = load.RemainingReadingMs() > 0;
  load.writers = std::min(left, is_reading ? load.writers : std::max(candidate.slots, 1));
  return load;
}

bool HasRoomAfter(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                  const Demand& demand, const PlacementOptions& options,
                  double promised_seconds_per_engine, double later_ms) {
  std::vector<Candidate> later = candidates;
  for (Candidate& candidate : later) {
    candidate.load.reading_ms += promised_seconds_per_engine * 1000;
    candidate.load = LoadAfter(speed, candidate, later_ms);
  }
  // The promised work is a part of the loads here.
  Demand returned = demand;
  returned.refusal.reserved_seconds_per_engine = 0;
  Placement placement = Choose(later, speed, returned, options);
  bool is_in_time = placement.first_event_ms <= demand.objective_ms;
  return !placement.engines.empty() && is_in_time && !ShouldRefuse(placement, returned);
}

std::optional<Duration> ForecastRoom(const std::vector<Candidate>& candidates,
                                     const EngineSpeed& speed, const Demand& demand,
                                     const PlacementOptions& options,
                                     double promised_seconds_per_engine, Duration horizon) {
  if (horizon <= Duration(0)) return std::nullopt;
  auto has_room = [&](int step) {
    return HasRoomAfter(candidates, speed, demand, options, promised_seconds_per_engine,
                        ToSeconds(horizon * step / kForecastSteps) * 1000);
  };
  if (!has_room(kForecastSteps)) return std::nullopt;
  int without_room = -1;
  int with_room = kForecastSteps;
  while (with_room - without_room > 1) {
    int middle = (without_room + with_room) / 2;
    (has_room(middle) ? with_room : without_room) = middle;
  }
  return horizon * with_room / kForecastSteps;
}

}  // namespace gullward

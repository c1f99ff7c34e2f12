// Forecasts when engines that refuse a request will have room for it.
//
//   std::optional<Duration> room_in =
//       ForecastRoom(candidates, speed, demand, options, promised_seconds_per_engine, horizon);
//   if (!room_in) ...      // none within the horizon
//
// The loads are advanced to a later time, and then the request is placed and judged as it would be
// now (placement.h, refusal.h).  No further requests are assumed to come meanwhile.  Later loads
// are lower, so if there is room at one time there is room from then on, and the first such time is
// found by halving the horizon.  The forecast holds for a caller that goes first when it returns
// (overload/return_book.h): newcomers may take room from others.
//
// The functions here are pure.

#ifndef GULLWARD_SERVING_ROOM_FORECAST_H_
#define GULLWARD_SERVING_ROOM_FORECAST_H_

#include <optional>
#include <vector>

#include "base/clock.h"
#include "serving/placement.h"

namespace gullward {

// The horizon is divided into this many steps.  The result is a whole number of them.
inline constexpr int kForecastSteps = 128;

// The load on an engine `later_ms` milliseconds from now if no further request is sent to it.
// Reading is done at one millisecond per millisecond, and requests whose prompt is read then
// write.  Requests end one by one, in the time that an answer of the usual length takes.
EngineLoad LoadAfter(const EngineSpeed& speed, const Candidate& candidate, double later_ms);

// Whether the request would not be refused and would be in time, `later_ms` milliseconds from now.
// `promised_seconds_per_engine` is the work that goes before this request and is not yet on the
// engines.  The candidates' loads are those of now.
bool HasRoomAfter(const std::vector<Candidate>& candidates, const EngineSpeed& speed,
                  const Demand& demand, const PlacementOptions& options,
                  double promised_seconds_per_engine, double later_ms);

// The time until HasRoomAfter; no value if it is longer than `horizon`.
std::optional<Duration> ForecastRoom(const std::vector<Candidate>& candidates,
                                     const EngineSpeed& speed, const Demand& demand,
                                     const PlacementOptions& options,
                                     double promised_seconds_per_engine, Duration horizon);

}  // namespace gullward

#endif  // GULLWARD_SERVING_ROOM_FORECAST_H_

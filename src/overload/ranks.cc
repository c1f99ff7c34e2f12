// Weights are powers of two, so products and ratios of them are exact.

#include "overload/ranks.h"

#include <algorithm>
#include <cmath>

#include "base/half_life.h"

namespace gullward {
namespace {

// Refusals of a rank in a row after which a request of it is decided on as if ranks were equal.
constexpr int kMaxRefusedInRow = 7;
// About the time from the arrival of a long prompt to the end of its answer: the effect of a
// refusal shows within this time.
constexpr Duration kHalfLife = seconds(5);
// Requests in time that are added to each count, so that one late answer alone means little.
constexpr double kPriorInTime = 1;

size_t IndexOf(int steps) { return static_cast<size_t>(std::clamp(steps, 0, kLastRank)); }

}  // namespace

double RankWeight(int steps) { return std::exp2(-std::clamp(steps, 0, kLastRank)); }

double RelativeWeight(int stream_steps, int request_steps) {
  return RankWeight(stream_steps) / RankWeight(request_steps);
}

void RankRange::Add(int rank) {
  this->first = std::min(this->first, rank);
  this->last = std::max(this->last, rank);
}

std::optional<RequestRank> RankRange::Find(int rank) const {
  if (this->first >= this->last) return std::nullopt;
  int within = std::clamp(rank, this->first, this->last);
  return RequestRank{within, within - this->first, this->last - this->first};
}

void RankLosses::Count(RankState* state, bool lost, Time now) {
  double decay = HalfLifeDecay(now - state->counted, kHalfLife);
  state->ended = state->ended * decay + 1;
  state->lost = state->lost * decay + (lost ? 1 : 0);
  state->counted = now;
}

double RankLosses::LostShare(const RankState& state, Time now) {
  double decay = HalfLifeDecay(now - state.counted, kHalfLife);
  return state.lost * decay / (state.ended * decay + kPriorInTime);
}

void RankLosses::NoteRefused(int steps, Time now) {
  RankState& state = this->states[IndexOf(steps)];
  Count(&state, /*lost=*/true, now);
  if (now - state.refused > kForgetAfter) state.refused_in_row = 0;
  state.refused_in_row = std::min(state.refused_in_row + 1, kMaxRefusedInRow);
  state.refused = now;
}

void RankLosses::NoteAdmitted(int steps) { this->states[IndexOf(steps)].refused_in_row = 0; }

void RankLosses::NoteAnswered(int steps, bool late, Time now) {
  Count(&this->states[IndexOf(steps)], late, now);
}

// The less urgent ranks are included: otherwise one of them could be admitted where this one is
// refused.
int RankLosses::DecidedSteps(int steps, Time now) const {
  for (size_t i = IndexOf(steps); i < this->states.size(); ++i) {
    const RankState& state = this->states[i];
    bool is_due = state.refused_in_row >= kMaxRefusedInRow && now - state.refused <= kForgetAfter;
    if (is_due) return 0;
  }
  return steps;
}

double RankLosses::EngineTimeFactor(int steps, Time now) const {
  double factor = 1;
  for (int urgent = 0; urgent < steps; ++urgent) {
    double more = RelativeWeight(urgent, steps) - 1;
    factor = std::max(factor, 1 + more * LostShare(this->states[IndexOf(urgent)], now));
  }
  return factor;
}

}  // namespace gullward

// Ranks: how much requests of different urgency count where they compete for engines.
//
//   RankRange range;                                   // of one service
//   for (int rank : ...) range.Add(rank);
//   std::optional<RequestRank> rank = range.Find(2);   // {.rank = 2, .steps = 1, .last_steps = 3}
//
//   RankLosses losses;                                 // of one service, at one gateway
//   int steps = losses.DecidedSteps(rank->steps, now);
//   double factor = losses.EngineTimeFactor(steps, now);
//   losses.NoteRefused(rank->steps, now);              // or NoteAdmitted, later NoteAnswered
//
// A rank is a number from 0, the most urgent, to 9.  Each rank counts half of the one before.  All
// weights are relative to the request that is decided on, so a request that competes only with its
// own rank is decided on as if there were no ranks.
//
// The less urgent ranks give way in two cases: where they would pause streams of more urgent ones,
// and where they take engine time while more urgent requests are refused or late.
// docs/design/overload-ranks.md says how starvation is prevented.

#ifndef GULLWARD_OVERLOAD_RANKS_H_
#define GULLWARD_OVERLOAD_RANKS_H_

#include <array>
#include <optional>

#include "base/clock.h"

namespace gullward {

// The least urgent rank.
inline constexpr int kLastRank = 9;

// Up to this mean utilization of the engines, 0 to 1, they have room: no request is refused for its
// rank or for its account's share.
inline constexpr double kRoomyUtilization = 0.5;

inline bool IsRank(int number) { return number >= 0 && number <= kLastRank; }

// The weight of a request that is `steps` ranks behind the most urgent one: 2^-steps, and at least
// 2^-kLastRank.
double RankWeight(int steps);

// What a stream that is `stream_steps` behind weighs to a request that is `request_steps` behind.
double RelativeWeight(int stream_steps, int request_steps);

// The rank of a request whose service has requests of different ranks.
struct RequestRank {
  int rank = 0;
  // How many ranks it is, and the least urgent rank of the service is, behind the most urgent one
  // of the service.
  int steps = 0;
  int last_steps = 0;

  bool operator==(const RequestRank&) const = default;
};

// The ranks that the requests of one service can have.
class RankRange {
 public:
  void Add(int rank);
  // The rank of a request; empty if all ranks of the service are equal.
  std::optional<RequestRank> Find(int rank) const;

  bool operator==(const RankRange&) const = default;

 private:
  int first = kLastRank;
  int last = 0;
};

// What the ranks of one service have lately lost at one gateway.
class RankLosses {
 public:
  // After this time without a request, refusals in a row no longer count.
  static constexpr Duration kForgetAfter = seconds(60);

  // Records the outcome of a request: refused for want of room, sent to an engine, or answered.
  void NoteRefused(int steps, Time now);
  void NoteAdmitted(int steps);
  void NoteAnswered(int steps, bool late, Time now);

  // The steps by which to decide on a request.  They are 0, as if ranks were equal, while the
  // request's rank or a less urgent one has been refused too many times in a row.
  int DecidedSteps(int steps, Time now) const;

  // How many times more than to the request's own rank a second of an engine is worth to the more
  // urgent ranks that were refused or late lately.  At least 1, and never less for a less urgent
  // request.
  double EngineTimeFactor(int steps, Time now) const;

 private:
  struct RankState {
    // Decaying counts of requests that were refused or answered, and of those that were refused
    // or late.
    double ended = 0;
    double lost = 0;
    Time counted{};
    int refused_in_row = 0;
    Time refused{};
  };

  static void Count(RankState* state, bool lost, Time now);
  static double LostShare(const RankState& state, Time now);

  std::array<RankState, kLastRank + 1> states = {};
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_RANKS_H_

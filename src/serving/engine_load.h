// Tracks the work on each engine: this gateway's own work exactly, and the work of other gateways
// as they last reported it.
//
//   LoadTracker loads;
//   loads.Begin(work_id, {{engine, prompt_tokens, reading_ms}, ...}, now);
//   loads.MarkFirstEvent(work_id);              // the prompt has been read
//   loads.End(work_id);
//   EngineLoad load = loads.LoadOn(engine, now);
//
// Engines are named by their incarnation (EngineRecord::Incarnation).

#ifndef GULLWARD_SERVING_ENGINE_LOAD_H_
#define GULLWARD_SERVING_ENGINE_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// The pause, in milliseconds, that a stream tolerates once its answer is late: practically any.
// The caller may still give up on a long pause; that loss is priced separately (engine_costs.cc).
inline constexpr double kLateStreamPauseMs = 100'000;

// The streams on one engine that tolerate the same pause between events and have the same rank.
struct PauseClass {
  double pause_ms = 0;
  int streams = 0;
  double context_tokens = 0;
  // How many ranks they are behind the most urgent one of their service (overload/ranks.h).
  int rank_steps = 0;

  bool operator==(const PauseClass&) const = default;
};

// The sum of the work on one engine.
struct EngineLoad {
  // Requests that hold a slot or wait for one.
  int requests = 0;
  // The part of `requests` whose prompt has been read; they write.
  int writers = 0;
  // Tokens of context over all requests.
  double context_tokens = 0;
  // Reading time of all prompts whose first event has not come, in milliseconds.
  double reading_ms = 0;
  // The part of `reading_ms` that is done.  An engine reads one prompt after another, so this is
  // the progress on the oldest prompt only.
  double read_ms = 0;
  // The streams by the pause that they tolerate, shortest first, and by rank.
  std::vector<PauseClass> streams;

  // Reading time that is still left, in milliseconds.
  double RemainingReadingMs() const { return reading_ms > read_ms ? reading_ms - read_ms : 0; }

  bool operator==(const EngineLoad&) const = default;
};

// Adds two loads of the same engine.
EngineLoad Sum(const EngineLoad& left, const EngineLoad& right);

// A change of the reading time on an engine, in milliseconds, from which on it is sent to peers: a
// tenth of one engine's share of a long prompt when sixteen engines read it (200 to 300 ms each).
inline constexpr double kMinReadingChangeMs = 20;

// Whether a load differs so much from the one last sent to peers that they may choose otherwise.
// Without `count_reading`, the amount of reading does not count, only whether there is any.
bool IsSignificantChange(const EngineLoad& sent, const EngineLoad& now, bool count_reading = true);

// The part of a request that is on one engine.
struct WorkPart {
  std::string engine;
  // Tokens of the prompt that are in this engine's memory.
  double prompt_tokens = 0;
  double reading_ms = 0;
  // Whether the request itself runs on this engine; false for a reader.
  bool is_main = true;
  double pause_ms = 0;
  // As in PauseClass.
  int rank_steps = 0;

  bool operator==(const WorkPart&) const = default;
};

class LoadTracker {
 public:
  // After this time without a report a peer is presumed stopped or disconnected.  Its work is
  // ending or unknown and no longer counts.
  static constexpr Duration kPeerTimeout = milliseconds(1500);

  // Records the stages of one request, named by a number that is unique in this process: sent,
  // first event received, ended.
  void Begin(uint64_t work, std::vector<WorkPart> parts, Time now);
  void MarkFirstEvent(uint64_t work);
  void End(uint64_t work);
  // Records that an answer is later than its objective.  A pause does not make such an answer
  // lose more, so prompts are read beside it rather than beside streams that are in time.
  void MarkAnswerLate(uint64_t work);

  // Applies a peer's report of its own work, by engine.  A report with a lower sequence number
  // than an earlier one of the same incarnation of the peer is ignored.  A new incarnation of the
  // peer replaces the work of the old one.
  void ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                 const std::map<std::string, EngineLoad>& loads, Time now);

  // Drops reports older than kPeerTimeout.  Without this, reports on engines or by peers that no
  // longer exist would be kept forever.
  void ForgetExpired(Time now);

  // Number of stored reports, one for each pair of engine and peer.
  size_t peer_entries() const;

  // All known work on an engine.
  EngineLoad LoadOn(const std::string& engine, Time now) const;

  // This process's own work, by engine.
  std::map<std::string, EngineLoad> OwnLoads(Time now) const;

 private:
  struct Work {
    std::vector<WorkPart> parts;
    Time begun;
    bool reading = true;
  };
  struct PeerLoad {
    EngineLoad load;
    uint64_t sequence = 0;
    Time received;
  };

  // For the works that have a part on one engine, the index of that part in Work::parts.
  using PartsOfEngine = std::map<uint64_t, size_t>;

  static EngineLoad LoadOf(const Work& work, const WorkPart& part, Time now);

  EngineLoad SumOf(const PartsOfEngine& parts, Time now) const;

  std::map<uint64_t, Work> works;
  std::map<std::string, PartsOfEngine> by_engine;
  // The current incarnation of each peer.
  std::map<std::string, uint64_t> incarnations;
  // The peers' reports, by engine and then by peer.  A choice needs the reports on one engine,
  // and there are as many as peers with work there.
  std::map<std::string, std::map<std::string, PeerLoad>> peer_loads;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_LOAD_H_

// What runs on each engine: this process's own work exactly, and the other
// entry processes' work as they last told it.
//
//   LoadBook book;
//   book.Begin(work_id, {engine_id, ...}, now);
//   book.FirstEvent(work_id);                   // its prompt has been read
//   book.End(work_id);
//   EngineLoad load = book.Of(engine_id, now);

#ifndef GULLWARD_SERVING_ENGINE_LOAD_H_
#define GULLWARD_SERVING_ENGINE_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// The pause that a stream tolerates once its answer is late, in milliseconds: any.
// What it can still lose, its caller's patience, is priced apart from this.
inline constexpr double kLateStreamPauseMs = 100'000;

// Streams on one engine that tolerate the same pause between events.
struct PauseClass {
  double pause_ms = 0;
  int streams = 0;
  double context_tokens = 0;

  bool operator==(const PauseClass&) const = default;
};

// The sum of the work on one engine.
struct EngineLoad {
  // Requests that hold, or wait for, a slot.
  int requests = 0;
  // Of these, the ones whose prompt has been read: they write.
  int writers = 0;
  // Tokens of context over all requests.
  double context_tokens = 0;
  // Milliseconds of reading over all prompts whose first event has not come.
  double reading_ms = 0;
  // How much of it is done: an engine reads one prompt after another, so only
  // the oldest has got anywhere.
  double read_ms = 0;
  // The streams, by the pause that they tolerate, shortest first.
  std::vector<PauseClass> streams;

  // Milliseconds of reading that are still to be done.
  double RemainingReadingMs() const { return reading_ms > read_ms ? reading_ms - read_ms : 0; }

  bool operator==(const EngineLoad&) const = default;
};

// Adds two loads of the same engine.
EngineLoad Sum(const EngineLoad& left, const EngineLoad& right);

// A change of the reading on an engine that peers must hear of: a tenth of a long
// prompt's share when sixteen engines read it (200 to 300 ms each).
inline constexpr double kReadingNewsMs = 20;

// Whether peers would choose otherwise if they knew the load of now instead of the one
// that they were told.  `count_reading` off: only whether there is any reading counts.
bool IsSignificantChange(const EngineLoad& told, const EngineLoad& now, bool count_reading = true);

// A request's part on one engine.
struct WorkPart {
  std::string engine;
  // Tokens of the prompt that lie in this engine's memory.
  double prompt_tokens = 0;
  double reading_ms = 0;
  // Whether the request itself runs here, rather than a helper's share.
  bool is_main = true;
  double pause_ms = 0;

  bool operator==(const WorkPart&) const = default;
};

class LoadTracker {
 public:
  // A process that has said nothing for so long has stopped or lost touch; its
  // work is ending or unknown.
  static constexpr Duration kPeerTimeout = milliseconds(1500);

  // A request's work, under a number of this process's own: sent, its first event
  // come, ended.
  void Begin(uint64_t work, std::vector<WorkPart> parts, Time now);
  void MarkFirstEvent(uint64_t work);
  void End(uint64_t work);
  // Its answer has come later than its caller wanted: no pause makes it later, so other
  // prompts may be read beside it before they disturb streams that are in time.
  void MarkAnswerLate(uint64_t work);

  // Takes what another process has told of its own work, engine by engine.  What
  // came earlier in the same life of the peer but arrives later is dropped; a new
  // life of the peer forgets the old one's work.
  void ApplyPeer(const std::string& peer, uint64_t incarnation, uint64_t sequence,
                 const std::map<std::string, EngineLoad>& loads, Time now);

  // Forgets words of peers that are too old to count.  What was said of an engine that
  // is gone, or by a peer that is, would else be kept for good.
  void ForgetSilent(Time now);

  // How many words of peers are kept.
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
  struct Told {
    EngineLoad load;
    uint64_t sequence = 0;
    Time heard;
  };

  // The works that have a part on one engine, and which part.
  using PartsOfEngine = std::map<uint64_t, size_t>;

  static EngineLoad LoadOf(const Work& work, const WorkPart& part, Time now);

  EngineLoad SumOf(const PartsOfEngine& parts, Time now) const;

  std::map<uint64_t, Work> works;
  std::map<std::string, PartsOfEngine> by_engine;
  // Each peer's life, and by engine what each has told of it: a decision asks for the
  // words on one engine, of which there are as many as peers have work there.
  std::map<std::string, uint64_t> lives;
  std::map<std::string, std::map<std::string, Told>> told;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_LOAD_H_

// Simulates a model engine: continuous batching with a time model.
//
// The engine works in steps.  Each step prefills up to chunk_tokens tokens of the prompts with
// the lowest priority number and adds one token to every answer in progress.  A step takes
//
//   step_seconds + prefill time + answers * answer_seconds
//
// seconds; base/prefill_speed.h defines the prefill time, which has a part for each token and a
// part for each pair of tokens.  Memory is counted in tokens and held under the name of an
// allocation.  The caller passes the time, so the trials can run the model on simulated time and
// the stand-in program on the system clock.
//
//   EngineModel engine(options);
//   engine.Submit(job, now);
//   for (const EngineEvent& event : engine.AdvanceTo(now)) ...

#ifndef GULLWARD_STANDINS_ENGINE_MODEL_H_
#define GULLWARD_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/prefill_speed.h"
#include "base/prefix_hash.h"

namespace gullward {

struct EngineModelOptions {
  uint64_t memory_tokens = 400'000;
  uint64_t cache_tokens = 200'000;
  uint64_t chunk_tokens = 2048;
  PrefillSpeed speed{5e-5, 1e-10};
  double step_seconds = 0.004;
  double answer_seconds = 0.0002;
};

struct EngineJob {
  std::string allocation;
  uint64_t memory_tokens = 0;
  uint64_t prompt_tokens = 0;
  // Tokens of earlier pieces of the prompt, which other engines hold.
  uint64_t before_tokens = 0;
  uint32_t max_tokens = 0;
  uint32_t priority = 0;
  // Prefill only, and keep the memory afterwards.
  bool keep = false;
  // Hash of the whole text up to the end of this prompt (ContinueHash).
  uint64_t hash = 0;
  std::vector<PrefixHash> prefixes;
};

struct EngineEvent {
  std::string allocation;
  Time at;
  // A token of the answer; empty in the last event of a job.
  std::string text;
  bool finished = false;
  std::string finish_reason;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t answer_tokens = 0;
  double prefill_seconds = 0;
};

// The memory held under one allocation, and what it holds.
struct EngineHolding {
  uint64_t tokens = 0;
  uint64_t prompt_tokens = 0;
  uint64_t hash = 0;
  bool kept = false;
};

class EngineModel {
 public:
  enum class SubmitResult { kOk, kNoMemory, kDuplicate };

  explicit EngineModel(const EngineModelOptions& options);

  SubmitResult Submit(const EngineJob& job, Time now);

  // Cancels the job and frees its memory.  Returns false if the allocation does not exist.
  bool Free(const std::string& allocation);

  // Runs the steps that end by `now` and returns their events in order.
  std::vector<EngineEvent> AdvanceTo(Time now);

  // When the current step ends; empty if the engine is idle.
  std::optional<Time> NextEvent() const;

  // Multiplies the duration of steps that begin from now on.
  void SetSlowdown(double factor) { this->slowdown = factor; }

  const std::map<std::string, EngineHolding>& holdings() const { return this->held; }
  uint64_t free_tokens() const { return this->options.memory_tokens - this->held_tokens; }
  size_t jobs() const { return this->running.size(); }

 private:
  struct Running {
    EngineJob job;
    uint64_t cached = 0;
    uint64_t prefilled = 0;
    uint64_t answered = 0;
    double prefill_seconds = 0;
    // Prompt tokens that the current step prefills.
    uint64_t step_tokens = 0;
    bool is_answering = false;
  };

  void BeginStep(Time now);
  void EndStep(std::vector<EngineEvent>* events);
  void FinishPrefill(Running* running, std::vector<EngineEvent>* events);
  bool AddToken(Running* running, std::vector<EngineEvent>* events);
  uint64_t CachedTokens(const EngineJob& job) const;
  void CachePrefixes(const EngineJob& job);
  void ReleaseMemory(const std::string& allocation);

  EngineModelOptions options;
  std::map<std::string, EngineHolding> held;
  uint64_t held_tokens = 0;
  // Ordered by priority, then by arrival.
  std::vector<Running> running;
  bool is_stepping = false;
  Time step_end;
  double slowdown = 1;
  std::unordered_map<uint64_t, uint64_t> cache;
  std::deque<uint64_t> cache_order;
  uint64_t cached_total = 0;
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_ENGINE_MODEL_H_

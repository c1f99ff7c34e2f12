// standin-model-engine: runs an EngineStandin as a separate process, for the soak.
//
// Writes "ran ATTEMPT-ID" to standard output for each request that it runs, within a millisecond
// of receiving the request.

#include <gflags/gflags.h>

#include <cstdio>

#include "absl/strings/match.h"
#include "platform/headers.h"
#include "process/process.h"
#include "standins/engine_standin.h"

DEFINE_string(id, "engine", "id of the engine");
DEFINE_int32(events, 20, "number of events in a complete stream");
DEFINE_int32(work_ms, 20, "time from a request to its answer, in milliseconds");
DEFINE_string(ends_on, "",
              "body of requests that crash the engine: the process ends after --work_ms");
DEFINE_string(ends_on_part, "", "part of the prompt of requests that crash the engine");
DEFINE_int32(unframed_every, 0,
             "one in this many answers has no length and ends with its connection; every third of "
             "these ends inside an event or a body; 0 for none");

namespace gullward {
namespace {

// Prints the requests that have run since the last call; `*printed` counts the requests printed
// or skipped so far.
void PrintRuns(const EngineStandin& engine, size_t* printed) {
  for (; *printed < engine.received().size(); ++*printed) {
    const EngineStandin::ReceivedRequest& request = engine.received()[*printed];
    std::optional<std::string_view> id =
        FindHeader(request.request.head.headers, platform::kAttemptId);
    if (request.ran && id) std::printf("ran %.*s\n", static_cast<int>(id->size()), id->data());
  }
  std::fflush(stdout);
}

bool CrashesEngine(const CallerRequest& request) {
  if (!FLAGS_ends_on.empty() && request.body == FLAGS_ends_on) return true;
  if (FLAGS_ends_on_part.empty()) return false;
  std::string parts(FindHeader(request.head.headers, platform::kPromptParts).value_or(""));
  return absl::StrContains(parts, FLAGS_ends_on_part + ":");
}

EngineFault UnframedFault(uint64_t number) {
  auto every = static_cast<uint64_t>(FLAGS_unframed_every);
  if (number % every != 0) return EngineFault::kNone;
  return number % (3 * every) == 0 ? EngineFault::kUnframedTorn : EngineFault::kUnframed;
}

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-model-engine --id ID: stand-in for a model engine", &argc, &argv);
  EventLoop loop;
  HandleStopSignals(&loop, [&] { loop.Stop(); });
  EngineStandin::Options options;
  options.id = FLAGS_id;
  options.events = FLAGS_events;
  options.work_duration = milliseconds(FLAGS_work_ms);
  if (!FLAGS_ends_on.empty() || !FLAGS_ends_on_part.empty()) {
    options.crashes_engine = CrashesEngine;
    options.on_crash = [&loop] { loop.Stop(); };
  }
  if (FLAGS_unframed_every > 0) {
    options.next_fault = [number = uint64_t{0}]() mutable { return UnframedFault(++number); };
  }
  EngineStandin engine(&loop, options);
  size_t printed = 0;
  loop.RunEvery(milliseconds(1), [&] { PrintRuns(engine, &printed); });
  WriteReadyFile(engine.address().ToString());
  loop.Run();
  PrintRuns(engine, &printed);
  return 0;
}

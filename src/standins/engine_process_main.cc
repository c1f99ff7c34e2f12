// standin-model-engine: runs an EngineStandin as a separate process, for the soak.
//
// Writes "ran ATTEMPT-ID" to standard output for each request that it runs, within a millisecond
// of receiving the request.

#include <gflags/gflags.h>

#include <cstdio>

#include "platform/headers.h"
#include "process/process.h"
#include "standins/engine_standin.h"

DEFINE_string(id, "engine", "id of the engine");
DEFINE_int32(events, 20, "number of events in a complete stream");
DEFINE_int32(work_ms, 20, "time from a request to its answer, in milliseconds");
DEFINE_string(ends_on, "",
              "body of requests that crash the engine: the process ends after --work_ms");

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
  if (!FLAGS_ends_on.empty()) {
    options.crashes_engine = [](const CallerRequest& request) {
      return request.body == FLAGS_ends_on;
    };
    options.on_crash = [&loop] { loop.Stop(); };
  }
  EngineStandin engine(&loop, options);
  size_t printed = 0;
  loop.RunEvery(milliseconds(1), [&] { PrintRuns(engine, &printed); });
  WriteReadyFile(engine.address().ToString());
  loop.Run();
  PrintRuns(engine, &printed);
  return 0;
}

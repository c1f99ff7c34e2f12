// standin-model-engine: an EngineStandin as a process of its own, for the soak.
//
// It writes "ran ATTEMPT-ID" to standard output for each request that it runs,
// within a millisecond of taking it.

#include <gflags/gflags.h>

#include <cstdio>

#include "platform/headers.h"
#include "process/process.h"
#include "standins/engine_standin.h"

DEFINE_string(id, "engine", "the engine's id");
DEFINE_int32(events, 20, "events of a stream");
DEFINE_int32(work_ms, 20, "how long a request takes before its answer");
DEFINE_string(ends_on, "", "the process ends when it has worked on a request with this body");

namespace gullward {
namespace {

// Tells the requests that have run since the last call.
void TellRuns(const EngineStandin& engine, size_t* told) {
  for (; *told < engine.received().size(); ++*told) {
    const EngineStandin::ReceivedRequest& seen = engine.received()[*told];
    std::optional<std::string_view> id =
        FindHeader(seen.request.head.headers, platform::kAttemptId);
    if (seen.ran && id) std::printf("ran %.*s\n", static_cast<int>(id->size()), id->data());
  }
  std::fflush(stdout);
}

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("standin-model-engine --id ID: a model engine's stand-in", &argc, &argv);
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
  size_t told = 0;
  loop.RunEvery(milliseconds(1), [&] { TellRuns(engine, &told); });
  WriteReadyFile(engine.address().ToString());
  loop.Run();
  TellRuns(engine, &told);
  return 0;
}

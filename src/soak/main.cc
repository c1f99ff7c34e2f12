// gullward-soak: runs the soak for a range of seeds and prints the violations of each.
//
//   gullward-soak --seed 1 --runs 50 --seconds 10 --folder /tmp/soak

#include <gflags/gflags.h>
#include <signal.h>

#include <cstdio>

#include "process/process.h"
#include "soak/soak.h"

DEFINE_uint64(seed, 1, "the first seed");
DEFINE_uint64(runs, 1, "number of consecutive seeds to run");
DEFINE_uint64(seconds, 10, "duration of the load of each run, in seconds");
DEFINE_string(folder, "/tmp/gullward-soak", "folder for the output of the processes");
DEFINE_int32(engines, 4, "number of model engines");
DEFINE_int32(gateways, 2, "number of gateways");
DEFINE_int32(callers, 12, "number of callers");
DEFINE_bool(returns, false, "restore the store from older copies during the run");
DEFINE_bool(overload, false, "switch on the decisions under load and send long prompts");
DEFINE_bool(deadly, false, "let the first caller send a request that crashes engines");
DEFINE_bool(deadly_part, false,
            "let the first caller send requests that share a part that crashes engines");
DEFINE_bool(unframed, false, "let engines send answers without a length");
DEFINE_bool(herd, false, "at times send most new connections to one gateway");

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("gullward-soak: real programs under faults", &argc, &argv);
  // If the shell exits while one of the programs is stopped, the kernel sends SIGHUP to the
  // orphaned process group, which would terminate this program.  A handler is installed instead
  // of ignoring the signal because child processes would inherit an ignored signal.
  signal(SIGHUP, [](int) {});
  uint64_t failed = 0;
  for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs; ++seed) {
    SoakOptions options;
    options.seed = seed;
    options.duration = seconds(FLAGS_seconds);
    options.folder = FLAGS_folder + "/" + std::to_string(seed);
    options.engines = FLAGS_engines;
    options.gateways = FLAGS_gateways;
    options.callers = FLAGS_callers;
    options.crashing = FLAGS_deadly;
    options.crashing_part = FLAGS_deadly_part;
    options.unframed = FLAGS_unframed;
    options.herd = FLAGS_herd;
    options.store_returns = FLAGS_returns;
    options.overload = FLAGS_overload;
    Soak soak(options);
    std::vector<std::string> violations = soak.Run();
    std::printf("seed %lu: %lu sent, %lu served, %zu broken\n", seed, soak.sent(), soak.served(),
                violations.size());
    for (const std::string& line : violations) std::printf("  %s\n", line.c_str());
    std::fflush(stdout);
    failed += violations.empty() ? 0 : 1;
  }
  std::printf("%lu passed, %lu failed\n", FLAGS_runs - failed, failed);
  return failed == 0 ? 0 : 1;
}

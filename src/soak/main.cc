// gullward-soak: plays seeds of the soak and says what broke.
//
//   gullward-soak --seed 1 --runs 50 --seconds 10 --folder /tmp/soak

#include <gflags/gflags.h>
#include <signal.h>

#include <cstdio>

#include "process/process.h"
#include "soak/soak.h"

DEFINE_uint64(seed, 1, "the first seed");
DEFINE_uint64(runs, 1, "how many seeds, one after the other");
DEFINE_uint64(seconds, 10, "how long each run sends requests");
DEFINE_string(folder, "/tmp/gullward-soak", "where the processes' output goes");
DEFINE_int32(engines, 4, "model engines");
DEFINE_int32(gateways, 2, "gateways");
DEFINE_int32(callers, 12, "callers");
DEFINE_bool(returns, false, "the store comes back from older copies");
DEFINE_bool(deadly, false, "one caller more sends a request that ends engines");

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("gullward-soak: real programs under faults", &argc, &argv);
  // A shell that ends while one of our programs stands still would end this one: the kernel
  // hangs up on a group that nobody minds any more.  A handler, since programs inherit it if
  // the signal is ignored.
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
    options.deadly = FLAGS_deadly;
    options.returns = FLAGS_returns;
    Soak soak(options);
    std::vector<std::string> broken = soak.Run();
    std::printf("seed %lu: %lu sent, %lu served, %zu broken\n", seed, soak.sent(), soak.served(),
                broken.size());
    for (const std::string& line : broken) std::printf("  %s\n", line.c_str());
    std::fflush(stdout);
    failed += broken.empty() ? 0 : 1;
  }
  std::printf("%lu passed, %lu failed\n", FLAGS_runs - failed, failed);
  return failed == 0 ? 0 : 1;
}

// gullwardctl: the command line tool for operators.

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "process/process.h"

DEFINE_string(platform, "", "IP:PORT of the platform's log");
DEFINE_double(timeout_seconds, 20, "how long to wait for an answer");

namespace {

constexpr char kUsage[] =
    "gullwardctl COMMAND\n"
    "  check FILE        check a configuration file, offline\n"
    "  publish FILE      publish it and wait for the outcome\n"
    "  diff FILE         what publishing it would change\n"
    "  get               the configuration in force, as a file\n"
    "  state ADDRESS     a process's state dump, from its admin address\n"
    "  drain ADDRESS     ask a process to drain\n"
    "publish, diff and get need --platform=IP:PORT";

int Usage() {
  std::fprintf(stderr, "%s\n", kUsage);
  return gullward::kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess(kUsage, &argc, &argv);
  std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) return Usage();
  const std::string& command = arguments[0];
  bool has_operand = arguments.size() == 2;
  Duration timeout = FromSeconds(FLAGS_timeout_seconds);
  if (command == "check" && has_operand) return CheckCommand(arguments[1]);
  if (command == "state" && has_operand) return StateCommand(arguments[1], timeout);
  if (command == "drain" && has_operand) return DrainCommand(arguments[1], timeout);
  if (FLAGS_platform.empty()) return Usage();
  if (command == "publish" && has_operand) {
    return PublishCommand(arguments[1], FLAGS_platform, timeout);
  }
  if (command == "diff" && has_operand) return DiffCommand(arguments[1], FLAGS_platform, timeout);
  if (command == "get" && arguments.size() == 1) return GetCommand(FLAGS_platform, timeout);
  return Usage();
}

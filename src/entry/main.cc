// gullward-entry: takes callers' requests and has them run on endpoint boxes.

#include <glog/logging.h>

#include "entry/entry_server.h"
#include "entry/settings.h"
#include "process/process.h"

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("gullward-entry --settings FILE: serves callers", &argc, &argv);
  std::vector<ConfigError> errors;
  std::string file;
  std::optional<toml::table> table = LoadSettings(&errors, &file);
  EntrySettings settings;
  if (table) settings = ReadEntrySettings(*table, file, &errors);
  FinishSettings(errors);

  EventLoop loop;
  EntryServer* running = nullptr;
  HandleStopSignals(&loop, [&] { running->DrainAndStop(); });
  EntryServer server(&loop, settings, RandomIncarnation());
  running = &server;
  absl::Status status = server.Start();
  if (!status.ok()) {
    LOG(ERROR) << status.message();
    return 1;
  }
  loop.Run();
  LOG(INFO) << "stopped";
  return 0;
}

// gullward-entry: receives requests from callers and sends them to endpoint boxes.

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

  return RunServer<EntryServer>(settings);
}

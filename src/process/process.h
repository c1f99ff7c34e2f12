// Flags, settings, logs and signals, which all gullward programs handle alike.
//
//   int main(int argc, char** argv) {
//     InitProcess("gullward-entry --settings FILE: serves callers", &argc, &argv);
//     std::vector<ConfigError> errors;
//     std::string file;
//     std::optional<toml::table> table = LoadSettings(&errors, &file);
//     ...                          // read the keys of the table
//     FinishSettings(errors);
//     return RunServer<EntryServer>(settings);
//   }
//
// All settings are checked before anything starts.  Every error is printed with its file,
// line and key, and the program exits with status 2.

#ifndef GULLWARD_PROCESS_PROCESS_H_
#define GULLWARD_PROCESS_PROCESS_H_

#include <glog/logging.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "settings/toml_reader.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace gullward {

// Exit status of a program whose settings or arguments are wrong.
inline constexpr int kExitUsage = 2;

// Reads flags and starts logging; exits on --help, --version and unknown flags.
void InitProcess(const std::string& usage, int* argc, char*** argv);

// Parses the settings file named by --settings and sets `file` to its path.  If the flag is
// missing, or the file cannot be read or parsed, appends to `errors` and returns nothing.
std::optional<toml::table> LoadSettings(std::vector<ConfigError>* errors, std::string* file);

// If there are errors, prints them and exits with kExitUsage.  Otherwise, with
// --check_settings, prints that the settings are valid and exits with 0.
void FinishSettings(const std::vector<ConfigError>& errors);

// Reads an address "IP:PORT" at a key; `fallback` is used if the key is missing.  Reports a
// malformed address to `reader` and returns an empty address.
SocketAddress ReadAddress(TomlReader& reader, const std::string& key,
                          const std::optional<std::string>& fallback);

// Runs `stop` on the loop when the process receives SIGTERM or SIGINT, and ignores SIGPIPE.
// Must be called before any thread is started, because threads inherit the mask that blocks
// these signals.
void HandleStopSignals(EventLoop* loop, std::function<void()> stop);

// Runs `reload` on the loop when the process receives SIGHUP.  Must be called before any
// thread is started, like HandleStopSignals.
void HandleReloadSignal(EventLoop* loop, std::function<void()> reload);

// Runs a server until the loop is stopped and returns the exit status.  The server's
// constructor takes the loop, the settings and an incarnation; Start starts it, and
// DrainAndStop is called on SIGTERM or SIGINT.
template <typename Server, typename Settings>
int RunServer(const Settings& settings);

// A random 64-bit number, to identify this incarnation of the process: it differs from the
// number of every earlier process with overwhelming probability.
uint64_t RandomIncarnation();

// Writes `json`, the addresses on which the process listens, to the file named by
// --ready_file, if the flag is set.  To be called once the process serves.  Tests read the
// ports that the kernel chose from this file.
void WriteReadyFile(const std::string& json);

template <typename Server, typename Settings>
int RunServer(const Settings& settings) {
  EventLoop loop;
  Server* running = nullptr;
  HandleStopSignals(&loop, [&] { running->DrainAndStop(); });
  Server server(&loop, settings, RandomIncarnation());
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

}  // namespace gullward

#endif  // GULLWARD_PROCESS_PROCESS_H_

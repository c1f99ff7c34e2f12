// What every gullward program does alike: flags, settings, logs, signals.
//
//   int main(int argc, char** argv) {
//     ProcessMain process("gullward-entry", "serves callers", &argc, &argv);
//     std::optional<toml::table> table = process.LoadSettings();
//     ...
//   }
//
// Settings are checked as a whole before anything starts; every mistake is
// printed with its file, line and key, and the program exits with status 2.

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

// The settings file named by --settings, parsed; the errors hold what is wrong.
std::optional<toml::table> LoadSettings(std::vector<ConfigError>* errors, std::string* file);

// Prints the errors and exits with kExitUsage if there are any.  With
// --check_settings, says that the settings are fine and exits with 0.
void FinishSettings(const std::vector<ConfigError>& errors);

// Reads "IP:PORT" at a key.
SocketAddress ReadAddress(TomlReader& reader, const std::string& key,
                          const std::optional<std::string>& fallback);

// Runs `stop` on the loop when SIGTERM or SIGINT comes.  Call it before any
// thread is started: they inherit the blocked signals.
void HandleStopSignals(EventLoop* loop, std::function<void()> stop);

// Runs `reload` on the loop when SIGHUP comes.  Like HandleStopSignals, before
// any thread is started.
void HandleReloadSignal(EventLoop* loop, std::function<void()> reload);

// Runs a server until it stops: its constructor takes the loop, the settings and
// an incarnation, and it has Start and DrainAndStop. Returns the exit status.
template <typename Server, typename Settings>
int RunServer(const Settings& settings);

// A number that no earlier process of this box has used, for incarnations.
uint64_t RandomIncarnation();

// Writes a JSON object of the addresses in use to --ready_file, if given, once
// the process serves.  Tests find ports of the kernel's choice in it.
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

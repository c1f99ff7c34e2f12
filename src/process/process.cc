// Uses gflags for flags, glog for logs, and signalfd to receive signals on the event loop.

#include "process/process.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <utility>

#include "base/result_code.h"

DEFINE_string(settings, "", "the TOML file with this process's settings");
DEFINE_bool(check_settings, false, "check the settings and exit");
DEFINE_string(ready_file, "", "write the addresses in use to this file once serving");

namespace gullward {

void InitProcess(const std::string& usage, int* argc, char*** argv) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(GULLWARD_VERSION);
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(argc, argv, /*remove_flags=*/true);
  google::InitGoogleLogging((*argv)[0]);
}

std::optional<toml::table> LoadSettings(std::vector<ConfigError>* errors, std::string* file) {
  *file = FLAGS_settings;
  if (file->empty()) {
    errors->push_back({"--settings", 0, "", "missing; expected the path of a TOML file"});
    return std::nullopt;
  }
  std::optional<std::string> text = ReadFile(*file, errors);
  if (!text) return std::nullopt;
  return ParseToml(*text, *file, errors);
}

void FinishSettings(const std::vector<ConfigError>& errors) {
  for (const ConfigError& error : errors) std::fprintf(stderr, "%s\n", ToString(error).c_str());
  if (!errors.empty()) {
    std::fprintf(stderr, "result code %u (settings_invalid)\n",
                 static_cast<unsigned>(ResultCode::kSettingsInvalid));
    std::exit(kExitUsage);
  }
  if (FLAGS_check_settings) {
    std::printf("settings are valid\n");
    std::exit(0);
  }
}

SocketAddress ReadAddress(TomlReader& reader, const std::string& key,
                          const std::optional<std::string>& fallback) {
  std::string text = reader.String(key, fallback);
  if (text.empty()) return {};
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(text);
  if (!address.ok()) {
    reader.Error(key, std::string(address.status().message()));
    return {};
  }
  return *address;
}

namespace {

// Blocks the signals of a set, which would otherwise end the process, and runs `hook` on the
// loop for each of them.
void WatchSignals(EventLoop* loop, const sigset_t& signals, std::function<void()> hook) {
  PCHECK(pthread_sigmask(SIG_BLOCK, &signals, nullptr) == 0);
  int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  PCHECK(fd >= 0);
  loop->Watch(fd, EPOLLIN, [fd, hook = std::move(hook)](uint32_t) {
    signalfd_siginfo info;
    if (read(fd, &info, sizeof(info)) == sizeof(info)) hook();
  });
}

}  // namespace

void HandleStopSignals(EventLoop* loop, std::function<void()> stop) {
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  WatchSignals(loop, signals, std::move(stop));
}

void HandleReloadSignal(EventLoop* loop, std::function<void()> reload) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  WatchSignals(loop, signals, std::move(reload));
}

uint64_t RandomIncarnation() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

void WriteReadyFile(const std::string& json) {
  if (FLAGS_ready_file.empty()) return;
  // Written to a temporary file and renamed, so that no reader finds a partial file.
  std::string temporary = FLAGS_ready_file + ".tmp";
  std::ofstream(temporary) << json;
  PCHECK(std::rename(temporary.c_str(), FLAGS_ready_file.c_str()) == 0);
}

}  // namespace gullward

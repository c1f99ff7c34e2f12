// gullward-gateway: accepts requests from callers on an entry box and forwards them directly to
// the engines.
//
// The settings file is named by --settings or by the environment variable GULLWARD_SETTINGS.
// SIGTERM finishes the requests in progress and stops; SIGHUP reads the settings again.

#include <gflags/gflags.h>
#include <malloc.h>

#include <cstdlib>

#include "gateway/gateway_server.h"
#include "gateway/settings.h"
#include "process/process.h"

DECLARE_string(settings);

namespace gullward {
namespace {

std::optional<GatewaySettings> ReadSettings(std::vector<ConfigError>* errors) {
  std::string file;
  std::optional<toml::table> table = LoadSettings(errors, &file);
  if (!table) return std::nullopt;
  GatewaySettings settings = ReadGatewaySettings(*table, file, errors);
  if (!errors->empty()) return std::nullopt;
  return settings;
}

void ReloadSettings(GatewayServer* server) {
  std::vector<ConfigError> errors;
  std::optional<GatewaySettings> settings = ReadSettings(&errors);
  for (const ConfigError& error : errors) LOG(ERROR) << ToString(error);
  if (settings) server->Reload(*settings);
}

int Run(const GatewaySettings& settings) {
  EventLoop loop;
  GatewayServer* running = nullptr;
  HandleStopSignals(&loop, [&] { running->DrainAndStop(); });
  HandleReloadSignal(&loop, [&] { ReloadSettings(running); });
  GatewayServer server(&loop, settings, RandomIncarnation());
  running = &server;
  absl::Status status = server.Start();
  if (!status.ok()) {
    LOG(ERROR) << status.message();
    return 1;
  }
  WriteReadyFile(SocketAddress{settings.callers.host, server.callers_port()}.ToString());
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  using namespace gullward;
  InitProcess("gullward-gateway --settings FILE: accepts requests from callers on an entry box",
              &argc, &argv);
  // By default the allocator raises this size to that of the largest allocation that was freed, and
  // long bodies then leave holes in the heap that stay resident.
  mallopt(M_MMAP_THRESHOLD, RequestMemory::kOwnPagesBytes);
  const char* settings_file = std::getenv("GULLWARD_SETTINGS");
  if (FLAGS_settings.empty() && settings_file != nullptr) FLAGS_settings = settings_file;
  std::vector<ConfigError> errors;
  std::optional<GatewaySettings> settings = ReadSettings(&errors);
  FinishSettings(errors);
  return Run(*settings);
}

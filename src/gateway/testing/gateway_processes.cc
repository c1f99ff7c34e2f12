// Implementation of gateway_processes.h.

#include "gateway/testing/gateway_processes.h"

#include <glog/logging.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gateway/store_client.h"
#include "platform/store_calls.h"
#include "platform/testing/document_writer.h"
#include "testing/raw_http.h"
#include "testing/spawn.h"

namespace gullward {
namespace {

constexpr Duration kWait = seconds(60);
constexpr char kModels[] = "models";
constexpr char kApp[] = "app";

Route RouteTo(const std::string& service, const std::string& prefix, Repeat repeat) {
  Route route;
  route.name = prefix;
  route.host = "test.example";
  route.path_prefix = prefix;
  route.repeat = repeat;
  route.streaming = repeat == Repeat::kResumeStream;
  route.longest_pause = milliseconds(200);
  route.max_attempts = 2;
  route.services = {{service, 1}};
  return route;
}

std::string FolderFor(const std::string& name) {
  std::filesystem::path temporary = std::filesystem::temp_directory_path();
  return temporary / absl::StrCat("gullward-", name, "-", getpid());
}

// A port of this machine that was free a moment ago.
SocketAddress FreeAddress() {
  absl::StatusOr<int> fd = ListenTcp({"127.0.0.1", 0});
  CHECK(fd.ok());
  SocketAddress address{"127.0.0.1", LocalPort(*fd)};
  close(*fd);
  return address;
}

bool IsRefusedAsNotRun(const std::string& answer) {
  return answer.empty() || absl::StartsWith(answer, "HTTP/1.1 503");
}

}  // namespace

GatewayProcesses::Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

GatewayProcesses::GatewayProcesses(const std::string& name)
    : folder{FolderFor(name)}, processes(this->folder.path) {}

SocketAddress GatewayProcesses::AwaitAddress(const std::string& name) {
  Time until = Now() + kWait;
  while (this->processes.ReadyAddress(name).empty() && Now() < until) {
    this->loop.RunOnce(milliseconds(10));
  }
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(this->processes.ReadyAddress(name));
  CHECK(address.ok()) << name << " did not start";
  return *address;
}

void GatewayProcesses::Put(std::string_view topic, const std::string& key,
                           const std::string& value) {
  StoreClient client(&this->loop, this->store_address, /*store_returns=*/nullptr);
  std::optional<bool> is_written;
  client.Call(platform::AppendRecordRequest(topic, {key, value}), seconds(10),
              [&](const StoreAnswer& answer) { is_written = answer.ok(); });
  while (!is_written) this->loop.RunOnce(milliseconds(10));
  CHECK(*is_written) << key;
}

void GatewayProcesses::StartEngine(const std::string& name, const std::string& service) {
  uint64_t work_ms = ToMillis(this->engine_work);
  this->processes.Start(name, "standin-model-engine",
                        {"--id=" + name, absl::StrCat("--work_ms=", work_ms)});
  EngineRecord record{name, service, this->AwaitAddress(name), "hall", 400, false};
  this->Put(platform::kEnginesTopic, name, platform::EngineDocument(record));
}

void GatewayProcesses::PublishConfig() {
  ServingConfig config;
  config.version = 1;
  config.routes = {RouteTo(kModels, "/chat/", Repeat::kResumeStream),
                   RouteTo(kApp, "/app/look/", Repeat::kAllowed),
                   RouteTo(kApp, "/app/order/", Repeat::kNever)};
  EngineSpeed speed;
  speed.slots = 16;
  speed.memory_tokens = 450'000;
  config.services = {{kModels, "", 0, true, speed}, {kApp, "", 0, false, {}}};
  config.limits = this->limits;
  config.accounts = {{"shop", {"key-1"}, -1}};
  this->Put(platform::kConfigTopic, std::string(platform::kConfigKey),
            platform::ConfigDocument(config).dump());
}

void GatewayProcesses::StartGateway() {
  std::string file = this->processes.PathOf("gateway.toml");
  this->ready_address = FreeAddress();
  this->metrics_address = FreeAddress();
  this->peers_address = FreeAddress();
  std::ofstream(file) << "box = \"box-1\"\ndata_centre = \"hall\"\n"
                      << "callers = \"127.0.0.1:0\"\n"
                      << "ready = \"" << this->ready_address.ToString() << "\"\n"
                      << "metrics = \"" << this->metrics_address.ToString() << "\"\n"
                      << "peers = \"" << this->peers_address.ToString() << "\"\n"
                      << "store = \"" << this->store_address.ToString() << "\"\n"
                      << this->more_settings;
  // A process that is started has the limits of this one.
  rlimit own{};
  CHECK_EQ(getrlimit(RLIMIT_NOFILE, &own), 0);
  rlimit lowered{this->max_descriptors.value_or(own.rlim_cur), own.rlim_max};
  CHECK_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
  this->processes.Start("gateway", "gullward-gateway", {"--settings=" + file});
  CHECK_EQ(setrlimit(RLIMIT_NOFILE, &own), 0);
  this->callers_address = this->AwaitAddress("gateway");
}

bool GatewayProcesses::Start() {
  this->processes.Start("store", "standin-store", {});
  this->store_address = this->AwaitAddress("store");
  this->StartEngine("engine", kModels);
  this->StartEngine("app", kApp);
  this->PublishConfig();
  this->StartGateway();
  std::string request = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  return absl::StartsWith(CallUntilServed(this->ready_address, request), "HTTP/1.1 200");
}

std::string GatewayProcesses::StatusLine(const std::string& field) const {
  std::string file = absl::StrCat("/proc/", this->processes.IdOf("gateway"), "/status");
  for (absl::string_view line : absl::StrSplit(ReadWholeFile(file), '\n')) {
    if (absl::StartsWith(line, field + ":")) return std::string(line.substr(field.size() + 1));
  }
  return "";
}

size_t GatewayProcesses::PeakMemoryBytes() const {
  std::string line = this->StatusLine("VmHWM");
  std::vector<std::string> words = absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
  uint64_t kilobytes = 0;
  if (words.empty() || !absl::SimpleAtoi(words[0], &kilobytes)) return 0;
  return kilobytes << 10;
}

size_t GatewayProcesses::OpenDescriptors() const {
  std::string open_files = absl::StrCat("/proc/", this->processes.IdOf("gateway"), "/fd");
  std::error_code error;
  std::filesystem::directory_iterator files(open_files, error);
  if (error) return 0;
  return static_cast<size_t>(std::distance(begin(files), end(files)));
}

std::string GatewayProcesses::CallUntilServed(const SocketAddress& server,
                                              const std::string& request) {
  Time until = Now() + kWait;
  std::string answer;
  while (IsRefusedAsNotRun(answer) && Now() < until) {
    RawConnection connection(server.ToString());
    connection.Send(request);
    answer = connection.ReadToEnd();
    if (IsRefusedAsNotRun(answer)) std::this_thread::sleep_for(milliseconds(50));
  }
  return answer;
}

std::string OrdinaryStream(const std::string& id, size_t body_bytes) {
  return absl::StrCat("POST /chat/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ", id,
                      "\r\nModel: m\r\nToken-Count: 1000,80\r\nPrompt-Prefix: aa:1000\r\n",
                      "X-Api-Key: key-1\r\nConnection: close\r\nContent-Length: ", body_bytes,
                      "\r\n\r\n", std::string(body_bytes, 'o'));
}

std::string OrdinaryOrder(const std::string& id, size_t body_bytes) {
  return absl::StrCat("POST /app/order/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: ", id,
                      "\r\nX-Api-Key: key-1\r\nConnection: close\r\nContent-Length: ", body_bytes,
                      "\r\n\r\n", std::string(body_bytes, 'o'));
}

}  // namespace gullward

// Starts the programs with posix_spawn, each with its own settings file and log file in a
// temporary folder.

#include "testing/fleet.h"

#include <glog/logging.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

#include "testing/spawn.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr char kKey[] = "test-key";
// SHA-256 of kKey.
constexpr char kKeyHash[] = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

std::string PathOfProgram(const std::string& program) {
  return std::string(GULLWARD_BIN_DIR) + "/" + program;
}

}  // namespace

Fleet::Fleet() {
  std::string pattern = "/tmp/gullward-test-XXXXXX";
  CHECK(mkdtemp(pattern.data()) != nullptr);
  this->directory = pattern;
}

Fleet::~Fleet() {
  for (const auto& [name, child] : this->children) kill(child.pid, SIGKILL);
  for (const auto& [name, child] : this->children) waitpid(child.pid, nullptr, 0);
  if (std::getenv("GULLWARD_KEEP_LOGS") != nullptr) return;
  std::string command = "rm -rf " + this->directory;
  int ignored = std::system(command.c_str());
  static_cast<void>(ignored);
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) {
  std::string path = this->directory + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

void Fleet::Start(const std::string& name, const std::string& program,
                  const std::vector<std::string>& arguments) {
  std::string ready = this->directory + "/" + name + ".ready";
  unlink(ready.c_str());
  std::vector<std::string> all = arguments;
  all.push_back("--ready_file=" + ready);
  pid_t pid = SpawnProgram(PathOfProgram(program), all, this->directory + "/" + name + ".log");
  this->children[name] = {pid, program, arguments};
  bool started = WaitFor([&] { return access(ready.c_str(), R_OK) == 0; });
  CHECK(started) << name
                 << " did not start: " << ReadWholeFile(this->directory + "/" + name + ".log");
}

void Fleet::Restart(const std::string& name) {
  Child child = this->stopped.at(name);
  this->Start(name, child.program, child.arguments);
}

Fleet::ProgramResult Fleet::Run(const std::string& program,
                                const std::vector<std::string>& arguments) {
  std::string output = this->directory + "/run.out";
  unlink(output.c_str());
  pid_t pid = SpawnProgram(PathOfProgram(program), arguments, output);
  int status = 0;
  waitpid(pid, &status, 0);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, ReadWholeFile(output)};
}

void Fleet::Kill(const std::string& name, int signal) {
  const Child& child = this->children.at(name);
  kill(child.pid, signal);
  if (signal != SIGKILL) return;
  this->WaitForExit(name);
}

int Fleet::WaitForExit(const std::string& name) {
  Child child = this->children.at(name);
  int status = 0;
  bool has_exited = WaitFor([&] { return waitpid(child.pid, &status, WNOHANG) == child.pid; });
  CHECK(has_exited) << name << " did not exit";
  this->stopped[name] = child;
  this->children.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string Fleet::Address(const std::string& name, const std::string& key) const {
  json ready = json::parse(ReadWholeFile(this->directory + "/" + name + ".ready"));
  return ready[key].get<std::string>();
}

bool Fleet::WaitFor(const std::function<bool()>& condition) {
  Time deadline = Now() + kWaitTimeout;
  while (!condition()) {
    if (Now() >= deadline) return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

HttpResult Fleet::Call(const std::string& method, const std::string& url,
                       const HttpHeaders& headers, const std::string& body, Duration timeout) {
  HttpCall call;
  call.method = method;
  call.url = url;
  call.headers = headers;
  call.body = body;
  call.timeout = timeout;
  return CallAndWait(std::move(call));
}

HttpHeaders Fleet::Authorization() { return {{"Authorization", std::string("Bearer ") + kKey}}; }

HttpResult Fleet::RequestCompletion(int entry, const std::string& prompt, uint32_t max_tokens,
                                    bool stream, HttpHeaders headers) {
  json body = {
      {"model", "base"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}};
  HttpHeaders all = Authorization();
  all.insert(all.end(), headers.begin(), headers.end());
  std::string url =
      "http://" + this->Address("entry-" + std::to_string(entry + 1)) + "/v1/completions";
  return Call("POST", url, all, body.dump());
}

void Fleet::InjectFault(const std::string& name, const json& faults) {
  Call("POST", "http://" + this->Address(name) + "/fault", {}, faults.dump());
}

json Fleet::GetJson(const std::string& address, const std::string& path) {
  HttpResult result = Call("GET", "http://" + address + path, {}, "", seconds(10));
  return json::parse(result.body, nullptr, false);
}

void Fleet::UpdateBoxes(const std::vector<std::string>& leaving) {
  json boxes = json::array();
  for (const auto& [name, child] : this->children) {
    bool endpoint = name.compare(0, 9, "endpoint-") == 0;
    bool entry = name.compare(0, 6, "entry-") == 0;
    if (!endpoint && !entry) continue;
    std::string box = endpoint ? "box-" + name.substr(9) : name;
    bool is_leaving = std::find(leaving.begin(), leaving.end(), box) != leaving.end();
    boxes.push_back({{"box", box},
                     {"zone", "fukuoka"},
                     {"role", endpoint ? "endpoint" : "entry"},
                     {"address", this->Address(name)},
                     {"state", is_leaving ? "leaving" : "live"}});
  }
  Call("PUT", "http://" + this->Address("platform") + "/boxes", {}, boxes.dump());
}

bool Fleet::WaitForEngines(int entry, int engines) {
  return WaitFor([&] {
    json state = this->EntryState(entry);
    if (!state.is_object() || state["config_objects"] == 0) return false;
    int up = 0;
    for (const json& box : state["boxes"]) {
      if (!box["usable"].get<bool>()) continue;
      for (const json& engine : box["engines"]) up += engine["up"].get<bool>() ? 1 : 0;
    }
    return up == engines;
  });
}

std::string Fleet::ConfigText() {
  return std::string("[[class]]\nname = \"counter\"\ntimeout_seconds = 60\npriority = 1\n") +
         "value = 10\n[[account]]\nname = \"shop\"\nclass = \"counter\"\nkey_sha256 = \"" +
         kKeyHash +
         "\"\n[[account]]\nname = \"closed\"\nclass = \"counter\"\nsuspended = true\n"
         // SHA-256 of "closed-key".
         "key_sha256 = \"04e3b29a2fd090b49021a722a3cd829d9eef812f38e82c0c2cfa753468225a39\"\n"
         "[[model]]\nname = \"base\"\nbytes_per_token = 5\ncontext_tokens = 1200000\n"
         "[[service]]\nname = \"desk\"\ntimeout_seconds = 30\n"
         "[[routing]]\nname = \"default\"\nlong_tokens = 32768\nlong_share = 0.67\n";
}

void Fleet::StartEndpoint(int index) {
  std::string number = std::to_string(index + 1);
  std::string settings = "box = \"box-" + number +
                         "\"\ndata_centre = \"fukuoka\"\nlisten = \"127.0.0.1:0\"\nplatform = \"" +
                         this->Address("platform") + "\"\nsweep_seconds = 0.2\n";
  if (index < this->options.engines) {
    settings += "[[engine]]\nname = \"engine-" + number + "\"\naddress = \"" +
                this->Address("engine-" + number) + "\"\nmodel = \"base\"\nmemory_tokens = " +
                std::to_string(this->options.memory_tokens) + "\n";
  } else {
    settings += "[[service]]\nname = \"desk\"\naddress = \"" + this->Address("service") + "\"\n";
  }
  std::string path = this->WriteFile("endpoint-" + number + ".toml", settings);
  this->Start("endpoint-" + number, "gullward-endpoint", {"--settings=" + path});
}

void Fleet::StartEntry(int index) {
  std::string name = "entry-" + std::to_string(index + 1);
  std::string settings = "box = \"" + name +
                         "\"\ndata_centre = \"fukuoka\"\nlisten = \"127.0.0.1:0\"\nplatform = \"" +
                         this->Address("platform") +
                         "\"\nbox_list_seconds = 0.1\nmax_body_bytes = 8000000\n"
                         "caller_idle_seconds = 3\n";
  std::string path = this->WriteFile(name + ".toml", settings);
  this->Start(name, "gullward-entry", {"--settings=" + path});
}

void Fleet::StartAll(const FleetOptions& fleet_options) {
  this->options = fleet_options;
  this->Start("platform", "standin-platform", {"--lag_ms=20"});
  if (this->options.service) this->Start("service", "standin-service", {});
  for (int i = 0; i < this->options.engines; ++i) {
    this->Start("engine-" + std::to_string(i + 1), "standin-engine",
                {"--memory_tokens=" + std::to_string(this->options.memory_tokens),
                 "--tokens_per_second=" + std::to_string(this->options.tokens_per_second),
                 "--seconds_per_token_pair=1e-12",
                 "--step_seconds=" + std::to_string(this->options.step_seconds)});
    this->StartEndpoint(i);
  }
  if (this->options.service) this->StartEndpoint(this->options.engines);
  for (int i = 0; i < this->options.entries; ++i) this->StartEntry(i);
  this->UpdateBoxes();
  std::string config = this->WriteFile("config.toml", ConfigText());
  ProgramResult published =
      this->Run("gullwardctl", {"publish", config, "--platform=" + this->Address("platform")});
  CHECK_EQ(published.status, 0) << published.output;
  for (int i = 0; i < this->options.entries; ++i) {
    CHECK(this->WaitForEngines(i, this->options.engines)) << "an entry cannot reach all engines";
  }
}

}  // namespace gullward

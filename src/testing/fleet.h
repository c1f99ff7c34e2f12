// Starts real programs for a test and waits for conditions.
//
// Every program listens on a port of the kernel's choice and says which in its
// ready file. Nothing here waits for a time: WaitFor asks again until a condition
// holds, and only gives up after kWaitTimeout, far beyond any healthy run.
//
//   Fleet fleet;
//   fleet.StartAll({.engines = 3});
//   HttpResult answer = fleet.Call("POST", fleet.EntryUrl(0, "/v1/completions"), headers, body);
//   fleet.Kill("endpoint-1", SIGKILL);

#ifndef GULLWARD_TESTING_FLEET_H_
#define GULLWARD_TESTING_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"

namespace gullward {

// How long a condition may take before the test fails.
inline constexpr Duration kWaitTimeout = seconds(60);

struct FleetOptions {
  int engines = 3;
  int entries = 2;
  bool service = true;
  int64_t memory_tokens = 450'000;
  double tokens_per_second = 400'000;
  double step_seconds = 0.002;
};

class Fleet {
 public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Platform, engines with endpoint processes, service, entries; a configuration;
  // waits until all entries can reach all engines.
  void StartAll(const FleetOptions& options);

  // Starts one program and waits for its ready file.
  void Start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  // Starts a program again with the arguments that it had, on a new port.
  void Restart(const std::string& name);
  void StartEndpoint(int index);
  void StartEntry(int index);

  // Runs a program to its end; returns its exit status and its output.
  struct ProgramResult {
    int status = -1;
    std::string output;
  };
  ProgramResult Run(const std::string& program, const std::vector<std::string>& arguments);

  void Kill(const std::string& name, int signal);
  // Waits until the program has ended; returns its exit status, -1 for a signal.
  int WaitForExit(const std::string& name);
  bool IsRunning(const std::string& name) const { return this->children.count(name) > 0; }

  // "IP:PORT" where a program listens; `key` is "listen" or "admin".
  std::string Address(const std::string& name, const std::string& key = "listen") const;

  // One HTTP call, to its end.
  static HttpResult Call(const std::string& method, const std::string& url,
                         const HttpHeaders& headers, const std::string& body,
                         Duration timeout = seconds(60));
  HttpResult RequestCompletion(int entry, const std::string& prompt, uint32_t max_tokens,
                               bool stream, HttpHeaders headers = {});
  void InjectFault(const std::string& name, const nlohmann::json& knobs);
  nlohmann::json GetJson(const std::string& address, const std::string& path);
  nlohmann::json EngineStats(int engine) {
    return this->GetJson(this->Address("engine-" + std::to_string(engine + 1)), "/stats");
  }
  nlohmann::json EntryState(int entry) {
    return this->GetJson(this->Address("entry-" + std::to_string(entry + 1), "admin"), "/state");
  }

  // Tells the platform the boxes as they are now.
  void UpdateBoxes(const std::vector<std::string>& leaving = {});

  // Whether the condition came true within kWaitTimeout.
  static bool WaitFor(const std::function<bool()>& condition);
  bool WaitForEngines(int entry, int engines);

  std::string WriteFile(const std::string& name, const std::string& text);
  static HttpHeaders Authorization();
  static std::string ConfigText();
  const std::string& folder() const { return this->directory; }

 private:
  struct Child {
    pid_t pid = 0;
    std::string program;
    std::vector<std::string> arguments;
  };

  std::string directory;
  FleetOptions options;
  std::map<std::string, Child> children;
  std::map<std::string, Child> stopped;
};

}  // namespace gullward

#endif  // GULLWARD_TESTING_FLEET_H_

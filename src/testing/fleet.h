// Runs real programs for a test: platform stand-in, engines, endpoint processes and entries.
//
// Every program listens on a port that the kernel chooses, and writes this port to its ready
// file.  Tests do not sleep for a fixed time: WaitFor polls a condition until it holds, and
// fails only after kWaitTimeout, far longer than any healthy run takes.
//
//   Fleet fleet;
//   fleet.StartAll({.engines = 3});
//   HttpResult answer = fleet.RequestCompletion(0, "prompt", 12, /*stream=*/false);
//   fleet.Kill("endpoint-1", SIGKILL);
//
// The programs are called "platform", "service", "engine-1", "endpoint-1", "entry-1" and so
// on; the indices of engines and entries in function parameters start at 0.  The destructor
// kills all programs and removes their files, unless the environment variable
// GULLWARD_KEEP_LOGS is set.

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

// Time after which a condition that does not hold is reported as failed.
inline constexpr Duration kWaitTimeout = seconds(60);

// Size and speed of the fleet that StartAll starts.  The speeds apply to each engine.
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

  // Starts the platform, the engines with their endpoint processes, the service with its own,
  // and the entries, publishes ConfigText(), and waits until all entries can reach all
  // engines.
  void StartAll(const FleetOptions& options);

  // Starts one program and waits for its ready file.
  void Start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  // Starts a program that has exited again, with the same arguments, on a new port.
  void Restart(const std::string& name);
  void StartEndpoint(int index);
  void StartEntry(int index);

  // Runs a program until it exits, and returns its exit status and its output.
  struct ProgramResult {
    // The exit status; -1 if a signal ended the program.
    int status = -1;
    // Standard output and standard error.
    std::string output;
  };
  ProgramResult Run(const std::string& program, const std::vector<std::string>& arguments);

  // Sends a signal to a program.  After SIGKILL, also waits until the program has exited.
  void Kill(const std::string& name, int signal);
  // Waits until the program has exited and returns its exit status, or -1 if a signal ended
  // it.
  int WaitForExit(const std::string& name);
  bool IsRunning(const std::string& name) const { return this->children.count(name) > 0; }

  // The address "IP:PORT" on which a program listens.  `key` is "listen" or "admin".
  std::string Address(const std::string& name, const std::string& key = "listen") const;

  // Makes one HTTP call and waits until it has ended.
  static HttpResult Call(const std::string& method, const std::string& url,
                         const HttpHeaders& headers, const std::string& body,
                         Duration timeout = seconds(60));
  // Sends a request to /v1/completions of an entry with a valid API key, and waits for the
  // whole answer.
  HttpResult RequestCompletion(int entry, const std::string& prompt, uint32_t max_tokens,
                               bool stream, HttpHeaders headers = {});
  // Sets the given faults in a stand-in program (POST /fault).
  void InjectFault(const std::string& name, const nlohmann::json& faults);
  nlohmann::json GetJson(const std::string& address, const std::string& path);
  nlohmann::json EngineStats(int engine) {
    return this->GetJson(this->Address("engine-" + std::to_string(engine + 1)), "/stats");
  }
  nlohmann::json EntryState(int entry) {
    return this->GetJson(this->Address("entry-" + std::to_string(entry + 1), "admin"), "/state");
  }

  // Replaces the platform's list of boxes with the programs that run now; boxes in `leaving`
  // get the state "leaving".
  void UpdateBoxes(const std::vector<std::string>& leaving = {});

  // Polls the condition every 10 ms.  Returns whether it came true within kWaitTimeout.
  static bool WaitFor(const std::function<bool()>& condition);
  // Waits until the entry has a configuration and reports exactly `engines` engines as up.
  bool WaitForEngines(int entry, int engines);

  // Writes a file to the folder of the fleet and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);
  // The header with the API key of the account "shop" in ConfigText().
  static HttpHeaders Authorization();
  // The configuration that StartAll publishes, as a file for gullwardctl.
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
  // Programs that have exited, for Restart.
  std::map<std::string, Child> stopped;
};

}  // namespace gullward

#endif  // GULLWARD_TESTING_FLEET_H_

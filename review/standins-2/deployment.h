// A small deployment: the store's stand-in, and the gateway's program as a process of its own,
// started with the command of deploy/system.toml and settings like those of deploy/gateway.toml.

#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "store.h"

namespace review {

// What a case is given: its own folder, a temporary folder, and whether to play the disruption.
struct CaseOptions {
  std::string folder;
  std::string temporary;
  bool has_trouble = true;
};
CaseOptions ReadCaseOptions(int argc, char** argv);
// Ends the program with this exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.  The threads of the stand-ins still run, so nothing is destroyed.
[[noreturn]] void Finish(int result);

// Starts a program in this folder; `variables` are NAME=text.  The output goes to a file.  The
// program ends with this process.
pid_t StartProcess(const std::vector<std::string>& arguments,
                   const std::vector<std::string>& variables, const std::string& output);
// Ends a process with SIGKILL and waits for it.
void EndProcess(pid_t pid);

struct Gateway {
  pid_t pid = -1;
  int callers_port = 0;
  int ready_port = 0;
};

// Starts the gateway on this box.  Returns without waiting.
Gateway StartGateway(const CaseOptions& options, const std::string& box, int store_port);
// Starts it again after its end, with the same settings.
void RestartGateway(const CaseOptions& options, const std::string& box, Gateway* gateway);
// Waits until the gateway says that it is ready.  Returns whether it does.
bool WaitUntilReady(const Gateway& gateway, double timeout);

// A route of the configuration, as JSON.  `more` is a list of further fields that begins with a
// comma, or nothing.
std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& kind,
                      const std::string& service, int timeout_ms, int max_attempts,
                      const std::string& more = "", int objective_ms = 300);
// A configuration without tenants, so that requests need no key.
std::string ConfigJson(int version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services, uint64_t max_body_bytes = 4194304);
std::string ModelServiceJson(const std::string& name, uint64_t memory_tokens = 450'000);
std::string PlainServiceJson(const std::string& name);
// The entry of an engine in the store.
std::string EngineJson(const std::string& service, int port, int slots,
                       const std::string& state = "ready");

}  // namespace review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_

#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace review {

CaseOptions ReadCaseOptions(int argc, char** argv) {
  if (argc < 3) std::exit(2);
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

void Finish(int result) {
  std::fflush(nullptr);
  _exit(result);
}

pid_t StartProcess(const std::vector<std::string>& arguments,
                   const std::vector<std::string>& variables, const std::string& output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  std::vector<char*> environment;
  for (const std::string& variable : variables) {
    environment.push_back(const_cast<char*>(variable.c_str()));
  }
  environment.push_back(nullptr);
  pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(argv[0], argv.data(), environment.data());
  _exit(127);
}

void EndProcess(pid_t pid) {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

Gateway StartGateway(const CaseOptions& options, const std::string& box, int store_port) {
  Gateway gateway;
  gateway.callers_port = FreePort();
  gateway.ready_port = FreePort();
  std::string settings = options.temporary + "/" + box + ".toml";
  std::ofstream(settings) << "box = \"" << box << "\"\ndata_centre = \"hall\"\n"
                          << "callers = \"127.0.0.1:" << gateway.callers_port << "\"\n"
                          << "ready = \"127.0.0.1:" << gateway.ready_port << "\"\n"
                          << "metrics = \"127.0.0.1:" << FreePort() << "\"\n"
                          << "peers = \"127.0.0.1:" << FreePort() << "\"\n"
                          << "store = \"127.0.0.1:" << store_port << "\"\n"
                          << "key_trust_ms = 5000\nstrict_revoke = \"true\"\n"
                          << "change_bound_ms = 2000\nleaving_bound_ms = 2000\n"
                          << "retry_ratio = 0.2\nretry_slack = 106\nretry_window_seconds = 10\n"
                          << "stop_grace_seconds = 8\n";
  RestartGateway(options, box, &gateway);
  return gateway;
}

void RestartGateway(const CaseOptions& options, const std::string& box, Gateway* gateway) {
  std::string settings = options.temporary + "/" + box + ".toml";
  gateway->pid = StartProcess({"target/bin/gullward-gateway"}, {"GULLWARD_SETTINGS=" + settings},
                              options.temporary + "/" + box + ".log");
}

bool WaitUntilReady(const Gateway& gateway, double timeout) {
  double until = Now() + timeout;
  while (Now() < until) {
    std::unique_ptr<Connection> connection = Connect(gateway.ready_port, 1);
    if (connection) {
      std::optional<Message> answer =
          Call(connection.get(), "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", Now() + 1);
      if (answer && answer->Status() == 200) return true;
    }
    SleepFor(0.1);
  }
  return false;
}

std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& kind,
                      const std::string& service, int timeout_ms, int max_attempts,
                      const std::string& more, int objective_ms) {
  return "{\"name\":\"" + name + "\",\"host\":\"review.example\",\"pathPrefix\":\"" + prefix +
         "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
         ",\"targetLatencyMs\":" + std::to_string(objective_ms) + ",\"priority\":1,\"service\":\"" +
         service + "\",\"maxAttempts\":" + std::to_string(max_attempts) + ",\"public\":false" +
         more + "}";
}

std::string ConfigJson(int version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services, uint64_t max_body_bytes) {
  auto join = [](const std::vector<std::string>& parts) {
    std::string text;
    for (const std::string& part : parts) text += (text.empty() ? "" : ",") + part;
    return text;
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + join(routes) +
         "],\"services\":[" + join(services) +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" +
         std::to_string(max_body_bytes) +
         ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";
}

std::string ModelServiceJson(const std::string& name, uint64_t memory_tokens) {
  return "{\"name\":\"" + name +
         "\",\"healthPath\":\"/healthz\",\"maxConns\":434,\"protocol\":\"h1\",\"tls\":false,"
         "\"engine\":{\"slots\":16,\"kvCapacity\":" +
         std::to_string(memory_tokens) +
         ",\"kvTokenBytes\":327680,"
         "\"linkMbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,"
         "\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\"read_per_s\":256000.0,"
         "\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,"
         "\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":13239,\"answer\":1540},"
         "\"hop_ms\":0.1}}";
}

std::string PlainServiceJson(const std::string& name) {
  return "{\"name\":\"" + name +
         "\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}";
}

std::string EngineJson(const std::string& service, int port, int slots, const std::string& state) {
  return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"zone\":\"hall\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
         "\"adapters\":[]}],\"callSeq\":0}";
}

}  // namespace review

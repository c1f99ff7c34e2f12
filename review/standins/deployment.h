// A small deployment on loopback addresses: the store and engines of the review, and the project's
// gateways with the command and the settings template of the deploy file.  One per process.
//
// Every process that it starts ends with it, also if it is killed.

#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <cmath>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>

#include "http.h"

namespace review {

// Ends the case as one that couldn't run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

struct Process {
  pid_t pid = 0;
  std::string name;
  std::string output;  // The file that holds its standard output and error.
};

struct EngineBox {
  Process process;
  std::string id, service;
  Address address;
};

struct GatewayBox {
  Process process;
  std::string name, ip;
  Address callers, ready, peers;
};

class Deployment {
 public:
  // `case_folder` receives record.txt; `root` is the repository.
  Deployment(std::string repository, std::string case_folder)
      : root(std::move(repository)), folder(std::move(case_folder)) {
    char name[] = "/tmp/review-XXXXXX";
    if (mkdtemp(name) == nullptr) CannotRun("no temporary folder");
    this->temporary = name;
    this->record.open(this->folder + "/record.txt", std::ios::trunc);
    this->began = SecondsNow();
    this->net = "127." + std::to_string(20 + std::random_device()() % 200) + "." +
                std::to_string(1 + std::random_device()() % 250) + ".";
  }

  ~Deployment() { this->EndAll(); }

  void EndAll() {
    std::vector<pid_t> open;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      open = this->pids;
      this->pids.clear();
    }
    for (pid_t pid : open) kill(pid, SIGKILL);
    for (pid_t pid : open) waitpid(pid, nullptr, 0);
  }

  // Writes one line, with the time since the beginning.
  void Record(const std::string& line) {
    char at[32];
    std::snprintf(at, sizeof(at), "%9.3f ", SecondsNow() - this->began);
    std::lock_guard<std::mutex> lock(this->mutex);
    this->record << at << line << "\n";
  }

  // Adds what the engines say they have run, and removes the temporary folder.
  void Finish() {
    this->EndAll();
    for (const std::string& output : this->engine_outputs) {
      std::ifstream lines(output);
      std::string line;
      while (std::getline(lines, line)) {
        this->record << "engine " << output.substr(output.rfind('/') + 1) << " " << line << "\n";
      }
    }
    this->record.flush();
    if (std::getenv("KEEP") != nullptr) {
      std::fprintf(stderr, "kept %s\n", this->temporary.c_str());
      return;
    }
    std::string remove = "rm -rf '" + this->temporary + "'";
    if (std::system(remove.c_str()) != 0) std::fprintf(stderr, "temporary folder not removed\n");
  }

  // Seconds since the beginning.
  double Elapsed() const { return SecondsNow() - this->began; }

  // Writes a request and its answer; the time of the line is that of the answer.
  void RecordRequest(double sent, const std::string& attempt, const std::string& gateway,
                     const std::string& path, const std::string& body, int status, bool whole) {
    char at[32];
    std::snprintf(at, sizeof(at), "%.3f", sent);
    this->Record("sent " + std::string(at) + " " + attempt + " " + gateway + " " + path + " " +
                 body + ": " + std::to_string(status) + (whole ? " whole" : " cut"));
  }

  std::string Ip(int host) const { return this->net + std::to_string(host); }

  Process Spawn(const std::string& name, const std::vector<std::string>& command,
                const std::vector<std::string>& environment = {}) {
    Process process;
    process.name = name;
    process.output = this->temporary + "/" + name;
    std::vector<char*> arguments, variables;
    for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    for (const std::string& word : environment)
      variables.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    int out = open(process.output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_t parent = getpid();
    process.pid = fork();
    if (process.pid == 0) {
      // Processes end with the case.  Only the thread that forks counts as the parent, so all
      // processes are started by the main thread.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(this->root.c_str()) != 0) _exit(2);
      execve(arguments[0], arguments.data(), variables.data());
      _exit(2);
    }
    close(out);
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pids.push_back(process.pid);
    return process;
  }

  void Kill(const Process& process, int signal) {
    this->Record("signal " + std::to_string(signal) + " to " + process.name);
    kill(process.pid, signal);
  }

  // Whether the process is still running.  One that has ended is forgotten, since its id may be used
  // again from now on.
  bool IsRunning(const Process& process) {
    if (waitpid(process.pid, nullptr, WNOHANG) == 0) return true;
    std::lock_guard<std::mutex> lock(this->mutex);
    std::erase(this->pids, process.pid);
    return false;
  }

  void WaitFor(const std::string& what, const std::function<bool()>& condition, double seconds) {
    double until = SecondsNow() + seconds;
    while (!condition()) {
      if (SecondsNow() > until) CannotRun(what + " did not come up");
      SleepMs(20);
    }
  }

  static bool Accepts(const Address& address) {
    int fd = Connect(address);
    if (fd >= 0) close(fd);
    return fd >= 0;
  }

  void StartStore() {
    this->store = {this->Ip(1), FreePort(this->Ip(1))};
    this->Spawn("store", {this->root + "/review/bin/store", this->store.Text()});
    this->WaitFor(
        "the store", [&] { return Accepts(this->store); }, 10);
  }

  // Writes one record, and returns when the store has acknowledged it.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    size_t size = 1 + key.size() + value.size();
    std::string body;
    for (int shift : {24, 16, 8, 0}) body.push_back(static_cast<char>(size >> shift));
    body.push_back(static_cast<char>(key.size()));
    body += key + value;
    Channel channel(Connect(this->store));
    Message answer;
    bool sent =
        channel.fd >= 0 && channel.Send("POST /v1/log-append?topic=" + topic +
                                        "&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                                        std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!sent || !channel.ReadHead(&answer) || answer.Status() != 200) CannotRun("store write");
  }

  // Starts an engine and enters it in the store's list.
  EngineBox StartEngine(const std::string& service, const std::string& zone, const std::string& ip,
                        int slots, const std::vector<std::string>& words) {
    EngineBox engine;
    engine.service = service;
    engine.id = "i-" + std::to_string(++this->engine_count) + service;
    engine.address = {ip, FreePort(ip)};
    std::vector<std::string> command = {this->root + "/review/bin/engine", engine.address.Text(),
                                        engine.id, std::to_string(slots)};
    command.insert(command.end(), words.begin(), words.end());
    engine.process = this->Spawn(engine.id, command);
    this->engine_outputs.push_back(engine.process.output);
    this->WaitFor(
        "an engine", [&] { return Accepts(engine.address); }, 10);
    this->Put("keyed.servers", engine.id,
              "{\"service\":\"" + service + "\",\"address\":\"" + engine.address.Text() +
                  "\",\"zone\":\"" + zone +
                  "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
                  ",\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":"
                  "\"m\",\"version\":1,\"adapters\":[]}],\"callSeq\":0}");
    this->Record("engine " + engine.id + " listed at " + engine.address.Text());
    return engine;
  }

  // The store drops an engine's entry.
  void Unlist(const EngineBox& engine) {
    this->Put("keyed.servers", engine.id, "");
    this->Record("engine " + engine.id + " is off the list");
  }

  // The command of the deploy file.
  std::string GatewayCommand() const {
    std::string text = ReadFile(this->root + "/deploy/system.toml");
    size_t begin = text.find("run = \"") + 7;
    return text.substr(begin, text.find('"', begin) - begin);
  }

  GatewayBox StartGateway(const std::string& name, const std::string& zone, const std::string& ip) {
    GatewayBox gateway;
    gateway.name = name;
    gateway.ip = ip;
    gateway.callers = {ip, FreePort(ip)};
    gateway.ready = {ip, FreePort(ip)};
    gateway.peers = {ip, FreePort(ip)};
    std::map<std::string, std::string> fields = {
        {"nodeName", name},
        {"zone", zone},
        {"ip", ip},
        {"listen.front", gateway.callers.Text()},
        {"listen.ready", gateway.ready.Text()},
        {"internalPorts.0", std::to_string(gateway.peers.port)},
        {"platform.address", this->store.Text()},
        // The bounds of sites/kprc-catalogue.toml.
        {"bounds.revokeMs", "5000"},
        {"bounds.strictRevoke", "true"},
        {"bounds.configApplyMs", "2000"},
        {"bounds.drainMs", "2000"},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.retryBudgetSlack", "106"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.graceS", "8"}};
    std::string settings = ReadFile(this->root + "/deploy/gateway.toml");
    for (const auto& [field, value] : fields) {
      std::string gap = "{{" + field + "}}";
      for (size_t at; (at = settings.find(gap)) != std::string::npos;) {
        settings.replace(at, gap.size(), value);
      }
    }
    std::string file = this->temporary + "/" + name + ".toml";
    std::ofstream(file) << settings;
    gateway.process = this->Spawn(name, {this->root + "/" + this->GatewayCommand()},
                                  {"GULLWARD_SETTINGS=" + file, "HOME=/tmp", "LANG=C.UTF-8"});
    return gateway;
  }

  static bool IsReady(const GatewayBox& gateway) {
    Channel channel(Connect(gateway.ready));
    channel.deadline = SecondsNow() + 1;
    Message answer;
    return channel.fd >= 0 && channel.Send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           channel.ReadHead(&answer) && answer.Status() == 200;
  }

  void WaitUntilReady(const GatewayBox& gateway) {
    this->WaitFor(
        gateway.name, [&] { return IsReady(gateway); }, 20);
  }

  static std::string ReadFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) CannotRun("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::string NewAttemptId() {
    char id[40];
    std::snprintf(id, sizeof(id), "%04x%06x", this->id_seed & 0xffff, ++this->attempt_count);
    return id;
  }

  const std::string root, folder;
  Address store;

 private:
  std::string temporary, net;
  std::ofstream record;
  std::mutex mutex;
  std::vector<pid_t> pids;
  std::vector<std::string> engine_outputs;
  int engine_count = 0;
  unsigned id_seed = std::random_device()();
  std::atomic<unsigned> attempt_count{0};
  double began = 0;
};

// One route of the configuration, as JSON.
inline std::string RouteJson(const std::string& name, const std::string& prefix,
                             const std::string& kind, const std::string& service, int timeout_ms,
                             int aim_ms, int max_attempts, const std::string& more = "") {
  return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"" + prefix +
         "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
         ",\"targetLatencyMs\":" + std::to_string(aim_ms) + ",\"priority\":1,\"service\":\"" +
         service + "\",\"maxAttempts\":" + std::to_string(max_attempts) + ",\"public\":false" +
         more + "}";
}

// The services of sites/kprc-catalogue.toml, as JSON.
inline std::string ServicesJson(int slots) {
  return "[{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":434,\"protocol\":\"h1\","
         "\"tls\":false,\"engine\":{\"slots\":" +
         std::to_string(slots) +
         ",\"kvCapacity\":450000,\"kvTokenBytes\":327680,\"linkMbps\":400000.0,\"stride\":46,"
         "\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,\"per_seq_ms\":0.00483,"
         "\"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
         "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":13239,\"answer\":1540},\"hop_ms\":0.1}},"
         "{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
         "\"tls\":false}]";
}

inline std::string ConfigJson(int version, const std::vector<std::string>& routes, int slots,
                              uint64_t max_body_bytes = 4194304) {
  std::string joined;
  for (const std::string& route : routes) joined += (joined.empty() ? "" : ",") + route;
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + joined +
         "],\"services\":" + ServicesJson(slots) +
         ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" +
         std::to_string(max_body_bytes) +
         ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"counter\","
         "\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}";
}

// A request of a client as PROTOCOL.md describes it.
inline std::string ClientRequest(const std::string& method, const std::string& path,
                                 const std::string& attempt, int deadline_ms,
                                 const std::string& body, const std::string& more = "") {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\n" + more;
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + (method == "POST" ? body : "");
}

// For the record: a text on one line.
inline std::string Quoted(const std::string& text) {
  std::string out;
  for (char c : text) out += c == '\n' ? std::string("\\n") : std::string(1, c);
  return "\"" + out + "\"";
}

}  // namespace review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_

// process_set.h.

#include "soak/process_set.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

extern char** environ;

namespace gullward {
namespace {

std::string ReadWhole(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

ProcessSet::ProcessSet(std::string output_folder) : folder(std::move(output_folder)) {
  std::filesystem::create_directories(this->folder);
  // What an earlier run wrote here would be taken for this one's.
  for (const auto& entry : std::filesystem::directory_iterator(this->folder)) {
    bool ours = entry.path().extension() == ".out" || entry.path().extension() == ".ready";
    if (ours) std::filesystem::remove(entry.path());
  }
}

ProcessSet::~ProcessSet() {
  for (const auto& [name, pid] : this->running) kill(pid, SIGKILL);
  for (const auto& [name, pid] : this->running) waitpid(pid, nullptr, 0);
}

void ProcessSet::Start(const std::string& name, const std::string& program,
                       std::vector<std::string> arguments) {
  std::string ready_file = this->PathOf(name + ".ready");
  std::filesystem::remove(ready_file);
  arguments.push_back("--ready_file=" + ready_file);
  std::string path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / program;
  std::vector<char*> argv = {path.data()};
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  std::string output = this->PathOf(name + ".out");
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  CHECK_EQ(posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ), 0) << path;
  posix_spawn_file_actions_destroy(&actions);
  this->running[name] = pid;
}

void ProcessSet::Signal(const std::string& name, int signal) const {
  auto found = this->running.find(name);
  if (found != this->running.end()) kill(found->second, signal);
}

bool ProcessSet::IsRunning(const std::string& name) {
  auto found = this->running.find(name);
  if (found == this->running.end()) return false;
  if (waitpid(found->second, nullptr, WNOHANG) == 0) return true;
  this->running.erase(found);
  return false;
}

std::string ProcessSet::ReadyAddress(const std::string& name) const {
  return ReadWhole(this->PathOf(name + ".ready"));
}

std::string ProcessSet::Output(const std::string& name) const {
  return ReadWhole(this->PathOf(name + ".out"));
}

}  // namespace gullward

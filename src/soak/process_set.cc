// Starts, signals and reaps child processes, and reads their files.

#include "soak/process_set.h"

#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <utility>

#include "testing/spawn.h"

namespace gullward {

ProcessSet::ProcessSet(std::string output_folder) : folder(std::move(output_folder)) {
  std::filesystem::create_directories(this->folder);
  // Files of an earlier run would be mistaken for files of this run.
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
  this->running[name] = SpawnProgram(path, arguments, this->PathOf(name + ".out"));
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

pid_t ProcessSet::IdOf(const std::string& name) const {
  auto found = this->running.find(name);
  return found == this->running.end() ? 0 : found->second;
}

std::string ProcessSet::ReadyAddress(const std::string& name) const {
  return ReadWholeFile(this->PathOf(name + ".ready"));
}

std::string ProcessSet::Output(const std::string& name) const {
  return ReadWholeFile(this->PathOf(name + ".out"));
}

}  // namespace gullward

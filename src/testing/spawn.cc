// Wraps posix_spawn.

#include "testing/spawn.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <spawn.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

extern char** environ;

namespace gullward {

pid_t SpawnProgram(const std::string& path, const std::vector<std::string>& arguments,
                   const std::string& output) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(path.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  int error = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  CHECK_EQ(error, 0) << path;
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace gullward

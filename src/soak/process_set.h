// The child processes of a soak, one for each program.
//
// Signals are sent by process id, and only to processes that this class has started.
//
//   ProcessSet processes(folder);
//   processes.Start("engine-1", "standin-model-engine", {"--id=engine-1"});
//   processes.Signal("engine-1", SIGSTOP);

#ifndef GULLWARD_SOAK_PROCESS_SET_H_
#define GULLWARD_SOAK_PROCESS_SET_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace gullward {

class ProcessSet {
 public:
  // Output and ready files are written to `folder`.  Programs are in the folder of the running
  // executable.
  explicit ProcessSet(std::string folder);
  // Kills the processes that are still running.
  ~ProcessSet();
  ProcessSet(const ProcessSet&) = delete;
  ProcessSet& operator=(const ProcessSet&) = delete;

  // Starts a program under a name that no running process has.  Adds the flag --ready_file to
  // `arguments`.
  void Start(const std::string& name, const std::string& program,
             std::vector<std::string> arguments);

  void Signal(const std::string& name, int signal) const;

  // Whether the process is still running.  Reaps it if it has ended.
  bool IsRunning(const std::string& name);

  // The process id of a running process; 0 if there is none of this name.
  pid_t IdOf(const std::string& name) const;

  // "IP:PORT" from the ready file, or "" while the file does not exist.
  std::string ReadyAddress(const std::string& name) const;

  // What the process has written to its standard output.
  std::string Output(const std::string& name) const;

  std::string PathOf(const std::string& file) const { return this->folder + "/" + file; }

 private:
  std::string folder;
  std::map<std::string, pid_t> running;
};

}  // namespace gullward

#endif  // GULLWARD_SOAK_PROCESS_SET_H_

// The programs that a soak runs, each a process of its own.
//
// Only processes that were started here are ever signalled, by their ids.
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
  // Outputs and ready files go to `folder`; programs lie beside this one.
  explicit ProcessSet(std::string folder);
  // Kills what still runs.
  ~ProcessSet();
  ProcessSet(const ProcessSet&) = delete;
  ProcessSet& operator=(const ProcessSet&) = delete;

  // Starts a program under a name that no running one has.  Its ready file is
  // named by --ready_file.
  void Start(const std::string& name, const std::string& program,
             std::vector<std::string> arguments);

  void Signal(const std::string& name, int signal) const;

  // Whether the process has not ended yet; reaps it if it has.
  bool IsRunning(const std::string& name);

  // "IP:PORT" from the ready file, or "" until it is there.
  std::string ReadyAddress(const std::string& name) const;

  // What the process has written.
  std::string Output(const std::string& name) const;

  std::string PathOf(const std::string& file) const { return this->folder + "/" + file; }

 private:
  std::string folder;
  std::map<std::string, pid_t> running;
};

}  // namespace gullward

#endif  // GULLWARD_SOAK_PROCESS_SET_H_

// The address of an engine's machine: passes connections on to the engine, until the machine is
// lost.  Then the open connections end in order, as they do when a machine that is shut down ends
// its processes, and the address answers nothing any more, not even to an opening packet.

#ifndef REVIEW_STANDINS_2_MACHINE_GATE_H_
#define REVIEW_STANDINS_2_MACHINE_GATE_H_

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace review {

class MachineGate {
 public:
  explicit MachineGate(int engine_port);
  int port() const { return this->bound_port; }
  void Lose();

 private:
  void Accept();
  void Link(int caller_fd);

  int engine;
  int fd;
  int bound_port = 0;
  std::atomic<bool> is_lost{false};
  std::mutex mutex;
  // The callers' ends of the open connections.
  std::set<int> callers;
  std::vector<int> fillers;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_MACHINE_GATE_H_

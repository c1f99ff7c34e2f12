// A gateway with its store and its engines as processes of their own, for tests of what a
// process uses: memory, descriptors, the stack.
//
//   GatewayProcesses processes("crowd");
//   processes.Start();
//   ... send something to processes.callers() ...
//   BOOST_TEST(processes.IsRunning());
//   BOOST_TEST(processes.PeakMemoryBytes() < kMax);
//
// The gateway serves one model engine at /chat/ and one plain service at /app/look/ and
// /app/order/, all of host test.example and with the API key "key-1".

#ifndef GULLWARD_GATEWAY_TESTING_GATEWAY_PROCESSES_H_
#define GULLWARD_GATEWAY_TESTING_GATEWAY_PROCESSES_H_

#include <optional>
#include <string>
#include <string_view>

#include "serving/serving_config.h"
#include "soak/process_set.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace gullward {

// Whether the memory of a process can be compared with a bound.  Sanitizers add memory of their
// own, several times as much as the program's.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool kMeasuresMemory = false;
#else
inline constexpr bool kMeasuresMemory = true;
#endif

class GatewayProcesses {
 public:
  // `name` distinguishes the folder of this test's files.
  explicit GatewayProcesses(const std::string& name);

  // Added to the gateway's settings file, one key a line; to be set before Start.
  std::string more_settings;
  // Limits of the published configuration; to be set before Start.
  CallerLimits limits;
  // How long an engine works on a request before its answer; to be set before Start.
  Duration engine_work = milliseconds(20);

  // The descriptors that the gateway may have open, if not as many as this process; to be set
  // before Start.
  std::optional<unsigned> max_descriptors;

  // Starts all processes and waits until the gateway is ready.  Returns whether it is.
  bool Start();

  SocketAddress callers() const { return this->callers_address; }
  SocketAddress ready() const { return this->ready_address; }
  SocketAddress metrics() const { return this->metrics_address; }
  SocketAddress peers() const { return this->peers_address; }

  // Whether the gateway's process has not ended.
  bool IsRunning() { return this->processes.IsRunning("gateway"); }

  // The most memory that the gateway has had resident since its start; 0 if it has ended.
  size_t PeakMemoryBytes() const;

  // The number of descriptors that the gateway has open.
  size_t OpenDescriptors() const;

  // The gateway's log.
  std::string Log() const { return this->processes.Output("gateway"); }

  // Sends a request on a connection of its own and returns all that comes until the connection
  // ends.  A request that is refused as not run is sent again, as a caller would, until it is
  // answered otherwise or kWait is over.
  static std::string CallUntilServed(const SocketAddress& server, const std::string& request);

 private:
  SocketAddress AwaitAddress(const std::string& name);
  void Put(std::string_view topic, const std::string& key, const std::string& value);
  void StartEngine(const std::string& name, const std::string& service);
  void PublishConfig();
  void StartGateway();
  std::string StatusLine(const std::string& field) const;

  // Removes the folder after the processes that write to it have ended.
  struct Folder {
    ~Folder();
    std::string path;
  };

  EventLoop loop;
  Folder folder;
  ProcessSet processes;
  SocketAddress store_address;
  SocketAddress callers_address;
  SocketAddress ready_address;
  SocketAddress metrics_address;
  SocketAddress peers_address;
};

// Requests of ordinary callers, which close the connection after the answer.
std::string OrdinaryStream(const std::string& id, size_t body_bytes = 5000);
std::string OrdinaryOrder(const std::string& id, size_t body_bytes = 500);

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TESTING_GATEWAY_PROCESSES_H_

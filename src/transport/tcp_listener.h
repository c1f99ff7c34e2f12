// A listening TCP socket that passes each accepted connection to a hook.
//
// While the process has no descriptor left, connections wait in the kernel's queue.

#ifndef GULLWARD_TRANSPORT_TCP_LISTENER_H_
#define GULLWARD_TRANSPORT_TCP_LISTENER_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace gullward {

class TcpListener {
 public:
  TcpListener() = default;
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Starts to listen.  `accepted` is called with each accepted non-blocking socket and takes
  // ownership of it.  Returns an error if the address cannot be bound.
  absl::Status Listen(EventLoop* event_loop, const SocketAddress& address,
                      std::function<void(int fd)> accepted);

  // Stops accepting connections.  May be called more than once.
  void Close();

  // The port on which the socket listens.
  uint16_t port() const;

 private:
  void AcceptAll();
  void PauseAccepting();

  EventLoop* loop = nullptr;
  int fd = -1;
  // Ends with the listener, which a timer may outlast.
  std::shared_ptr<bool> is_paused = std::make_shared<bool>(false);
  std::function<void(int)> on_accepted;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_TCP_LISTENER_H_

// A listening socket whose connections are handed to a hook.

#ifndef GULLWARD_TRANSPORT_TCP_LISTENER_H_
#define GULLWARD_TRANSPORT_TCP_LISTENER_H_

#include <functional>

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

  // Calls `accepted` with each new non-blocking socket, which it then owns.
  absl::Status Listen(EventLoop* event_loop, const SocketAddress& address,
                      std::function<void(int fd)> accepted);

  // Takes no more connections; safe to call again.
  void Close();

  uint16_t port() const;

 private:
  void AcceptAll();

  EventLoop* loop = nullptr;
  int fd = -1;
  std::function<void(int)> on_accepted;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_TCP_LISTENER_H_

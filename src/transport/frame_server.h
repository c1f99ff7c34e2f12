// Listens for peers and creates a FrameConnection for each accepted connection.
//
//   FrameServer server(&loop);
//   absl::Status status = server.Listen(address, hooks);
//   uint16_t port = server.port();

#ifndef GULLWARD_TRANSPORT_FRAME_SERVER_H_
#define GULLWARD_TRANSPORT_FRAME_SERVER_H_

#include "absl/status/status.h"
#include "transport/event_loop.h"
#include "transport/frame_connection.h"
#include "transport/socket_address.h"
#include "transport/tcp_listener.h"

namespace gullward {

class FrameServer {
 public:
  explicit FrameServer(EventLoop* event_loop) : loop(event_loop) {}
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  // Starts to listen.  Every accepted connection gets a copy of `hooks`.  Returns an error if
  // the address cannot be bound.
  absl::Status Listen(const SocketAddress& address, const FrameConnection::Hooks& hooks);

  // The port on which the server listens; if the address has port 0, the kernel chooses it.
  uint16_t port() const { return this->listener.port(); }

 private:
  EventLoop* loop;
  TcpListener listener;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_FRAME_SERVER_H_

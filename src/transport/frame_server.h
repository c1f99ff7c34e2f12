// Listens for peers and gives each accepted connection its hooks.
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

  // Starts to listen; every accepted connection gets a copy of `hooks`.
  absl::Status Listen(const SocketAddress& address, const FrameConnection::Hooks& hooks);

  // The port listened on; the kernel's choice where the address had port 0.
  uint16_t port() const { return this->listener.port(); }

 private:
  EventLoop* loop;
  TcpListener listener;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_FRAME_SERVER_H_

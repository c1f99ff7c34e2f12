// Accepting; see frame_server.h.

#include "transport/frame_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gullward {

FrameServer::FrameServer(EventLoop* event_loop) : loop(event_loop) {}

FrameServer::~FrameServer() {
  if (this->fd < 0) return;
  this->loop->Unwatch(this->fd);
  close(this->fd);
}

absl::Status FrameServer::Listen(const SocketAddress& address,
                                 const FrameConnection::Hooks& hooks) {
  absl::StatusOr<int> listening = ListenTcp(address);
  if (!listening.ok()) return listening.status();
  this->fd = *listening;
  this->bound_port = LocalPort(this->fd);
  this->loop->Watch(this->fd, EPOLLIN, [this, hooks](uint32_t) {
    int accepted = accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) FrameConnection::Adopt(this->loop, accepted, hooks);
  });
  return absl::OkStatus();
}

}  // namespace gullward

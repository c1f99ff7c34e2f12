// Accepts until no connection is pending, so that a burst of connections costs one wake-up.

#include "transport/tcp_listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace gullward {

TcpListener::~TcpListener() { this->Close(); }

void TcpListener::Close() {
  if (this->fd < 0) return;
  this->loop->Unwatch(this->fd);
  close(this->fd);
  this->fd = -1;
}

absl::Status TcpListener::Listen(EventLoop* event_loop, const SocketAddress& address,
                                 std::function<void(int fd)> accepted) {
  absl::StatusOr<int> socket_fd = ListenTcp(address);
  if (!socket_fd.ok()) return socket_fd.status();
  this->loop = event_loop;
  this->fd = *socket_fd;
  this->on_accepted = std::move(accepted);
  this->loop->Watch(this->fd, EPOLLIN, [this](uint32_t) { this->AcceptAll(); });
  return absl::OkStatus();
}

uint16_t TcpListener::port() const { return LocalPort(this->fd); }

void TcpListener::AcceptAll() {
  while (true) {
    int accepted = accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) return;
    this->on_accepted(accepted);
  }
}

}  // namespace gullward

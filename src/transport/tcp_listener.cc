// Accepts until no connection is pending, so that a burst of connections costs one wake-up.  When
// the descriptors are used up, the socket stays readable although nothing can be accepted, so it is
// not watched for a while; otherwise the loop would never wait.

#include "transport/tcp_listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace gullward {
namespace {

constexpr Duration kAcceptPause = milliseconds(50);

}  // namespace

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
    if (accepted < 0) break;
    this->on_accepted(accepted);
  }
  bool is_used_up = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
  if (is_used_up) this->PauseAccepting();
}

void TcpListener::PauseAccepting() {
  if (std::exchange(*this->is_paused, true)) return;
  this->loop->Rewatch(this->fd, 0);
  this->loop->RunAfter(kAcceptPause, [this, weak = std::weak_ptr<bool>(this->is_paused)] {
    std::shared_ptr<bool> paused = weak.lock();
    if (!paused) return;
    *paused = false;
    if (this->fd >= 0) this->loop->Rewatch(this->fd, EPOLLIN);
  });
}

}  // namespace gullward

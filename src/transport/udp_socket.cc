// Receives until no datagram is pending, so that a burst of datagrams costs one wake-up.

#include "transport/udp_socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace gullward {

UdpSocket::~UdpSocket() {
  if (this->fd < 0) return;
  this->loop->Unwatch(this->fd);
  close(this->fd);
}

absl::Status UdpSocket::Bind(EventLoop* event_loop, const SocketAddress& address,
                             std::function<void(std::string_view datagram)> received) {
  sockaddr_storage storage;
  socklen_t length = address.Fill(&storage);
  this->fd = socket(storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool bound = this->fd >= 0 && bind(this->fd, reinterpret_cast<sockaddr*>(&storage), length) == 0;
  if (!bound) {
    std::string reason = std::strerror(errno);
    return absl::UnavailableError("cannot bind " + address.ToString() + ": " + reason);
  }
  this->loop = event_loop;
  this->on_received = std::move(received);
  this->loop->Watch(this->fd, EPOLLIN, [this](uint32_t) { this->ReceiveAll(); });
  return absl::OkStatus();
}

uint16_t UdpSocket::port() const { return LocalPort(this->fd); }

void UdpSocket::Send(const SocketAddress& to, std::string_view datagram) {
  sockaddr_storage storage;
  socklen_t length = to.Fill(&storage);
  sendto(this->fd, datagram.data(), datagram.size(), MSG_NOSIGNAL,
         reinterpret_cast<sockaddr*>(&storage), length);
}

void UdpSocket::ReceiveAll() {
  char buffer[kMaxBytes];
  while (true) {
    ssize_t count = recv(this->fd, buffer, sizeof(buffer), 0);
    if (count < 0) return;
    this->on_received(std::string_view(buffer, static_cast<size_t>(count)));
  }
}

}  // namespace gullward

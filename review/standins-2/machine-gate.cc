#include "machine-gate.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "net.h"

namespace review {
namespace {

constexpr int kBacklog = 512;
// Connections that are opened to a lost machine's address and never accepted.  They fill its queue,
// so that the kernel drops further opening packets.
constexpr int kFillers = 4;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

void SetNoDelay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

// Passes bytes on until either side ends, and then ends the other side in order.
void Pump(int from, int to) {
  char buffer[16 << 10];
  ssize_t count = 0;
  while ((count = recv(from, buffer, sizeof(buffer), 0)) > 0) {
    ssize_t done = 0;
    while (done < count) {
      ssize_t sent = send(to, buffer + done, static_cast<size_t>(count - done), MSG_NOSIGNAL);
      if (sent <= 0) break;
      done += sent;
    }
    if (done < count) break;
  }
  shutdown(to, SHUT_WR);
}

}  // namespace

MachineGate::MachineGate(int engine_port)
    : engine(engine_port), fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  bool is_bound = bind(this->fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                  listen(this->fd, kBacklog) == 0;
  if (!is_bound) std::abort();
  getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
  this->bound_port = ntohs(address.sin_port);
  this->acceptor = std::thread([this] { this->Accept(); });
}

void MachineGate::Accept() {
  while (!this->is_lost) {
    pollfd entry{this->fd, POLLIN, 0};
    if (poll(&entry, 1, /*milliseconds=*/10) <= 0) continue;
    int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    SetNoDelay(accepted);
    std::thread([this, accepted] { this->Link(accepted); }).detach();
  }
}

void MachineGate::Link(int caller_fd) {
  std::unique_ptr<Connection> onward = Connect(this->engine, 1);
  if (!onward) {
    close(caller_fd);
    return;
  }
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->callers.insert(caller_fd);
  }
  std::thread upward([&] { Pump(caller_fd, onward->fd); });
  Pump(onward->fd, caller_fd);
  // The caller's side may still be open for reading; it ends with the caller or at once if lost.
  upward.join();
  std::lock_guard<std::mutex> lock(this->mutex);
  this->callers.erase(caller_fd);
  close(caller_fd);
}

void MachineGate::Lose() {
  this->is_lost = true;
  this->acceptor.join();
  listen(this->fd, 0);
  sockaddr_in address = Loopback(this->bound_port);
  for (int i = 0; i < kFillers; ++i) {
    int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    static_cast<void>(connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    this->fillers.push_back(filler);
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  for (int caller : this->callers) shutdown(caller, SHUT_RDWR);
}

}  // namespace review

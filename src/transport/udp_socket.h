// A bound datagram socket on the event loop.
//
//   UdpSocket socket;
//   absl::Status status = socket.Bind(&loop, address, [](std::string_view datagram) { ... });
//   socket.Send(peer, "...");

#ifndef GULLWARD_TRANSPORT_UDP_SOCKET_H_
#define GULLWARD_TRANSPORT_UDP_SOCKET_H_

#include <functional>
#include <string_view>

#include "absl/status/status.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace gullward {

class UdpSocket {
 public:
  // Longer datagrams would be cut up on their way.
  static constexpr size_t kMaxBytes = 1400;

  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Begins to hand datagrams to `received`.  Port 0 leaves the choice to the kernel.
  absl::Status Bind(EventLoop* event_loop, const SocketAddress& address,
                    std::function<void(std::string_view datagram)> received);

  // The port that it is bound to.
  uint16_t port() const;

  // Sends or drops: datagrams promise nothing.
  void Send(const SocketAddress& to, std::string_view datagram);

 private:
  void ReceiveAll();

  EventLoop* loop = nullptr;
  int fd = -1;
  std::function<void(std::string_view)> on_received;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_UDP_SOCKET_H_

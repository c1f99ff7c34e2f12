// A bound UDP socket on the event loop.
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
  // Maximum size of a datagram.  Longer datagrams would be fragmented by the network, and are
  // truncated when they are received.
  static constexpr size_t kMaxBytes = 1400;

  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Binds the socket and calls `received` with each datagram; the bytes are valid only
  // during the call.  If the address has port 0, the kernel chooses the port.  Returns an
  // error if the address cannot be bound.
  absl::Status Bind(EventLoop* event_loop, const SocketAddress& address,
                    std::function<void(std::string_view datagram)> received);

  // The port to which the socket is bound.
  uint16_t port() const;

  // Sends a datagram.  Errors are ignored, since delivery is not guaranteed anyway.
  void Send(const SocketAddress& to, std::string_view datagram);

 private:
  void ReceiveAll();

  EventLoop* loop = nullptr;
  int fd = -1;
  std::function<void(std::string_view)> on_received;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_UDP_SOCKET_H_

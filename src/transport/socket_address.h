// IP addresses with ports, as settings and box lists write them.
//
//   absl::StatusOr<SocketAddress> address = SocketAddress::Parse("127.0.0.1:8080");
//
// Names are not looked up: boxes are reached by IP number.  An IPv6 number
// stands in brackets.  Port 0 asks the kernel for a free port when listening.

#ifndef GULLWARD_TRANSPORT_SOCKET_ADDRESS_H_
#define GULLWARD_TRANSPORT_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <string>

#include "absl/status/statusor.h"

namespace gullward {

struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;

  // Reads "IP:PORT".  InvalidArgument says what is wrong with it.
  static absl::StatusOr<SocketAddress> Parse(const std::string& text);

  std::string ToString() const;

  // Fills a socket address structure; the address must have come from Parse.
  socklen_t Fill(sockaddr_storage* storage) const;
};

// A listening TCP socket, non-blocking, or the system's error.
absl::StatusOr<int> ListenTcp(const SocketAddress& address);

// The port that a listening socket was given.
uint16_t LocalPort(int fd);

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_SOCKET_ADDRESS_H_

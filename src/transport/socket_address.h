// IP addresses with ports, in the form in which they stand in settings and box lists.
//
//   absl::StatusOr<SocketAddress> address = SocketAddress::Parse("127.0.0.1:8080");
//
// Host names are not resolved: boxes are addressed by IP number.  An IPv6 number stands in
// brackets.  When listening, port 0 asks the kernel for a free port.

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

  // Parses "IP:PORT".  Returns InvalidArgument with the text if it is malformed.
  static absl::StatusOr<SocketAddress> Parse(const std::string& text);

  // Parses the address of a server to connect to: as Parse, but port 0 is malformed too.
  static absl::StatusOr<SocketAddress> ParseServer(const std::string& text);

  // "IP:PORT", with an IPv6 number in brackets.
  std::string ToString() const;

  // Fills a socket address structure and returns its length.  The address must have been
  // returned by Parse, since the IP number is not checked again.
  socklen_t Fill(sockaddr_storage* storage) const;
};

// Returns a non-blocking listening TCP socket, which the caller must close, or the system's
// error.
absl::StatusOr<int> ListenTcp(const SocketAddress& address);

// The local port of a bound socket.
uint16_t LocalPort(int fd);

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_SOCKET_ADDRESS_H_

// Parses addresses and wraps the system calls that take them.

#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

#include "absl/status/status.h"

namespace gullward {
namespace {

absl::Status MalformedError(const std::string& text) {
  return absl::InvalidArgumentError("expected IP:PORT, got \"" + text + "\"");
}

bool IsIpv6(const std::string& host) { return host.find(':') != std::string::npos; }

bool IsIpNumber(const std::string& host) {
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(IsIpv6(host) ? AF_INET6 : AF_INET, host.c_str(), bytes) == 1;
}

}  // namespace

absl::StatusOr<SocketAddress> SocketAddress::Parse(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) return MalformedError(text);
  std::string host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  auto [parsed_end, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || parsed_end != end) return MalformedError(text);
  if (!IsIpNumber(host)) return MalformedError(text);
  return SocketAddress{host, port};
}

absl::StatusOr<SocketAddress> SocketAddress::ParseServer(const std::string& text) {
  absl::StatusOr<SocketAddress> address = Parse(text);
  if (address.ok() && address->port == 0) return MalformedError(text);
  return address;
}

std::string SocketAddress::ToString() const {
  std::string host_text = IsIpv6(this->host) ? "[" + this->host + "]" : this->host;
  return host_text + ":" + std::to_string(this->port);
}

socklen_t SocketAddress::Fill(sockaddr_storage* storage) const {
  std::memset(storage, 0, sizeof(*storage));
  if (IsIpv6(this->host)) {
    auto* address = reinterpret_cast<sockaddr_in6*>(storage);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(this->port);
    inet_pton(AF_INET6, this->host.c_str(), &address->sin6_addr);
    return sizeof(sockaddr_in6);
  }
  auto* address = reinterpret_cast<sockaddr_in*>(storage);
  address->sin_family = AF_INET;
  address->sin_port = htons(this->port);
  inet_pton(AF_INET, this->host.c_str(), &address->sin_addr);
  return sizeof(sockaddr_in);
}

absl::StatusOr<int> ListenTcp(const SocketAddress& address) {
  sockaddr_storage storage;
  socklen_t length = address.Fill(&storage);
  int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return absl::InternalError(std::strerror(errno));
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 || listen(fd, SOMAXCONN) != 0) {
    std::string reason = std::strerror(errno);
    close(fd);
    return absl::UnavailableError("cannot listen on " + address.ToString() + ": " + reason);
  }
  return fd;
}

uint16_t LocalPort(int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace gullward

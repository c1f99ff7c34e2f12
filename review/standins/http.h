// Blocking HTTP/1.1 over loopback sockets, for the review's stand-ins: one thread per connection.

#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double SecondsNow() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// An IPv4 address and a port.
struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline Address ParseAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

// Returns a port of `ip` that is free now.
inline int FreePort(const std::string& ip) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in any = ToSockaddr({ip, 0});
  if (bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof(any)) != 0) return 0;
  socklen_t size = sizeof(any);
  getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size);
  close(fd);
  return ntohs(any.sin_port);
}

inline int Listen(const Address& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in at = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, 512) != 0) {
    std::perror(("listen at " + address.Text()).c_str());
    std::exit(2);
  }
  return fd;
}

inline int Connect(const Address& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

struct Message {
  std::string start;  // The request line or the status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Whether the body ended as its framing states.
  bool complete = false;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return true;
    }
    return false;
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
};

// One connection.  Reads stop at `deadline` (SecondsNow), if it is set.
class Channel {
 public:
  explicit Channel(int socket_fd) : fd(socket_fd) {}
  ~Channel() { this->Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void Close() {
    if (this->fd >= 0) close(this->fd);
    this->fd = -1;
  }

  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t sent = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  // Whether the peer has closed the connection.
  bool PeerHasLeft() const {
    char next;
    return recv(this->fd, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // Reads the start line and the headers.  False if the connection ends or breaks first.
  bool ReadHead(Message* message) {
    *message = Message{};
    size_t end;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill()) return false;
    }
    std::string head = this->Take(end + 4);
    size_t line_end = head.find("\r\n");
    message->start = head.substr(0, line_end);
    for (size_t at = line_end + 2; (line_end = head.find("\r\n", at)) != at; at = line_end + 2) {
      std::string line = head.substr(at, line_end - at);
      size_t colon = line.find(':');
      size_t value = line.find_first_not_of(' ', colon + 1);
      message->headers.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }

  // Reads the body that the head announces.  `to_end`: without a length or chunks, the body of an
  // answer extends to the end of the connection.
  bool ReadBody(Message* message, bool to_end) {
    if (strcasecmp(message->Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      return message->complete = this->ReadChunks(message);
    }
    if (message->Has("Content-Length")) {
      size_t length = std::strtoull(message->Header("Content-Length").c_str(), nullptr, 10);
      while (this->buffer.size() < length && this->Fill()) {
      }
      message->complete = this->buffer.size() >= length;
      message->body = this->Take(std::min(length, this->buffer.size()));
      return message->complete;
    }
    if (!to_end) return message->complete = true;
    while (this->Fill()) {
    }
    message->body = this->Take(this->buffer.size());
    return message->complete = this->ended_in_order;
  }

  int fd;
  std::optional<double> deadline;
  // Whether the peer has closed the connection without an error.
  bool ended_in_order = false;

 private:
  std::string Take(size_t size) {
    std::string taken = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return taken;
  }

  bool Fill() {
    if (this->deadline) {
      double left = *this->deadline - SecondsNow();
      pollfd poll_fd{this->fd, POLLIN, 0};
      if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    }
    char bytes[16384];
    ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
    this->ended_in_order = count == 0;
    if (count <= 0) return false;
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  bool ReadChunks(Message* message) {
    while (true) {
      size_t line_end;
      while ((line_end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill()) return false;
      }
      size_t size = std::strtoull(this->buffer.c_str(), nullptr, 16);
      while (this->buffer.size() < line_end + 2 + size + 2) {
        if (!this->Fill()) {
          size_t held =
              std::min(this->buffer.size() - std::min(this->buffer.size(), line_end + 2), size);
          message->body += this->buffer.substr(line_end + 2, held);
          return false;
        }
      }
      message->body += this->buffer.substr(line_end + 2, size);
      this->Take(line_end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  std::string buffer;
};

// Accepts connections for ever and runs `serve` for each in a thread of its own.
inline void Serve(const Address& address, const std::function<void(Channel&)>& serve) {
  signal(SIGPIPE, SIG_IGN);
  int listener = Listen(address);
  while (true) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::thread([fd, &serve] {
      Channel channel(fd);
      serve(channel);
    }).detach();
  }
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    size_t end = target.find('&', at + 1);
    std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    size_t equals = pair.find('=');
    if (equals != std::string::npos) query[pair.substr(0, equals)] = pair.substr(equals + 1);
    at = end;
  }
  return query;
}

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_

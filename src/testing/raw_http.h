// A client that sends raw bytes to a server and returns the raw bytes of the answer, for
// golden files and for invalid requests that no HTTP library sends.

#ifndef GULLWARD_TESTING_RAW_HTTP_H_
#define GULLWARD_TESTING_RAW_HTTP_H_

#include <sys/socket.h>
#include <unistd.h>

#include <regex>
#include <sstream>
#include <string>

#include "transport/socket_address.h"

namespace gullward {

// A blocking TCP connection.  Reads time out after 60 seconds.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address) {
    sockaddr_storage storage;
    socklen_t length = SocketAddress::Parse(address)->Fill(&storage);
    this->fd = socket(storage.ss_family, SOCK_STREAM, 0);
    this->connected = connect(this->fd, reinterpret_cast<sockaddr*>(&storage), length) == 0;
    timeval timeout{60, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
  ~RawConnection() { close(this->fd); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Sends all bytes.  Returns false if the connection is closed.
  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t count = send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Shuts down the sending side.
  void HalfClose() { shutdown(this->fd, SHUT_WR); }

  // Reads until the server closes the connection or a read times out.  Sets `closed` to
  // whether the server closed or reset the connection.
  std::string ReadToEnd(bool* closed = nullptr) {
    std::string all;
    char buffer[65536];
    ssize_t count = 0;
    while ((count = recv(this->fd, buffer, sizeof(buffer), 0)) > 0) {
      all.append(buffer, static_cast<size_t>(count));
    }
    if (closed != nullptr) *closed = count == 0 || (count < 0 && errno == ECONNRESET);
    return all;
  }

 private:
  int fd = -1;
  bool connected = false;
};

// Removes the differences in a streamed answer that depend on the timing of three processes:
// how many tokens are in one event, and how many events in one chunk.  The lengths of chunks
// are removed, and consecutive parts of text are joined.
inline std::string JoinedParts(const std::string& answer) {
  std::string joined;
  std::string last_head;
  bool has_seen_empty = false;
  std::istringstream lines(std::regex_replace(answer, std::regex("\n[0-9A-Fa-f]+\n"), "\n"));
  for (std::string line; std::getline(lines, line);) {
    // Only the first empty line is kept, which ends the head.
    if (line.empty() && has_seen_empty) continue;
    has_seen_empty = has_seen_empty || line.empty();
    std::smatch match;
    static const std::regex part("(.*\"(?:text|content)\":\")([^\"]+)(\".*)");
    bool is_part = std::regex_match(line, match, part) && line.compare(0, 5, "data:") == 0;
    std::string head = is_part ? match[1].str() : "";
    if (is_part && head == last_head) {
      joined.insert(joined.size() - match[3].str().size() - 1, match[2].str());
      continue;
    }
    last_head = head;
    joined += line + "\n";
  }
  return joined;
}

// Replaces the values that differ from run to run: dates, request ids, creation times, and
// Retry-After, which depends on measured speeds.
inline std::string Normalised(std::string text) {
  text = std::regex_replace(text, std::regex("Date: [^\r]*"), "Date: DATE");
  text = std::regex_replace(text, std::regex("Retry-After: [0-9]+"), "Retry-After: SECONDS");
  text = std::regex_replace(text, std::regex("[0-9a-f]{16}-[0-9]+"), "ID");
  text = std::regex_replace(text, std::regex("\"created\":[0-9]+"), "\"created\":TIME");
  text = std::regex_replace(text, std::regex("\r\n"), "\n");
  return text;
}

}  // namespace gullward

#endif  // GULLWARD_TESTING_RAW_HTTP_H_

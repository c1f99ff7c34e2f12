// Sends bytes to a server as they are and reads all that comes back, for golden
// files and for requests that no HTTP library would send.

#ifndef GULLWARD_TESTING_RAW_HTTP_H_
#define GULLWARD_TESTING_RAW_HTTP_H_

#include <sys/socket.h>
#include <unistd.h>

#include <regex>
#include <sstream>
#include <string>

#include "transport/socket_address.h"

namespace gullward {

class RawConnection {
 public:
  explicit RawConnection(const std::string& address) {
    sockaddr_storage storage;
    socklen_t length = SocketAddress::Parse(address)->Fill(&storage);
    this->fd = socket(storage.ss_family, SOCK_STREAM, 0);
    this->connected = connect(this->fd, reinterpret_cast<sockaddr*>(&storage), length) == 0;
    timeval patience{60, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  }
  ~RawConnection() { close(this->fd); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t count = send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Shuts the sending side down.
  void HalfClose() { shutdown(this->fd, SHUT_WR); }

  // Reads until the server closes; `closed` tells whether it did.
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

// How many tokens come in one event, and how many events in one chunk, is up to
// the timing of three processes: the chunks' lengths are left out, and parts of
// text that follow each other are joined.
inline std::string JoinedParts(const std::string& answer) {
  std::string joined;
  std::string last_head;
  bool seen_empty = false;
  std::istringstream lines(std::regex_replace(answer, std::regex("\n[0-9A-Fa-f]+\n"), "\n"));
  for (std::string line; std::getline(lines, line);) {
    // Only the first empty line, after the head, says anything.
    if (line.empty() && seen_empty) continue;
    seen_empty = seen_empty || line.empty();
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

// Replaces what differs from run to run: dates, ids, creation times, and when to
// come back, which follows from speeds that were measured.
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

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

const std::chrono::steady_clock::time_point kBegan = std::chrono::steady_clock::now();

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

int BoundSocket(int* port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = Loopback(0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) std::abort();
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return fd;
}

bool WaitFor(int fd, short events, double until) {
  while (true) {
    double left = until - Now();
    if (left <= 0) return false;
    pollfd entry{fd, events, 0};
    int count = poll(&entry, 1, static_cast<int>(left * 1000) + 1);
    if (count > 0) return true;
    if (count < 0 && errno != EINTR) return false;
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kBegan).count();
}

double MonotonicSeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (this->file == nullptr) std::abort();
}

Record::~Record() { std::fclose(this->file); }

void Record::Line(const std::string& text) {
  std::lock_guard<std::mutex> lock(this->mutex);
  std::fprintf(this->file, "%9.3f %s\n", Now(), text.c_str());
  std::fflush(this->file);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : this->headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

bool Message::HasHeader(const std::string& name) const {
  return std::any_of(this->headers.begin(), this->headers.end(), [&](const auto& header) {
    return strcasecmp(header.first.c_str(), name.c_str()) == 0;
  });
}

int Message::Status() const {
  size_t blank = this->start.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(this->start.c_str() + blank);
}

std::string Message::Method() const { return this->start.substr(0, this->start.find(' ')); }

std::string Message::Target() const {
  size_t begin = this->start.find(' ') + 1;
  return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

Connection::~Connection() { this->Close(); }

void Connection::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

bool Connection::Write(const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    ssize_t sent = send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    done += static_cast<size_t>(sent);
  }
  return true;
}

bool Connection::IsClosed() const {
  char next = 0;
  ssize_t count = recv(this->fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool Connection::Fill(double until) {
  if (!WaitFor(this->fd, POLLIN, until)) return false;
  std::string buffer(this->read_size, '\0');
  ssize_t count = recv(this->fd, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  this->unread.append(buffer, 0, static_cast<size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string* line, double until) {
  size_t end = this->unread.find("\r\n");
  while (end == std::string::npos) {
    if (!this->Fill(until)) return false;
    end = this->unread.find("\r\n");
  }
  *line = this->unread.substr(0, end);
  this->unread.erase(0, end + 2);
  return true;
}

bool Connection::ReadHead(Message* message, double until) {
  *message = Message{};
  if (!this->ReadLine(&message->start, until)) return false;
  std::string line;
  while (this->ReadLine(&line, until)) {
    if (line.empty()) return true;
    size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    size_t value = line.find_first_not_of(' ', colon + 1);
    message->headers.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

void Connection::ReadBody(Message* message, bool is_answer, double until,
                          const std::function<void(size_t)>& on_bytes) {
  auto take = [&](size_t size) {
    while (this->unread.size() < size) {
      size_t before = this->unread.size();
      if (!this->Fill(until)) break;
      if (on_bytes) on_bytes(this->unread.size() - before);
    }
    size_t count = std::min(size, this->unread.size());
    message->body.append(this->unread, 0, count);
    this->unread.erase(0, count);
    return count == size;
  };
  if (message->Header("Transfer-Encoding") == "chunked") {
    std::string line;
    while (this->ReadLine(&line, until)) {
      size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (!take(size)) return;
      if (!this->ReadLine(&line, until)) return;
      if (size > 0) continue;
      message->is_whole = true;
      return;
    }
    return;
  }
  if (message->HasHeader("Content-Length")) {
    message->is_whole = take(std::strtoul(message->Header("Content-Length").c_str(), nullptr, 10));
    return;
  }
  if (!is_answer) {
    message->is_whole = true;
    return;
  }
  while (this->Fill(until)) {
    if (on_bytes) on_bytes(this->unread.size());
  }
  message->body += std::exchange(this->unread, {});
  message->is_whole = true;
}

std::unique_ptr<Connection> Connect(int port, double timeout, const ConnectOptions& options) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(fd);
  if (options.max_segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.max_segment, sizeof(int));
  }
  if (options.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof(int));
  }
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  sockaddr_in address = Loopback(port);
  double until = Now() + timeout;
  while (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    if (errno == EINTR && Now() < until) continue;
    return nullptr;
  }
  return connection;
}

std::optional<Message> Call(Connection* connection, const std::string& request, double until) {
  Message answer;
  if (!connection->Write(request)) return std::nullopt;
  if (!connection->ReadHead(&answer, until)) return std::nullopt;
  connection->ReadBody(&answer, /*is_answer=*/true, until);
  return answer;
}

Listener::Listener() {
  this->fd = BoundSocket(&this->bound_port);
  if (listen(this->fd, 512) != 0) std::abort();
}

void Listener::Serve(const std::function<void(Connection*)>& serve) {
  std::thread([fd = this->fd, serve] {
    while (true) {
      int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([accepted, serve] {
        Connection connection(accepted);
        serve(&connection);
      }).detach();
    }
  }).detach();
}

int FreePort() {
  int port = 0;
  close(BoundSocket(&port));
  return port;
}

std::string AnswerText(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                       const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string JsonField(const std::string& json, const std::string& name) {
  size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return "";
  at += name.size() + 3;
  bool is_text = json[at] == '"';
  size_t end = is_text ? json.find('"', at + 1) : json.find_first_of(",}", at);
  return json.substr(at + (is_text ? 1 : 0), end - at - (is_text ? 1 : 0));
}

}  // namespace review

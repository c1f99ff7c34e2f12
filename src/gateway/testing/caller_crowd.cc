// Non-blocking sockets that are polled in turn.

#include "gateway/testing/caller_crowd.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <thread>
#include <utility>

namespace gullward {
namespace {

// After this time without progress, a server that is merely slow would have read more.
constexpr Duration kQuiet = milliseconds(700);
// The whole time that a crowd may take.
constexpr Duration kMaxPress = seconds(60);
constexpr size_t kMaxSend = 64 << 10;

int ConnectTo(const SocketAddress& server) {
  sockaddr_storage storage;
  socklen_t length = server.Fill(&storage);
  int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool is_connected = connect(fd, reinterpret_cast<sockaddr*>(&storage), length) == 0;
  if (is_connected) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    return fd;
  }
  close(fd);
  return -1;
}

void CloseClient(int* fd) {
  if (*fd >= 0) close(*fd);
  *fd = -1;
}

}  // namespace

CallerCrowd::CallerCrowd(const SocketAddress& server, size_t size, SentText sent_text,
                         bool reads_answers)
    : text(std::move(sent_text)), reads(reads_answers), clients(size) {
  for (Client& client : this->clients) client.fd = ConnectTo(server);
}

CallerCrowd::~CallerCrowd() {
  for (Client& client : this->clients) CloseClient(&client.fd);
}

// Returns whether anything was sent.  A client whose connection has ended is closed.
bool CallerCrowd::SendOnce(Client* client, size_t most) const {
  if (client->fd < 0 || client->piece == this->text.size()) return false;
  const SentPiece& piece = this->text[client->piece];
  size_t left = std::min(piece.bytes.size() - client->offset, most);
  ssize_t sent = send(client->fd, piece.bytes.data() + client->offset, left, MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN) CloseClient(&client->fd);
    return false;
  }
  client->offset += static_cast<size_t>(sent);
  if (client->offset < piece.bytes.size()) return true;
  client->offset = 0;
  client->repeat += 1;
  if (client->repeat < piece.times) return true;
  client->repeat = 0;
  client->piece += 1;
  return true;
}

// Returns whether anything was read.
bool CallerCrowd::ReadOnce(Client* client) const {
  if (client->fd < 0 || !this->reads) return false;
  char buffer[4096];
  ssize_t count = recv(client->fd, buffer, sizeof(buffer), 0);
  if (count > 0) return true;
  if (count == 0 || errno != EAGAIN) CloseClient(&client->fd);
  return false;
}

bool CallerCrowd::SendSome(size_t bytes) {
  bool any = false;
  for (Client& client : this->clients) {
    any = this->SendOnce(&client, bytes) || any;
    any = this->ReadOnce(&client) || any;
  }
  return any;
}

void CallerCrowd::Press() {
  Time start = Now();
  Time last_progress = start;
  while (Now() - last_progress < kQuiet && Now() - start < kMaxPress) {
    if (this->SendSome(kMaxSend)) {
      last_progress = Now();
    } else {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
}

size_t CallerCrowd::open() const {
  return static_cast<size_t>(std::count_if(this->clients.begin(), this->clients.end(),
                                           [](const Client& client) { return client.fd >= 0; }));
}

}  // namespace gullward

// Reads until the kernel has no more data, decodes the whole frames, and keeps the rest.

#include "transport/frame_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/status/status.h"
#include "wire/codec.h"

namespace gullward {
namespace {

// Size of the read buffer.  It is on the stack, so that an idle connection needs none.
constexpr size_t kReadBytes = 64u << 10;

// Sent bytes are erased from the front of the output buffer only when there are more than
// this many of them, so that the remaining bytes are not moved after every write.
constexpr size_t kCompactBytes = 1 << 20;

uint32_t ReadLength(const char* bytes) {
  const auto* b = reinterpret_cast<const unsigned char*>(bytes);
  return b[0] | (b[1] << 8) | (b[2] << 16) | (static_cast<uint32_t>(b[3]) << 24);
}

}  // namespace

std::shared_ptr<FrameConnection> FrameConnection::Connect(EventLoop* loop,
                                                          const SocketAddress& address,
                                                          Hooks hooks) {
  sockaddr_storage storage;
  socklen_t length = address.Fill(&storage);
  int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  // An immediate failure is reported by the posted task below, unless the loop calls
  // FinishConnecting first, which reads the error from the socket.
  int result = connect(fd, reinterpret_cast<sockaddr*>(&storage), length);
  bool failed = result != 0 && errno != EINPROGRESS;
  std::shared_ptr<FrameConnection> connection(
      new FrameConnection(loop, fd, /*connecting=*/true, std::move(hooks)));
  connection->Start();
  if (failed) {
    std::string reason = std::strerror(errno);
    loop->Post([connection, reason] { connection->Close(absl::UnavailableError(reason)); });
  }
  return connection;
}

std::shared_ptr<FrameConnection> FrameConnection::Adopt(EventLoop* loop, int fd, Hooks hooks) {
  std::shared_ptr<FrameConnection> connection(
      new FrameConnection(loop, fd, /*connecting=*/false, std::move(hooks)));
  connection->Start();
  if (connection->hooks.opened) connection->hooks.opened(connection.get());
  return connection;
}

FrameConnection::FrameConnection(EventLoop* event_loop, int socket_fd, bool is_connecting,
                                 Hooks connection_hooks)
    : loop(event_loop),
      fd(socket_fd),
      connecting(is_connecting),
      hooks(std::move(connection_hooks)) {}

FrameConnection::~FrameConnection() {
  if (this->fd >= 0) close(this->fd);
}

void FrameConnection::Start() {
  this->self = this->shared_from_this();
  int one = 1;
  setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  this->watching_output = this->connecting;
  uint32_t events = EPOLLIN | (this->connecting ? EPOLLOUT : 0u);
  this->loop->Watch(this->fd, events,
                    [this](uint32_t ready_events) { this->HandleEvents(ready_events); });
}

void FrameConnection::HandleEvents(uint32_t events) {
  std::shared_ptr<FrameConnection> keep_alive = this->self;
  if (this->connecting) {
    if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) this->FinishConnecting();
    return;
  }
  if (events & EPOLLOUT) this->WriteAll();
  if (this->fd >= 0 && (events & (EPOLLIN | EPOLLERR | EPOLLHUP))) this->ReadAll();
}

void FrameConnection::FinishConnecting() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    this->Close(absl::UnavailableError(std::strerror(error)));
    return;
  }
  this->connecting = false;
  if (this->hooks.opened) this->hooks.opened(this);
  if (this->fd >= 0) this->WriteAll();
}

void FrameConnection::ReadAll() {
  while (this->fd >= 0) {
    char buffer[kReadBytes];
    ssize_t count = recv(this->fd, buffer, kReadBytes, 0);
    if (count > 0) this->input.append(buffer, static_cast<size_t>(count));
    if (count == 0) {
      this->Close(absl::UnavailableError("the peer closed the connection"));
      return;
    }
    if (count < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (errno == EINTR) continue;
      this->Close(absl::UnavailableError(std::strerror(errno)));
      return;
    }
    this->received_total += static_cast<uint64_t>(count);
    if (!this->DecodeFrames()) return;
  }
}

bool FrameConnection::DecodeFrames() {
  size_t start = 0;
  while (this->fd >= 0 && this->input.size() - start >= kFrameHeaderBytes) {
    uint32_t length = ReadLength(this->input.data() + start);
    if (length > kMaxFrameBytes) {
      this->Close(absl::InvalidArgumentError("frame exceeds the maximum length"));
      return false;
    }
    if (this->input.size() - start < kFrameHeaderBytes + length) break;
    // FlatBuffers requires an aligned buffer, so each frame is copied to one of its own.
    std::string frame = this->input.substr(start + kFrameHeaderBytes, length);
    start += kFrameHeaderBytes + length;
    absl::StatusOr<Message> message = DecodeMessage(frame);
    if (!message.ok()) {
      this->Close(message.status());
      return false;
    }
    if (this->hooks.received) this->hooks.received(this, *std::move(message));
  }
  if (this->fd < 0) return false;
  this->input.erase(0, start);
  return true;
}

void FrameConnection::Send(const Message& message) {
  if (this->fd < 0) return;
  this->output += EncodeFrame(message);
  if (this->queued_bytes() > kMaxQueuedBytes) {
    // Closed from a posted task, because a caller of Send need not expect the connection to
    // be closed within the call, for example in a loop over connections.
    this->loop->Post([keep_alive = this->shared_from_this()] {
      keep_alive->Close(absl::ResourceExhaustedError(
          "the peer reads too slowly: too many bytes wait to be sent"));
    });
    return;
  }
  if (!this->connecting) this->WriteAll();
}

void FrameConnection::WriteAll() {
  while (this->fd >= 0 && this->queued_bytes() > 0) {
    ssize_t count =
        send(this->fd, this->output.data() + this->output_sent, this->queued_bytes(), MSG_NOSIGNAL);
    if (count < 0) {
      // A broken connection becomes readable and is closed by ReadAll.
      if (errno == EINTR) continue;
      break;
    }
    this->output_sent += static_cast<size_t>(count);
    this->sent_total += static_cast<uint64_t>(count);
  }
  if (this->queued_bytes() == 0) {
    this->output.clear();
    this->output_sent = 0;
  } else if (this->output_sent > kCompactBytes) {
    this->output.erase(0, this->output_sent);
    this->output_sent = 0;
  }
  this->UpdateWatch();
}

void FrameConnection::UpdateWatch() {
  if (this->fd < 0) return;
  bool want_output = this->queued_bytes() > 0;
  if (want_output == this->watching_output) return;
  this->watching_output = want_output;
  this->loop->Rewatch(this->fd, EPOLLIN | (want_output ? EPOLLOUT : 0u));
}

void FrameConnection::Close(const absl::Status& reason) {
  if (this->fd < 0) return;
  std::shared_ptr<FrameConnection> keep_alive = std::move(this->self);
  this->loop->Unwatch(this->fd);
  close(this->fd);
  this->fd = -1;
  this->output.clear();
  this->output_sent = 0;
  Hooks last_hooks = std::move(this->hooks);
  this->hooks = Hooks{};
  if (last_hooks.closed) last_hooks.closed(this, reason);
  // Close may have been called from one of the hooks, and a hook must not be destroyed while
  // it runs.  The posted task keeps the hooks and the connection until then.
  this->loop->Post([last_hooks, keep_alive] {});
}

}  // namespace gullward

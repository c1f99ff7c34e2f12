// Level-triggered epoll, with one recv per event and one send per write.

#include "transport/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace gullward {
namespace {

// A connection whose peer acknowledges nothing for this time is closed as broken.  Must be
// less than the two seconds after which callers abandon a silent stream.
constexpr int kUserTimeoutMillis = 1500;
// Keep-alive probes on an idle connection, in whole seconds, the unit of the socket options.
// A peer that has lost power is detected within two seconds.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbesUnanswered = 1;
// How long FinishAndClose waits for the peer to close.
constexpr Duration kFinishWait = seconds(2);
constexpr size_t kReadBytes = 64 << 10;

void SetSocketOptions(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  int timeout = kUserTimeoutMillis;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterSeconds, sizeof(kProbeAfterSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeEverySeconds, sizeof(kProbeEverySeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbesUnanswered, sizeof(kProbesUnanswered));
}

// How an attempt to connect ended, by its errno.
StreamEnd EndOf(int error) {
  return error == ECONNREFUSED ? StreamEnd::kRefused : StreamEnd::kNotConnected;
}

}  // namespace

std::shared_ptr<TcpStream> TcpStream::Adopt(EventLoop* loop, int fd) {
  std::shared_ptr<TcpStream> stream(new TcpStream(loop, fd, State::kOpen));
  stream->Start();
  return stream;
}

std::shared_ptr<TcpStream> TcpStream::Connect(EventLoop* loop, const SocketAddress& address) {
  sockaddr_storage storage;
  socklen_t length = address.Fill(&storage);
  int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool is_started = fd >= 0 && (connect(fd, reinterpret_cast<sockaddr*>(&storage), length) == 0 ||
                                errno == EINPROGRESS);
  std::shared_ptr<TcpStream> stream(new TcpStream(loop, fd, State::kConnecting));
  if (is_started) {
    stream->Start();
  } else {
    StreamEnd end = fd >= 0 ? EndOf(errno) : StreamEnd::kNotConnected;
    loop->RunAfter(Duration(0), [stream, end] { stream->End(end); });
  }
  return stream;
}

TcpStream::TcpStream(EventLoop* event_loop, int socket_fd, State initial)
    : loop(event_loop), fd(socket_fd), state(initial) {}

TcpStream::~TcpStream() { this->Close(); }

void TcpStream::Start() {
  SetSocketOptions(this->fd);
  this->interest = this->state == State::kConnecting ? EPOLLOUT : EPOLLIN;
  this->loop->Watch(this->fd, this->interest, [this](uint32_t events) { this->OnEvents(events); });
}

void TcpStream::OnEvents(uint32_t events) {
  std::shared_ptr<TcpStream> self = this->shared_from_this();
  if (this->state == State::kConnecting) {
    this->OnConnected();
    return;
  }
  if ((events & EPOLLOUT) != 0) this->SendSome();
  if (this->state == State::kClosed) return;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) this->ReadSome();
}

void TcpStream::OnConnected() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    this->End(EndOf(error));
    return;
  }
  this->state = State::kOpen;
  this->SendSome();
  if (this->state != State::kClosed) this->UpdateInterest();
  if (this->state == State::kOpen && this->hooks.connected) this->hooks.connected();
}

void TcpStream::Write(std::string_view bytes) {
  if (this->state == State::kClosed || this->state == State::kFinishing) return;
  bool send_now = this->state == State::kOpen && this->unsent.empty();
  if (send_now) {
    ssize_t sent = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent == static_cast<ssize_t>(bytes.size())) return;
    // If the connection is broken, the next read reports it: no hook runs within Write.
    if (sent > 0) bytes.remove_prefix(static_cast<size_t>(sent));
  }
  this->unsent.append(bytes);
  this->UpdateInterest();
}

void TcpStream::SendSome() {
  if (this->unsent.empty()) return;
  ssize_t sent = send(this->fd, this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno == EAGAIN || errno == EINTR) return;
    this->End(StreamEnd::kBroken);
    return;
  }
  this->unsent.erase(0, static_cast<size_t>(sent));
  if (!this->unsent.empty()) return;
  this->UpdateInterest();
  this->ShutDownWhenSent();
  if (this->state == State::kOpen && this->hooks.drained) this->hooks.drained();
}

void TcpStream::ReadSome() {
  static char buffer[kReadBytes];
  ssize_t count = recv(this->fd, buffer, sizeof(buffer), 0);
  if (count > 0) {
    bool wanted = this->state == State::kOpen && this->hooks.data;
    if (wanted) this->hooks.data(std::string_view(buffer, static_cast<size_t>(count)));
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  this->End(count == 0 ? StreamEnd::kFinished : StreamEnd::kBroken);
}

bool TcpStream::HasPeerClosed() const {
  if (this->state != State::kOpen) return true;
  char next = 0;
  ssize_t count = recv(this->fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  bool nothing_yet = count < 0 && (errno == EAGAIN || errno == EINTR);
  return count <= 0 && !nothing_yet;
}

void TcpStream::SetReading(bool wanted) {
  this->reading = wanted;
  if (this->state == State::kOpen) this->UpdateInterest();
}

void TcpStream::UpdateInterest() {
  if (this->state == State::kClosed || this->state == State::kConnecting) return;
  uint32_t wanted = 0;
  if (!this->unsent.empty()) wanted |= EPOLLOUT;
  if (this->reading || this->state == State::kFinishing) wanted |= EPOLLIN;
  if (wanted == this->interest) return;
  this->interest = wanted;
  this->loop->Rewatch(this->fd, wanted);
}

void TcpStream::FinishAndClose() {
  if (this->state != State::kOpen) {
    this->Close();
    return;
  }
  this->state = State::kFinishing;
  this->UpdateInterest();
  this->ShutDownWhenSent();
  this->loop->RunAfter(kFinishWait, [self = this->shared_from_this()] { self->Close(); });
}

void TcpStream::ShutDownWhenSent() {
  if (this->state == State::kFinishing && this->unsent.empty()) shutdown(this->fd, SHUT_WR);
}

void TcpStream::Close() {
  if (this->state == State::kClosed) return;
  this->state = State::kClosed;
  if (this->fd < 0) return;
  this->loop->Unwatch(this->fd);
  close(this->fd);
  this->fd = -1;
}

void TcpStream::Reset() {
  if (this->state == State::kClosed) return;
  linger abort{1, 0};
  if (this->fd >= 0) setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  this->Close();
}

void TcpStream::End(StreamEnd end) {
  if (this->state == State::kClosed) return;
  bool is_finishing = this->state == State::kFinishing;
  this->Close();
  // Moved out first, because the hook may release the last reference to this stream.
  Hooks last_hooks = std::move(this->hooks);
  this->hooks = {};
  if (!is_finishing && last_hooks.closed) last_hooks.closed(end);
}

}  // namespace gullward

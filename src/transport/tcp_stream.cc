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
// Bytes that are written one after the other are buffered in pieces of about this size, so that
// what has been sent can be released.
constexpr size_t kPieceBytes = 64 << 10;

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
  if ((events & EPOLLRDHUP) != 0 && this->WatchesForLeave()) {
    std::function<void()> left = std::exchange(this->hooks.left, nullptr);
    this->UpdateInterest();
    left();
    if (this->state == State::kClosed) return;
  }
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

std::string_view TcpStream::Piece::rest() const {
  std::string_view all = this->shared ? std::string_view(*this->shared) : this->own;
  return all.substr(this->sent);
}

bool TcpStream::MaySendNow() const { return this->state == State::kOpen && this->unsent.empty(); }

// Returns how many bytes the kernel has accepted.  If the connection is broken, the next read
// reports it.
size_t TcpStream::SendNow(std::string_view bytes) const {
  ssize_t sent = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return sent > 0 ? static_cast<size_t>(sent) : 0;
}

void TcpStream::Buffer(Piece piece) {
  size_t bytes = piece.rest().size();
  if (bytes == 0) return;
  bool fits_last = !piece.shared && !this->unsent.empty() && !this->unsent.back().shared &&
                   this->unsent.back().own.size() + bytes <= kPieceBytes;
  if (fits_last) {
    this->unsent.back().own.append(piece.rest());
  } else {
    this->unsent.push_back(std::move(piece));
  }
  this->unsent_bytes += bytes;
  this->UpdateInterest();
}

void TcpStream::Write(std::string_view bytes) {
  if (this->state == State::kClosed || this->state == State::kFinishing) return;
  if (this->MaySendNow()) bytes.remove_prefix(this->SendNow(bytes));
  if (!bytes.empty()) this->Buffer({std::string(bytes), nullptr});
}

void TcpStream::Write(SharedBytes bytes) {
  if (this->state == State::kClosed || this->state == State::kFinishing) return;
  size_t sent = this->MaySendNow() ? this->SendNow(*bytes) : 0;
  this->Buffer({"", std::move(bytes), sent});
}

void TcpStream::LimitReceiveBuffer(int bytes) {
  setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void TcpStream::SendSome() {
  while (!this->unsent.empty()) {
    Piece& piece = this->unsent.front();
    std::string_view rest = piece.rest();
    ssize_t sent = send(this->fd, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) return;
      this->End(StreamEnd::kBroken);
      return;
    }
    piece.sent += static_cast<size_t>(sent);
    this->unsent_bytes -= static_cast<size_t>(sent);
    if (static_cast<size_t>(sent) < rest.size()) return;
    this->unsent.pop_front();
    if (!this->unsent.empty()) continue;
    this->UpdateInterest();
    this->ShutDownWhenSent();
    if (this->state == State::kOpen && this->hooks.drained) this->hooks.drained();
    return;
  }
}

void TcpStream::DropUnsent() {
  this->unsent.clear();
  this->unsent_bytes = 0;
}

void TcpStream::ReadSome() {
  static char buffer[kReadBytes];
  ssize_t count = recv(this->fd, buffer, sizeof(buffer), 0);
  if (count > 0) {
    auto size = static_cast<size_t>(count);
    bool wanted = this->state == State::kOpen && this->hooks.data;
    if (wanted) this->hooks.data(std::string_view(buffer, size));
    if (this->state == State::kFinishing) this->Discard(size);
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  this->End(count == 0 ? StreamEnd::kFinished : StreamEnd::kBroken);
}

void TcpStream::Discard(size_t bytes) {
  this->discarded_bytes += bytes;
  if (this->discarded_bytes > kMaxDiscardedBytes) this->Close();
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

bool TcpStream::WatchesForLeave() const {
  return this->state == State::kOpen && !this->reading && this->hooks.left;
}

void TcpStream::UpdateInterest() {
  if (this->state == State::kClosed || this->state == State::kConnecting) return;
  uint32_t wanted = 0;
  if (!this->unsent.empty()) wanted |= EPOLLOUT;
  if (this->reading || this->state == State::kFinishing) wanted |= EPOLLIN;
  if (this->WatchesForLeave()) wanted |= EPOLLRDHUP;
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
  this->DropUnsent();
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

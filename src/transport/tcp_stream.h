// One TCP connection on the event loop: bytes in by a hook, bytes out by Write.
//
//   auto stream = TcpStream::Connect(&loop, address);
//   stream->SetHooks({.data = ..., .closed = ...});
//   stream->Write("...");                 // before it stands too: kept till then
//
// A stream is held by a shared pointer; it stays alive while its own hooks run.
// After Close no hook is called any more.  Writes go out at once where the
// kernel takes them, so that an event that is passed on costs one system call;
// the rest is kept, and pending() tells how much, so that the owner can stop
// reading from whoever produces it.

#ifndef GULLWARD_TRANSPORT_TCP_STREAM_H_
#define GULLWARD_TRANSPORT_TCP_STREAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

namespace gullward {

// How a connection ended.
enum class StreamEnd {
  // The peer closed in good order.
  kFinished,
  // Reset, timed out or unreachable.
  kBroken,
  // It never stood: the peer saw nothing.
  kNotConnected,
  // It never stood: the peer's box answers, and nobody listens there.
  kRefused,
};

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  struct Hooks {
    // Bytes as they come; they hold only during the call.
    std::function<void(std::string_view)> data;
    // The connection has ended.
    std::function<void(StreamEnd)> closed;
    // Everything written has gone to the kernel.
    std::function<void()> drained;
    // A connection that we began stands.
    std::function<void()> connected;
  };

  // Takes over an accepted socket.
  static std::shared_ptr<TcpStream> Adopt(EventLoop* loop, int fd);

  // Begins to connect.  A failure comes through the closed hook, also where the
  // system refuses at once.
  static std::shared_ptr<TcpStream> Connect(EventLoop* loop, const SocketAddress& address);

  ~TcpStream();

  void SetHooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

  // Sends the bytes, or keeps what the kernel does not take.
  void Write(std::string_view bytes);

  // Whether a connection that we began does not stand yet: then nothing has been sent.
  bool is_connecting() const { return this->state == State::kConnecting; }

  // Bytes written that the kernel has not taken yet.
  size_t pending() const { return this->unsent.size(); }

  // Whether the peer has ended the connection and nothing of it is left to read: its end
  // may lie in the kernel for long before it is read, where this process stood still.
  bool HasPeerClosed() const;

  // Stops and resumes reading; the kernel then holds the peer up.
  void SetReading(bool wanted);

  // Sends what is pending, tells the peer that nothing more comes and reads
  // until the peer closes too: a close with unread bytes would reset the
  // connection and could lose the answer on its way.
  void FinishAndClose();

  // Closes at once; what is pending is lost.
  void Close();

  // Closes so that the peer sees a reset, never a good end.
  void Reset();

 private:
  enum class State { kConnecting, kOpen, kFinishing, kClosed };

  TcpStream(EventLoop* loop, int fd, State state);
  void Start();
  void OnEvents(uint32_t events);
  void OnConnected();
  void ReadSome();
  void SendSome();
  void ShutDownWhenSent();
  void UpdateInterest();
  void End(StreamEnd end);

  EventLoop* loop;
  int fd;
  State state;
  bool reading = true;
  uint32_t interest = 0;
  std::string unsent;
  Hooks hooks;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_TCP_STREAM_H_

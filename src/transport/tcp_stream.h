// A TCP connection on the event loop that reads and writes plain bytes.
//
//   auto stream = TcpStream::Connect(&loop, address);
//   stream->SetHooks({.data = ..., .closed = ...});
//   stream->Write("...");                 // buffered until the connection is established
//
// A stream is held by a shared pointer and stays alive while its own hooks run.  No hook is
// called after Close.  Write passes the bytes to the kernel at once, so that forwarding an
// event costs one system call, and buffers the bytes that the kernel does not accept.
// pending() is the size of this buffer, by which the owner can apply back-pressure to the
// source of the bytes.  Shared bytes are buffered without a copy, and are released as soon as they
// have been sent.

#ifndef GULLWARD_TRANSPORT_TCP_STREAM_H_
#define GULLWARD_TRANSPORT_TCP_STREAM_H_

#include <deque>
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
  // The peer closed the connection without an error.
  kFinished,
  // The connection was reset, timed out or became unreachable.
  kBroken,
  // The connection was never established, so the peer received nothing.
  kNotConnected,
  // The connection was never established: the peer's box refused it (ECONNREFUSED), because
  // no process listens on the port.
  kRefused,
};

// Bytes with several owners, which none of them changes.
using SharedBytes = std::shared_ptr<const std::string>;

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  struct Hooks {
    // Called with received bytes, which are valid only during the call.
    std::function<void(std::string_view)> data;
    // Called once when the connection has ended, but not after Close, Reset or
    // FinishAndClose.
    std::function<void(StreamEnd)> closed;
    // Called when the kernel has accepted all bytes that were buffered.
    std::function<void()> drained;
    // Called when an outgoing connection is established.
    std::function<void()> connected;
    // Called once if the peer shuts down its sending side while reading is paused.  Received bytes
    // may be left to read.  Optional.
    std::function<void()> left = {};
  };

  // Takes ownership of an accepted socket.
  static std::shared_ptr<TcpStream> Adopt(EventLoop* loop, int fd);

  // Starts to connect.  A failure, including an immediate one, is reported through the closed
  // hook, after this function has returned.
  static std::shared_ptr<TcpStream> Connect(EventLoop* loop, const SocketAddress& address);

  ~TcpStream();

  void SetHooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

  // Sends the bytes, and buffers those that the kernel does not accept.
  void Write(std::string_view bytes);
  void Write(SharedBytes bytes);

  // Bounds the received bytes that the kernel keeps for this connection.
  void LimitReceiveBuffer(int bytes);

  // Whether an outgoing connection is not established yet; nothing has been sent then.
  bool is_connecting() const { return this->state == State::kConnecting; }

  // Number of written bytes that the kernel has not accepted yet.
  size_t pending() const { return this->unsent_bytes; }

  // Whether the peer has closed or reset the connection and no received bytes are left to
  // read, or the stream is not open.  This asks the kernel, because the end of the connection
  // may have arrived long before the loop reads it if this process was suspended.
  bool HasPeerClosed() const;

  // Pauses (false) or resumes (true) reading.  While reading is paused, TCP flow control
  // stops the peer from sending.
  void SetReading(bool wanted);

  // Sends the pending bytes, shuts down the sending side, and discards received bytes until
  // the peer closes too, for at most two seconds.  Closing a socket with unread bytes would
  // reset the connection, and the peer could lose an answer that is still in transit.  A peer that
  // sends more than kMaxDiscardedBytes is reset all the same.
  void FinishAndClose();
  static constexpr size_t kMaxDiscardedBytes = 8 << 20;

  // Closes at once; pending bytes are lost.
  void Close();

  // Closes with a reset, so that the peer does not take the end of the connection for the
  // regular end of an answer.
  void Reset();

 private:
  enum class State { kConnecting, kOpen, kFinishing, kClosed };

  // Bytes to be sent: either the stream's own or shared ones.
  struct Piece {
    std::string own;
    SharedBytes shared;
    size_t sent = 0;

    std::string_view rest() const;
  };

  TcpStream(EventLoop* loop, int fd, State state);
  void Start();
  void OnEvents(uint32_t events);
  void OnConnected();
  void ReadSome();
  bool MaySendNow() const;
  size_t SendNow(std::string_view bytes) const;
  void Buffer(Piece piece);
  void SendSome();
  void DropUnsent();
  void Discard(size_t bytes);
  bool WatchesForLeave() const;
  void ShutDownWhenSent();
  void UpdateInterest();
  void End(StreamEnd end);

  EventLoop* loop;
  int fd;
  State state;
  bool reading = true;
  uint32_t interest = 0;
  std::deque<Piece> unsent;
  size_t unsent_bytes = 0;
  size_t discarded_bytes = 0;
  Hooks hooks;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_TCP_STREAM_H_

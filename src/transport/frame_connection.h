// A TCP connection that carries frames: four bytes of length, then FlatBuffers.
//
// Invalid input affects only the connection on which it arrives: a frame that is too long,
// fails verification or holds a message of an unknown kind closes this connection.  The bytes
// that wait to be written are limited; the connection is also closed if the peer reads so
// slowly that the limit is exceeded.
//
//   auto connection = FrameConnection::Connect(&loop, address, hooks);
//   connection->Send(Hello{...});
//
// The connection holds a reference to itself until it is closed.  No hook is called after
// `closed`.  All members are for the loop's thread only.

#ifndef GULLWARD_TRANSPORT_FRAME_CONNECTION_H_
#define GULLWARD_TRANSPORT_FRAME_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"
#include "wire/messages.h"

namespace gullward {

// Maximum number of bytes that may wait to be written on one connection: two frames of the
// maximum length and a margin.
inline constexpr size_t kMaxQueuedBytes = 64u << 20;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Hooks {
    // Called once the connection is established; for an accepted connection, within Adopt.
    std::function<void(FrameConnection*)> opened;
    // Called for each message that passed verification.
    std::function<void(FrameConnection*, Message)> received;
    // Called once, with the reason.  InvalidArgument means that a frame was rejected
    // (ResultCode::kBadFrame); rejected frames are counted by the owner of the hook.
    std::function<void(FrameConnection*, const absl::Status&)> closed;
  };

  // Starts to connect.  A failure to connect is reported through the closed hook, after this
  // function has returned.
  static std::shared_ptr<FrameConnection> Connect(EventLoop* loop, const SocketAddress& address,
                                                  Hooks hooks);

  // Takes ownership of an accepted socket.
  static std::shared_ptr<FrameConnection> Adopt(EventLoop* loop, int fd, Hooks hooks);

  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  // Queues a message.  Does nothing if the connection is closed.
  void Send(const Message& message);

  // Closes the connection; the closed hook runs before this function returns.
  void Close(const absl::Status& reason);

  // Number of bytes that wait to be written.
  size_t queued_bytes() const { return this->output.size() - this->output_sent; }

  // Number of bytes sent and received since the connection was created.
  uint64_t bytes_sent() const { return this->sent_total; }
  uint64_t bytes_received() const { return this->received_total; }

 private:
  FrameConnection(EventLoop* loop, int fd, bool connecting, Hooks hooks);

  void Start();
  void HandleEvents(uint32_t events);
  void FinishConnecting();
  void ReadAll();
  bool DecodeFrames();
  void WriteAll();
  void UpdateWatch();

  EventLoop* loop;
  int fd;
  bool connecting;
  Hooks hooks;
  std::shared_ptr<FrameConnection> self;
  std::string input;
  std::string output;
  size_t output_sent = 0;
  bool watching_output = false;
  uint64_t sent_total = 0;
  uint64_t received_total = 0;
};

}  // namespace gullward

#endif  // GULLWARD_TRANSPORT_FRAME_CONNECTION_H_

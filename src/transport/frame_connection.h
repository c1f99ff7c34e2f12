// A TCP connection that carries frames: four bytes of length, then FlatBuffers.
//
// Whatever a peer sends, harm stays on its own connection: a frame that is too
// long, fails verification or is of an unknown kind closes the connection and
// is counted, and nothing else.  What waits to be written is bounded; a peer
// that does not read until the bound is passed is closed too.
//
//   auto connection = FrameConnection::Connect(&loop, address, hooks);
//   connection->Send(Hello{...});
//
// The connection keeps itself alive until it is closed; after its `closed` hook
// has run it calls nothing again.  All members are for the loop's thread.

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

// Bytes that may wait to be written on one connection: two of the longest
// frames and some room.
inline constexpr size_t kMaxQueuedBytes = 64u << 20;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Hooks {
    // Runs once the connection stands (also for accepted ones).
    std::function<void(FrameConnection*)> opened;
    // Runs for each verified message.
    std::function<void(FrameConnection*, Message)> received;
    // Runs once, with the reason.  kBadFrame's count is the receiver's to keep.
    std::function<void(FrameConnection*, const absl::Status&)> closed;
  };

  // Starts to connect.  Failure to connect comes through the closed hook.
  static std::shared_ptr<FrameConnection> Connect(EventLoop* loop, const SocketAddress& address,
                                                  Hooks hooks);

  // Takes over an accepted socket.
  static std::shared_ptr<FrameConnection> Adopt(EventLoop* loop, int fd, Hooks hooks);

  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  // Queues a message.  On a closed connection it does nothing.
  void Send(const Message& message);

  // Closes now; the closed hook runs before this returns.
  void Close(const absl::Status& reason);

  // Bytes that wait to be written.
  size_t queued_bytes() const { return this->output.size() - this->output_sent; }

  // Bytes sent and received since the connection was made.
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

// An entry's connections to the endpoint boxes.
//
// One TCP connection to each box that the platform's list (or the settings)
// names, made again with a growing delay after it breaks.  Both sides send
// heartbeats; a box that has been silent for kSilence is given up as lost and
// its connection closed, which covers frozen processes and half-open sockets
// alike.
//
//   BoxConnections boxes(&loop, hello, hooks);
//   boxes.Update({{"box-3", address}});
//   boxes.Send("box-3", offer);
//   boxes.Tick(config_offset);         // every heartbeat period

#ifndef GULLWARD_ENTRY_BOX_CONNECTIONS_H_
#define GULLWARD_ENTRY_BOX_CONNECTIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/frame_connection.h"
#include "wire/messages.h"

namespace gullward {

// Between two heartbeats on one connection.
inline constexpr Duration kHeartbeatPeriod = milliseconds(500);

// Silence after which a box counts as lost.
inline constexpr Duration kSilence = seconds(3);

class BoxConnections {
 public:
  struct Hooks {
    std::function<void(const std::string& box, const Message& message)> received;
    // Runs only for boxes whose connection stood.
    std::function<void(const std::string& box)> lost;
  };

  BoxConnections(EventLoop* loop, Hello hello, Hooks hooks);
  // Closes all connections; no hook runs any more.
  ~BoxConnections();
  BoxConnections(const BoxConnections&) = delete;
  BoxConnections& operator=(const BoxConnections&) = delete;

  // The boxes to be connected to.  Others are kept as long as they stay up: the
  // list lags, and a box that it no longer names may still have work of ours.
  void Update(const std::map<std::string, SocketAddress>& wanted);

  // Sends, if the box is connected.
  void Send(const std::string& box, const Message& message);

  // Heartbeats, reconnects, silence.
  void Tick(int64_t config_offset);

  size_t connected() const;
  uint64_t bad_frames() const { return this->bad_frame_count; }

 private:
  struct Box {
    SocketAddress address;
    std::shared_ptr<FrameConnection> connection;
    bool open = false;
    bool wanted = true;
    Time last_heard;
    Time next_try;
    Duration backoff{};
  };

  void Connect(const std::string& name, Box* box);
  void OnClosed(const std::string& name, FrameConnection* connection, const absl::Status& reason);

  EventLoop* loop;
  Hello hello;
  Hooks hooks;
  std::map<std::string, Box> boxes;
  uint64_t heartbeats = 0;
  uint64_t bad_frame_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_ENTRY_BOX_CONNECTIONS_H_

// An entry's connections to the endpoint boxes.
//
// An entry keeps one TCP connection to each box that the platform's list or the settings name.  A
// broken connection is made again after a delay that grows with each failure.  Both sides send
// heartbeats.  If nothing arrives from a box for kSilenceTimeout, its connection is closed and the
// box counts as lost.  This detects frozen processes and half-open sockets.
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

// Time between two heartbeats on a connection.
inline constexpr Duration kHeartbeatPeriod = milliseconds(500);

// A box from which nothing has arrived for this time counts as lost.
inline constexpr Duration kSilenceTimeout = seconds(3);

class BoxConnections {
 public:
  struct Hooks {
    std::function<void(const std::string& box, const Message& message)> received;
    // Runs when an established connection is lost, not when an attempt to connect fails.
    std::function<void(const std::string& box)> lost;
  };

  BoxConnections(EventLoop* loop, Hello hello, Hooks hooks);
  // Closes all connections without running hooks.
  ~BoxConnections();
  BoxConnections(const BoxConnections&) = delete;
  BoxConnections& operator=(const BoxConnections&) = delete;

  // Sets the boxes to connect to.  The connection to any other box is kept until it breaks: the
  // platform's list is delayed, and a box that it no longer names may still run requests of this
  // entry.
  void Update(const std::map<std::string, SocketAddress>& listed);

  // Sends the message if the box is connected; otherwise drops it.
  void Send(const std::string& box, const Message& message);

  // Sends heartbeats, reconnects and closes silent connections.  To be called every
  // kHeartbeatPeriod.  Each heartbeat states `config_offset`.
  void Tick(int64_t config_offset);

  // Number of boxes with an established connection.
  size_t connected() const;
  // Number of connections that were closed because of an invalid frame.
  uint64_t bad_frames() const { return this->bad_frame_count; }

 private:
  struct Box {
    SocketAddress address;
    std::shared_ptr<FrameConnection> connection;
    // Whether the connection is established.
    bool is_open = false;
    // Whether the last Update named the box.
    bool is_listed = true;
    // When the last message arrived, or when the connection was started.
    Time last_received;
    // When to connect again.
    Time next_connect;
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

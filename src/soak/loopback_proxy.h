// A TCP proxy on the loopback interface that injects faults into the connections through it.
//
//   LoopbackProxy proxy(&loop, target);
//   proxy.SetDelay(milliseconds(50));
//   proxy.SetSilent(LoopbackProxy::kFromServer, true);   // partition in one direction
//   proxy.ResetAll();

#ifndef GULLWARD_SOAK_LOOPBACK_PROXY_H_
#define GULLWARD_SOAK_LOOPBACK_PROXY_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/tcp_listener.h"
#include "transport/tcp_stream.h"

namespace gullward {

class LoopbackProxy {
 public:
  enum Direction { kFromClient = 0, kFromServer = 1 };

  LoopbackProxy(EventLoop* event_loop, SocketAddress server);

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }

  // Sets the server that new connections are forwarded to.
  void SetTarget(const SocketAddress& server) { this->target = server; }

  // Delays bytes that arrive from now on by this time.  Bytes keep their order, as on any TCP
  // connection: bytes that arrive after the delay was reduced wait for the earlier ones.
  void SetDelay(Duration wanted) { this->delay = wanted; }

  // While a direction is silent, its bytes are held; they are forwarded when it is not silent any
  // more.
  void SetSilent(Direction direction, bool wanted);

  // Resets every connection.
  void ResetAll();

 private:
  struct Link {
    std::shared_ptr<TcpStream> ends[2];
    // Delayed bytes, in chunks, with the time at which each chunk is due.
    std::deque<std::pair<Time, std::string>> delayed[2];
    std::string held[2];
    bool closed = false;
  };

  void OnClient(int fd);
  void OnBytes(const std::shared_ptr<Link>& link, Direction from, std::string_view bytes);
  void ForwardDue(const std::shared_ptr<Link>& link, Direction from, Time now);
  void ForwardAll(const std::shared_ptr<Link>& link);
  void Forward(const std::shared_ptr<Link>& link, Direction from, const std::string& bytes);
  void CloseLink(const std::shared_ptr<Link>& link, StreamEnd end);

  EventLoop* loop;
  SocketAddress target;
  TcpListener listener;
  Duration delay{};
  bool silent[2] = {false, false};
  std::vector<std::shared_ptr<Link>> links;
};

}  // namespace gullward

#endif  // GULLWARD_SOAK_LOOPBACK_PROXY_H_

// A stand-in for a server in trouble: it answers each request with a prefix and then repeats a
// filler until the connection is closed.  To protect the machine from a peer that keeps everything,
// it stops after kMaxBytes on one connection, and leaves it open.
//
//   EndlessServer server(&loop, {.prefix = "HTTP/1.1 500 Error\r\n\r\n", .filler = "x"});
//
// It writes as fast as its peer reads, or one filler at each interval.  Without a filler, it writes
// the prefix only and leaves the connection open.

#ifndef GULLWARD_STANDINS_ENDLESS_SERVER_H_
#define GULLWARD_STANDINS_ENDLESS_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "transport/tcp_listener.h"
#include "transport/tcp_stream.h"

namespace gullward {

struct EndlessAnswer {
  std::string prefix;
  std::string filler;
  // Zero: the filler is repeated without a pause.
  Duration interval{0};

  bool operator==(const EndlessAnswer&) const = default;
};

class EndlessServer {
 public:
  static constexpr size_t kMaxBytes = 200 << 20;

  EndlessServer(EventLoop* event_loop, EndlessAnswer endless_answer);
  ~EndlessServer();

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }
  // Number of connections that have received a request, and of these that are still open.
  size_t answered() const;
  size_t open() const;

 private:
  struct Answering {
    std::shared_ptr<TcpStream> stream;
    bool begun = false;
    size_t sent = 0;
  };

  void Begin(const std::shared_ptr<Answering>& answering);
  void WriteOn(const std::shared_ptr<Answering>& answering);
  void WriteBlock(Answering* answering);
  void WriteAfterInterval(const std::shared_ptr<Answering>& answering);

  EventLoop* loop;
  EndlessAnswer answer;
  // The filler, repeated to a size that is worth a system call.
  std::string block;
  TcpListener listener;
  std::vector<std::shared_ptr<Answering>> connections;
  // Whether this server still exists, for timers that outlive it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_ENDLESS_SERVER_H_

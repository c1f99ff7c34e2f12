// Blocking sockets, HTTP messages and a record for the cases of the second review.
//
// Everything uses the loopback interface.  Each connection is read by one thread.

#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

// Seconds since the program began.
double Now();
// The kernel's monotonic clock, which all processes share.
double MonotonicSeconds();
void SleepFor(double seconds);

// The file record.txt of a case: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::FILE* file;
};

// A request or an answer.
struct Message {
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Whether the body came to its end: its length, its last chunk, or, without either, the end of
  // the connection.
  bool is_whole = false;

  std::string Header(const std::string& name) const;
  bool HasHeader(const std::string& name) const;
  // Of an answer: its status; 0 if there is none.
  int Status() const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
};

struct ConnectOptions {
  // The largest segment and the receive buffer; 0 leaves the kernel's.
  int max_segment = 0;
  int receive_buffer = 0;
};

class Connection {
 public:
  explicit Connection(int socket_fd) : fd(socket_fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Write(const std::string& bytes);

  // Reads the head of the next message.  Returns false if the connection ends, or at `until`.
  bool ReadHead(Message* message, double until);
  // Reads the body.  `on_bytes` is called after each read with the number of bytes received.
  void ReadBody(Message* message, bool is_answer, double until,
                const std::function<void(size_t)>& on_bytes = {});
  // Reads at most this many bytes at a time.
  void SetReadSize(size_t bytes) { this->read_size = bytes; }
  // Whether the peer has closed the connection.
  bool IsClosed() const;
  void Close();

  int fd;

 private:
  bool Fill(double until);
  bool ReadLine(std::string* line, double until);

  std::string unread;
  size_t read_size = 64 << 10;
};

// Opens a connection to a loopback port; null if that fails within the time.
std::unique_ptr<Connection> Connect(int port, double timeout, const ConnectOptions& options = {});

// Sends a request and reads its answer.
std::optional<Message> Call(Connection* connection, const std::string& request, double until);

// A listening socket on a free loopback port.
class Listener {
 public:
  Listener();
  int port() const { return this->bound_port; }
  // Calls `serve` for each connection, on a thread of its own.
  void Serve(const std::function<void(Connection*)>& serve);

 private:
  int fd;
  int bound_port;
};

// A port that was free a moment ago.
int FreePort();

// The text of an answer with a length.
std::string AnswerText(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                       const std::string& body);

// The value of a text or number field of a flat JSON object; empty if it has none.
std::string JsonField(const std::string& json, const std::string& name);

}  // namespace review

#endif  // REVIEW_STANDINS_2_NET_H_

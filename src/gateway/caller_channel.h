// The server side of an HTTP/1.1 connection: reads one request at a time and writes its answer.
//
// The channel reads a whole request, passes it to its owner through a hook, and reads the next
// request only after the answer has ended.  Pipelined requests wait in the buffer.  The owner
// answers in one piece or in parts:
//
//   channel->Answer(AnswerHead{503, "Service Unavailable", {...}}, body);
//
//   channel->BeginAnswer(head, std::nullopt);     // unknown length: chunked
//   channel->WritePart(bytes);
//   channel->EndAnswer();                         // or BreakOff()
//
// An answer that is broken off never looks complete: the connection is reset before its last
// chunk or byte.
//
// The class has no dependency on engines.  The operators' pages and the stand-ins of tests use
// it as a plain HTTP server; there, "the caller" is the client that connected.

#ifndef GULLWARD_GATEWAY_CALLER_CHANNEL_H_
#define GULLWARD_GATEWAY_CALLER_CHANNEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/result_code.h"
#include "http/message_parser.h"
#include "serving/serving_config.h"
#include "transport/tcp_stream.h"

namespace gullward {

// A request that has been read whole.
struct CallerRequest {
  RequestHead head;
  std::string body;
  // When the first byte arrived.
  Time arrived;

  bool operator==(const CallerRequest&) const = default;
};

// The head of an answer.  The channel adds the header fields that frame the body.
struct AnswerHead {
  int status = 200;
  std::string reason;
  HttpHeaders headers;

  bool operator==(const AnswerHead&) const = default;
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel> {
 public:
  struct Hooks {
    // A whole request was read; the owner must answer it.
    std::function<void(CallerRequest)> request;
    // The request is malformed, too large or stalled; the owner must answer it.
    std::function<void(ResultCode)> malformed;
    // The caller has disconnected.
    std::function<void()> gone;
    // All bytes written so far have been handed to the kernel.
    std::function<void()> drained;
  };

  // Takes over an accepted socket.
  static std::shared_ptr<CallerChannel> Adopt(EventLoop* loop, int fd, const CallerLimits& limits);

  void SetHooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

  // Writes an answer in one piece.
  void Answer(const AnswerHead& head, std::string_view body);
  // Writes the head of an answer in parts.  Without a `length` the body is chunked.  If
  // `unframed` is true, or the caller's HTTP version does not allow chunks, the end of the
  // connection ends the body.
  void BeginAnswer(const AnswerHead& head, std::optional<uint64_t> length, bool unframed = false);
  void WritePart(std::string_view bytes);
  void EndAnswer();
  // Resets the connection, so that the answer is incomplete for the caller.
  void BreakOff();

  // Writes a whole answer that belongs to no request, as a faulty server would.  For stand-ins.
  void WriteUnsolicitedAnswer(const AnswerHead& head, std::string_view body);

  // Closes the connection after the answer under way.
  void CloseAfterAnswer() { this->closing = true; }

  // Closes the connection if no request is under way.
  void CloseIfIdle();

  // Rejects requests that have stalled and closes idle connections.  To be called regularly.
  void Tick(Time now);

  bool is_closed() const { return this->phase == Phase::kClosed; }

  // The number of bytes written that are still buffered in this process.
  size_t pending() const { return this->stream->pending(); }

  // Whether the caller has closed the connection, even if the close has not been read yet.
  bool HasLeft() const { return this->stream->HasPeerClosed(); }

 private:
  enum class Phase { kIdle, kReading, kAnswering, kClosed };

  CallerChannel(std::shared_ptr<TcpStream> tcp, const CallerLimits& caller_limits);
  void OnData(std::string_view bytes);
  void OnClosed();
  void OnHead(RequestHead head);
  void OnState(ParseState state);
  void Reject(ResultCode code);
  void FinishAnswer();
  std::string HeadText(const AnswerHead& head, std::optional<uint64_t> length) const;

  std::shared_ptr<TcpStream> stream;
  CallerLimits limits;
  RequestParser parser;
  Hooks hooks;
  Phase phase = Phase::kIdle;
  CallerRequest request;
  bool head_complete = false;
  bool chunked = false;
  bool closing = false;
  Time idle_since = Now();
  // When the last bytes of the request under way arrived.
  Time last_bytes{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CALLER_CHANNEL_H_

// A caller's connection: requests in, one at a time, and their answers out.
//
// The channel reads a request whole, hands it to its owner and waits; what the
// caller sends meanwhile waits too.  The owner answers in one piece or in parts:
//
//   channel->Answer(AnswerHead{503, "Service Unavailable", {...}}, body);
//
//   channel->BeginAnswer(head, std::nullopt);     // length not known: chunks
//   channel->WritePart(bytes);
//   channel->EndAnswer();                         // or BreakOff()
//
// An answer that was broken off never looks complete: the connection ends with a
// reset before its last chunk or byte.
//
// Nothing here knows of engines: this is a plain HTTP server's end of a
// connection.  The operators' pages and the stand-ins of tests use it as such;
// to them, "the caller" is whoever connected.

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

// A request, read whole.
struct CallerRequest {
  RequestHead head;
  std::string body;
  // When its first byte came.
  Time arrived;

  bool operator==(const CallerRequest&) const = default;
};

// The head of an answer; the channel adds the fields that frame its body.
struct AnswerHead {
  int status = 200;
  std::string reason;
  HttpHeaders headers;

  bool operator==(const AnswerHead&) const = default;
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel> {
 public:
  struct Hooks {
    std::function<void(CallerRequest)> request;
    // The request cannot be served as it was sent; the owner answers it.
    std::function<void(ResultCode)> malformed;
    // The caller has gone away.
    std::function<void()> gone;
    // What was written has left for the caller.
    std::function<void()> drained;
  };

  // Takes over an accepted socket.
  static std::shared_ptr<CallerChannel> Adopt(EventLoop* loop, int fd, const CallerLimits& limits);

  void SetHooks(Hooks new_hooks) { this->hooks = std::move(new_hooks); }

  // Answers in one piece.
  void Answer(const AnswerHead& head, std::string_view body);
  // Without a length the answer goes in chunks; `unframed`, by the connection's end.
  void BeginAnswer(const AnswerHead& head, std::optional<uint64_t> length, bool unframed = false);
  void WritePart(std::string_view bytes);
  void EndAnswer();
  void BreakOff();

  // Writes a whole answer that is to no request, as a faulty server would: for
  // stand-ins.
  void WriteUnsolicitedAnswer(const AnswerHead& head, std::string_view body);

  // The answer under way is the last one on this connection.
  void CloseAfterAnswer() { this->closing = true; }

  // Closes if no request is under way.
  void CloseIfIdle();

  // Looks at the clock: answers stalled requests, closes idle connections.
  void Tick(Time now);

  bool is_closed() const { return this->phase == Phase::kClosed; }

  // Bytes that the caller has not read yet.
  size_t pending() const { return this->stream->pending(); }

  // Whether the caller has closed the connection, also where that has not been read yet.
  bool HasLeft() const { return this->stream->PeerHasLeft(); }

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
  // When the last bytes of the request under way came.
  Time last_bytes{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CALLER_CHANNEL_H_

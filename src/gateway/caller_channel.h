// The server side of an HTTP/1.1 connection: reads one request at a time and writes its answer.
//
// The channel reads a whole request, passes it to its owner through a hook, and reads the next
// request only after the answer has ended and the kernel has accepted it.  While bytes of pipelined
// requests wait, nothing more is read.  The owner answers in one piece or in parts:
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
// What a channel holds of requests counts against a memory that all channels share
// (request_memory.h).  A request that does not fit is rejected, and its connection is closed.
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
#include "gateway/request_memory.h"
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
  // Counts the head and the body against the memory for requests, as long as it exists.
  std::shared_ptr<const RequestMemory::Share> held;

  bool operator==(const CallerRequest& other) const {
    return this->head == other.head && this->body == other.body && this->arrived == other.arrived;
  }
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
    // The request is malformed, too large or stalled, or does not fit into the memory for requests.
    // It has not been passed on; the owner must answer it.
    std::function<void(ResultCode)> malformed;
    // The caller has disconnected.
    std::function<void()> gone;
    // All bytes written so far have been handed to the kernel.
    std::function<void()> drained;
    // The request under way does not fit into the memory for requests.  The owner may reject
    // another upload, and returns whether it did.  `is_large` says what kind of share needs room.
    // Optional.
    std::function<bool(bool is_large)> needs_room = {};
  };

  // Takes over an accepted socket.  Without a `memory`, requests are bounded by `limits` only.
  static std::shared_ptr<CallerChannel> Adopt(EventLoop* loop, int fd, const CallerLimits& limits,
                                              std::shared_ptr<RequestMemory> memory = nullptr);

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

  // Closes the connection at once.  The owner is not told.
  void CloseNow();

  // When the request began that is being read, if its bytes arrive so slowly that it gives way to
  // others when memory is short; nothing otherwise.
  std::optional<Time> StalledSince(Time now) const;

  // Since when the connection is idle or its request has stalled, so that it may be closed for a
  // new one; nothing otherwise.
  std::optional<Time> ReplaceableSince(Time now) const;

  // The memory that the request takes that is being read.
  size_t held_bytes() const { return this->held.bytes(); }

  // Rejects the request that is being read.  Returns whether there was one.
  bool RejectUpload(ResultCode code);

  // The head of a request that is rejected; empty if it has not been read whole.
  const RequestHead& request_head() const { return this->request.head; }

  // Rejects requests that have stalled and closes idle connections.  To be called regularly.
  void Tick(Time now);

  bool is_closed() const { return this->phase == Phase::kClosed; }

  // The number of bytes written that are still buffered in this process.
  size_t pending() const { return this->stream->pending(); }

  // Whether the caller has closed the connection, even if the close has not been read yet.
  bool HasLeft() const { return this->stream->HasPeerClosed(); }

 private:
  enum class Phase { kIdle, kReading, kAnswering, kClosed };

  CallerChannel(EventLoop* event_loop, std::shared_ptr<TcpStream> tcp,
                const CallerLimits& caller_limits, std::shared_ptr<RequestMemory> memory);
  void OnData(std::string_view bytes);
  void OnClosed();
  void OnLeft();
  void OnDrained();
  void OnHead(RequestHead head);
  void OnState(ParseState state);
  void KeepAhead(std::string_view bytes);
  void HoldAhead();
  void ReadRequests(std::string_view bytes);
  void ReadRequest(std::string_view bytes);
  void BeginRequest();
  bool MayReadNext() const;
  void ReadOnSoon();
  bool HoldRequest();
  size_t AnnouncedBytes() const;
  void NoteProgress();
  void PassOn();
  void Reject(ResultCode code);
  void FinishAnswer();
  std::string HeadText(const AnswerHead& head, std::optional<uint64_t> length) const;

  EventLoop* loop;
  std::shared_ptr<TcpStream> stream;
  CallerLimits limits;
  RequestParser parser;
  Hooks hooks;
  Phase phase = Phase::kIdle;
  CallerRequest request;
  // What the request that is being read takes, or the bytes that wait behind the one under way.
  RequestMemory::Share held;
  size_t request_head_bytes = 0;
  // Whether the head of the request under way has been read, and whether its length has been
  // compared with the memory that is left.
  bool head_complete = false;
  bool length_checked = false;
  bool awaits_continue = false;
  // Whether the parser has read a request to its end, so that it only buffers.
  bool parser_is_done = false;
  bool is_reading_requests = false;
  bool chunked = false;
  bool closing = false;
  Time finished_at = Now();
  // When the last bytes of the request under way arrived.
  Time last_bytes{};
  // When its body last was a block longer than before, and how long it was.
  Time last_progress{};
  size_t bytes_at_progress = 0;
};

// Returns the entry whose time is the earliest; the end if none has a time.  `since` gives the time
// of an entry, such as that of StalledSince, or nothing.
template <typename Entries, typename Since>
auto FindLongest(Entries& entries, const Since& since) {
  std::optional<Time> earliest;
  auto found = entries.end();
  for (auto it = entries.begin(); it != entries.end(); ++it) {
    std::optional<Time> time = since(*it);
    if (!time || (earliest && *earliest <= *time)) continue;
    earliest = time;
    found = it;
  }
  return found;
}

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_CALLER_CHANNEL_H_

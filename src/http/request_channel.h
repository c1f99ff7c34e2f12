// An outgoing HTTP connection that carries one request at a time.
//
//   auto channel = RequestChannel::Open(&loop, address);
//   channel->Send(text, {.accepts = ..., .head = ..., .body = ..., .done = ...},
//   /*is_head=*/false);
//
// After `done` has reported a whole answer, the channel can carry the next request if
// reusable() is true.  An answer for which `accepts` returns false belongs to an earlier
// request: the channel discards it and waits for the next answer.  The number of answers and of
// bytes that are discarded for one request is bounded.  For each Send, `done` is called once, after
// all other hooks.  No hook is called after Close.

#ifndef GULLWARD_HTTP_REQUEST_CHANNEL_H_
#define GULLWARD_HTTP_REQUEST_CHANNEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message_parser.h"
#include "transport/tcp_stream.h"

namespace gullward {

// How a request on a channel ended.
enum class ChannelResult {
  kWholeAnswer,
  // No connection was established, so the server received nothing.
  kNotSent,
  // A reused connection was closed before any byte of an answer arrived.
  kClosedUnanswered,
  // The connection ended before the answer was complete, the answer is not valid HTTP, or too much
  // came that is not the answer.
  kBroken,
};

class RequestChannel : public std::enable_shared_from_this<RequestChannel> {
 public:
  // Interim answers and answers to earlier requests that may come ahead of the answer, and bytes
  // that their bodies may have in all.
  static constexpr int kMaxSkippedAnswers = 16;
  static constexpr size_t kMaxSkippedBytes = 256 << 10;

  struct Hooks {
    // Whether an answer belongs to this request.  If not set, every answer does.
    std::function<bool(const ResponseHead&)> accepts;
    // Called once with the head of the final answer; interim (1xx) answers are discarded.
    std::function<void(const ResponseHead&)> head;
    // Called for each part of the body.  The bytes are valid only during the call.
    std::function<void(std::string_view)> body;
    std::function<void(ChannelResult)> done;
  };

  // Starts to connect.  Send may be called before the connection is established.
  static std::shared_ptr<RequestChannel> Open(EventLoop* loop, const SocketAddress& address);
  ~RequestChannel();

  // Sends a request, given as the bytes of its head and body.  `is_head` must be true for
  // a HEAD request, whose answer has no body.
  void Send(std::string_view request, Hooks request_hooks, bool is_head);

  // Sends a request whose body is given apart from its head.  A long body is not copied.
  void Send(std::string head, SharedBytes body, Hooks request_hooks, bool is_head);

  // Sets a hook that runs when the server closes the channel, or sends bytes, while no
  // request is under way.
  void OnIdleEnd(std::function<void()> hook) { this->on_idle_end = std::move(hook); }

  // Whether the channel can carry another request after its last answer.
  bool reusable() const { return this->is_fit_for_reuse && !this->closed; }

  // For how long the server keeps the idle channel open, as stated in the Keep-Alive
  // field of the last answer; nothing if the field is absent.
  std::optional<Duration> keep_alive() const { return this->keep_alive_timeout; }

  // Whether the connection is not established yet, so that the server has received nothing.
  bool is_connecting() const { return !this->closed && this->stream->is_connecting(); }

  // Pauses (false) or resumes (true) reading the answer.
  void SetReading(bool wanted) { this->stream->SetReading(wanted); }

  void Close();

 private:
  explicit RequestChannel(std::shared_ptr<TcpStream> tcp);
  void BeginRequest(Hooks request_hooks, bool is_head);
  void OnData(std::string_view bytes);
  void OnClosed(StreamEnd end);
  void OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  bool HasSkippedTooMuch() const;
  void OnAnswerComplete();
  void ReadAnswers(ParseState state);
  void Finish(ChannelResult result);

  std::shared_ptr<TcpStream> stream;
  ResponseParser parser;
  std::optional<Hooks> hooks;
  std::function<void()> on_idle_end;
  bool is_head_request = false;
  bool first_request = true;
  bool received_bytes = false;
  // The answer that is being read belongs to an earlier request, or is interim (1xx).
  bool skipping = false;
  // What was skipped since the last request was sent.
  int skipped_answers = 0;
  size_t skipped_bytes = 0;
  bool keep_alive_after_answer = false;
  bool is_fit_for_reuse = false;
  bool closed = false;
  std::optional<Duration> keep_alive_timeout;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_REQUEST_CHANNEL_H_

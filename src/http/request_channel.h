// A connection that we opened, and the one request that is on it.
//
//   auto channel = RequestChannel::Open(&loop, address);
//   channel->Send(text, {.accepts = ..., .head = ..., .body = ..., .done = ...},
//   /*is_head=*/false);
//
// A channel carries one request at a time.  After `done` with a whole answer it
// may carry the next one if reusable().  An answer that `accepts` turns down
// belongs to an earlier request: it is read, thrown away, and the right one is
// waited for.  `done` is called once for each Send, last of all hooks; none is
// called after Close.

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
  // The connection never stood: the server saw nothing.
  kNotSent,
  // A kept connection turned out to be closed, and no byte of an answer came.
  kClosedUnanswered,
  // The answer broke off or is no HTTP.
  kBroken,
};

class RequestChannel : public std::enable_shared_from_this<RequestChannel> {
 public:
  struct Hooks {
    // Whether an answer is to this request; absent means every one is.
    std::function<bool(const ResponseHead&)> accepts;
    std::function<void(const ResponseHead&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(ChannelResult)> done;
  };

  static std::shared_ptr<RequestChannel> Open(EventLoop* loop, const SocketAddress& address);
  ~RequestChannel();

  // Sends a request; `is_head` says that its answer has no body.
  void Send(std::string_view request, Hooks request_hooks, bool is_head);

  // Runs when the server closes the channel, or says something, while no request
  // is on it.
  void OnIdleEnd(std::function<void()> hook) { this->idle_end = std::move(hook); }

  // Whether the answer that ended left the channel fit for another request.
  bool reusable() const { return this->fit_for_reuse && !this->closed; }

  // Until when the server promises to keep the idle channel, from the last answer.
  std::optional<Duration> keep_alive() const { return this->kept_for; }

  // Whether the connection does not stand yet: the server has seen nothing.
  bool is_connecting() const { return !this->closed && this->stream->is_connecting(); }

  // Stops and resumes reading the answer.
  void SetReading(bool wanted) { this->stream->SetReading(wanted); }

  void Close();

 private:
  explicit RequestChannel(std::shared_ptr<TcpStream> tcp);
  void OnData(std::string_view bytes);
  void OnClosed(StreamEnd end);
  void OnHead(const ResponseHead& head);
  void OnAnswerComplete();
  void ReadAnswers(ParseState state);
  void Finish(ChannelResult result);

  std::shared_ptr<TcpStream> stream;
  ResponseParser parser;
  std::optional<Hooks> hooks;
  std::function<void()> idle_end;
  bool is_head_request = false;
  bool first_request = true;
  bool got_bytes = false;
  // The answer that is being read is not to our request, or is interim.
  bool skipping = false;
  bool keep_after_answer = false;
  bool fit_for_reuse = false;
  bool closed = false;
  std::optional<Duration> kept_for;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_REQUEST_CHANNEL_H_

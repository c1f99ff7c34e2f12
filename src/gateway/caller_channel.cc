// A connection has four phases: idle, reading a request, awaiting or writing its answer, and
// closed.

#include "gateway/caller_channel.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

// Sent to a caller that asks for permission before it sends a body (Expect: 100-continue).
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

ResultCode CodeOf(ParseState state) {
  switch (state) {
    case ParseState::kHeadTooLarge:
      return ResultCode::kHeadTooLarge;
    case ParseState::kBodyTooLarge:
      return ResultCode::kBodyTooLarge;
    default:
      return ResultCode::kMalformedRequest;
  }
}

}  // namespace

std::shared_ptr<CallerChannel> CallerChannel::Adopt(EventLoop* loop, int fd,
                                                    const CallerLimits& limits) {
  std::shared_ptr<CallerChannel> channel(new CallerChannel(TcpStream::Adopt(loop, fd), limits));
  CallerChannel* raw = channel.get();
  channel->stream->SetHooks({.data = [raw](std::string_view bytes) { raw->OnData(bytes); },
                             .closed = [raw](StreamEnd) { raw->OnClosed(); },
                             .drained =
                                 [raw] {
                                   if (raw->hooks.drained) raw->hooks.drained();
                                 },
                             .connected = {}});
  return channel;
}

CallerChannel::CallerChannel(std::shared_ptr<TcpStream> tcp, const CallerLimits& caller_limits)
    : stream(std::move(tcp)),
      limits(caller_limits),
      parser({.head = [this](RequestHead head) { this->OnHead(std::move(head)); },
              .body = [this](std::string_view bytes) { this->request.body.append(bytes); }},
             {caller_limits.head_bytes, caller_limits.body_bytes}) {}

void CallerChannel::OnData(std::string_view bytes) {
  std::shared_ptr<CallerChannel> self = this->shared_from_this();
  this->last_bytes = Now();
  if (this->phase == Phase::kIdle) {
    this->phase = Phase::kReading;
    this->request.arrived = this->last_bytes;
  }
  ParseState state = this->parser.Feed(bytes);
  if (this->phase == Phase::kReading) this->OnState(state);
}

void CallerChannel::OnHead(RequestHead head) {
  this->head_complete = true;
  std::optional<std::string_view> expect = FindHeader(head.headers, "Expect");
  if (expect && SameHeaderName(*expect, "100-continue")) this->stream->Write(kContinue);
  RemoveHeaders(&head.headers, "Expect");
  this->request.head = std::move(head);
}

void CallerChannel::OnState(ParseState state) {
  if (state == ParseState::kNeedMore) return;
  if (state != ParseState::kComplete) {
    this->Reject(CodeOf(state));
    return;
  }
  this->phase = Phase::kAnswering;
  if (!this->request.head.keep_alive) this->closing = true;
  this->hooks.request(std::move(this->request));
}

// Closes the connection after the answer, because the end of a malformed request is unknown and
// the next request could not be found.
void CallerChannel::Reject(ResultCode code) {
  this->phase = Phase::kAnswering;
  this->closing = true;
  this->hooks.malformed(code);
}

void CallerChannel::OnClosed() {
  this->phase = Phase::kClosed;
  // A copy, because the owner may destroy this channel in the hook.
  std::function<void()> gone = this->hooks.gone;
  if (gone) gone();
}

std::string CallerChannel::HeadText(const AnswerHead& head, std::optional<uint64_t> length) const {
  std::string text = absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
  for (const auto& [name, value] : head.headers) AppendHeader(&text, name, value);
  if (length) {
    AppendHeader(&text, "Content-Length", absl::StrCat(*length));
  } else if (this->chunked) {
    AppendHeader(&text, "Transfer-Encoding", "chunked");
  }
  if (this->closing) AppendHeader(&text, "Connection", "close");
  text += "\r\n";
  return text;
}

void CallerChannel::Answer(const AnswerHead& head, std::string_view body) {
  if (this->phase != Phase::kAnswering) return;
  std::string text = this->HeadText(head, body.size());
  text += body;
  this->stream->Write(text);
  this->FinishAnswer();
}

void CallerChannel::WriteUnsolicitedAnswer(const AnswerHead& head, std::string_view body) {
  if (this->phase == Phase::kClosed) return;
  this->stream->Write(this->HeadText(head, body.size()) + std::string(body));
}

void CallerChannel::BeginAnswer(const AnswerHead& head, std::optional<uint64_t> length,
                                bool unframed) {
  if (this->phase != Phase::kAnswering) return;
  this->chunked = !length && !unframed && this->request.head.chunks_allowed;
  // Without a length or chunks, only the end of the connection can end the answer.
  if (!length && !this->chunked) this->closing = true;
  this->stream->Write(this->HeadText(head, length));
}

void CallerChannel::WritePart(std::string_view bytes) {
  if (this->phase != Phase::kAnswering || bytes.empty()) return;
  if (!this->chunked) {
    this->stream->Write(bytes);
    return;
  }
  std::string chunk = absl::StrCat(absl::Hex(bytes.size()), "\r\n", AbslView(bytes), "\r\n");
  this->stream->Write(chunk);
}

void CallerChannel::EndAnswer() {
  if (this->phase != Phase::kAnswering) return;
  if (this->chunked) this->stream->Write("0\r\n\r\n");
  this->FinishAnswer();
}

void CallerChannel::BreakOff() {
  if (this->phase == Phase::kClosed) return;
  this->phase = Phase::kClosed;
  this->stream->Reset();
}

void CallerChannel::FinishAnswer() {
  this->chunked = false;
  this->head_complete = false;
  if (this->closing) {
    this->phase = Phase::kClosed;
    this->stream->FinishAndClose();
    return;
  }
  this->phase = Phase::kIdle;
  this->idle_since = Now();
  this->request = CallerRequest{};
  this->parser.Next();
  if (!this->parser.has_surplus()) return;
  this->OnData("");
}

void CallerChannel::CloseIfIdle() {
  if (this->phase != Phase::kIdle) return;
  this->phase = Phase::kClosed;
  this->stream->FinishAndClose();
}

void CallerChannel::Tick(Time now) {
  if (this->phase == Phase::kIdle && now - this->idle_since > this->limits.idle_timeout) {
    this->CloseIfIdle();
    return;
  }
  if (this->phase != Phase::kReading) return;
  bool head_late = !this->head_complete && now - this->request.arrived > this->limits.head_timeout;
  bool body_late = now - this->last_bytes > this->limits.idle_timeout;
  if (head_late || body_late) this->Reject(ResultCode::kCallerStalled);
}

}  // namespace gullward

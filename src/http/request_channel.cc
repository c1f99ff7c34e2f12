// Connects a TcpStream to a ResponseParser and maps the end of either to a ChannelResult.

#include "http/request_channel.h"

#include <utility>

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

// A body of this size or less is copied behind its head, which saves a system call.
constexpr size_t kMaxCopiedBytes = 16 << 10;

// The seconds of the field "Keep-Alive: timeout=N"; nothing if the head does not have it.
std::optional<Duration> KeepAliveTimeout(const ResponseHead& head) {
  std::optional<std::string_view> value = FindHeader(head.headers, "Keep-Alive");
  if (!value) return std::nullopt;
  for (absl::string_view part : absl::StrSplit(AbslView(*value), ',')) {
    part = absl::StripAsciiWhitespace(part);
    if (!absl::ConsumePrefix(&part, "timeout=")) continue;
    std::optional<uint64_t> count = ParseCount(StdView(part));
    if (count) return FromSeconds(static_cast<double>(*count));
  }
  return std::nullopt;
}

}  // namespace

std::shared_ptr<RequestChannel> RequestChannel::Open(EventLoop* loop,
                                                     const SocketAddress& address) {
  std::shared_ptr<RequestChannel> channel(new RequestChannel(TcpStream::Connect(loop, address)));
  RequestChannel* raw = channel.get();
  channel->stream->SetHooks({.data = [raw](std::string_view bytes) { raw->OnData(bytes); },
                             .closed = [raw](StreamEnd end) { raw->OnClosed(end); },
                             .drained = {},
                             .connected = {}});
  return channel;
}

RequestChannel::RequestChannel(std::shared_ptr<TcpStream> tcp)
    : stream(std::move(tcp)),
      parser({.head = [this](const ResponseHead& head) { this->OnHead(head); },
              .body = [this](std::string_view bytes) { this->OnBody(bytes); }}) {}

RequestChannel::~RequestChannel() { this->Close(); }

void RequestChannel::BeginRequest(Hooks request_hooks, bool is_head) {
  this->hooks = std::move(request_hooks);
  this->is_head_request = is_head;
  this->received_bytes = false;
  this->skipping = false;
  this->skipped_answers = 0;
  this->skipped_bytes = 0;
  this->is_fit_for_reuse = false;
  this->parser.Next(is_head);
}

void RequestChannel::Send(std::string_view request, Hooks request_hooks, bool is_head) {
  this->BeginRequest(std::move(request_hooks), is_head);
  this->stream->Write(request);
}

void RequestChannel::Send(std::string head, SharedBytes body, Hooks request_hooks, bool is_head) {
  this->BeginRequest(std::move(request_hooks), is_head);
  bool is_long = body->size() > kMaxCopiedBytes;
  if (!is_long) head += *body;
  this->stream->Write(head);
  if (is_long) this->stream->Write(std::move(body));
}

void RequestChannel::OnData(std::string_view bytes) {
  std::shared_ptr<RequestChannel> self = this->shared_from_this();
  if (!this->hooks) {
    // The bytes belong to no request, so the channel cannot be used any more.
    this->Close();
    if (this->on_idle_end) this->on_idle_end();
    return;
  }
  this->received_bytes = true;
  this->ReadAnswers(this->parser.Feed(bytes));
}

void RequestChannel::ReadAnswers(ParseState state) {
  while (state == ParseState::kComplete && this->skipping && !this->closed) {
    if (this->HasSkippedTooMuch()) break;
    this->skipping = false;
    this->parser.Next(this->is_head_request);
    state = this->parser.Feed("");
  }
  if (this->closed) return;
  if (this->HasSkippedTooMuch()) {
    this->Finish(ChannelResult::kBroken);
    return;
  }
  if (state == ParseState::kNeedMore) return;
  if (state == ParseState::kComplete) {
    this->OnAnswerComplete();
  } else {
    this->Finish(ChannelResult::kBroken);
  }
}

void RequestChannel::OnHead(const ResponseHead& head) {
  if (this->closed || !this->hooks) return;
  bool is_ours = !this->hooks->accepts || this->hooks->accepts(head);
  this->skipping = head.is_interim() || !is_ours;
  if (this->skipping) {
    this->skipped_answers += 1;
    return;
  }
  this->keep_alive_after_answer = head.keep_alive && !head.ends_with_connection;
  this->keep_alive_timeout = KeepAliveTimeout(head);
  if (this->hooks->head) this->hooks->head(head);
}

void RequestChannel::OnBody(std::string_view bytes) {
  if (this->closed || !this->hooks) return;
  if (this->skipping) {
    this->skipped_bytes += bytes.size();
  } else if (this->hooks->body) {
    this->hooks->body(bytes);
  }
}

bool RequestChannel::HasSkippedTooMuch() const {
  return this->skipped_answers > kMaxSkippedAnswers || this->skipped_bytes > kMaxSkippedBytes;
}

void RequestChannel::OnAnswerComplete() {
  bool all_sent = this->stream->pending() == 0;
  this->is_fit_for_reuse = this->keep_alive_after_answer && all_sent && !this->parser.has_surplus();
  this->first_request = false;
  this->Finish(ChannelResult::kWholeAnswer);
}

void RequestChannel::OnClosed(StreamEnd end) {
  std::shared_ptr<RequestChannel> self = this->shared_from_this();
  if (!this->hooks) {
    this->closed = true;
    if (this->on_idle_end) this->on_idle_end();
    return;
  }
  if (end == StreamEnd::kNotConnected || end == StreamEnd::kRefused) {
    this->Finish(ChannelResult::kNotSent);
    return;
  }
  bool closed_cleanly = end == StreamEnd::kFinished && this->received_bytes && !this->skipping;
  if (closed_cleanly && this->parser.FeedEnd() == ParseState::kComplete) {
    this->OnAnswerComplete();
    return;
  }
  bool is_unanswered = !this->received_bytes && !this->first_request;
  this->Finish(is_unanswered ? ChannelResult::kClosedUnanswered : ChannelResult::kBroken);
}

void RequestChannel::Finish(ChannelResult result) {
  if (!this->hooks) return;
  // Moved out first, because `done` may send the next request or release the channel.
  Hooks last_hooks = std::move(*this->hooks);
  this->hooks.reset();
  if (result != ChannelResult::kWholeAnswer) this->Close();
  if (last_hooks.done) last_hooks.done(result);
}

void RequestChannel::Close() {
  if (this->closed) return;
  this->closed = true;
  this->stream->Close();
}

}  // namespace gullward

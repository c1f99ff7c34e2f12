// A connection has four phases: idle, reading a request, awaiting or writing its answer, and
// closed.
//
// Requests that are answered at once are read in a loop, not one inside the answer of the other, so
// that the number of pipelined requests is not bounded by the stack.

#include "gateway/caller_channel.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

// Sent to a caller that asks for permission before it sends a body (Expect: 100-continue).
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Pipelined requests that one connection may have answered before others get their turn.
constexpr int kMaxRequestsInTurn = 32;

// Received bytes that the kernel keeps for a connection that is not read.
constexpr int kReceiveBufferBytes = 256 << 10;

// While memory is short, an upload gives way that has not brought kProgressBytes for
// kStalledAfter, or that has lasted for kSlowAfter.
constexpr size_t kProgressBytes = 16 << 10;
constexpr Duration kStalledAfter = seconds(1);
constexpr Duration kSlowAfter = seconds(10);

// What a header field takes besides its name and value.
constexpr size_t kFieldBytes = 2 * sizeof(std::string);

size_t MemoryOf(const std::string& text) {
  return text.capacity() < RequestMemory::kOwnPagesBytes ? text.capacity() : text.size();
}

size_t MemoryOf(const RequestHead& head) {
  size_t bytes = head.target.size();
  for (const auto& [name, value] : head.headers) bytes += name.size() + value.size() + kFieldBytes;
  return bytes;
}

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
                                                    const CallerLimits& limits,
                                                    std::shared_ptr<RequestMemory> memory) {
  std::shared_ptr<TcpStream> stream = TcpStream::Adopt(loop, fd);
  if (memory) stream->LimitReceiveBuffer(kReceiveBufferBytes);
  std::shared_ptr<CallerChannel> channel(
      new CallerChannel(loop, std::move(stream), limits, std::move(memory)));
  CallerChannel* raw = channel.get();
  channel->stream->SetHooks({.data = [raw](std::string_view bytes) { raw->OnData(bytes); },
                             .closed = [raw](StreamEnd) { raw->OnClosed(); },
                             .drained = [raw] { raw->OnDrained(); },
                             .connected = {},
                             .left = [raw] { raw->OnLeft(); }});
  return channel;
}

CallerChannel::CallerChannel(EventLoop* event_loop, std::shared_ptr<TcpStream> tcp,
                             const CallerLimits& caller_limits,
                             std::shared_ptr<RequestMemory> memory)
    : loop(event_loop),
      stream(std::move(tcp)),
      limits(caller_limits),
      parser({.head = [this](RequestHead head) { this->OnHead(std::move(head)); },
              .body = [this](std::string_view bytes) { this->request.body.append(bytes); }},
             {caller_limits.head_bytes, caller_limits.body_bytes}),
      held(std::move(memory)) {}

void CallerChannel::OnData(std::string_view bytes) {
  std::shared_ptr<CallerChannel> self = this->shared_from_this();
  this->last_bytes = Now();
  bool has_unsent_answer = this->phase == Phase::kIdle && this->stream->pending() > 0;
  if (this->phase == Phase::kAnswering || has_unsent_answer) {
    this->KeepAhead(bytes);
  } else {
    this->ReadRequests(bytes);
  }
}

// Keeps bytes of the next request until the one under way has been answered.
void CallerChannel::KeepAhead(std::string_view bytes) {
  this->stream->SetReading(false);
  bool is_last_request = this->phase == Phase::kAnswering && this->closing;
  if (is_last_request) return;
  this->parser.Feed(bytes);
  this->HoldAhead();
}

// Without memory for what was sent ahead, the connection ends with the answer under way.  The next
// request has not been read then.
void CallerChannel::HoldAhead() {
  if (this->held.Resize(this->parser.buffered_bytes())) return;
  this->parser.DropSurplus();
  this->held.Resize(0);
  this->closing = true;
  this->CloseIfIdle();
}

// The caller has closed its side while bytes that it had sent ahead were not read.
void CallerChannel::OnLeft() {
  std::shared_ptr<CallerChannel> self = this->shared_from_this();
  this->stream->Close();
  this->OnClosed();
}

void CallerChannel::OnDrained() {
  std::shared_ptr<CallerChannel> self = this->shared_from_this();
  if (this->hooks.drained) this->hooks.drained();
  if (this->MayReadNext()) this->ReadRequests("");
}

bool CallerChannel::MayReadNext() const {
  return this->phase == Phase::kIdle && this->parser.has_surplus() && this->stream->pending() == 0;
}

// Reads requests until one is incomplete or waits for its answer.  Does nothing if it is called
// while it runs, because a request was answered at once.
void CallerChannel::ReadRequests(std::string_view bytes) {
  if (this->is_reading_requests) return;
  this->is_reading_requests = true;
  int requests = 0;
  do {
    this->ReadRequest(std::exchange(bytes, {}));
    requests += 1;
  } while (this->MayReadNext() && requests < kMaxRequestsInTurn);
  this->is_reading_requests = false;
  if (this->MayReadNext()) this->ReadOnSoon();
  bool holds_ahead = this->phase != Phase::kReading && this->parser.has_surplus();
  this->stream->SetReading(!holds_ahead);
}

void CallerChannel::ReadOnSoon() {
  this->loop->RunAfter(Duration(0), [weak = this->weak_from_this()] {
    std::shared_ptr<CallerChannel> self = weak.lock();
    if (self && self->MayReadNext()) self->ReadRequests("");
  });
}

void CallerChannel::ReadRequest(std::string_view bytes) {
  if (this->phase == Phase::kIdle) this->BeginRequest();
  ParseState state = this->parser.Feed(bytes);
  bool is_readable = state == ParseState::kNeedMore || state == ParseState::kComplete;
  if (is_readable && !this->HoldRequest()) {
    this->Reject(ResultCode::kRequestMemoryFull);
    return;
  }
  if (std::exchange(this->awaits_continue, false) && state == ParseState::kNeedMore) {
    this->stream->Write(kContinue);
  }
  this->NoteProgress();
  this->OnState(state);
}

void CallerChannel::BeginRequest() {
  if (std::exchange(this->parser_is_done, false)) this->parser.Next();
  this->phase = Phase::kReading;
  this->request = CallerRequest{};
  this->request.arrived = Now();
  this->request_head_bytes = 0;
  this->head_complete = false;
  this->length_checked = false;
  this->last_progress = this->request.arrived;
  this->bytes_at_progress = 0;
}

// Counts what has been read against the memory for requests.  When the head is complete, the whole
// body must fit that it announces, so that a request which cannot be served is refused at once.
bool CallerChannel::HoldRequest() {
  size_t bytes =
      MemoryOf(this->request.body) + this->request_head_bytes + this->parser.buffered_bytes();
  size_t wanted = bytes;
  if (this->head_complete && !std::exchange(this->length_checked, true)) {
    wanted = std::max(bytes, this->AnnouncedBytes());
  }
  while (!this->held.Fits(wanted)) {
    bool has_room =
        this->hooks.needs_room && this->hooks.needs_room(RequestMemory::IsLarge(wanted));
    if (!has_room) return false;
  }
  return this->held.Resize(bytes);
}

// The length of the body as the head states it; 0 if the body is chunked.
size_t CallerChannel::AnnouncedBytes() const {
  std::optional<std::string_view> length = FindHeader(this->request.head.headers, "Content-Length");
  return length ? ParseCount(*length).value_or(0) : 0;
}

void CallerChannel::NoteProgress() {
  size_t bytes = this->request.body.size();
  if (bytes < this->bytes_at_progress + kProgressBytes) return;
  this->bytes_at_progress = bytes;
  this->last_progress = Now();
}

void CallerChannel::OnHead(RequestHead head) {
  this->head_complete = true;
  this->request_head_bytes = MemoryOf(head);
  std::optional<std::string_view> expect = FindHeader(head.headers, "Expect");
  this->awaits_continue = expect && SameHeaderName(*expect, "100-continue");
  RemoveHeaders(&head.headers, "Expect");
  this->request.head = std::move(head);
}

void CallerChannel::OnState(ParseState state) {
  if (state == ParseState::kNeedMore) return;
  if (state != ParseState::kComplete) {
    this->Reject(CodeOf(state));
    return;
  }
  this->PassOn();
}

// Hands the request and its share of the memory to the owner.
void CallerChannel::PassOn() {
  this->phase = Phase::kAnswering;
  this->parser_is_done = true;
  if (!this->request.head.keep_alive) this->closing = true;
  auto share = std::make_shared<RequestMemory::Share>(this->held.Take());
  share->Resize(MemoryOf(this->request.body) + this->request_head_bytes);
  this->HoldAhead();
  this->request.held = std::move(share);
  this->hooks.request(std::move(this->request));
}

// Closes the connection after the answer, because the end of a rejected request is unknown and
// the next request could not be found.  Nothing of the request is kept.
void CallerChannel::Reject(ResultCode code) {
  this->phase = Phase::kAnswering;
  this->closing = true;
  // Unlike an assignment, a swap releases the memory.
  std::string().swap(this->request.body);
  this->parser.DropSurplus();
  this->held.Resize(0);
  this->hooks.malformed(code);
}

bool CallerChannel::RejectUpload(ResultCode code) {
  if (this->phase != Phase::kReading) return false;
  this->Reject(code);
  return true;
}

std::optional<Time> CallerChannel::ReplaceableSince(Time now) const {
  return this->phase == Phase::kIdle ? this->finished_at : this->StalledSince(now);
}

std::optional<Time> CallerChannel::StalledSince(Time now) const {
  if (this->phase != Phase::kReading) return std::nullopt;
  bool is_stalled = now - this->last_progress >= kStalledAfter;
  bool is_slow = now - this->request.arrived >= kSlowAfter;
  return is_stalled || is_slow ? std::optional<Time>(this->request.arrived) : std::nullopt;
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
  if (this->closing) {
    this->phase = Phase::kClosed;
    this->stream->FinishAndClose();
    return;
  }
  this->phase = Phase::kIdle;
  this->finished_at = Now();
  this->request = CallerRequest{};
  if (this->MayReadNext()) this->ReadRequests("");
}

void CallerChannel::CloseIfIdle() {
  if (this->phase != Phase::kIdle) return;
  this->phase = Phase::kClosed;
  this->stream->FinishAndClose();
}

void CallerChannel::CloseNow() {
  this->phase = Phase::kClosed;
  this->stream->Close();
}

void CallerChannel::Tick(Time now) {
  if (this->phase == Phase::kIdle && now - this->finished_at > this->limits.idle_timeout) {
    this->CloseIfIdle();
    return;
  }
  if (this->phase != Phase::kReading) return;
  Duration lasted = now - this->request.arrived;
  bool head_late = !this->head_complete && lasted > this->limits.head_timeout;
  bool body_late =
      now - this->last_bytes > this->limits.idle_timeout || lasted > this->limits.request_timeout;
  if (head_late || body_late) this->Reject(ResultCode::kCallerStalled);
}

}  // namespace gullward

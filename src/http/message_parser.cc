// Adapts Boost.Beast's basic_parser to RequestParser and ResponseParser.  basic_parser
// needs a whole head in one contiguous buffer, so unparsed bytes are buffered until the
// head is complete.

#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

namespace gullward {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;

// Beast's number for HTTP/1.1.
constexpr int kVersion11 = 11;
// Used instead of boost::none, which Beast of Boost 1.74 treats as a limit that every
// length exceeds.
constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();
// The bytes of the shortest last chunk with the end of its trailer.  Beast asserts that so many are
// there when it parses a last chunk for the second time.
constexpr size_t kMinLastChunkBytes = 5;
// The memory that the buffer of unparsed bytes may keep while it is empty.
constexpr size_t kMaxIdleBytes = 1 << 10;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

// Whether the status can belong to an answer (RFC 9110, section 15).  No request here asks for
// another protocol, so none is answered by a switch to it.
bool IsValidStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus && status != kSwitchingProtocols;
}

std::string ToString(beast::string_view text) { return {text.data(), text.size()}; }

// Beast's parser for both kinds of messages.  It collects the head and passes the head and
// the parts of the body to the hooks.
template <bool kIsRequest, typename Head>
class BeastParser final : public http::basic_parser<kIsRequest> {
 public:
  using HeadHook = std::function<void(Head)>;
  using BodyHook = std::function<void(std::string_view)>;

  BeastParser(const HeadHook* head_hook, const BodyHook* body_hook)
      : on_head(head_hook), on_body(body_hook) {
    this->eager(true);
  }

 private:
  void on_request_impl(http::verb, beast::string_view method, beast::string_view target,
                       int version, ErrorCode&) override {
    if constexpr (kIsRequest) {
      this->head.method = ToString(method);
      this->head.target = ToString(target);
      this->head.chunks_allowed = version >= kVersion11;
    }
  }

  void on_response_impl(int code, beast::string_view reason, int, ErrorCode& error) override {
    if constexpr (!kIsRequest) {
      if (!IsValidStatus(code)) {
        error = http::error::bad_status;
        return;
      }
      this->head.status = code;
      this->head.reason = ToString(reason);
    }
  }

  void on_field_impl(http::field, beast::string_view name, beast::string_view value,
                     ErrorCode&) override {
    // Trailer fields arrive after the head; they are not used and are dropped.
    if (this->head_done) return;
    this->head.headers.emplace_back(ToString(name), ToString(value));
  }

  void on_header_impl(ErrorCode& error) override {
    this->head_done = true;
    bool has_transfer_coding = FindHeader(this->head.headers, "Transfer-Encoding").has_value();
    if (has_transfer_coding && !this->chunked()) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    this->head.keep_alive = this->keep_alive();
    if constexpr (!kIsRequest) {
      if (this->content_length()) this->head.content_length = *this->content_length();
      this->head.ends_with_connection = this->need_eof();
    }
    (*this->on_head)(std::move(this->head));
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}

  std::size_t on_body_impl(beast::string_view body, ErrorCode&) override {
    (*this->on_body)(std::string_view(body.data(), body.size()));
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t, beast::string_view, ErrorCode&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, ErrorCode&) override {
    (*this->on_body)(std::string_view(body.data(), body.size()));
    return body.size();
  }

  void on_finish_impl(ErrorCode&) override {}

  const HeadHook* on_head;
  const BodyHook* on_body;
  Head head;
  bool head_done = false;
};

ParseState StateOf(const ErrorCode& error) {
  if (error == http::error::header_limit) return ParseState::kHeadTooLarge;
  if (error == http::error::body_limit) return ParseState::kBodyTooLarge;
  return ParseState::kMalformed;
}

// Parses as much of `bytes` as possible, until the end of one message, and sets `*parsed` to the
// number of bytes parsed.
template <typename Parser>
ParseState Parse(Parser* parser, std::string_view bytes, size_t* parsed) {
  while (!parser->is_done() && *parsed < bytes.size()) {
    ErrorCode error;
    size_t count =
        parser->put(boost::asio::buffer(bytes.data() + *parsed, bytes.size() - *parsed), error);
    *parsed += count;
    if (error == http::error::need_more) break;
    if (error) return StateOf(error);
    if (count == 0) break;
  }
  return parser->is_done() ? ParseState::kComplete : ParseState::kNeedMore;
}

// Parses `unread` and then `bytes`, and leaves in `unread` what could not be parsed.  At most
// `max_unread` bytes may be left of an incomplete message.
template <typename Parser>
ParseState ParseBuffered(Parser* parser, std::string_view bytes, size_t max_unread,
                         std::string* unread) {
  size_t parsed = 0;
  ParseState state = ParseState::kNeedMore;
  if (unread->empty()) {
    state = Parse(parser, bytes, &parsed);
    unread->assign(bytes.substr(parsed));
  } else {
    unread->append(bytes);
    bool is_short_last_chunk = unread->front() == '0' && unread->size() < kMinLastChunkBytes;
    if (is_short_last_chunk) return ParseState::kNeedMore;
    state = Parse(parser, *unread, &parsed);
    unread->erase(0, parsed);
  }
  // An empty buffer keeps no memory, since most connections are idle.
  if (unread->empty() && unread->capacity() > kMaxIdleBytes) std::string().swap(*unread);
  bool is_too_long = state == ParseState::kNeedMore && unread->size() > max_unread;
  return is_too_long ? ParseState::kHeadTooLarge : state;
}

}  // namespace

class RequestParser::Impl {
 public:
  using Parser = BeastParser<true, RequestHead>;

  Impl(Hooks request_hooks, ParseLimits parse_limits)
      : hooks(std::move(request_hooks)), limits(parse_limits) {
    this->Next();
  }

  void Next() {
    this->parser.emplace(&this->hooks.head, &this->hooks.body);
    this->parser->header_limit(this->limits.head_bytes);
    this->parser->body_limit(this->limits.body_bytes.value_or(kNoLimit));
  }

  Hooks hooks;
  ParseLimits limits;
  std::optional<Parser> parser;
  std::string unread;
};

RequestParser::RequestParser(Hooks hooks, ParseLimits limits)
    : impl(std::make_unique<Impl>(std::move(hooks), limits)) {}

RequestParser::~RequestParser() = default;

ParseState RequestParser::Feed(std::string_view bytes) {
  size_t max_unread = std::max(this->impl->limits.head_bytes, kMaxResponseHeadBytes);
  return ParseBuffered(&*this->impl->parser, bytes, max_unread, &this->impl->unread);
}

void RequestParser::Next() { this->impl->Next(); }

bool RequestParser::has_surplus() const { return !this->impl->unread.empty(); }

size_t RequestParser::buffered_bytes() const {
  return this->impl->unread.empty() ? 0 : this->impl->unread.capacity();
}

void RequestParser::DropSurplus() { std::string().swap(this->impl->unread); }

class ResponseParser::Impl {
 public:
  using Parser = BeastParser<false, ResponseHead>;

  explicit Impl(Hooks response_hooks) : hooks(std::move(response_hooks)) { this->Next(false); }

  void Next(bool no_body) {
    this->parser.emplace(&this->hooks.head, &this->hooks.body);
    this->parser->header_limit(kMaxResponseHeadBytes);
    this->parser->body_limit(kNoLimit);
    this->parser->skip(no_body);
  }

  Hooks hooks;
  std::optional<Parser> parser;
  std::string unread;
};

ResponseParser::ResponseParser(Hooks hooks) : impl(std::make_unique<Impl>(std::move(hooks))) {}

ResponseParser::~ResponseParser() = default;

ParseState ResponseParser::Feed(std::string_view bytes) {
  return ParseBuffered(&*this->impl->parser, bytes, kMaxResponseHeadBytes, &this->impl->unread);
}

ParseState ResponseParser::FeedEnd() {
  if (this->impl->parser->is_done()) return ParseState::kComplete;
  ErrorCode error;
  this->impl->parser->put_eof(error);
  bool complete = !error && this->impl->parser->is_done();
  return complete ? ParseState::kComplete : ParseState::kMalformed;
}

void ResponseParser::Next(bool no_body) { this->impl->Next(no_body); }

bool ResponseParser::has_surplus() const { return !this->impl->unread.empty(); }

}  // namespace gullward

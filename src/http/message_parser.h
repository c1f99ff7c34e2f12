// Reads HTTP/1.1 messages from bytes as they arrive, by Boost.Beast's parser.
//
// A parser reads one message after another from the bytes of one connection.
// It keeps what has come in but not been read yet, and calls its hooks while
// it reads:
//
//   RequestParser parser({.head = ..., .body = ...}, limits);
//   ParseState state = parser.Feed(bytes);
//   if (state == ParseState::kComplete) { ...; parser.Next(); parser.Feed(""); }
//
// Nothing after the end of a message is read before Next is called, so that
// pipelined requests wait their turn and a surplus answer is seen as such.
// Messages whose framing is ambiguous (two lengths, a length beside chunks, a
// transfer coding other than chunked) are malformed: passed on, they would let a
// sender hide a second request in the first one's body.

#ifndef GULLWARD_HTTP_MESSAGE_PARSER_H_
#define GULLWARD_HTTP_MESSAGE_PARSER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/header_list.h"

namespace gullward {

struct RequestHead {
  std::string method;
  std::string target;
  HttpHeaders headers;
  // Whether the sender will use the connection again.
  bool keep_alive = true;
  // Whether the sender speaks HTTP/1.1 and so understands chunks.
  bool chunks_allowed = true;

  bool operator==(const RequestHead&) const = default;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = true;
  // The length of the body where the head tells it.
  std::optional<uint64_t> content_length;
  // Whether only the end of the connection ends the body.
  bool ends_with_connection = false;

  bool operator==(const ResponseHead&) const = default;
};

enum class ParseState {
  kNeedMore,
  kComplete,
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,
};

// Bounds in bytes.  A head without a body counts as a body of none.
struct ParseLimits {
  uint32_t head_bytes = 16 << 10;
  // Nothing means no bound: the body is passed on and not kept.
  std::optional<uint64_t> body_bytes;
};

class RequestParser {
 public:
  struct Hooks {
    std::function<void(RequestHead)> head;
    std::function<void(std::string_view)> body;
  };
  RequestParser(Hooks hooks, ParseLimits limits);
  ~RequestParser();

  // Reads on with more bytes.
  ParseState Feed(std::string_view bytes);

  // Makes ready for the next message.
  void Next();

  // Whether bytes wait behind the end of a complete message.
  bool has_surplus() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

class ResponseParser {
 public:
  struct Hooks {
    std::function<void(ResponseHead)> head;
    std::function<void(std::string_view)> body;
  };
  explicit ResponseParser(Hooks hooks);
  ~ResponseParser();

  ParseState Feed(std::string_view bytes);

  // The connection has ended in good order.  kComplete where that ends a body.
  ParseState FeedEnd();

  // Makes ready for the next answer; `no_body` says that it answers HEAD.
  void Next(bool no_body);

  bool has_surplus() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_MESSAGE_PARSER_H_

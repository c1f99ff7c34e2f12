// Incremental parsers for HTTP/1.1 requests and responses, built on Boost.Beast.
//
// A parser reads one message after another from the bytes of one connection.  Feed takes
// the bytes in pieces of any size, buffers those that cannot be parsed yet, and calls the
// hooks while it parses:
//
//   RequestParser parser({.head = ..., .body = ...}, limits);
//   ParseState state = parser.Feed(bytes);
//   if (state == ParseState::kComplete) { ...; parser.Next(); parser.Feed(""); }
//
// Bytes after the end of a message are not parsed before Next is called.  Pipelined
// requests are therefore handled one at a time, and has_surplus detects an answer without
// a request.
//
// What cannot be parsed yet is bounded: a head, the line before a chunk, and the trailer fields
// after the last one must each fit into a limit, since a peer in trouble may send them without end.
//
// Messages whose framing is ambiguous (two lengths, a length beside chunks, a transfer
// coding other than chunked) are malformed: if they were forwarded, a sender could hide a
// second request in the body of the first (request smuggling).
//
// Answers with a status outside 100 to 599, or of 101, are malformed too.  A status below 100 would
// otherwise pass for an interim one, after which the final answer is awaited.

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
  // Whether the connection stays open after this request.
  bool keep_alive = true;
  // Whether the sender speaks HTTP/1.1 and therefore accepts chunked transfer coding.
  bool chunks_allowed = true;

  bool operator==(const RequestHead&) const = default;
};

// Lower statuses belong to interim (1xx) answers, which another one follows.
inline constexpr int kFirstFinalStatus = 200;

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  bool keep_alive = true;
  // The Content-Length field; nothing if the head has none.
  std::optional<uint64_t> content_length;
  // Whether the body extends to the end of the connection, because the head states
  // neither a length nor chunks.
  bool ends_with_connection = false;

  bool is_interim() const { return this->status < kFirstFinalStatus; }

  bool operator==(const ResponseHead&) const = default;
};

enum class ParseState {
  // The message is incomplete.
  kNeedMore,
  // The message has been read to its end.
  kComplete,
  // The head, the line before a chunk with its extensions, or the trailer is over the limit.
  kHeadTooLarge,
  kBodyTooLarge,
  kMalformed,
};

// The largest head of an answer in bytes.  The line before a chunk and the trailer, of answers and
// of requests, have the same limit.
inline constexpr uint32_t kMaxResponseHeadBytes = 16 << 10;

// Limits in bytes.  A request without a body has a body of zero bytes.
struct ParseLimits {
  uint32_t head_bytes = 16 << 10;
  // Nothing means no limit.  The parser passes the body to the hook and does not store it.
  std::optional<uint64_t> body_bytes;
};

class RequestParser {
 public:
  struct Hooks {
    // Called once for each message.
    std::function<void(RequestHead)> head;
    // Called for each part of the body.  The bytes are valid only during the call.
    std::function<void(std::string_view)> body;
  };
  RequestParser(Hooks hooks, ParseLimits limits);
  ~RequestParser();

  // Parses further bytes of the connection; they may be empty after Next.
  ParseState Feed(std::string_view bytes);

  // Prepares for the next message.  Buffered bytes are parsed by the next call of Feed.
  void Next();

  // Whether there are unparsed bytes; after a complete message, they follow its end.
  bool has_surplus() const;

  // The memory that unparsed bytes take.
  size_t buffered_bytes() const;

  // Drops the unparsed bytes.  The connection cannot be read any more.
  void DropSurplus();

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

  // To be called when the peer has closed the connection without an error.  Returns
  // kComplete if the answer is complete, which includes a body that extends to the end of
  // the connection, and kMalformed otherwise.
  ParseState FeedEnd();

  // Prepares for the next answer.  `no_body` must be true for the answer to a HEAD
  // request, which has no body whatever its head states.
  void Next(bool no_body);

  bool has_surplus() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_MESSAGE_PARSER_H_

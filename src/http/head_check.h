// Checks the heads of the answer to one request, as libcurl passes them line by line.
//
// libcurl accepts malformed heads and trailers of any length.  ResponseParser decides here as for
// every other reader of answers:
//
//   HeadCheck check;
//   bool is_valid = check.AddLine("HTTP/1.1 200 OK\r\n") && check.AddLine("\r\n");
//   std::optional<int> status = check.status();
//
// Interim (1xx) heads may come ahead of the final one, and trailer fields after it.

#ifndef GULLWARD_HTTP_HEAD_CHECK_H_
#define GULLWARD_HTTP_HEAD_CHECK_H_

#include <optional>
#include <string_view>

#include "http/message_parser.h"

namespace gullward {

class HeadCheck {
 public:
  HeadCheck();
  HeadCheck(const HeadCheck&) = delete;
  HeadCheck& operator=(const HeadCheck&) = delete;

  // Returns false if the answer is malformed or its heads are too many or too large; it cannot be
  // used then.
  bool AddLine(std::string_view line);

  // The status of the final answer; nothing before its head is complete.
  std::optional<int> status() const { return this->final_status; }

  // Why an answer cannot be used, or has no status; empty if it has one.
  std::string_view error() const;

 private:
  void OnHead(const ResponseHead& head);

  ResponseParser parser;
  std::optional<int> final_status;
  int interim_heads = 0;
  size_t trailer_bytes = 0;
  bool is_broken = false;
};

}  // namespace gullward

#endif  // GULLWARD_HTTP_HEAD_CHECK_H_

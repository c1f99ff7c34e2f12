// Malformed heads of answers, for the tests of everything that reads answers.
//
//   for (const BrokenHead& row : BrokenHeads()) ExpectMalformed(row.answer);

#ifndef GULLWARD_HTTP_TESTING_BROKEN_HEADS_H_
#define GULLWARD_HTTP_TESTING_BROKEN_HEADS_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace gullward {

struct BrokenHead {
  std::string what;
  // The head with a body of five bytes.
  std::string answer;
};

// The other fields are those of an engine's successful answer.
inline std::string AnswerWith(const std::string& status_line, const std::string& field = "") {
  return absl::StrCat(status_line, "\r\n", field,
                      "Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
}

inline std::vector<BrokenHead> BrokenHeads() {
  std::vector<BrokenHead> rows;
  // RFC 9110, section 15: a status is between 100 and 599.  101 answers only a request that asked
  // for another protocol.
  for (const char* status :
       {"000", "001", "042", "099", "101", "600", "999", "0", "20", "2000", "-20", "+20", "2x0"}) {
    rows.push_back({absl::StrCat("status ", status),
                    AnswerWith(absl::StrCat("HTTP/1.1 ", status, " Broken"))});
  }
  const std::string ok = "HTTP/1.1 200 OK";
  const std::string nul(1, '\0');
  const std::pair<const char*, std::string> fields[] = {
      {"blank in a name", "X Y: a\r\n"},
      {"blank before the colon", "X-Y : a\r\n"},
      {"blank in the name of the length", "Content- Length: 2\r\n"},
      {"length with a blank before the colon", "Content-Length : 2\r\n"},
      {"tab in a name", "X\tY: a\r\n"},
      {"control byte in a name", "X\x01Y: a\r\n"},
      {"delete in a name", "X\x7fY: a\r\n"},
      {"NUL in a name", "X" + nul + "Y: a\r\n"},
      {"carriage return in a name", "X\rY: a\r\n"},
      {"byte over 127 in a name", "X\xc3\xa9Y: a\r\n"},
      {"empty name", ": a\r\n"},
      {"line without a colon", "XY\r\n"},
      {"NUL in a value", "X-Y: a" + nul + "b\r\n"},
      {"control byte in a value",
       "X-Y: a\x01"
       "b\r\n"},
      {"carriage return in a value", "X-Y: a\rb\r\n"},
      {"two lengths", "Content-Length: 2\r\n"},
      {"length and chunks", "Transfer-Encoding: chunked\r\n"},
  };
  for (const auto& [what, field] : fields) rows.push_back({what, AnswerWith(ok, field)});
  for (const char* line : {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1200 OK",
                           "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 200 O\x01K"}) {
    rows.push_back({absl::StrCat("status line ", line), AnswerWith(line)});
  }
  return rows;
}

}  // namespace gullward

#endif  // GULLWARD_HTTP_TESTING_BROKEN_HEADS_H_

// Tests that messages parse alike whole and byte by byte, that ambiguous framing, which
// could smuggle a request, is malformed, and that answers end as their heads state.

#define BOOST_TEST_MODULE message_parser
#include "http/message_parser.h"

#include <boost/test/unit_test.hpp>

#include "http/testing/broken_heads.h"

namespace gullward {
namespace {

struct ParsedRequest {
  ParseState state = ParseState::kNeedMore;
  RequestHead head;
  std::string body;
  bool surplus = false;
};

ParsedRequest ParseRequest(const std::string& text, size_t step, ParseLimits limits = {}) {
  ParsedRequest parsed;
  RequestParser parser({.head = [&](RequestHead head) { parsed.head = std::move(head); },
                        .body = [&](std::string_view bytes) { parsed.body.append(bytes); }},
                       limits);
  for (size_t offset = 0; offset < text.size() && parsed.state == ParseState::kNeedMore;
       offset += step) {
    parsed.state = parser.Feed(std::string_view(text).substr(offset, step));
  }
  parsed.surplus = parser.has_surplus();
  return parsed;
}

struct RequestRow {
  const char* what;
  std::string text;
  ParseState state;
  const char* body;
};

BOOST_AUTO_TEST_CASE(RequestsParseAlikeWholeAndInPieces) {
  const std::string line = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const RequestRow table[] = {
      {"length", line + "Content-Length: 3\r\n\r\nabc", ParseState::kComplete, "abc"},
      {"no body", "GET / HTTP/1.1\r\n\r\n", ParseState::kComplete, ""},
      {"chunks", line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
       ParseState::kComplete, "abcd"},
      {"chunks and a trailer",
       line + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: t\r\n\r\n",
       ParseState::kComplete, "a"},
      {"truncated body", line + "Content-Length: 3\r\n\r\nab", ParseState::kNeedMore, "ab"},
      {"same length twice", line + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       ParseState::kMalformed, ""},
      {"length and chunks",
       line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       ParseState::kMalformed, ""},
      {"chunks and length",
       line + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
       ParseState::kMalformed, ""},
      {"transfer coding that only contains chunked", line + "Transfer-Encoding: xchunked\r\n\r\n",
       ParseState::kMalformed, ""},
      {"chunked is not the last coding", line + "Transfer-Encoding: chunked, identity\r\n\r\n",
       ParseState::kMalformed, ""},
      {"space before the colon", line + "Content-Length : 3\r\n\r\nabc", ParseState::kMalformed,
       ""},
      {"negative length", line + "Content-Length: -1\r\n\r\n", ParseState::kMalformed, ""},
      {"no request line", "\x01\x02\r\n\r\n", ParseState::kMalformed, ""},
  };
  for (const RequestRow& row : table) {
    for (size_t step : {row.text.size(), size_t{1}, size_t{7}}) {
      BOOST_TEST_CONTEXT(row.what << ", " << step << " bytes at a time") {
        ParsedRequest parsed = ParseRequest(row.text, step);
        BOOST_TEST((parsed.state == row.state));
        BOOST_TEST(parsed.body == row.body);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitsAreEnforced) {
  ParseLimits limits{64, 4};
  std::string head = "POST / HTTP/1.1\r\n";
  BOOST_TEST((ParseRequest(head + "X: " + std::string(80, 'x') + "\r\n\r\n", 16, limits).state ==
              ParseState::kHeadTooLarge));
  BOOST_TEST((ParseRequest(head + "Content-Length: 5\r\n\r\nabcde", 16, limits).state ==
              ParseState::kBodyTooLarge));
  BOOST_TEST((ParseRequest(head + "Content-Length: 4\r\n\r\nabcd", 16, limits).state ==
              ParseState::kComplete));
  BOOST_TEST(
      (ParseRequest(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", 99, limits)
           .state == ParseState::kBodyTooLarge));
}

BOOST_AUTO_TEST_CASE(BytesAfterAMessageAreNotParsedBeforeNext) {
  std::string both = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  std::vector<std::string> targets;
  RequestParser parser({.head = [&](const RequestHead& head) { targets.push_back(head.target); },
                        .body = [](std::string_view) {}},
                       {});
  BOOST_TEST((parser.Feed(both) == ParseState::kComplete));
  BOOST_TEST(targets.size() == 1u);
  BOOST_TEST(parser.has_surplus());
  parser.Next();
  BOOST_TEST((parser.Feed("") == ParseState::kComplete));
  BOOST_TEST(targets.size() == 2u);
  BOOST_TEST(!parser.has_surplus());
}

struct ResponseRow {
  const char* what;
  const char* text;
  bool no_body;
  ParseState state;
  // The result of FeedEnd, that is after the server has closed the connection.
  ParseState end_state;
  const char* body;
};

BOOST_AUTO_TEST_CASE(AnswersEndAsTheirHeadStates) {
  const ResponseRow table[] = {
      // Guards against Beast of Boost 1.74, which treats boost::none as a body limit of zero.
      {"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, ParseState::kComplete,
       ParseState::kComplete, "abc"},
      {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false, ParseState::kNeedMore,
       ParseState::kMalformed, "ab"},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", false,
       ParseState::kComplete, ParseState::kComplete, "a"},
      {"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", false,
       ParseState::kNeedMore, ParseState::kMalformed, "a"},
      {"body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nabc", false,
       ParseState::kNeedMore, ParseState::kComplete, "abc"},
      {"answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true,
       ParseState::kComplete, ParseState::kComplete, ""},
      {"no content", "HTTP/1.1 204 None\r\n\r\n", false, ParseState::kComplete,
       ParseState::kComplete, ""},
      {"nonsense", "garbled bytes\r\n\r\n", false, ParseState::kMalformed, ParseState::kMalformed,
       ""},
  };
  for (const ResponseRow& row : table) {
    BOOST_TEST_CONTEXT(row.what) {
      std::string body;
      ResponseParser parser({.head = [](const ResponseHead&) {},
                             .body = [&](std::string_view bytes) { body.append(bytes); }});
      parser.Next(row.no_body);
      BOOST_TEST((parser.Feed(row.text) == row.state));
      if (row.state != ParseState::kMalformed) BOOST_TEST((parser.FeedEnd() == row.end_state));
      BOOST_TEST(body == row.body);
    }
  }
}

// Guards against passing on an answer of a server in trouble as if it were one.
BOOST_AUTO_TEST_CASE(ABrokenHeadIsMalformed) {
  for (const BrokenHead& row : BrokenHeads()) {
    for (size_t step : {row.answer.size(), size_t{1}}) {
      BOOST_TEST_CONTEXT(row.what << ", " << step << " bytes at a time") {
        int heads = 0;
        ResponseParser parser(
            {.head = [&](const ResponseHead&) { heads += 1; }, .body = [](std::string_view) {}});
        ParseState state = ParseState::kNeedMore;
        for (size_t at = 0; at < row.answer.size() && state == ParseState::kNeedMore; at += step) {
          state = parser.Feed(std::string_view(row.answer).substr(at, step));
        }
        BOOST_TEST((state == ParseState::kMalformed));
        BOOST_TEST(heads == 0);
      }
    }
  }
}

// Guards against taking a valid status for a broken one.
BOOST_AUTO_TEST_CASE(EveryStatusFrom100To599IsRead) {
  for (int status = 100; status <= 599; ++status) {
    if (status == 101) continue;
    std::string head = absl::StrCat("HTTP/1.1 ", status, " Reason\r\nContent-Length: 0\r\n\r\n");
    int got = 0;
    ResponseParser parser({.head = [&](const ResponseHead& read) { got = read.status; },
                           .body = [](std::string_view) {}});
    BOOST_TEST((parser.Feed(head) == ParseState::kComplete));
    BOOST_TEST(got == status);
  }
}

// Guards against memory that grows with a head, a chunk's line or a trailer that never ends.
BOOST_AUTO_TEST_CASE(WhatCannotBeParsedYetIsBounded) {
  constexpr size_t kLimit = kMaxResponseHeadBytes;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> table[] = {
      {"HTTP/1.1 200 ", "a"},
      {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
      {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
      {chunked + "1;", "a"},
      {chunked + "1;a=\"", "b"},
      {chunked + "0;", "a"},
      {chunked + "0\r\nX-A: ", "a"},
      {chunked + "0\r\n", "X-A: a\r\n"},
  };
  for (const auto& [prefix, filler] : table) {
    for (size_t step : {size_t{1}, size_t{1000}, size_t{64 << 10}}) {
      BOOST_TEST_CONTEXT(prefix << ", " << step << " bytes at a time") {
        std::string text = prefix;
        while (text.size() < 4 * kLimit) text += filler;
        ResponseParser parser(
            {.head = [](const ResponseHead&) {}, .body = [](std::string_view) {}});
        parser.Next(/*no_body=*/false);
        ParseState state = ParseState::kNeedMore;
        for (size_t at = 0; at < text.size() && state == ParseState::kNeedMore; at += step) {
          state = parser.Feed(std::string_view(text).substr(at, step));
        }
        BOOST_TEST((state == ParseState::kHeadTooLarge));
      }
    }
  }
  std::string extension =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(2 * kLimit, 'a');
  BOOST_TEST((ParseRequest(extension, 1000).state == ParseState::kHeadTooLarge));
}

bool IsModelField(std::string_view name) { return SameHeaderName(name, "Model"); }

BOOST_AUTO_TEST_CASE(ConnectionRemovesHopByHopFieldsButNotKeptFields) {
  HttpHeaders headers = {
      {"Host", "h"},       {"connection", "X-Private, model"}, {"X-Private", "1"}, {"MODEL", "m"},
      {"Keep-Alive", "5"}, {"Transfer-Encoding", "chunked"},   {"X-Other", "2"}};
  RemoveHopByHopHeaders(&headers, IsModelField);
  const HttpHeaders expected = {{"Host", "h"}, {"MODEL", "m"}, {"X-Other", "2"}};
  BOOST_TEST((headers == expected));
  BOOST_TEST(FindHeader(headers, "model").value_or("") == "m");
  BOOST_TEST(!FindHeader(headers, "absent").has_value());
}

BOOST_AUTO_TEST_CASE(ParseCountAcceptsOnlyWholeNumbers) {
  BOOST_TEST(ParseCount("0").value_or(9) == 0u);
  BOOST_TEST(ParseCount("18446744073709551615").has_value());
  for (const char* text : {"", "-1", "+1", " 1", "1 ", "1.0", "18446744073709551616", "x"}) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(!ParseCount(text).has_value()); }
  }
}

}  // namespace
}  // namespace gullward

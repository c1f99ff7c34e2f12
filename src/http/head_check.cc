// The parser reads heads without their bodies, which libcurl passes elsewhere.

#include "http/head_check.h"

#include "http/request_channel.h"

namespace gullward {

HeadCheck::HeadCheck()
    : parser({.head = [this](const ResponseHead& head) { this->OnHead(head); },
              .body = [](std::string_view) {}}) {
  this->parser.Next(/*no_body=*/true);
}

bool HeadCheck::AddLine(std::string_view line) {
  if (this->final_status) {
    this->trailer_bytes += line.size();
    this->is_broken = this->is_broken || this->trailer_bytes > kMaxResponseHeadBytes;
    return !this->is_broken;
  }
  ParseState state = this->parser.Feed(line);
  if (state == ParseState::kNeedMore) return true;
  this->is_broken =
      state != ParseState::kComplete || this->interim_heads > RequestChannel::kMaxSkippedAnswers;
  if (!this->final_status) this->parser.Next(/*no_body=*/true);
  return !this->is_broken;
}

void HeadCheck::OnHead(const ResponseHead& head) {
  if (head.is_interim()) {
    this->interim_heads += 1;
  } else {
    this->final_status = head.status;
  }
}

std::string_view HeadCheck::error() const {
  if (this->is_broken) return "the answer's head is not valid HTTP, or too large";
  return this->final_status ? "" : "no complete head of an answer arrived";
}

}  // namespace gullward

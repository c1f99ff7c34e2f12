// An event ends with a blank line, and a line ends with \n or \r\n.

#include "serving/event_splitter.h"

#include <algorithm>

#include "absl/strings/strip.h"
#include "base/absl_view.h"

namespace gullward {
namespace {

// The bytes of a line end and a blank line less one: an end of an event may reach back so far.
constexpr size_t kMaxUnfinishedEnd = 2;

// The size of the first complete event in `bytes`; 0 if there is none.  None ends before `from`.
size_t EndOfEvent(std::string_view bytes, size_t from) {
  size_t line_end = bytes.find('\n', from);
  while (line_end != std::string_view::npos) {
    size_t next = line_end + 1;
    if (next < bytes.size() && bytes[next] == '\r') ++next;
    if (next < bytes.size() && bytes[next] == '\n') return next + 1;
    line_end = bytes.find('\n', line_end + 1);
  }
  return 0;
}

// The value of the last "id:" line of an event, if it has one.
std::optional<std::string> IdOf(std::string_view event) {
  std::optional<std::string> id;
  while (!event.empty()) {
    size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    absl::string_view value = AbslView(line);
    if (absl::ConsumePrefix(&value, "id:")) {
      absl::ConsumePrefix(&value, " ");
      absl::ConsumeSuffix(&value, "\r");
      id = std::string(value);
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return id;
}

}  // namespace

WholeEvents EventSplitter::Feed(std::string_view bytes) {
  this->partial.append(bytes);
  WholeEvents events;
  size_t done = 0;
  size_t from = this->searched;
  while (size_t size = EndOfEvent(std::string_view(this->partial).substr(done), from)) {
    std::optional<std::string> id = IdOf(std::string_view(this->partial).substr(done, size));
    if (id) events.last_id = std::move(id);
    done += size;
    events.count += 1;
    from = 0;
  }
  events.bytes = this->partial.substr(0, done);
  this->partial.erase(0, done);
  this->searched = this->partial.size() - std::min(this->partial.size(), kMaxUnfinishedEnd);
  return events;
}

}  // namespace gullward

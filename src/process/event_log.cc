// nlohmann-json escapes the texts.  The rest of a line is appended as strings, because
// writing a line for a request must not cost more than the request itself.

#include "process/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/absl_view.h"

namespace gullward {

LogLine::LogLine(std::string_view event) { this->Text("event", event); }

LogLine& LogLine::Text(std::string_view field, std::string_view value) {
  // Bytes that are not UTF-8 are replaced, because dump() would throw an exception.
  std::string quoted =
      nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  absl::StrAppend(&this->text, ",\"", AbslView(field), "\":", quoted);
  return *this;
}

LogLine& LogLine::Number(std::string_view field, double value) {
  absl::StrAppend(&this->text, ",\"", AbslView(field), "\":", value);
  return *this;
}

EventLog::EventLog(int output_fd) : fd(output_fd) {
  int flags = fcntl(this->fd, F_GETFL);
  if (flags >= 0) fcntl(this->fd, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::Append(const LogLine& line) {
  double at = ToSeconds(Now().time_since_epoch());
  absl::StrAppend(&this->waiting, "{\"at\":", absl::StrFormat("%.3f", at), line.fields(), "}\n");
}

void EventLog::Write(const LogLine& line) {
  if (this->waiting.size() + line.fields().size() > kMaxWaitingBytes) {
    this->dropped_lines += 1;
    this->dropped_unreported += 1;
    return;
  }
  if (this->dropped_unreported > 0) {
    double count = static_cast<double>(this->dropped_unreported);
    this->dropped_unreported = 0;
    this->Append(LogLine("log_lines_dropped").Number("lines", count));
  }
  this->Append(line);
}

void EventLog::Flush() {
  if (this->waiting.empty()) return;
  ssize_t written = write(this->fd, this->waiting.data(), this->waiting.size());
  if (written > 0) this->waiting.erase(0, static_cast<size_t>(written));
}

}  // namespace gullward

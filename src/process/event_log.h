// Structured log: one JSON object per line, normally on standard output.
//
//   EventLog log(STDOUT_FILENO);
//   log.Write(LogLine("refused").Text("request", id).Number("code", 2004));
//   log.Flush();                       // periodically, from the event loop
//
// A line is written for each decision that concerns a request or changes the state of the
// process.  Write never blocks: lines wait in a buffer of limited size.  Lines that do not
// fit are dropped, and the next line that fits is preceded by a line log_lines_dropped with
// their number.  Code that logs successes writes only a sample of them (Sample); failures
// are always written.

#ifndef GULLWARD_PROCESS_EVENT_LOG_H_
#define GULLWARD_PROCESS_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace gullward {

// One line under construction, with the keys and values of its JSON object.
class LogLine {
 public:
  // Starts a line with the key "event".
  explicit LogLine(std::string_view event);

  // Add a key with a text or a number.  Bytes of a text that are not UTF-8 are replaced.
  LogLine& Text(std::string_view field, std::string_view value);
  LogLine& Number(std::string_view field, double value);

  // The fields so far as JSON, each with a comma before it.
  const std::string& fields() const { return this->text; }

 private:
  std::string text;
};

class EventLog {
 public:
  // Maximum number of bytes that wait because the reader of the log is slow or has stopped.
  static constexpr size_t kMaxWaitingBytes = 256 << 10;
  // One of this many lines about successes is written.
  static constexpr uint32_t kSampleEvery = 16;

  // Logs to the file descriptor, which is switched to non-blocking mode and is not closed.
  explicit EventLog(int output_fd);

  // Adds a line to the buffer, with the time "at" in seconds since the machine's boot.
  void Write(const LogLine& line);

  // Writes as many bytes of the buffer as the file descriptor accepts.
  void Flush();

  // Whether the next line about a success is to be written.  Counts the calls.
  bool Sample() { return this->sampled++ % kSampleEvery == 0; }

  // Number of lines dropped so far.
  uint64_t dropped() const { return this->dropped_lines; }

 private:
  void Append(const LogLine& line);

  int fd;
  std::string waiting;
  uint32_t sampled = 0;
  uint64_t dropped_lines = 0;
  // Dropped lines that no log_lines_dropped line has reported yet.
  uint64_t dropped_unreported = 0;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_EVENT_LOG_H_

// Structured logs: one JSON object a line on standard output.
//
//   EventLog log(&std_out);
//   log.Write(LogLine("refused").Text("request", id).Number("code", 2004));
//   log.Flush();                       // now and then, from the event loop
//
// A line is written for each decision that touches a request or changes what the
// process believes.  Writing never blocks: lines wait in a bounded buffer, and
// what does not fit is dropped, counted and said in the next line that fits.
// What went well is sampled by its writer (Sample), what failed never is.

#ifndef GULLWARD_PROCESS_EVENT_LOG_H_
#define GULLWARD_PROCESS_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace gullward {

// One line under construction.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Text(std::string_view field, std::string_view value);
  LogLine& Number(std::string_view field, double value);

  const std::string& fields() const { return this->text; }

 private:
  std::string text;
};

class EventLog {
 public:
  // Most bytes that wait for a reader that is slow or has stopped.
  static constexpr size_t kMostWaiting = 256 << 10;
  // One in so many lines on what went well is written.
  static constexpr uint32_t kSampleEvery = 16;

  // Writes to the file descriptor, which is made non-blocking.
  explicit EventLog(int output_fd);

  void Write(const LogLine& line);

  // Writes as much as the reader takes.
  void Flush();

  // Whether the next line on something that went well is to be written.
  bool Sample() { return this->sampled++ % kSampleEvery == 0; }

  uint64_t dropped() const { return this->dropped_lines; }

 private:
  void Append(const LogLine& line);

  int fd;
  std::string waiting;
  uint32_t sampled = 0;
  uint64_t dropped_lines = 0;
  uint64_t dropped_untold = 0;
};

}  // namespace gullward

#endif  // GULLWARD_PROCESS_EVENT_LOG_H_

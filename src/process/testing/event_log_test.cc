// Tests that every line is one JSON object, and that a reader that stops reading does not
// block the process that writes the log.

#define BOOST_TEST_MODULE event_log
#include "process/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace gullward {
namespace {

using nlohmann::json;

class Pipe {
 public:
  Pipe() { BOOST_REQUIRE(pipe2(this->ends, O_NONBLOCK) == 0); }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writing_end() const { return this->ends[1]; }

  std::string ReadAll() const {
    std::string all;
    char buffer[65536];
    ssize_t count = 0;
    while ((count = read(this->ends[0], buffer, sizeof(buffer))) > 0) {
      all.append(buffer, static_cast<size_t>(count));
    }
    return all;
  }

 private:
  int ends[2];
};

BOOST_AUTO_TEST_CASE(EveryLineIsOneJsonObjectWithItsFields) {
  Pipe pipe;
  EventLog log(pipe.writing_end());
  log.Write(LogLine("refused").Text("request", "a\"b\n\xff").Number("code", 2004));
  log.Write(LogLine("config").Number("version", 104));
  log.Flush();
  std::istringstream lines(pipe.ReadAll());
  std::vector<json> records;
  for (std::string line; std::getline(lines, line);) records.push_back(json::parse(line));
  BOOST_REQUIRE(records.size() == 2u);
  BOOST_TEST(records[0]["event"] == "refused");
  BOOST_TEST(records[0]["request"].get<std::string>().substr(0, 4) == "a\"b\n");
  BOOST_TEST(records[0]["code"] == 2004);
  BOOST_TEST(records[0].contains("at"));
  BOOST_TEST(records[1]["version"] == 104);
}

BOOST_AUTO_TEST_CASE(AStoppedReaderDropsLinesButDoesNotBlock) {
  Pipe pipe;
  EventLog log(pipe.writing_end());
  // Far more bytes than the pipe and the buffer hold.  Every call must return.
  for (int i = 0; i < 20'000; ++i) {
    log.Write(LogLine("line").Text("filler", std::string(100, 'x')));
    log.Flush();
  }
  uint64_t dropped = log.dropped();
  BOOST_TEST(dropped > 0u);
  pipe.ReadAll();
  log.Flush();
  log.Write(LogLine("after"));
  std::string rest;
  for (int i = 0; i < 10; ++i) {
    log.Flush();
    rest += pipe.ReadAll();
  }
  BOOST_TEST(rest.find("\"event\":\"log_lines_dropped\",\"lines\":" + std::to_string(dropped)) !=
             std::string::npos);
  BOOST_TEST(rest.find("\"event\":\"after\"") != std::string::npos);
}

}  // namespace
}  // namespace gullward

// Speaks to the platform's append-only log.
//
// The log has named streams of records with offsets.  This adapter is the only
// place that knows its verbs (docs/PLATFORM.md); another platform costs another
// adapter.
//
//   LogClient log(&http, "127.0.0.1:9000");
//   log.Append("config", bytes, [](const AppendResult& result) { ... });
//   log.Read("config", next, milliseconds(1000), [](const LogRead& read) { ... });
//
// An append whose answer is lost may have taken effect: kUnknown says so, and
// only reading forward settles it.

#ifndef GULLWARD_LOG_LOG_CLIENT_H_
#define GULLWARD_LOG_LOG_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/http_client.h"
#include "wire/messages.h"

namespace gullward {

// Names of the streams that gullward keeps.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kClaimsStream[] = "claims";

struct AppendResult {
  enum class Kind {
    // The record stands at `offset`.
    kAppended,
    // The log said that it did not take the record.
    kRefused,
    // No answer came: the record may stand or not.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  int64_t offset = -1;
};

struct LogRead {
  bool ok = false;
  // The lowest offset that the log still holds.
  int64_t earliest = 0;
  std::vector<OffsetRecord> records;
};

class LogClient {
 public:
  LogClient(HttpClient* client, std::string address);

  void Append(const std::string& stream, const std::string& body,
              std::function<void(const AppendResult&)> done);

  // Reads records from `from` on; where there are none yet, the log waits up to
  // `wait` for one.
  void Read(const std::string& stream, int64_t from, Duration wait,
            std::function<void(const LogRead&)> done);

 private:
  HttpClient* http;
  std::string base_url;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_LOG_CLIENT_H_

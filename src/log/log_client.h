// A client of the platform's append-only log.
//
// The log has named streams of records, and each record has an offset.  No other code depends on
// the HTTP API of the log (docs/PLATFORM.md); another platform needs another client.
//
//   LogClient log(&http, "127.0.0.1:9000");
//   log.Append("config", bytes, [](const AppendResult& result) { ... });
//   log.Read("config", next, milliseconds(1000), [](const LogRead& read) { ... });
//
// An append whose answer is lost may have taken effect.  It is reported as kUnknown; only reading
// the later records of the stream shows whether the record was appended.

#ifndef GULLWARD_LOG_LOG_CLIENT_H_
#define GULLWARD_LOG_LOG_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/http_client.h"
#include "wire/messages.h"

namespace gullward {

// Names of the streams that gullward uses.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kClaimsStream[] = "claims";

struct AppendResult {
  enum class Kind {
    // The record was appended at `offset`.
    kAppended,
    // The record was not appended.
    kRefused,
    // No valid answer arrived; the record may have been appended.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  int64_t offset = -1;
};

struct LogRead {
  // Whether a complete and valid answer arrived.  Otherwise there are no records.
  bool ok = false;
  // The lowest offset that the log still holds.
  int64_t earliest = 0;
  std::vector<OffsetRecord> records;
};

class LogClient {
 public:
  LogClient(HttpClient* client, std::string address);

  // Appends a record to the stream.
  void Append(const std::string& stream, const std::string& body,
              std::function<void(const AppendResult&)> done);

  // Reads the records from offset `from` on.  If there are none, the log waits for one for up to
  // `wait` before it answers.
  void Read(const std::string& stream, int64_t from, Duration wait,
            std::function<void(const LogRead&)> done);

 private:
  HttpClient* http;
  std::string base_url;
};

}  // namespace gullward

#endif  // GULLWARD_LOG_LOG_CLIENT_H_

// The commands of gullwardctl; commands.h describes them.

#include "ctl/commands.h"

#include <cstdio>
#include <optional>
#include <utility>

#include "config/config_feed.h"
#include "config/config_file.h"
#include "log/log_client.h"
#include "process/process.h"
#include "wire/codec.h"

namespace gullward {
namespace {

constexpr Duration kRetryPeriod = milliseconds(300);

// Time after which an append is repeated if its record has not been read back.
constexpr Duration kAppendRetryDelay = seconds(3);

void PrintErrors(const std::vector<ConfigError>& errors) {
  for (const ConfigError& error : errors) std::fprintf(stderr, "%s\n", ToString(error).c_str());
}

void PrintCode(ResultCode code) {
  std::fprintf(stderr, "result code %u (%s): %s\n", static_cast<unsigned>(code), Info(code).name,
               Info(code).description);
}

std::optional<ConfigFile> LoadFile(const std::string& path) {
  std::vector<ConfigError> errors;
  std::optional<ConfigFile> file;
  std::optional<std::string> text = ReadFile(path, &errors);
  if (text) file = ParseConfigFile(*text, path, &errors);
  PrintErrors(errors);
  if (!file) PrintCode(ResultCode::kConfigInvalid);
  return file;
}

// Access to the log for one command: reads it to its end, or appends a change and reads the result.
class LogSession {
 public:
  LogSession(const std::string& platform, Duration timeout)
      : client(&this->loop),
        log(&this->client, platform),
        feed([this](int64_t offset, const LogRecord& record, const ApplyResult& result) {
          this->OnApplied(offset, record, result);
        }),
        deadline(Now() + timeout) {}

  // Reads the log to its end.  Returns false if the log does not answer before the timeout.
  bool ReadAll() {
    this->ReadOnce();
    this->RunUntilDone();
    return this->read_all;
  }

  // Appends the change and reads the log until it contains the change.  Returns the offset and the
  // result of the change; empty if they are not known before the timeout.
  std::optional<std::pair<int64_t, ApplyResult>> Publish(const ConfigChange& change) {
    this->own = change.id;
    this->publishing = true;
    this->Append(EncodeRecord(change));
    this->ReadOnce();
    this->RunUntilDone();
    return this->outcome;
  }

  const ConfigState& state() const { return this->feed.state(); }

 private:
  void RunUntilDone() {
    this->loop.RunEvery(milliseconds(20), [this] {
      if (this->Finished() || Now() >= this->deadline) this->loop.Stop();
    });
    this->loop.Run();
  }

  bool Finished() const { return this->publishing ? this->outcome.has_value() : this->read_all; }

  void ReadOnce() {
    this->log.Read(kConfigStream, this->feed.next_offset(),
                   this->publishing ? Duration(seconds(1)) : Duration{},
                   [this](const LogRead& read) { this->AfterRead(read); });
  }

  void AfterRead(const LogRead& read) {
    if (read.ok) {
      this->feed.ApplyLogRecords(read.earliest, read.records);
      if (read.records.empty()) this->read_all = true;
    }
    if (this->Finished()) return;
    this->loop.RunAfter(read.ok ? Duration{} : Duration(kRetryPeriod),
                        [this] { this->ReadOnce(); });
  }

  void Append(const std::string& body) {
    this->log.Append(kConfigStream, body, [this, body](const AppendResult& result) {
      // If the answer is lost, reading the log shows whether the append took effect.  A second copy
      // of the change would conflict with the first and be rejected, so repeating it is safe.
      Duration retry_delay = result.kind == AppendResult::Kind::kRefused
                                 ? Duration(kRetryPeriod)
                                 : Duration(kAppendRetryDelay);
      this->loop.RunAfter(retry_delay, [this, body] {
        if (!this->Finished()) this->Append(body);
      });
    });
  }

  void OnApplied(int64_t offset, const LogRecord& record, const ApplyResult& result) {
    const auto* change = std::get_if<ConfigChange>(&record);
    bool is_own = this->publishing && change != nullptr && change->id == this->own;
    if (is_own && !this->outcome) this->outcome = {offset, result};
  }

  EventLoop loop;
  HttpClient client;
  LogClient log;
  ConfigFeed feed;
  Time deadline;
  bool read_all = false;
  bool publishing = false;
  // Id of the published change.
  WriterSequence own;
  std::optional<std::pair<int64_t, ApplyResult>> outcome;
};

int ReportUnavailable() {
  PrintCode(ResultCode::kPlatformUnavailable);
  return kExitFailed;
}

// Makes one HTTP call and prints the answer.
int CallAndPrint(const std::string& method, const std::string& url, Duration timeout) {
  HttpCall call;
  call.method = method;
  call.url = url;
  call.timeout = timeout;
  HttpResult answer = CallAndWait(std::move(call));
  if (!answer.complete) {
    std::fprintf(stderr, "%s: %s\n", url.c_str(), answer.error.c_str());
    return kExitFailed;
  }
  std::printf("%s\n", answer.body.c_str());
  return answer.status < 300 ? 0 : kExitFailed;
}

}  // namespace

int CheckCommand(const std::string& path) {
  std::optional<ConfigFile> file = LoadFile(path);
  if (!file) return kExitUsage;
  std::printf("%zu objects are valid\n", file->written.size());
  return 0;
}

int PublishCommand(const std::string& path, const std::string& platform, Duration timeout) {
  std::optional<ConfigFile> file = LoadFile(path);
  if (!file) return kExitUsage;
  LogSession before(platform, timeout);
  if (!before.ReadAll()) return ReportUnavailable();
  ConfigChange change = MakeChange(*file, before.state(), {RandomIncarnation(), 1});
  if (change.objects.empty()) {
    std::printf("nothing to change; in force: offset %lld\n",
                static_cast<long long>(before.state().offset()));
    return 0;
  }
  LogSession session(platform, timeout);
  auto outcome = session.Publish(change);
  if (!outcome) {
    std::fprintf(stderr, "not known whether the change was accepted\n");
    PrintCode(ResultCode::kPlatformUnavailable);
    return kExitUnknown;
  }
  auto [offset, result] = *outcome;
  if (result.code == ResultCode::kOk) {
    std::printf("%saccepted at offset %lld\n", DescribeChange(change).c_str(),
                static_cast<long long>(offset));
    return 0;
  }
  std::fprintf(stderr, "rejected at offset %lld\n", static_cast<long long>(offset));
  PrintErrors(result.errors);
  PrintCode(result.code);
  return kExitFailed;
}

int GetCommand(const std::string& platform, Duration timeout) {
  LogSession session(platform, timeout);
  if (!session.ReadAll()) return ReportUnavailable();
  std::printf("%s", WriteConfigFile(session.state()).c_str());
  return 0;
}

int DiffCommand(const std::string& path, const std::string& platform, Duration timeout) {
  std::optional<ConfigFile> file = LoadFile(path);
  if (!file) return kExitUsage;
  LogSession session(platform, timeout);
  if (!session.ReadAll()) return ReportUnavailable();
  ConfigChange change = MakeChange(*file, session.state(), {});
  std::printf("%s", DescribeChange(change).c_str());
  return 0;
}

int StateCommand(const std::string& address, Duration timeout) {
  return CallAndPrint("GET", "http://" + address + "/state", timeout);
}

int DrainCommand(const std::string& address, Duration timeout) {
  return CallAndPrint("POST", "http://" + address + "/drain", timeout);
}

}  // namespace gullward

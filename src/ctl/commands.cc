// commands.h tells what each command does.

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

// After which an append that cannot be read back is made again.
constexpr Duration kAppendAgain = seconds(3);

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

// One command's view of the log: reads to its end, appends, reads on.
class LogSession {
 public:
  LogSession(const std::string& platform, Duration timeout)
      : client(&this->loop),
        log(&this->client, platform),
        feed([this](int64_t offset, const LogRecord& record, const ApplyResult& result) {
          this->OnApplied(offset, record, result);
        }),
        deadline(Now() + timeout) {}

  // Reads all that the log holds; false where it does not answer in time.
  bool ReadAll() {
    this->ReadOnce();
    this->RunUntilDone();
    return this->read_all;
  }

  // Appends the change and reads on until its fate is known.
  std::optional<std::pair<int64_t, ApplyResult>> Publish(const ConfigChange& change) {
    this->own = change.id;
    this->publishing = true;
    this->Append(EncodeRecord(change));
    this->ReadOnce();
    this->RunUntilDone();
    return this->fate;
  }

  const ConfigState& state() const { return this->feed.state(); }

 private:
  void RunUntilDone() {
    this->loop.RunEvery(milliseconds(20), [this] {
      if (this->Finished() || Now() >= this->deadline) this->loop.Stop();
    });
    this->loop.Run();
  }

  bool Finished() const { return this->publishing ? this->fate.has_value() : this->read_all; }

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
      // An answer that was lost is settled by reading; a second copy of the
      // change would only conflict with the first.
      Duration again = result.kind == AppendResult::Kind::kRefused ? Duration(kRetryPeriod)
                                                                   : Duration(kAppendAgain);
      this->loop.RunAfter(again, [this, body] {
        if (!this->Finished()) this->Append(body);
      });
    });
  }

  void OnApplied(int64_t offset, const LogRecord& record, const ApplyResult& result) {
    const auto* change = std::get_if<ConfigChange>(&record);
    bool is_own = this->publishing && change != nullptr && change->id == this->own;
    if (is_own && !this->fate) this->fate = {offset, result};
  }

  EventLoop loop;
  HttpClient client;
  LogClient log;
  ConfigFeed feed;
  Time deadline;
  bool read_all = false;
  bool publishing = false;
  WriterSequence own;
  std::optional<std::pair<int64_t, ApplyResult>> fate;
};

int Unavailable() {
  PrintCode(ResultCode::kPlatformUnavailable);
  return kExitFailed;
}

// One HTTP call, whose answer is printed.
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
  if (!before.ReadAll()) return Unavailable();
  ConfigChange change = MakeChange(*file, before.state(), {RandomIncarnation(), 1});
  if (change.objects.empty()) {
    std::printf("nothing to change; in force: offset %lld\n",
                static_cast<long long>(before.state().offset()));
    return 0;
  }
  LogSession session(platform, timeout);
  auto fate = session.Publish(change);
  if (!fate) {
    std::fprintf(stderr, "not known whether the change was accepted\n");
    PrintCode(ResultCode::kPlatformUnavailable);
    return kExitUnknown;
  }
  auto [offset, result] = *fate;
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
  if (!session.ReadAll()) return Unavailable();
  std::printf("%s", WriteConfigFile(session.state()).c_str());
  return 0;
}

int DiffCommand(const std::string& path, const std::string& platform, Duration timeout) {
  std::optional<ConfigFile> file = LoadFile(path);
  if (!file) return kExitUsage;
  LogSession session(platform, timeout);
  if (!session.ReadAll()) return Unavailable();
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

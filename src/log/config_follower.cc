// config_follower.h tells the method.

#include "log/config_follower.h"

#include <glog/logging.h>

#include <utility>

#include "wire/codec.h"

namespace gullward {
namespace {

constexpr Duration kLongPoll = seconds(2);
constexpr Duration kRetryRead = milliseconds(500);
// A process fed by peers reads the log itself after so long without them.
constexpr Duration kFedPatience = seconds(5);
constexpr Duration kFedPoll = seconds(1);
// Between two fetches from peers, so that ten heartbeats do not fetch ten times.
constexpr Duration kFetchPeriod = milliseconds(200);
constexpr int64_t kMaxSnapshotDelayMillis = 5000;

}  // namespace

ConfigFollower::ConfigFollower(EventLoop* event_loop, LogClient* log_client,
                               const ConfigFollowerOptions& follower_options,
                               std::function<void()> changed_hook)
    : loop(event_loop),
      log(log_client),
      options(follower_options),
      changed(std::move(changed_hook)),
      config([](int64_t offset, const LogRecord&, const ApplyResult& result) {
        if (result.code == ResultCode::kOk) return;
        LOG(WARNING) << "configuration record " << offset
                     << " not in force: " << Info(result.code).name;
        for (const ConfigError& error : result.errors) LOG(WARNING) << ToString(error);
      }),
      random(follower_options.seed) {}

void ConfigFollower::Start() { this->ReadOnce(); }

void ConfigFollower::ReadOnce() {
  bool fed = !this->options.always_read && Now() - this->fed_at < kFedPatience;
  if (fed) {
    this->loop->RunAfter(kFedPoll, [this] { this->ReadOnce(); });
    return;
  }
  this->log->Read(kConfigStream, this->config.next_offset(), kLongPoll,
                  [this](const LogRead& read) { this->AfterRead(read); });
}

void ConfigFollower::AfterRead(const LogRead& read) {
  if (read.ok != this->reachable) {
    LOG(INFO) << (read.ok ? "the platform's log answers" : "the platform's log does not answer");
  }
  this->reachable = read.ok;
  if (!read.ok) {
    this->loop->RunAfter(kRetryRead, [this] { this->ReadOnce(); });
    return;
  }
  int64_t before = this->config.state().offset();
  this->config.ApplyLogRecords(read.earliest, read.records);
  this->NoteMoved(before);
  this->MaybeCutSnapshot();
  // Not at once on the same stack: a log that answers fast would recurse.
  this->loop->Post([this] { this->ReadOnce(); });
}

void ConfigFollower::NoteMoved(int64_t offset_before) {
  int64_t offset = this->config.state().offset();
  if (offset == offset_before) return;
  this->config.ObserveOffset(offset, Now());
  LOG(INFO) << "configuration in force: offset " << offset << ", " << this->config.state().size()
            << " objects";
  if (this->changed) this->changed();
}

void ConfigFollower::MaybeCutSnapshot() {
  bool due = this->options.cut_snapshots && !this->snapshot_planned &&
             this->config.IsSnapshotDue(this->options.snapshot_records);
  if (!due) return;
  this->snapshot_planned = true;
  std::uniform_int_distribution<int64_t> delay(0, kMaxSnapshotDelayMillis);
  this->loop->RunAfter(milliseconds(delay(this->random)), [this] {
    this->snapshot_planned = false;
    // Another process may have cut one meanwhile.
    if (!this->config.IsSnapshotDue(this->options.snapshot_records)) return;
    LOG(INFO) << "cutting a snapshot at offset " << this->config.state().offset();
    this->log->Append(kConfigStream, EncodeRecord(this->config.state().Snapshot()),
                      [](const AppendResult&) {});
  });
}

void ConfigFollower::OnPeerOffset(int64_t offset, const std::function<void(const Message&)>& send) {
  Time now = Now();
  this->fed_at = now;
  this->config.ObserveOffset(offset, now);
  bool behind = this->config.state().offset() < offset;
  if (!behind || now - this->fetched_at < kFetchPeriod) return;
  this->fetched_at = now;
  send(ConfigFetch{this->config.state().offset()});
}

void ConfigFollower::OnPeerRecords(const ConfigRecords& records) {
  int64_t before = this->config.state().offset();
  this->config.ApplyPeerRecords(records.records);
  this->NoteMoved(before);
}

}  // namespace gullward

// Follows the configuration; config_follower.h describes the method.

#include "log/config_follower.h"

#include <glog/logging.h>

#include <utility>

#include "wire/codec.h"

namespace gullward {
namespace {

constexpr Duration kLongPoll = seconds(2);
constexpr Duration kRetryRead = milliseconds(500);
// A process that does not always read the log starts to read it if no peer has reported an offset
// for this time.
constexpr Duration kPeerTimeout = seconds(5);
constexpr Duration kPeerPollPeriod = seconds(1);
// Minimum time between two fetches from peers, so that the heartbeats of many peers cause one
// fetch.
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
  bool has_peers = !this->options.always_read && Now() - this->last_peer_report < kPeerTimeout;
  if (has_peers) {
    this->loop->RunAfter(kPeerPollPeriod, [this] { this->ReadOnce(); });
    return;
  }
  this->log->Read(kConfigStream, this->config.next_offset(), kLongPoll,
                  [this](const LogRead& read) { this->AfterRead(read); });
}

void ConfigFollower::AfterRead(const LogRead& read) {
  if (read.ok != this->reachable) {
    LOG(INFO) << (read.ok ? "the platform's log is reachable"
                          : "the platform's log is not reachable");
  }
  this->reachable = read.ok;
  if (!read.ok) {
    this->loop->RunAfter(kRetryRead, [this] { this->ReadOnce(); });
    return;
  }
  int64_t offset_before = this->config.state().offset();
  this->config.ApplyLogRecords(read.earliest, read.records);
  this->NoteOffset(offset_before);
  this->MaybeAppendSnapshot();
  // Posted rather than called, because a log that answers at once would cause a recursion.
  this->loop->Post([this] { this->ReadOnce(); });
}

void ConfigFollower::NoteOffset(int64_t offset_before) {
  int64_t offset = this->config.state().offset();
  if (offset == offset_before) return;
  this->config.ObserveOffset(offset, Now());
  LOG(INFO) << "configuration in force: offset " << offset << ", " << this->config.state().size()
            << " objects";
  if (this->changed) this->changed();
}

void ConfigFollower::MaybeAppendSnapshot() {
  bool due = this->options.write_snapshots && !this->snapshot_planned &&
             this->config.IsSnapshotDue(this->options.snapshot_records);
  if (!due) return;
  this->snapshot_planned = true;
  std::uniform_int_distribution<int64_t> delay(0, kMaxSnapshotDelayMillis);
  this->loop->RunAfter(milliseconds(delay(this->random)), [this] {
    this->snapshot_planned = false;
    // Another process may have appended a snapshot in the meantime.
    if (!this->config.IsSnapshotDue(this->options.snapshot_records)) return;
    LOG(INFO) << "appending a snapshot at offset " << this->config.state().offset();
    this->log->Append(kConfigStream, EncodeRecord(this->config.state().Snapshot()),
                      [](const AppendResult&) {});
  });
}

void ConfigFollower::OnPeerOffset(int64_t offset, const std::function<void(const Message&)>& send) {
  Time now = Now();
  this->last_peer_report = now;
  this->config.ObserveOffset(offset, now);
  bool behind = this->config.state().offset() < offset;
  if (!behind || now - this->last_fetch < kFetchPeriod) return;
  this->last_fetch = now;
  send(ConfigFetch{this->config.state().offset()});
}

void ConfigFollower::OnPeerRecords(const ConfigRecords& records) {
  int64_t offset_before = this->config.state().offset();
  this->config.ApplyPeerRecords(records.records);
  this->NoteOffset(offset_before);
}

}  // namespace gullward

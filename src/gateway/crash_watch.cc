// Connects the test of lost engines, the shared quarantine, the store's entries and the log.

#include "gateway/crash_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gullward {
namespace {

int64_t UnixMillis() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

}  // namespace

CrashWatch::CrashWatch(EventLoop* event_loop, const Options& watch_options,
                       StoreRecovery* store_recovery, EventLog* event_log, Hooks watch_hooks)
    : options(watch_options),
      log(event_log),
      hooks(std::move(watch_hooks)),
      check(event_loop),
      shared(watch_options.box, watch_options.quarantine_duration, this->EventHooks()),
      quarantine_store(event_loop, watch_options.store, store_recovery, watch_options.seed) {}

// Log lines that let operators follow a content from its first crashes to the end of its
// quarantine.
SharedQuarantine::Hooks CrashWatch::EventHooks() {
  SharedQuarantine::Hooks events;
  events.suspected = [this](ContentId content, size_t engines) {
    this->log->Write(LogLine("engines_ended_under")
                         .Text("content", ContentName(content))
                         .Number("engines", static_cast<double>(engines)));
  };
  events.quarantined = [this](const QuarantineReport& report, const std::string& by) {
    this->OnQuarantined(report, by);
  };
  events.cleared = [this](ContentId content, bool was_quarantined, const std::string& by) {
    this->quarantine_store.Remove(content, by == this->options.box, Now());
    this->log->Write(LogLine(was_quarantined ? "quarantine_lifted" : "content_cleared")
                         .Text("content", ContentName(content))
                         .Text("by", by));
  };
  return events;
}

void CrashWatch::OnQuarantined(const QuarantineReport& report, const std::string& by) {
  size_t engines = this->quarantine().CrashCount(report.content);
  this->log->Write(LogLine("content_quarantined")
                       .Text("content", ContentName(report.content))
                       .Text("by", by)
                       .Number("engines", static_cast<double>(engines))
                       .Number("left_s", ToSeconds(report.left)));
  this->StoreEntry(report, by, this->witnessed.count(report.content) != 0, Now());
}

void CrashWatch::StoreEntry(const QuarantineReport& report, const std::string& by, bool is_witness,
                            Time now) {
  QuarantineEntry entry;
  entry.until_ms = UnixMillis() + static_cast<int64_t>(ToMillis(report.left));
  entry.judged_by = by;
  entry.engines = static_cast<uint32_t>(this->quarantine().CrashCount(report.content));
  this->quarantine_store.Keep(report.content, entry, is_witness, now);
}

// All gateways hold the same contents, so all of them wait as long as gateways that did not see
// the crash.  If an entry is still in the store, the topic shows it before this wait ends.
void CrashWatch::OnStoreReturn(Time now) {
  this->quarantine_store.OnStoreReturn();
  for (ContentId content : this->quarantine().Quarantined(now)) {
    std::optional<Duration> left = this->quarantine().QuarantinedFor(content, now);
    if (left) this->StoreEntry({content, *left}, this->options.box, /*is_witness=*/false, now);
  }
}

std::optional<Duration> CrashWatch::RefusedFor(ContentId content, Time now) const {
  if (!this->options.is_enabled) return std::nullopt;
  return this->quarantine().RefusedFor(content, now);
}

void CrashWatch::NoteBrokenAttempt(const EngineRecord& engine, ContentId content, Time sent,
                                   const LogLine& line) {
  if (!this->options.is_enabled) return;
  this->check.Start(engine, [this, engine, content, sent, line](EngineFinding finding) {
    this->broken_count[finding] += 1;
    bool crashed = finding == EngineFinding::kGone && this->hooks.was_in_use(engine);
    LogLine found_line = line;
    this->log->Write(found_line.Text("found", NameOf(finding)).Number("crashed", crashed ? 1 : 0));
    if (!crashed) return;
    this->witnessed.insert(content);
    this->shared.NoteCrash({content, EngineKeyOf(engine.Incarnation())}, Now(), sent);
  });
}

void CrashWatch::NoteAnswered(ContentId content, Time now) {
  if (this->options.is_enabled) this->shared.NoteAnswered(content, now);
}

CrashGossip CrashWatch::ReceiveGossip(const std::string& peer, const CrashGossip& gossip,
                                      Time now) {
  return this->options.is_enabled ? this->shared.Receive(peer, gossip, now) : CrashGossip{};
}

void CrashWatch::OnRecord(ContentId content, const std::string& value, Time now) {
  std::optional<QuarantineEntry> entry = DecodeQuarantineEntry(value);
  bool is_current = this->quarantine_store.OnRecord(content, entry);
  if (!entry || !is_current || !this->options.is_enabled) return;
  int64_t left_ms = entry->until_ms - UnixMillis();
  if (left_ms <= 0) return;
  left_ms =
      std::min<int64_t>(left_ms, static_cast<int64_t>(ToMillis(this->options.quarantine_duration)));
  this->shared.AdoptFromPeer({content, milliseconds(left_ms)}, entry->judged_by, now);
}

void CrashWatch::TickSlowly(Time now) {
  this->shared.Forget(now);
  std::erase_if(this->witnessed,
                [this](ContentId content) { return !this->quarantine().HasRecordOf(content); });
  this->quarantine_store.Tick(now, UnixMillis());
}

}  // namespace gullward

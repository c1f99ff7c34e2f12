// Connects the test of lost engines, the shared quarantine, the store's entries and the log.

#include "gateway/crash_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

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

// Log lines that let operators follow a suspect from its first crashes to the end of its
// quarantine.
SharedQuarantine::Hooks CrashWatch::EventHooks() {
  SharedQuarantine::Hooks events;
  events.suspected = [this](const Suspect& suspect, size_t engines) {
    this->log->Write(LogLine("engines_ended_under")
                         .Text(NameOf(suspect.kind), SuspectName(suspect))
                         .Number("engines", static_cast<double>(engines)));
  };
  events.quarantined = [this](const QuarantineReport& report, const std::string& by) {
    this->OnQuarantined(report, by);
  };
  events.cleared = [this](const Suspect& suspect, bool was_quarantined, const std::string& by) {
    this->quarantine_store.Remove(suspect, by == this->options.box, Now());
    std::string cleared = absl::StrCat(NameOf(suspect.kind), "_cleared");
    this->log->Write(LogLine(was_quarantined ? "quarantine_lifted" : cleared)
                         .Text(NameOf(suspect.kind), SuspectName(suspect))
                         .Text("by", by));
  };
  return events;
}

void CrashWatch::OnQuarantined(const QuarantineReport& report, const std::string& by) {
  const Suspect& suspect = report.suspect;
  size_t engines = this->quarantine().CrashCount(suspect);
  this->log->Write(LogLine(absl::StrCat(NameOf(suspect.kind), "_quarantined"))
                       .Text(NameOf(suspect.kind), SuspectName(suspect))
                       .Text("by", by)
                       .Number("engines", static_cast<double>(engines))
                       .Number("left_s", ToSeconds(report.left)));
  this->StoreEntry(report, by, this->witnessed.count(suspect) != 0, Now());
}

void CrashWatch::StoreEntry(const QuarantineReport& report, const std::string& by, bool is_witness,
                            Time now) {
  QuarantineEntry entry;
  entry.until_ms = UnixMillis() + static_cast<int64_t>(ToMillis(report.left));
  entry.judged_by = by;
  entry.engines = static_cast<uint32_t>(this->quarantine().CrashCount(report.suspect));
  this->quarantine_store.Keep(report.suspect, entry, is_witness, now);
}

// All gateways hold the same suspects, so all of them wait as long as gateways that did not see
// the crash.  If an entry is still in the store, the topic shows it before this wait ends.
void CrashWatch::OnStoreReturn(Time now) {
  this->quarantine_store.OnStoreReturn();
  for (const Suspect& suspect : this->quarantine().Quarantined(now)) {
    std::optional<Duration> left = this->quarantine().QuarantinedFor(suspect, now);
    if (left) this->StoreEntry({suspect, *left}, this->options.box, /*is_witness=*/false, now);
  }
}

std::vector<Suspect> CrashWatch::SuspectsOfRequest(ContentId content,
                                                   const std::vector<PartId>& parts) const {
  return SuspectsOf(content, this->options.covers_parts ? parts : std::vector<PartId>{});
}

std::optional<Duration> CrashWatch::RefusedFor(const std::vector<Suspect>& suspects,
                                               Time now) const {
  if (!this->options.is_enabled) return std::nullopt;
  return this->quarantine().RefusedFor(suspects, now);
}

bool CrashWatch::AllowsSecondAttempt(const std::vector<Suspect>& suspects) const {
  return std::all_of(suspects.begin(), suspects.end(), [this](const Suspect& suspect) {
    return this->quarantine().AllowsSecondAttempt(suspect);
  });
}

void CrashWatch::NoteBrokenAttempt(const EngineRecord& engine, const std::vector<Suspect>& suspects,
                                   Time sent, const LogLine& line) {
  if (!this->options.is_enabled) return;
  this->check.Start(engine, [this, engine, suspects, sent, line](EngineFinding finding) {
    this->broken_count[finding] += 1;
    bool crashed = finding == EngineFinding::kGone && this->hooks.was_in_use(engine);
    LogLine found_line = line;
    this->log->Write(found_line.Text("found", NameOf(finding)).Number("crashed", crashed ? 1 : 0));
    if (!crashed) return;
    for (const Suspect& suspect : suspects) {
      this->witnessed.insert(suspect);
      this->shared.NoteCrash({suspect, EngineKeyOf(engine.Incarnation())}, Now(), sent);
    }
  });
}

void CrashWatch::NoteAnswered(const std::vector<Suspect>& suspects, Time now) {
  if (!this->options.is_enabled) return;
  for (const Suspect& suspect : suspects) this->shared.NoteAnswered(suspect, now);
}

CrashGossip CrashWatch::ReceiveGossip(const std::string& peer, const CrashGossip& gossip,
                                      Time now) {
  return this->options.is_enabled ? this->shared.Receive(peer, gossip, now) : CrashGossip{};
}

void CrashWatch::OnRecord(const Suspect& suspect, const std::string& value, Time now) {
  std::optional<QuarantineEntry> entry = DecodeQuarantineEntry(value);
  bool is_current = this->quarantine_store.OnRecord(suspect, entry);
  if (!entry || !is_current || !this->options.is_enabled) return;
  int64_t left_ms = entry->until_ms - UnixMillis();
  if (left_ms <= 0) return;
  left_ms =
      std::min<int64_t>(left_ms, static_cast<int64_t>(ToMillis(this->options.quarantine_duration)));
  this->shared.AdoptFromPeer({suspect, milliseconds(left_ms)}, entry->judged_by, now);
}

void CrashWatch::TickSlowly(Time now) {
  this->shared.Forget(now);
  std::erase_if(this->witnessed, [this](const Suspect& suspect) {
    return !this->quarantine().HasRecordOf(suspect);
  });
  this->quarantine_store.Tick(now, UnixMillis());
}

}  // namespace gullward

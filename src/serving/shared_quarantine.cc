// shared_quarantine.h describes the class.

#include "serving/shared_quarantine.h"

#include <utility>

namespace gullward {

SharedQuarantine::SharedQuarantine(std::string own_box, Duration quarantine_duration,
                                   Hooks event_hooks)
    : box(std::move(own_box)),
      duration(quarantine_duration),
      hooks(std::move(event_hooks)),
      quarantine(quarantine_duration) {}

bool SharedQuarantine::NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent) {
  bool is_new = this->quarantine.NoteCrash(report, now, sent);
  this->ReportAnswered(report.suspect);
  if (!is_new) return false;
  this->gossip.AddCrash(report);
  size_t engines = this->quarantine.UnexplainedCrashCount(report.suspect);
  bool must_report = engines >= kMinCrashesToReport && this->hooks.suspected;
  if (must_report) this->hooks.suspected(report.suspect, engines);
  return true;
}

// A peer that has just started, or that gets no requests with this suspect, cannot know otherwise
// that engines survive it.
void SharedQuarantine::ReportAnswered(const Suspect& suspect) {
  if (this->quarantine.TakeAnsweredReport(suspect)) this->gossip.AddAnsweredBefore(suspect);
}

// Every clearing is passed on: a peer that holds a single crash of the suspect would otherwise add
// the next ones to it, although it was answered in between.  Only those with several crashes are
// reported to the hooks, since most requests on a crashed engine have one crash and are answered
// soon.
void SharedQuarantine::Clear(const Suspect& suspect, const std::string& by, Time now) {
  bool was_quarantined = this->quarantine.IsQuarantined(suspect, now);
  bool was_suspect = this->quarantine.UnexplainedCrashCount(suspect) >= kMinCrashesToReport;
  if (!this->quarantine.NoteAnswered(suspect, now)) return;
  this->gossip.AddAnswered(suspect);
  bool must_report = (was_quarantined || was_suspect) && this->hooks.cleared;
  if (must_report) this->hooks.cleared(suspect, was_quarantined, by);
}

void SharedQuarantine::AnnounceQuarantine(const QuarantineReport& report, const std::string& by) {
  this->gossip.AddQuarantined(report);
  if (this->hooks.quarantined) this->hooks.quarantined(report, by);
}

void SharedQuarantine::AdoptFromPeer(const QuarantineReport& report, const std::string& by,
                                     Time now) {
  if (this->quarantine.AdoptFromPeer(report.suspect, report.left, now))
    this->AnnounceQuarantine(report, by);
}

CrashGossip SharedQuarantine::Receive(const std::string& peer, const CrashGossip& received,
                                      Time now) {
  for (const QuarantineReport& report : received.quarantined)
    this->AdoptFromPeer(report, peer, now);
  // The answers are the newer ones: a crash is not reported soon after an answer that clears it.
  CrashGossip reply = this->ReceiveCrashes(received.crashes, now);
  for (const Suspect& suspect : received.answered) this->Clear(suspect, peer, now);
  for (const Suspect& suspect : received.answered_before) {
    this->quarantine.NoteAnsweredByPeer(suspect);
    this->ReportAnswered(suspect);
  }
  return reply;
}

CrashGossip SharedQuarantine::ReceiveCrashes(const std::vector<CrashReport>& crashes, Time now) {
  CrashGossip reply;
  for (const CrashReport& report : crashes) {
    std::optional<Duration> left = this->quarantine.QuarantinedFor(report.suspect, now);
    bool is_new = this->NoteCrash(report, now);
    if (is_new && left) reply.quarantined.push_back({report.suspect, *left});
  }
  return reply;
}

void SharedQuarantine::Tick(Time now) {
  for (const Suspect& suspect : this->quarantine.Evaluate(now)) {
    this->AnnounceQuarantine({suspect, this->duration}, this->box);
  }
}

}  // namespace gullward

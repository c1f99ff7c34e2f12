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
  this->ReportAnswered(report.content);
  if (!is_new) return false;
  this->gossip.AddCrash(report);
  size_t engines = this->quarantine.UnexplainedCrashCount(report.content);
  bool must_report = engines >= kMinCrashesToReport && this->hooks.suspected;
  if (must_report) this->hooks.suspected(report.content, engines);
  return true;
}

// A peer that has just started, or that gets no requests of this content, cannot know otherwise
// that engines survive it.
void SharedQuarantine::ReportAnswered(ContentId content) {
  if (this->quarantine.TakeAnsweredReport(content)) this->gossip.AddAnsweredBefore(content);
}

// Every clearing is passed on: a peer that holds a single crash of the content would otherwise add
// the next ones to it, although the content was answered in between.  Only those of suspects are
// reported to the hooks, since most requests on a crashed engine have one crash and are answered
// soon.
void SharedQuarantine::Clear(ContentId content, const std::string& by, Time now) {
  bool was_quarantined = this->quarantine.IsQuarantined(content, now);
  bool was_suspect = this->quarantine.UnexplainedCrashCount(content) >= kMinCrashesToReport;
  if (!this->quarantine.NoteAnswered(content, now)) return;
  this->gossip.AddAnswered(content);
  bool must_report = (was_quarantined || was_suspect) && this->hooks.cleared;
  if (must_report) this->hooks.cleared(content, was_quarantined, by);
}

void SharedQuarantine::AnnounceQuarantine(const QuarantineReport& report, const std::string& by) {
  this->gossip.AddQuarantined(report);
  if (this->hooks.quarantined) this->hooks.quarantined(report, by);
}

void SharedQuarantine::AdoptFromPeer(const QuarantineReport& report, const std::string& by,
                                     Time now) {
  if (this->quarantine.AdoptFromPeer(report.content, report.left, now))
    this->AnnounceQuarantine(report, by);
}

CrashGossip SharedQuarantine::Receive(const std::string& peer, const CrashGossip& received,
                                      Time now) {
  for (const QuarantineReport& report : received.quarantined)
    this->AdoptFromPeer(report, peer, now);
  // The answers are the newer ones: a crash is not reported soon after an answer that clears it.
  CrashGossip reply = this->ReceiveCrashes(received.crashes, now);
  for (ContentId content : received.answered) this->Clear(content, peer, now);
  for (ContentId content : received.answered_before) {
    this->quarantine.NoteAnsweredByPeer(content);
    this->ReportAnswered(content);
  }
  return reply;
}

CrashGossip SharedQuarantine::ReceiveCrashes(const std::vector<CrashReport>& crashes, Time now) {
  CrashGossip reply;
  for (const CrashReport& report : crashes) {
    std::optional<Duration> left = this->quarantine.QuarantinedFor(report.content, now);
    bool is_new = this->NoteCrash(report, now);
    if (is_new && left) reply.quarantined.push_back({report.content, *left});
  }
  return reply;
}

void SharedQuarantine::Tick(Time now) {
  for (ContentId content : this->quarantine.Evaluate(now)) {
    this->AnnounceQuarantine({content, this->duration}, this->box);
  }
}

}  // namespace gullward

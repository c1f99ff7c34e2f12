// shared_quarantine.h tells what it is for.

#include "serving/shared_quarantine.h"

#include <utility>

namespace gullward {

SharedQuarantine::SharedQuarantine(std::string own_box, Duration quarantine_lasts,
                                   Hooks event_hooks)
    : box(std::move(own_box)),
      lasts(quarantine_lasts),
      hooks(std::move(event_hooks)),
      quarantine(quarantine_lasts) {}

bool SharedQuarantine::NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent) {
  if (!this->quarantine.NoteCrash(report, now, sent)) return false;
  this->news.AddCrash(report);
  size_t engines = this->quarantine.UnexplainedCrashCount(report.content);
  bool worth_telling = engines >= kMinCrashesToReport && this->hooks.suspected;
  if (worth_telling) this->hooks.suspected(report.content, engines);
  return true;
}

// The word that nothing is held against a content any more goes round only where more than
// one engine was: most requests that were on an engine that ended are answered soon.
void SharedQuarantine::Clear(ContentId content, const std::string& by, Time now) {
  bool was_quarantined = this->quarantine.IsQuarantined(content, now);
  bool was_suspect = this->quarantine.UnexplainedCrashCount(content) >= kMinCrashesToReport;
  if (!this->quarantine.NoteAnswered(content, now)) return;
  if (!was_quarantined && !was_suspect) return;
  this->news.AddAnswered(content);
  if (this->hooks.cleared) this->hooks.cleared(content, was_quarantined, by);
}

void SharedQuarantine::AnnounceQuarantine(const QuarantineReport& word, const std::string& by) {
  this->news.AddQuarantined(word);
  if (this->hooks.quarantined) this->hooks.quarantined(word, by);
}

void SharedQuarantine::AdoptFromPeer(const QuarantineReport& word, const std::string& by,
                                     Time now) {
  if (this->quarantine.AdoptFromPeer(word.content, word.left, now))
    this->AnnounceQuarantine(word, by);
}

CrashGossip SharedQuarantine::Receive(const std::string& peer, const CrashGossip& told, Time now) {
  for (const QuarantineReport& word : told.quarantined) this->AdoptFromPeer(word, peer, now);
  for (ContentId content : told.answered) this->Clear(content, peer, now);
  CrashGossip reply;
  for (const CrashReport& report : told.crashes) {
    std::optional<Duration> left = this->quarantine.QuarantinedFor(report.content, now);
    bool is_news = this->NoteCrash(report, now);
    if (is_news && left) reply.quarantined.push_back({report.content, *left});
  }
  return reply;
}

void SharedQuarantine::Tick(Time now) {
  for (ContentId content : this->quarantine.Evaluate(now)) {
    this->AnnounceQuarantine({content, this->lasts}, this->box);
  }
}

}  // namespace gullward

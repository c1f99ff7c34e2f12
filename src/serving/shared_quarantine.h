// One gateway's copy of the quarantine that all gateways share.
//
// Combines the decisions of quarantine.h with the gossip of crash_gossip.h: crashes that are seen
// here and reports from peers are both evaluated here and passed on to other gateways.  The class
// uses neither the network nor a clock, so a trial can run any number of gateways.
//
//   SharedQuarantine shared("box-1", std::chrono::hours(1), hooks);
//   shared.NoteCrash({content, EngineKeyOf(incarnation)}, now);
//   CrashGossip reply = shared.Receive("box-2", received, now);   // is sent back to box-2
//   shared.Tick(now);                                             // regularly
//   CrashGossip gossip = shared.TakeGossip();                     // is sent to a few peers

#ifndef GULLWARD_SERVING_SHARED_QUARANTINE_H_
#define GULLWARD_SERVING_SHARED_QUARANTINE_H_

#include <functional>
#include <string>
#include <vector>

#include "serving/crash_gossip.h"
#include "serving/quarantine.h"

namespace gullward {

class SharedQuarantine {
 public:
  // Unexplained crashes of one suspect before it is reported to operators.  A single crash says
  // little: each engine that crashes gives one to every suspect that was running on it.
  static constexpr size_t kMinCrashesToReport = 2;

  // Functions that are called when the state of a suspect changes.  Each may be empty.
  struct Hooks {
    // The suspect has `engines` unexplained crashes, kMinCrashesToReport or more.
    std::function<void(const Suspect& suspect, size_t engines)> suspected;
    // A suspect was put into quarantine, as the box `by` has decided or reported.
    std::function<void(const QuarantineReport& report, const std::string& by)> quarantined;
    // A suspect was cleared, because the box `by` has seen or reported a complete answer.
    std::function<void(const Suspect& suspect, bool was_quarantined, const std::string& by)>
        cleared;
  };

  SharedQuarantine(std::string own_box, Duration quarantine_duration, Hooks event_hooks);

  // Records a crash that was seen here or reported by a peer.  `sent` is the time at which the
  // engine received the request; it is set only for crashes seen here.  Returns whether the
  // crash was new.
  bool NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent = std::nullopt);

  // A request with this suspect was answered completely here.
  void NoteAnswered(const Suspect& suspect, Time now) { this->Clear(suspect, this->box, now); }

  // Adopts a quarantine that was received from a peer or read from the store.  `by` is the box
  // that has decided or reported it.
  void AdoptFromPeer(const QuarantineReport& report, const std::string& by, Time now);

  // Applies the gossip of a peer.  Returns the reply for this peer: the quarantined suspects for
  // which it sent new crash reports.  A peer that reports such a crash has not received the
  // quarantine yet.  Empty if there are none.
  CrashGossip Receive(const std::string& peer, const CrashGossip& received, Time now);

  // Puts the suspects into quarantine for which the decision is due.
  void Tick(Time now);
  // Removes expired quarantines and expired suspects.
  void Forget(Time now) { this->quarantine.Tick(now); }

  // Returns the next batch for kFanout random peers; empty if none is queued.
  CrashGossip TakeGossip() { return this->gossip.TakeBatch(); }

  const Quarantine& suspects() const { return this->quarantine; }
  uint64_t gossip_dropped() const { return this->gossip.dropped(); }

 private:
  void Clear(const Suspect& suspect, const std::string& by, Time now);
  void ReportAnswered(const Suspect& suspect);
  CrashGossip ReceiveCrashes(const std::vector<CrashReport>& crashes, Time now);
  void AnnounceQuarantine(const QuarantineReport& report, const std::string& by);

  std::string box;
  Duration duration;
  Hooks hooks;
  Quarantine quarantine;
  CrashGossipQueue gossip;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SHARED_QUARANTINE_H_

// One gateway's part of the quarantine that all gateways share.
//
// Ties what is judged (quarantine.h) to what is told (crash_news.h): an engine's end seen here
// is judged here and told to the others, and so is what they tell.  There is no network and no
// clock in it, so a trial can play any number of gateways.
//
//   SharedQuarantine shared("box-1", std::chrono::hours(1), hooks);
//   shared.NoteCrash({content, EngineKeyOf(incarnation)}, now);
//   CrashNews reply = shared.Hear("box-2", news, now);    // goes back to box-2
//   shared.Tick(now);                                     // often
//   CrashNews news = shared.TakeNews();                   // goes to a few peers

#ifndef GULLWARD_SERVING_SHARED_QUARANTINE_H_
#define GULLWARD_SERVING_SHARED_QUARANTINE_H_

#include <functional>
#include <string>

#include "serving/crash_gossip.h"
#include "serving/quarantine.h"

namespace gullward {

class SharedQuarantine {
 public:
  // A second engine under one content is worth telling operators; a first is lost with every
  // engine.
  static constexpr size_t kMinCrashesToReport = 2;

  // All may be empty.
  struct Hooks {
    // So many engines have ended under a content; kCrashesToTell or more.
    std::function<void(ContentId content, size_t engines)> suspected;
    // A content is in quarantine from now on, for that long, by the judgement of that box.
    std::function<void(const QuarantineReport& word, const std::string& by)> quarantined;
    // Nothing is held against a content any more, by what that box has seen.
    std::function<void(ContentId content, bool was_quarantined, const std::string& by)> cleared;
  };

  SharedQuarantine(std::string own_box, Duration quarantine_lasts, Hooks event_hooks);

  // An engine's end under a content, seen here (then with when it was sent there) or told.
  // Whether it was news.
  bool NoteCrash(const CrashReport& report, Time now, std::optional<Time> sent = std::nullopt);

  // A request of that content was answered whole here.
  void NoteAnswered(ContentId content, Time now) { this->Clear(content, this->box, now); }

  // Another's judgement, from a peer or from the store.
  void AdoptFromPeer(const QuarantineReport& word, const std::string& by, Time now);

  // What a peer tells.  Returns what the peer should be told in turn: it reported an end under
  // a content that is in quarantine, so it does not know of that.
  CrashGossip Receive(const std::string& peer, const CrashGossip& told, Time now);

  // Judges what is due.
  void Tick(Time now);
  // Forgets what is over.
  void Forget(Time now) { this->quarantine.Tick(now); }

  // News for a few peers; empty where there is none.
  CrashGossip TakeGossip() { return this->news.TakeBatch(); }

  const Quarantine& contents() const { return this->quarantine; }
  uint64_t gossip_dropped() const { return this->news.dropped(); }

 private:
  void Clear(ContentId content, const std::string& by, Time now);
  void AnnounceQuarantine(const QuarantineReport& word, const std::string& by);

  std::string box;
  Duration lasts;
  Hooks hooks;
  Quarantine quarantine;
  CrashGossipQueue news;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_SHARED_QUARANTINE_H_

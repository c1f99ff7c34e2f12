// peer_suspicion.h tells the method.

#include "serving/peer_suspicion.h"

#include <xxhash.h>

namespace gullward {
namespace {

// Removes the entries of a map of times that lie `age` or more back.
void ForgetOlder(std::map<std::string, Time>* times, Duration age, Time now) {
  for (auto it = times->begin(); it != times->end();) {
    it = now - it->second >= age ? times->erase(it) : std::next(it);
  }
}

}  // namespace

// Another place in the order for each engine, so that no box is always the first.
Duration PeerSuspicion::ReturnDelay(const std::string& engine) const {
  uint64_t hash = XXH64(this->box.data(), this->box.size(), XXH64(engine.data(), engine.size(), 0));
  return Duration(static_cast<int64_t>(hash % static_cast<uint64_t>(kReturnSpread.count())));
}

void PeerSuspicion::ReceiveSetAside(const std::string& peer, const std::set<std::string>& engines,
                                    size_t engines_listed, Time now) {
  for (auto& [engine, peers] : this->words) {
    if (engines.count(engine) == 0) peers.erase(peer);
  }
  if (SetsAsideTooMany(engines.size(), engines_listed)) return;
  for (const std::string& engine : engines) {
    std::map<std::string, Time>& peers = this->words[engine];
    peers[peer] = now;
    ForgetOlder(&peers, kReportLifetime, now);
    if (peers.size() < kMinReports) continue;
    this->suspected_until[engine] = now + kReportLifetime + this->ReturnDelay(engine);
  }
}

bool PeerSuspicion::IsSuspected(const std::string& engine, Time now) const {
  auto found = this->suspected_until.find(engine);
  return found != this->suspected_until.end() && now < found->second;
}

void PeerSuspicion::Tick(Time now) {
  ForgetOlder(&this->suspected_until, Duration(0), now);
  for (auto it = this->words.begin(); it != this->words.end();) {
    ForgetOlder(&it->second, kReportLifetime, now);
    it = it->second.empty() ? this->words.erase(it) : std::next(it);
  }
}

}  // namespace gullward

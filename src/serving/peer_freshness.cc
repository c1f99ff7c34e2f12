// peer_freshness.h gives the argument.

#include "serving/peer_freshness.h"

#include <algorithm>

namespace gullward {

void PeerFreshness::BeginRound(Time now) {
  this->last_round += 1;
  this->rounds.push_back({this->last_round, now});
  if (this->rounds.size() > kRoundsKept) this->rounds.pop_front();
}

FreshnessNote PeerFreshness::NoteFor(const std::string& peer, uint64_t own_version, Time own_proved,
                                     Time now) const {
  FreshnessNote note;
  note.round = this->last_round;
  note.config_version = own_version;
  note.proved_ago = now - own_proved;
  auto found = this->heard.find(peer);
  if (found == this->heard.end()) return note;
  note.echoed_round = found->second.round;
  note.echo_held = now - found->second.at;
  note.echoed_incarnation = found->second.incarnation;
  return note;
}

std::optional<Time> PeerFreshness::ReceiveNote(const std::string& peer, uint64_t peer_incarnation,
                                               const FreshnessNote& note, uint64_t own_version,
                                               Time now) {
  LastNote& last = this->heard[peer];
  if (last.incarnation != peer_incarnation) last = LastNote{peer_incarnation, 0, now};
  // The time of the first arrival: a later copy must not make it look younger.
  if (note.round > last.round) last = LastNote{peer_incarnation, note.round, now};
  this->newest_version = std::max(this->newest_version, note.config_version);
  if (note.config_version > own_version || note.echoed_round == 0) return std::nullopt;
  if (note.echoed_incarnation != this->incarnation) return std::nullopt;
  auto sent = std::find_if(this->rounds.begin(), this->rounds.end(),
                           [&](const Round& round) { return round.number == note.echoed_round; });
  if (sent == this->rounds.end()) return std::nullopt;
  return sent->sent + note.echo_held - note.proved_ago;
}

}  // namespace gullward

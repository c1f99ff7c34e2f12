// peer_freshness.h proves the method.

#include "serving/peer_freshness.h"

#include <algorithm>

namespace gullward {

void PeerFreshness::BeginRound(Time now) {
  this->last_round += 1;
  this->rounds.push_back({this->last_round, now});
  if (this->rounds.size() > kRoundsKept) this->rounds.pop_front();
}

FreshnessNote PeerFreshness::NoteFor(const std::string& peer, uint64_t own_version,
                                     Time own_validated_at, Time now) const {
  FreshnessNote note;
  note.round = this->last_round;
  note.config_version = own_version;
  note.proved_ago = now - own_validated_at;
  auto found = this->last_notes.find(peer);
  if (found == this->last_notes.end()) return note;
  note.echoed_round = found->second.round;
  note.echo_held = now - found->second.received_at;
  note.echoed_incarnation = found->second.incarnation;
  return note;
}

std::optional<Time> PeerFreshness::ReceiveNote(const std::string& peer, uint64_t peer_incarnation,
                                               const FreshnessNote& note, uint64_t own_version,
                                               Time now) {
  LastNote& last = this->last_notes[peer];
  if (last.incarnation != peer_incarnation) last = LastNote{peer_incarnation, 0, now};
  // Keeps the time of the first arrival, so that a duplicate does not make the note look newer.
  if (note.round > last.round) last = LastNote{peer_incarnation, note.round, now};
  this->newest_version = std::max(this->newest_version, note.config_version);
  if (note.config_version > own_version) return std::nullopt;
  std::optional<Time> written_after = this->WrittenAfter(note);
  return written_after ? std::optional<Time>(*written_after - note.proved_ago) : std::nullopt;
}

std::optional<Time> PeerFreshness::WrittenAfter(const FreshnessNote& note) const {
  if (note.echoed_round == 0) return std::nullopt;
  if (note.echoed_incarnation != this->incarnation) return std::nullopt;
  auto round = std::find_if(this->rounds.begin(), this->rounds.end(),
                            [&](const Round& other) { return other.number == note.echoed_round; });
  if (round == this->rounds.end()) return std::nullopt;
  return round->sent_at + note.echo_held;
}

}  // namespace gullward

// A gateway has one read under way at a time.  Its number tells the answer of the current read from
// those of reads that have timed out or were sent before a restart.

#include "trial/relay_trial.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "trial/event_queue.h"
#include "trial/relay_gateway.h"

namespace gullward::relay_trial {
namespace {

class RelaySimulation {
 public:
  explicit RelaySimulation(const RelayTrialOptions& trial_options)
      : options(trial_options), random(trial_options.seed), events(kStart) {
    std::vector<GatewayName> names;
    for (size_t i = 0; i < this->options.gateways; ++i) {
      names.push_back(
          {absl::StrCat("box-", i), absl::StrCat("hall-", i % this->options.data_centres)});
      this->numbers[names.back().box] = i;
    }
    for (const GatewayName& name : names) {
      Gateway gateway;
      gateway.box = name.box;
      if (this->options.is_relayed) gateway.sources.SetPlace(PlaceInTree(name, names));
      bool is_root = gateway.sources.reader_place().reads_store;
      if (this->options.revalidates && (is_root || this->options.revalidates_as_reader)) {
        RevalidationBounds bounds{.key_trust = kKeyTrust, .change = this->options.change_bound};
        gateway.schedule.emplace(bounds, this->random());
        gateway.schedule->SetReadsStore(is_root);
      }
      this->gateways.push_back(std::move(gateway));
    }
  }

  RelayTrialResult Play() {
    std::uniform_real_distribution<double> spread(0, ToSeconds(kStartSpread));
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      this->events.After(FromSeconds(spread(this->random)), [this, i] { this->Start(i); });
    }
    this->events.After(kGossipInterval, [this] { this->Gossip(); });
    if (this->options.revalidates) this->RevalidateEachTick();
    this->events.After(this->options.settled_after, [this] {
      this->calls_when_settled = this->result.store_calls;
      this->Change();
    });
    this->Repeat(this->options.kill_interval, [this](size_t i) { this->Kill(i); });
    this->Repeat(this->options.freeze_interval, [this](size_t i) { this->Freeze(i); });
    this->events.After(this->options.refused_from, [this] { this->Refuse(true); });
    this->events.After(this->options.refused_until, [this] { this->Refuse(false); });
    this->events.RunUntil(kStart + this->options.duration);
    return this->Result();
  }

 private:
  void Repeat(Duration interval, const std::function<void(size_t)>& fault) {
    if (interval == Duration(0)) return;
    this->events.After(interval, [this, interval, fault] {
      std::uniform_int_distribution<size_t> any(0, this->gateways.size() - 1);
      fault(any(this->random));
      this->Repeat(interval, fault);
    });
  }

  bool IsRunning(const Gateway& gateway) const {
    return gateway.is_up && gateway.frozen_until <= this->events.now();
  }

  void Start(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.is_up = true;
    gateway.is_loaded = false;
    gateway.validated_at = Time{};
    gateway.offset = 0;
    gateway.patient_until = this->events.now() + kStartPatience;
    this->Read(number);
  }

  void Kill(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.is_up = false;
    gateway.read_number += 1;
    this->Interrupt(number);
    // Its readers see their connections close.
    for (const WaitingRead& read : std::exchange(gateway.waiting, {})) {
      this->After(this->options.hop_delay, read, [this, read] { this->PeerFailed(read.reader); });
    }
    this->events.After(this->options.fault_duration, [this, number] { this->Start(number); });
  }

  void Freeze(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.frozen_until = this->events.now() + this->options.fault_duration;
    this->Interrupt(number);
  }

  // A gateway that was down or frozen is not expected to have the changes of that time.
  void Interrupt(size_t number) { this->interrupted[number] = this->events.now(); }

  void Refuse(bool is_refused) {
    size_t count = static_cast<size_t>(this->options.refused_share *
                                       static_cast<double>(this->gateways.size()));
    for (size_t i = 0; i < count; ++i) this->gateways[i].is_refused = is_refused;
  }

  // Runs `then` unless the read has ended by then.  A frozen gateway handles it when it wakes.
  void After(Duration delay, const WaitingRead& read, const std::function<void()>& then) {
    this->events.After(delay, [this, read, then] {
      Gateway& reader = this->gateways[read.reader];
      if (reader.read_number != read.number) return;
      if (!this->IsRunning(reader)) {
        this->After(reader.frozen_until - this->events.now(), read, then);
        return;
      }
      reader.read_number += 1;
      then();
    });
  }

  void Read(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.read_number += 1;
    WaitingRead read{number, gateway.read_number, gateway.offset, this->events.now()};
    std::optional<std::string> peer = gateway.sources.Next(this->events.now());
    gateway.is_reading_peer = peer.has_value();
    if (peer) {
      this->ReadFromPeer(read, *peer);
    } else {
      this->ReadFromStore(read);
    }
  }

  void ReadFromStore(const WaitingRead& read) {
    Gateway& gateway = this->gateways[read.reader];
    this->result.store_calls += 1;
    if (gateway.is_refused) {
      this->result.refused_calls += 1;
      this->After(this->options.store_delay, read,
                  [this, read] { this->StoreFailed(read.reader); });
      return;
    }
    bool goes_on_with_peer = !gateway.sources.reader_place().reads_store &&
                             gateway.sources.HasFreshPeer(this->events.now());
    bool must_wait = gateway.is_loaded && read.offset == this->changes.size() &&
                     !goes_on_with_peer && !gateway.is_lost;
    gateway.is_waiting_at_store = must_wait;
    if (this->IsSilentTo(gateway)) {
      Duration wait = must_wait ? kStoreWait : Duration(0);
      this->After(wait + kAnswerTimeout, read, [this, read] { this->NoAnswer(read.reader); });
    } else if (must_wait) {
      this->waiting_at_store.push_back(read);
      this->After(kStoreWait, read, [this, read] { this->Read(read.reader); });
    } else {
      this->AnswerFromStore(read);
    }
  }

  void AnswerFromStore(const WaitingRead& read) {
    uint64_t offset = this->changes.size();
    this->After(this->options.store_delay, read, [this, read, offset] {
      Gateway& gateway = this->gateways[read.reader];
      gateway.sources.NoteStoreAnswered();
      gateway.is_lost = gateway.is_unanswered = false;
      gateway.hops = 0;
      this->SetHasStore(read.reader, true);
      this->Take(read.reader, offset, read.sent);
      this->Read(read.reader);
    });
  }

  bool IsSilent() const {
    Time from = kStart + this->options.silent_from;
    return this->events.now() >= from && this->events.now() < from + this->options.silent_for;
  }

  bool IsSilentTo(const Gateway& gateway) const {
    bool is_concerned =
        !this->options.is_silent_to_roots_only || gateway.sources.reader_place().reads_store;
    return is_concerned && this->IsSilent();
  }

  void NoAnswer(size_t number) {
    this->gateways[number].is_unanswered = true;
    this->StoreFailed(number);
  }

  void StoreFailed(size_t number) {
    Gateway& gateway = this->gateways[number];
    gateway.is_lost = true;
    gateway.sources.NoteStoreFailed(this->events.now());
    this->SetHasStore(number, false);
    if (gateway.sources.Next(this->events.now())) {
      this->Read(number);
      return;
    }
    WaitingRead pause{number, ++gateway.read_number, gateway.offset};
    this->After(kRetryPause, pause, [this, number] { this->Read(number); });
  }

  void ReadFromPeer(const WaitingRead& read, const std::string& peer) {
    this->peer_reads += 1;
    this->gateways[read.reader].peer = peer;
    size_t at = this->numbers.at(peer);
    this->events.After(this->options.hop_delay, [this, read, at] { this->ArriveAtPeer(read, at); });
    this->After(kPeerWait + kPeerTimeout, read, [this, read] { this->PeerFailed(read.reader); });
  }

  void ArriveAtPeer(const WaitingRead& read, size_t at) {
    Gateway& peer = this->gateways[at];
    if (!peer.is_up) {
      this->After(this->options.hop_delay, read, [this, read] { this->PeerFailed(read.reader); });
      return;
    }
    if (!this->IsRunning(peer)) return;
    const Gateway& reader = this->gateways[read.reader];
    bool has_proof =
        read.offset <= peer.offset && peer.validated_at > reader.validated_at + kMinProofGain;
    bool has_news = !reader.is_loaded || read.offset < peer.offset || has_proof;
    if (peer.is_loaded && has_news) {
      this->AnswerFromPeer(read, at);
      return;
    }
    peer.waiting.push_back(read);
    this->events.After(kPeerWait, [this, read, at] { this->EndWait(read, at); });
  }

  void EndWait(const WaitingRead& read, size_t at) {
    Gateway& peer = this->gateways[at];
    auto is_read = [&](const WaitingRead& other) {
      return other.reader == read.reader && other.number == read.number;
    };
    bool was_waiting = std::erase_if(peer.waiting, is_read) > 0;
    if (was_waiting && this->IsRunning(peer)) this->AnswerFromPeer(read, at);
  }

  void AnswerFromPeer(const WaitingRead& read, size_t at) {
    Gateway& peer = this->gateways[at];
    peer.answers += 1;
    if (!peer.is_loaded) {
      this->After(this->options.hop_delay, read, [this, read] { this->PeerFailed(read.reader); });
      return;
    }
    PeerAnswer answer{peer.offset, peer.validated_at, peer.hops + 1, peer.has_store};
    this->After(this->options.hop_delay, read, [this, read, answer] {
      this->TakeFromPeer(read.reader, answer);
      this->Read(read.reader);
    });
  }

  void TakeFromPeer(size_t number, const PeerAnswer& answer) {
    Gateway& gateway = this->gateways[number];
    bool is_root = gateway.sources.reader_place().reads_store;
    bool relies_on_peer = answer.has_store && (!is_root || answer.hops == 1);
    gateway.hops = answer.hops;
    this->SetHasStore(number, relies_on_peer);
    this->Take(number, answer.offset, answer.proved);
    if (!relies_on_peer) gateway.sources.NotePeerStale(gateway.peer, this->events.now());
  }

  // Readers learn at once that the store has stopped answering.
  void SetHasStore(size_t number, bool has_store) {
    Gateway& gateway = this->gateways[number];
    bool is_same = std::exchange(gateway.has_store, has_store) == has_store;
    if (is_same || !gateway.is_loaded) return;
    for (const WaitingRead& read : std::exchange(gateway.waiting, {})) {
      this->AnswerFromPeer(read, number);
    }
  }

  void PeerFailed(size_t number) {
    Gateway& gateway = this->gateways[number];
    bool is_patient = !gateway.is_loaded && this->events.now() < gateway.patient_until;
    if (is_patient) {
      WaitingRead pause{number, ++gateway.read_number, gateway.offset};
      this->After(kStartPause, pause, [this, number] { this->Read(number); });
      return;
    }
    gateway.sources.NotePeerFailed(gateway.peer, this->events.now());
    this->Read(number);
  }

  // The gateway now has the changes up to `offset`, and the store had no others at `proved`.  Both
  // are passed on at once.
  void Take(size_t number, uint64_t offset, Time proved) {
    Gateway& gateway = this->gateways[number];
    bool is_first = !std::exchange(gateway.is_loaded, true);
    if (is_first) this->NoteStarted();
    if (!is_first && offset < gateway.offset) return;
    bool is_new = is_first || offset > gateway.offset || proved > gateway.validated_at;
    if (!is_new) return;
    for (uint64_t change = gateway.offset; change < offset; ++change) {
      this->NoteArrival(number, this->changes[change]);
    }
    gateway.offset = offset;
    gateway.validated_at = std::max(gateway.validated_at, proved);
    for (const WaitingRead& read : std::exchange(gateway.waiting, {})) {
      this->AnswerFromPeer(read, number);
    }
  }

  void RevalidateEachTick() {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      Gateway& gateway = this->gateways[i];
      bool may_ask = gateway.schedule && gateway.is_loaded && this->IsRunning(gateway);
      if (may_ask && gateway.schedule->IsDue(gateway.validated_at, this->events.now())) {
        this->Revalidate(i);
      }
    }
    this->events.After(kTick, [this] { this->RevalidateEachTick(); });
  }

  void Revalidate(size_t number) {
    this->gateways[number].schedule->NoteRequested();
    this->result.store_calls += 1;
    Gateway& gateway = this->gateways[number];
    if (this->IsSilentTo(gateway)) {
      this->events.After(kAnswerTimeout, [this, number] {
        this->gateways[number].is_unanswered = true;
        this->RevalidateLater(number);
      });
      return;
    }
    if (gateway.is_refused) {
      this->result.refused_calls += 1;
      this->events.After(this->options.store_delay,
                         [this, number] { this->RevalidateLater(number); });
      return;
    }
    uint64_t offset = this->changes.size();
    Time sent = this->events.now();
    this->events.After(this->options.store_delay,
                       [this, number, offset, sent] { this->OnRevalidated(number, offset, sent); });
  }

  void RevalidateLater(size_t number) {
    Gateway& gateway = this->gateways[number];
    bool is_root = gateway.sources.reader_place().reads_store;
    Duration longest = is_root ? kMaxRetryPause : kMaxRetryPauseOfReaders;
    Duration pause = gateway.retry_pause;
    gateway.retry_pause = std::min(2 * pause, longest);
    this->events.After(pause, [this, number] { this->gateways[number].schedule->NoteRetry(); });
  }

  void OnRevalidated(size_t number, uint64_t offset, Time sent) {
    Gateway& gateway = this->gateways[number];
    gateway.retry_pause = kFirstRetryPause;
    if (!this->IsRunning(gateway) || !gateway.is_loaded) {
      gateway.schedule->NoteRetry();
      return;
    }
    bool was_silent = std::exchange(gateway.is_unanswered, false);
    if (was_silent && this->options.renews_reads) this->RenewRead(number);
    if (gateway.offset >= offset) {
      gateway.schedule->NoteValidated();
      this->events.After(this->options.hop_delay, [this, number, offset, sent] {
        this->ShareValidation(number, offset, sent);
      });
      this->Take(number, gateway.offset, sent);
      return;
    }
    gateway.schedule->NoteBehind(this->events.now());
    uint64_t behind_at = gateway.offset;
    this->events.After(kMaxLagAtStore, [this, number, behind_at] {
      if (this->gateways[number].offset == behind_at) this->ReplaceRead(number);
    });
  }

  // The store has shown a change that the current read has not returned.
  void ReplaceRead(size_t number) {
    Gateway& gateway = this->gateways[number];
    if (!gateway.is_reading_peer) {
      this->RenewRead(number);
    } else if (this->IsRunning(gateway)) {
      gateway.sources.NotePeerStale(gateway.peer, this->events.now());
      this->Read(number);
    }
  }

  // The gateway tells its cell, and a root also the other roots.  The tree passes it on.
  void ShareValidation(size_t owner, uint64_t offset, Time sent) {
    bool is_from_root = this->IsRoot(owner);
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      const Gateway& gateway = this->gateways[i];
      bool is_told = i / kCellSize == owner / kCellSize || (is_from_root && this->IsRoot(i));
      if (!is_told || !gateway.is_loaded || gateway.offset < offset) continue;
      this->Take(i, gateway.offset, sent);
    }
  }

  bool IsRoot(size_t number) const {
    return this->gateways[number].sources.reader_place().reads_store;
  }

  void RenewRead(size_t number) {
    Gateway& gateway = this->gateways[number];
    bool waits = !gateway.is_reading_peer && gateway.is_waiting_at_store;
    if (!waits || !this->IsRunning(gateway)) return;
    gateway.is_lost = true;
    this->Read(number);
  }

  void Gossip() {
    std::uniform_int_distribution<size_t> any(0, this->gateways.size() - 1);
    for (const Gateway& gateway : this->gateways) {
      if (!this->IsRunning(gateway)) continue;
      for (size_t i = 0; i < kGossipFanout; ++i) {
        size_t receiver = any(this->random);
        uint64_t offset = gateway.offset;
        this->events.After(this->options.hop_delay,
                           [this, receiver, offset] { this->OnGossip(receiver, offset); });
      }
    }
    this->events.After(kGossipInterval, [this] { this->Gossip(); });
  }

  void OnGossip(size_t number, uint64_t offset) {
    Gateway& gateway = this->gateways[number];
    if (!this->IsRunning(gateway) || !gateway.is_loaded || gateway.offset >= offset) return;
    Time now = this->events.now();
    if (gateway.lag_offset != gateway.offset) {
      gateway.lag_offset = gateway.offset;
      gateway.lag_since = now;
    }
    Duration bound = gateway.is_reading_peer ? kMaxLagAtPeer : kMaxLagAtStore;
    if (now - gateway.lag_since < bound) return;
    gateway.lag_offset.reset();
    if (gateway.is_reading_peer) gateway.sources.NotePeerStale(gateway.peer, now);
    this->Read(number);
  }

  void NoteStarted() {
    bool all_loaded = std::all_of(this->gateways.begin(), this->gateways.end(),
                                  [](const Gateway& gateway) { return gateway.is_loaded; });
    bool is_start = this->result.started_after == Duration(0);
    if (all_loaded && is_start) this->result.started_after = this->events.now() - kStart;
  }

  void NoteArrival(size_t number, Time changed_at) {
    auto found = this->interrupted.find(number);
    Time excluded_until =
        found == this->interrupted.end() ? Time{} : found->second + this->options.fault_duration;
    if (changed_at < excluded_until || this->IsHiddenFrom(this->gateways[number], changed_at))
      return;
    this->result.longest_change =
        std::max(this->result.longest_change, this->events.now() - changed_at);
  }

  // Whether the change was made while the store was silent to this gateway.
  bool IsHiddenFrom(const Gateway& gateway, Time changed_at) const {
    Time from = kStart + this->options.silent_from;
    bool is_in_silence = changed_at >= from && changed_at < from + this->options.silent_for;
    return is_in_silence && gateway.sources.reader_place().reads_store;
  }

  void Change() {
    this->events.After(this->options.change_interval, [this] { this->Change(); });
    if (this->IsSilent() && !this->options.is_silent_to_roots_only) return;
    this->changes.push_back(this->events.now());
    for (const WaitingRead& read : std::exchange(this->waiting_at_store, {})) {
      if (this->IsSilentTo(this->gateways[read.reader])) {
        this->waiting_at_store.push_back(read);
      } else {
        this->AnswerFromStore(read);
      }
    }
  }

  // Changes that have not arrived count as if they arrived at the end.
  void NoteMissingChanges() {
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      const Gateway& gateway = this->gateways[i];
      if (!this->IsRunning(gateway) || !gateway.is_loaded) continue;
      for (uint64_t change = gateway.offset; change < this->changes.size(); ++change) {
        this->NoteArrival(i, this->changes[change]);
      }
    }
  }

  RelayTrialResult Result() {
    this->NoteMissingChanges();
    double settled_seconds = ToSeconds(this->options.duration - this->options.settled_after);
    this->result.store_calls_per_s =
        static_cast<double>(this->result.store_calls - this->calls_when_settled) / settled_seconds;
    double count = static_cast<double>(this->gateways.size());
    this->result.peer_reads_per_s =
        static_cast<double>(this->peer_reads) / ToSeconds(this->options.duration) / count;
    uint64_t busiest = 0;
    uint64_t sum = 0;
    for (const Gateway& gateway : this->gateways) {
      busiest = std::max(busiest, gateway.answers);
      sum += gateway.answers;
    }
    if (sum > 0) {
      this->result.busiest_to_mean =
          static_cast<double>(busiest) * count / static_cast<double>(sum);
    }
    return this->result;
  }

  RelayTrialOptions options;
  std::mt19937_64 random;
  EventQueue events;
  std::vector<Gateway> gateways;
  std::map<std::string, size_t> numbers;
  // When a gateway was last killed or frozen.
  std::map<size_t, Time> interrupted;
  // When each change was made.
  std::vector<Time> changes;
  std::vector<WaitingRead> waiting_at_store;
  uint64_t calls_when_settled = 0;
  uint64_t peer_reads = 0;
  RelayTrialResult result;
};

}  // namespace
}  // namespace gullward::relay_trial

namespace gullward {

RelayTrialResult PlayRelay(const RelayTrialOptions& options) {
  return relay_trial::RelaySimulation(options).Play();
}

}  // namespace gullward

// The follower has two states: reading pages, and following the log's tail.  After a failure the
// tail is first read by a probe.  A read from a peer serves in both states.

#include "gateway/topic_follower.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/topic_relay.h"

namespace gullward {
namespace {

std::string ReasonOf(const StoreAnswer& answer) {
  return answer.status == 0 ? answer.reason : absl::StrCat("status ", answer.status);
}

}  // namespace

TopicFollower::TopicFollower(EventLoop* event_loop, SocketAddress store_address,
                             StoreRecovery* store_recovery, Options follower_options,
                             Hooks follower_hooks)
    : loop(event_loop),
      client(event_loop, std::move(store_address), &store_recovery->returns()),
      peer_client(event_loop, SocketAddress{}, /*store_returns=*/nullptr),
      recovery(store_recovery),
      options(std::move(follower_options)),
      hooks(std::move(follower_hooks)) {
  this->recovery->returns().OnReturn([this] { this->OnReturn(); });
  if (!this->options.renews_reads) return;
  this->recovery->returns().OnAnswersAgain(
      [this](Time answered) { this->OnStoreAnswersAgain(answered); });
}

void TopicFollower::Start() {
  this->started = true;
  this->BePatient(Now());
  this->ReadOn();
}

std::optional<uint64_t> TopicFollower::position() const {
  bool holds = this->loaded && this->epoch == this->recovery->returns().epoch().current();
  return holds ? std::optional<uint64_t>(this->next_offset) : std::nullopt;
}

// The read in progress and the pages read so far belong to an epoch that has ended.
void TopicFollower::OnReturn() {
  bool is_restarted = !this->loaded && this->epoch == this->recovery->returns().epoch().current();
  if (!this->started || is_restarted) return;
  this->loaded = false;
  this->pages.clear();
  this->BePatient(Now());
  // Without a call in progress, the pending pause or retry will read the pages.
  if (!this->client.is_busy() && !this->peer_client.is_busy()) return;
  this->client.Cancel();
  this->peer_client.Cancel();
  // Only the roots of a tree read from the store, and they are few.
  bool is_in_tree = this->sources.reader_place().has_children;
  bool has_pause = this->hooks.pause_after_return != nullptr && !is_in_tree;
  this->ReadOnAfter(has_pause ? this->hooks.pause_after_return() : Duration(0));
}

// Pages are not read again: each call for one has a short timeout of its own.
void TopicFollower::OnStoreAnswersAgain(Time answered) {
  this->sources.EndStorePause(answered);
  bool may_be_lost = this->loaded && this->client.is_busy() && this->call_sent < answered;
  if (!may_be_lost) return;
  this->GiveUpRead();
  this->ReadOn();
}

void TopicFollower::ReadOnAfter(Duration pause) {
  this->loop->RunAfter(pause, [this] { this->ReadNext(); });
}

void TopicFollower::ReadNext() {
  if (this->loaded) {
    this->WaitForChanges();
  } else {
    this->ReadOn();
  }
}

// How long it is known that other gateways have read further than this one.
Duration TopicFollower::LagBehindPeers(Time now) {
  if (this->behind_offset != this->next_offset) {
    this->behind_offset = this->next_offset;
    this->behind_since = now;
  }
  return now - this->behind_since;
}

Duration TopicFollower::MaxLagAtPeer(Witness witness) const {
  bool is_shown_by_store = witness == Witness::kStore;
  return is_shown_by_store ? kMaxLagAtStore : kMaxLagAtPeer + this->options.batch_delay;
}

bool TopicFollower::RestartStalledRead(Witness witness) {
  Time now = Now();
  Duration lag = this->LagBehindPeers(now);
  if (this->peer_client.is_busy()) {
    if (lag < this->MaxLagAtPeer(witness)) return false;
    this->GiveUpRead();
    this->sources.NotePeerStale(this->current_peer, now);
  } else {
    bool is_silent = this->client.TimeSinceProgress(now) >= this->silence_limit;
    if (!is_silent || lag < kMaxLagAtStore) return false;
    this->silence_limit = std::min(2 * this->silence_limit, kMaxSilenceLimit);
    this->GiveUpRead();
  }
  this->behind_offset.reset();
  this->ReadOn();
  return true;
}

void TopicFollower::GiveUpRead() {
  bool is_at_peer = this->peer_client.is_busy();
  StoreClient& reader = is_at_peer ? this->peer_client : this->client;
  Duration waited = reader.TimeSinceSent(Now());
  reader.Cancel();
  if (this->hooks.given_up) this->hooks.given_up(waited, is_at_peer ? this->current_peer : "");
}

// Returns the box of the peer to read from; empty if the store is to be read.
std::optional<std::string> TopicFollower::NextPeer() {
  if (!this->hooks.peer_address) return std::nullopt;
  return this->sources.Next(Now());
}

void TopicFollower::ReadOn() {
  if (std::optional<std::string> peer = this->NextPeer()) {
    this->ReadFromPeer(*peer);
  } else if (this->loaded) {
    this->ReadTail(/*wait=*/Duration(0), kProbeKb);
  } else {
    this->ReadPage();
  }
}

void TopicFollower::ReadPages() {
  this->loaded = false;
  this->pages.clear();
  this->ReadPage();
}

void TopicFollower::ReadPage() {
  std::string after = this->pages.empty() ? "" : this->pages.back().key;
  this->call_sent = Now();
  if (after.empty()) this->pages_sent = this->call_sent;
  this->client.Call(platform::NewestRecordsRequest(this->options.topic, after), this->page_timeout,
                    [this](const StoreAnswer& answer) { this->OnPage(answer); });
}

void TopicFollower::OnPage(const StoreAnswer& answer) {
  if (!answer.ok()) {
    bool timed_out = answer.status == 0;
    if (timed_out && !this->topic_state.is_loaded()) {
      this->page_timeout = std::min(2 * this->page_timeout, kMaxPageTimeout);
    }
    this->Fail(ReasonOf(answer));
    return;
  }
  absl::StatusOr<platform::KeyedPage> page = platform::DecodeKeyedPage(answer.body);
  if (!page.ok()) {
    this->Fail(std::string(page.status().message()));
    return;
  }
  bool is_first = this->pages.empty();
  if (!is_first && !this->IsCurrentEpoch(answer)) {
    this->epoch = answer.epoch;
    this->ReadPages();
    return;
  }
  this->epoch = answer.epoch;
  this->Succeed();
  // The pages are not a snapshot, so the tail is read from the end that the first page states:
  // this covers changes made while the later pages were read.
  this->page_timeout = StoreClient::kAnswerTimeout;
  if (is_first) this->next_offset = page->end;
  this->ReportUnreadable(page->unreadable);
  for (platform::KeyedRecord& record : page->records) this->pages.push_back(std::move(record));
  if (page->has_more && !page->records.empty()) {
    this->ReadPage();
    return;
  }
  this->topic_state.SetHops(0);
  this->TakeNewestRecords(std::exchange(this->pages, {}), this->next_offset, this->pages_sent);
  if (this->hooks.up_to_date) this->hooks.up_to_date(this->pages_sent);
  bool has_pause = this->hooks.pause_after_load != nullptr;
  Duration pause = has_pause ? this->hooks.pause_after_load() : Duration(0);
  if (pause > Duration(0)) {
    this->ReadOnAfter(pause);
  } else {
    this->WaitForChanges();
  }
}

void TopicFollower::TakeNewestRecords(const std::vector<platform::KeyedRecord>& records,
                                      uint64_t end, Time proved) {
  this->loaded = true;
  this->key_count = records.size();
  this->next_offset = end;
  this->topic_state.Replace(records, end, this->epoch);
  this->topic_state.Prove(proved);
  this->NotifyStateChanged();
  this->hooks.replace(records);
}

void TopicFollower::NotifyStateChanged() {
  if (this->hooks.state_changed) this->hooks.state_changed();
}

// Peers that read from here learn at once that the store has stopped answering.
void TopicFollower::SetHasStore(bool answers) {
  if (answers == this->topic_state.has_store()) return;
  this->topic_state.SetHasStore(answers);
  this->NotifyStateChanged();
}

void TopicFollower::NoteProved(Time sent) {
  if (!this->loaded || sent <= this->topic_state.proved()) return;
  this->topic_state.Prove(sent);
  this->NotifyStateChanged();
}

// A gateway that usually reads from a peer asks the store without waiting there, and then goes on
// with the next peer.
void TopicFollower::WaitForChanges() {
  if (std::optional<std::string> peer = this->NextPeer()) {
    this->ReadFromPeer(*peer);
    return;
  }
  // A read that waits would not show for long that the store answers again.
  if (this->is_lost) {
    this->ReadTail(/*wait=*/Duration(0), kProbeKb);
    return;
  }
  Duration wait = this->options.wait;
  if (!this->sources.reader_place().reads_store) {
    bool goes_on_with_peer = this->sources.HasFreshPeer(Now());
    wait = goes_on_with_peer ? Duration(0) : std::min(wait, TopicSources::kPeerPause);
  }
  this->ReadTail(wait, kMaxHistoryKb);
}

void TopicFollower::ReadFromPeer(const std::string& box) {
  std::optional<SocketAddress> address = this->hooks.peer_address(box);
  if (!address) {
    // The peer has left.
    this->OnPeerFailed(box);
    return;
  }
  this->current_peer = box;
  this->peer_client.SetAddress(*address);
  TopicRead read;
  read.topic = this->options.topic;
  read.wait = this->WaitAtPeer(Now());
  if (this->loaded) read.from = this->next_offset;
  if (this->loaded) read.epoch = this->epoch;
  Time sent = Now();
  bool is_proved = this->topic_state.proved() != Time{};
  if (this->loaded && is_proved) read.proof_age = sent - this->topic_state.proved();
  this->peer_client.Call(
      {"GET", PathOf(read), ""}, kPeerWait + kPeerTimeout,
      [this, box, sent](const StoreAnswer& answer) { this->OnPeerAnswer(box, sent, answer); });
  if (this->IsPatient(sent)) this->BoundConnectTime(box);
}

void TopicFollower::BePatient(Time now) {
  this->patient_until = now + kStartPatience;
  this->connect_limit = kStartConnectLimit;
}

// With doubled limits, a peer that is up after some time is noticed within as long again.
void TopicFollower::BoundConnectTime(const std::string& box) {
  Duration limit = std::min(this->connect_limit, this->patient_until - Now());
  this->connect_limit *= 2;
  uint64_t read = this->peer_client.calls();
  this->loop->RunAfter(limit, [this, box, read] { this->OnConnectTimeOver(box, read); });
}

void TopicFollower::OnConnectTimeOver(const std::string& box, uint64_t read) {
  bool is_waiting = read == this->peer_client.calls() && this->peer_client.is_connecting();
  if (this->loaded || !is_waiting) return;
  this->peer_client.Cancel();
  if (this->IsPatient(Now())) {
    this->ReadOn();
  } else {
    this->OnPeerFailed(box);
  }
}

void TopicFollower::OnPeerAnswer(const std::string& box, Time sent, const StoreAnswer& answer) {
  std::optional<TopicUpdate> update;
  if (answer.ok()) update = DecodeTopicUpdate(answer.body);
  if (!update || !this->IsUsable(*update)) {
    this->OnPeerFailed(box);
    return;
  }
  this->ApplyUpdate(*update, sent);
  Time now = Now();
  if (this->IsStale(now)) this->sources.NotePeerStale(box, now);
  this->WaitForChanges();
}

// Whether what the peer has answered is too old to rely on.
bool TopicFollower::IsStale(Time now) {
  if (this->topic_state.has_store()) {
    this->without_store_since.reset();
  } else if (!this->without_store_since) {
    this->without_store_since = now;
  }
  bool is_old = now - this->topic_state.proved() > this->options.max_proof_age;
  bool is_without_store =
      this->without_store_since && now - *this->without_store_since >= kMaxPeerWithoutStore;
  if (is_without_store) this->without_store_since.reset();
  return is_old || is_without_store;
}

// A root that the store refuses asks the store again soon.
Duration TopicFollower::WaitAtPeer(Time now) const {
  Duration wait = kPeerWait;
  if (this->sources.reader_place().reads_store) {
    wait = std::min(wait, this->sources.StorePauseLeft(now));
  }
  if (this->without_store_since) {
    wait = std::min(wait, *this->without_store_since + kMaxPeerWithoutStore - now);
  }
  return std::max(wait, kMinPeerWait);
}

// A peer that has seen a newer epoch than this gateway, or an older one, has other offsets.  The
// changes must begin where this gateway has read to; a peer may have read less.
bool TopicFollower::IsUsable(const TopicUpdate& update) const {
  const StoreEpoch& known = this->recovery->returns().epoch();
  bool is_same_epoch = known.is_known() && update.epoch == known.current();
  if (!is_same_epoch || update.hops > TopicSources::kMaxHops) return false;
  if (update.is_snapshot) return true;
  bool is_behind = update.records.empty() && update.end <= this->next_offset;
  bool follows = update.end == this->next_offset + update.records.size();
  return this->loaded && update.epoch == this->epoch && (is_behind || follows);
}

void TopicFollower::ApplyUpdate(const TopicUpdate& update, Time sent) {
  // A root relies only on one that reads from the store itself: two roots that the store refuses
  // would otherwise rely on each other.
  bool is_root = this->sources.reader_place().reads_store;
  this->SetHasStore(update.has_store && (!is_root || update.hops == 1));
  bool is_behind = this->loaded && update.epoch == this->epoch && update.end < this->next_offset;
  if (is_behind) return;
  this->epoch = update.epoch;
  this->topic_state.SetHops(update.hops);
  // The peer wrote the update no earlier than this.
  Time written_after = std::min(sent + update.held, Now());
  this->regained = std::max(this->regained, written_after - update.regained_ago);
  this->topic_state.SetRegained(this->regained);
  Time proved = written_after - update.proved_ago;
  if (update.is_snapshot) {
    this->TakeNewestRecords(update.records, update.end, proved);
  } else {
    this->DeliverChanges(update.records);
    this->NoteProved(proved);
  }
  if (this->hooks.up_to_date) this->hooks.up_to_date(proved);
}

void TopicFollower::OnPeerFailed(const std::string& box) {
  Time now = Now();
  if (this->IsPatient(now)) {
    this->ReadOnAfter(kStartPause);
    return;
  }
  this->sources.NotePeerFailed(box, now);
  this->ReadNext();
}

void TopicFollower::ReadTail(Duration wait, size_t max_kb) {
  this->call_sent = Now();
  this->client.Call(
      platform::ReadRecordsRequest(this->options.topic, this->next_offset, wait, max_kb),
      wait + StoreClient::kAnswerTimeout,
      [this](const StoreAnswer& answer) { this->OnTail(answer); });
}

void TopicFollower::OnTail(const StoreAnswer& answer) {
  bool position_is_valid = this->IsCurrentEpoch(answer) && answer.status != platform::kRecordsGone;
  bool is_answered = answer.ok() || answer.status == platform::kRecordsGone;
  if (is_answered && !position_is_valid) {
    this->epoch = answer.epoch;
    this->Succeed();
    this->ReadPages();
    return;
  }
  if (!answer.ok()) {
    this->Fail(ReasonOf(answer));
    return;
  }
  absl::StatusOr<platform::KeyedTail> tail = platform::DecodeKeyedTail(answer.body);
  if (!tail.ok()) {
    this->Fail(std::string(tail.status().message()));
    return;
  }
  Time sent = this->call_sent;
  this->Succeed();
  if (this->next_offset + tail->records.size() < tail->end) {
    this->OnShortTail(*tail);
    return;
  }
  this->ReportUnreadable(tail->unreadable);
  this->topic_state.SetHops(0);
  this->DeliverChanges(tail->records);
  this->NoteProved(sent);
  if (this->hooks.up_to_date) this->hooks.up_to_date(sent);
  if (tail->records.empty() || this->options.batch_delay.count() == 0) {
    this->WaitForChanges();
  } else {
    this->ReadOnAfter(this->options.batch_delay);
  }
}

// An answer without records gives no offset to continue from, so the pages are read again.
void TopicFollower::OnShortTail(const platform::KeyedTail& tail) {
  uint64_t read_to = this->next_offset + tail.records.size();
  if (this->hooks.read_short) this->hooks.read_short(read_to, tail.end);
  bool pages_are_smaller = tail.records.empty() || tail.end - read_to > this->key_count;
  if (pages_are_smaller) {
    this->ReadPages();
    return;
  }
  this->ReportUnreadable(tail.unreadable);
  this->DeliverChanges(tail.records);
  this->WaitForChanges();
}

// Peers get the changes before this gateway decodes them, which may take long on a slow box.
void TopicFollower::DeliverChanges(const std::vector<platform::KeyedRecord>& records) {
  if (records.empty()) return;
  this->next_offset += records.size();
  for (const platform::KeyedRecord& record : records) this->topic_state.Append(record);
  this->NotifyStateChanged();
  for (const platform::KeyedRecord& record : records) {
    // A record without a key belongs to no object.
    if (!record.key.empty()) this->hooks.change(record);
  }
}

void TopicFollower::ReportUnreadable(size_t records) {
  if (records > 0 && this->hooks.unreadable) this->hooks.unreadable(records);
}

void TopicFollower::Succeed() {
  this->recovery->OnCallSucceeded();
  this->sources.NoteStoreAnswered();
  this->SetHasStore(true);
  this->silence_limit = kMaxUpdateDelay;
  if (!this->is_lost) return;
  this->is_lost = false;
  this->regained = Now();
  this->topic_state.SetRegained(this->regained);
  if (this->hooks.regained) this->hooks.regained();
}

void TopicFollower::Fail(const std::string& reason) {
  bool first = !std::exchange(this->is_lost, true);
  if (first && this->hooks.lost) this->hooks.lost(reason);
  this->sources.NoteStoreFailed(Now());
  this->SetHasStore(false);
  if (this->NextPeer()) {
    this->ReadOn();
  } else {
    this->recovery->RetryLater([this] { this->ReadOn(); });
  }
}

}  // namespace gullward

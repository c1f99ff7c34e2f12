// Follows one keyed topic of the platform's store.
//
// The follower first reads the newest record of each key, page by page.  If a page fails, it
// resumes after the last page that succeeded.  It then follows the log: each read waits at the
// store for the next records.  A failed read is sent again as store_recovery.h schedules it.
//
// The store bounds the size of an answer and states the log's end in it, so an answer may end
// before the log does.  Only an answer that reaches the log's end shows that nothing newer
// exists.  An answer that stops short shows how many records are missing.  If more are missing
// than the topic has keys, the newest records are less to read than the history, and the pages
// are read again.  The pages are also read again if the store has dropped the next records.
// After a failure the number of missing records is unknown, so the first read is a probe, which
// asks for the smallest possible answer.
//
// In a large fleet most gateways read a topic from a peer (serving/reader_tree.h): SetPlace names
// the peers, and serving/topic_sources.h chooses for each read between them and the store.  A read
// from a peer waits for kPeerWait at most, so that a peer that has stopped is noticed soon.  What
// has been read is kept in state(), from which this gateway answers the reads of its own peers.
//
// A read that arrived at the store while it was silent is never answered, and nothing on its
// connection shows that.  When the store answers any call of this process again after a silence
// (store_returns.h), a read that waits at the store is given up for a new one.
//
// An offset in the log is valid only in the store epoch in which it was read.  After the store's
// return from an older copy (store_returns.h) the pages are read again.  Pages of different
// epochs are never combined.
//
//   TopicFollower follower(&loop, store, &recovery, {.topic = ..., .wait = seconds(2)}, hooks);
//   follower.Start();

#ifndef GULLWARD_GATEWAY_TOPIC_FOLLOWER_H_
#define GULLWARD_GATEWAY_TOPIC_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/store_client.h"
#include "gateway/store_recovery.h"
#include "gateway/topic_state.h"
#include "platform/store_calls.h"
#include "serving/topic_sources.h"
#include "transport/event_loop.h"

namespace gullward {

class TopicFollower {
 public:
  // A change that a peer has seen reaches this follower's own read within this time, unless
  // the read is stuck.
  static constexpr Duration kMaxUpdateDelay = milliseconds(400);
  // The longest time that a new read may be silent before RestartStalledRead replaces it.  A
  // change must be in force within two seconds.
  static constexpr Duration kMaxSilenceLimit = milliseconds(1600);
  // Until the topic has been read once, each page read that times out doubles the timeout, up to
  // this: pages come late when a whole fleet starts and all gateways read at once.  Later the
  // timeout stays short, since what was read before is still in force.
  static constexpr Duration kMaxPageTimeout = seconds(8);
  // How long a read waits at a peer, and how much later its answer may come.  A peer that has
  // stopped is noticed within the sum, which leaves time for a read of the store within the two
  // seconds in which a change must be in force.
  static constexpr Duration kPeerWait = milliseconds(700);
  static constexpr Duration kPeerTimeout = milliseconds(500);
  // How long a change that other gateways have read may be missing here before a read counts as
  // stuck: a read of the store, and a read from a peer.  A peer may wait for more changes first, so
  // the batch delay is added.  A follower to which the store itself has shown the change is served
  // there, and gives up a read from a peer as soon as one of the store.
  static constexpr Duration kMaxLagAtStore = milliseconds(150);
  static constexpr Duration kMaxLagAtPeer = milliseconds(300);
  // How long a peer is read on after the store has stopped answering it: a store that resets its
  // connections answers again soon, and all readers of the peer would turn to it at once.
  static constexpr Duration kMaxPeerWithoutStore = milliseconds(600);
  // The shortest wait of a read from a peer, so that reads do not follow each other too fast.
  static constexpr Duration kMinPeerWait = milliseconds(50);
  // While nothing has been read yet, peers that do not answer are asked again for this long before
  // the store is asked: in a start of the whole fleet they have not read anything either.
  static constexpr Duration kStartPatience = seconds(1);
  static constexpr Duration kStartPause = milliseconds(100);
  // In this time a read from a peer that has no connection yet is sent again on a new one, at first
  // after kStartConnectLimit and then after twice as long each time.  A box that had no power has
  // lost the opening packet, and the kernel sends it again only after a second.
  static constexpr Duration kStartConnectLimit = milliseconds(100);
  // The largest answer to request from the history: 0.1 s on a link of 20 Mbit/s.
  static constexpr size_t kMaxHistoryKb = 256;
  // The smallest answer that can be requested.  It still states the log's end.
  static constexpr size_t kProbeKb = 1;

  struct Options {
    std::string topic;
    // How long one read waits at the store for a change.  A change is returned at once, so
    // the wait bounds the delay until a silent store is detected.  Each read costs a call.
    Duration wait = seconds(2);
    // How long to wait for more changes after one before the next read, so that a burst of
    // changes costs a few reads and not one per change.
    Duration batch_delay = milliseconds(0);
    // The age from which a peer's proof is too old (serving/topic_sources.h).  A read of the store
    // that waits proves what held when it was sent, so a proof may be twice as old as the wait.
    Duration max_proof_age = seconds(70);
    // Whether a read that waits at the store is sent again after a silence of the store.
    bool renews_reads = true;
  };
  struct Hooks {
    // Called with all records, after all pages have been read.
    std::function<void(const std::vector<platform::KeyedRecord>&)> replace;
    // Called with each later record.
    std::function<void(const platform::KeyedRecord&)> change;
    // Called after `replace` or `change` has delivered everything that was in the log when a
    // read was sent, at `sent`.
    std::function<void(Time sent)> up_to_date;
    // Called when a call to the store first fails, and when a call next succeeds.
    std::function<void(const std::string& reason)> lost;
    std::function<void()> regained;
    // Called when an answer ended at offset `read_to`, before the log's end.
    std::function<void(uint64_t read_to, uint64_t log_end)> read_short;
    // Called with the number of records in an answer that could not be parsed.  The other
    // records are delivered.
    std::function<void(size_t records)> unreadable;
    // Returns how long to wait after the store's return before the pages are read again, so
    // that a large fleet does not read all at once.  Without this hook there is no wait.
    std::function<Duration()> pause_after_return;
    // Returns how long to wait before the first read after the pages.  Optional.
    std::function<Duration()> pause_after_load = {};
    // Returns the address of the peer on this box; empty if it is unknown.  Without this hook only
    // the store is read.
    std::function<std::optional<SocketAddress>(const std::string& box)> peer_address = {};
    // Called when state() has changed or has been proved.  Optional.
    std::function<void()> state_changed = {};
    // Called when a read is given up for a new one after it has waited for so long.  `peer` is the
    // box at which it waited, empty for the store.  Optional.
    std::function<void(Duration waited, const std::string& peer)> given_up = {};
  };

  TopicFollower(EventLoop* loop, SocketAddress store, StoreRecovery* store_recovery,
                Options options, Hooks hooks);

  void Start();

  // Sets from whom later reads are made.
  void SetPlace(ReaderPlace place) { this->sources.SetPlace(std::move(place)); }
  const ReaderPlace& place() const { return this->sources.reader_place(); }

  // What has been read, for the reads of peers.
  const TopicState& state() const { return this->topic_state; }

  // Records that nothing newer than position() existed at the store at `sent`.
  void NoteProved(Time sent);

  // Sets how long to wait for more changes after one.
  void SetBatchDelay(Duration delay) { this->options.batch_delay = delay; }

  // Sets how long later reads wait at the store.
  void SetWait(Duration wait) { this->options.wait = wait; }

  // What has shown that records exist which this follower lacks: the position of a peer, or an
  // answer of the store to this gateway.
  enum class Witness { kPeer, kStore };

  // Call it whenever there is a witness of records that are missing here.  If they stay missing
  // (kMaxLagAtStore, kMaxLagAtPeer), abandons the waiting read and reads again from the store on a
  // new connection.  A read that has recently received bytes is left alone, and each new read may
  // be silent for twice as long as the one before: on a slow store or link, earlier restarts would
  // abandon every read before it is complete.  Returns whether the read was restarted.  A restart
  // does not count as a loss of the store.
  bool RestartStalledRead(Witness witness = Witness::kPeer);

  // When a call last succeeded after failures.  In the past if no call has failed.
  Time regained_at() const { return this->regained; }

  // The offset after the last delivered record.  Nothing before all pages have been read, and
  // nothing if the offset was read before the store's return.
  std::optional<uint64_t> position() const;

  // Calls to the store, and reads from peers.
  uint64_t calls() const { return this->client.calls(); }
  uint64_t peer_reads() const { return this->peer_client.calls(); }

 private:
  void ReadOn();
  void ReadNext();
  void ReadOnAfter(Duration pause);
  void OnReturn();
  void OnStoreAnswersAgain(Time answered);
  void ReadPages();
  void ReadPage();
  void ReadTail(Duration wait, size_t max_kb);
  void WaitForChanges();
  std::optional<std::string> NextPeer();
  void ReadFromPeer(const std::string& box);
  void OnPeerAnswer(const std::string& box, Time sent, const StoreAnswer& answer);
  bool IsUsable(const TopicUpdate& update) const;
  void ApplyUpdate(const TopicUpdate& update, Time sent);
  void OnPeerFailed(const std::string& box);
  void BePatient(Time now);
  bool IsPatient(Time now) const { return !this->loaded && now < this->patient_until; }
  void BoundConnectTime(const std::string& box);
  void OnConnectTimeOver(const std::string& box, uint64_t read);
  Duration LagBehindPeers(Time now);
  Duration MaxLagAtPeer(Witness witness) const;
  void GiveUpRead();
  void TakeNewestRecords(const std::vector<platform::KeyedRecord>& records, uint64_t end,
                         Time proved);
  void NotifyStateChanged();
  void SetHasStore(bool answers);
  bool IsStale(Time now);
  Duration WaitAtPeer(Time now) const;
  bool IsCurrentEpoch(const StoreAnswer& answer) const { return answer.epoch == this->epoch; }
  void OnPage(const StoreAnswer& answer);
  void OnTail(const StoreAnswer& answer);
  void OnShortTail(const platform::KeyedTail& tail);
  void DeliverChanges(const std::vector<platform::KeyedRecord>& records);
  void ReportUnreadable(size_t records);
  void Succeed();
  void Fail(const std::string& reason);

  EventLoop* loop;
  StoreClient client;
  StoreClient peer_client;
  StoreRecovery* recovery;
  Options options;
  Hooks hooks;
  // The records of the pages read so far.  After a failure the next page follows them.
  std::vector<platform::KeyedRecord> pages;
  Duration page_timeout = StoreClient::kAnswerTimeout;
  Time pages_sent{};
  // The store epoch of the pages and of everything read since.
  std::optional<uint64_t> epoch;
  bool started = false;
  bool loaded = false;
  // The number of keys that the topic had when its pages were last read.
  size_t key_count = 0;
  uint64_t next_offset = 0;
  Time call_sent{};
  // Whether the last call has failed.
  bool is_lost = false;
  // How long a read may receive no bytes before RestartStalledRead abandons it.
  Duration silence_limit = kMaxUpdateDelay;
  Time regained{};
  TopicSources sources;
  TopicState topic_state;
  // The peer that is being read, and since when its answers state that the store does not answer.
  std::string current_peer;
  std::optional<Time> without_store_since;
  // Until when peers that do not answer are asked again.
  Time patient_until{};
  // How long the next read in that time may wait for its connection.
  Duration connect_limit = kStartConnectLimit;
  // Since when peers are known to have read further than `behind_offset`, this follower's offset.
  std::optional<uint64_t> behind_offset;
  Time behind_since{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TOPIC_FOLLOWER_H_

// Keeps up with one keyed topic of the platform's store.
//
// First the newest record of each key is read, page by page, from where it stopped if a
// page fails; then single reads
// wait at the store for what comes next.  When a read fails, it is sent again when
// store_recovery.h says so.
//
// The store answers a read with a bounded size and says where the log ends, so an answer
// may stop short of the end.  Only one that reaches the end proves anything about what is
// newest.  One that stops short shows how many records are missing: where they are more
// than the topic has keys, the newest record of each key is less to read than the history,
// and the pages are read anew, as they are where the store has dropped the records that
// come next.  How much is missing after a failure is not known, so a glance (a read that
// asks for next to nothing) comes first.
//
// Places in the log belong to the store's epoch in which they were read.  After the store's
// return from an older copy (store_returns.h) the pages are read anew; pages of two epochs
// are not put together.
//
//   TopicFollower follower(&loop, store, {.topic = ..., .wait = seconds(2)}, hooks);
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
#include "platform/store_calls.h"
#include "transport/event_loop.h"

namespace gullward {

class TopicFollower {
 public:
  // News that somebody else has seen comes by our own read within a fraction of a
  // second, or that read hangs.
  static constexpr Duration kMaxUpdateDelay = milliseconds(400);
  // The longest time that a new read gets; news must be in force within two seconds.
  static constexpr Duration kMaxSilenceLimit = milliseconds(1600);
  // A page that has not come in time is asked for again with twice the patience, up to
  // this: where a whole fleet starts at once, pages come late since everybody asks, and
  // giving each up after a second left 300 gateways without the list of 3,000 engines for
  // 30 s.
  static constexpr Duration kMaxPageTimeout = seconds(8);
  // What an answer may hold of the history: a tenth of a second on a link of 20 Mbit/s.
  static constexpr size_t kMaxHistoryKb = 256;
  // The least that can be asked for: the answer tells where the log ends.
  static constexpr size_t kProbeKb = 1;

  struct Options {
    std::string topic;
    // How long one read waits at the store for a change, which comes at once.  The
    // wait bounds how late a store that has gone silent is noticed; each read costs
    // a call.
    Duration wait = seconds(2);
    // After a change, how long to wait for more of them before reading on: a
    // burst of changes then costs a few reads rather than one each.
    Duration batch_delay = milliseconds(0);
  };
  struct Hooks {
    // All records, after the pages have been read.
    std::function<void(const std::vector<platform::KeyedRecord>&)> replace;
    // One record more.
    std::function<void(const platform::KeyedRecord&)> change;
    // Everything that was in the log when a read was sent, at `sent`, has been told.
    std::function<void(Time sent)> up_to_date;
    // The store did not answer; then that it does again.
    std::function<void(const std::string& reason)> lost;
    std::function<void()> regained;
    // An answer ended at `read_to`, before the log's end: there is more to read.
    std::function<void(uint64_t read_to, uint64_t log_end)> read_short;
    // So many records of an answer could not be read; the others have been told.
    std::function<void(size_t records)> unreadable;
    // How long to wait after the store's return before the pages are read anew, so that a
    // large fleet does not ask all at once; absent: not at all.
    std::function<Duration()> pause_after_return;
  };

  TopicFollower(EventLoop* loop, SocketAddress store, StoreRecovery* store_recovery,
                Options options, Hooks hooks);

  void Start();

  // How long the next reads wait.
  void SetWait(Duration wait) { this->options.wait = wait; }

  // Gives up the read that waits, and reads on a new connection: to be called when news
  // should have come by it.  A read that brings bytes is left alone, and each new one
  // gets twice the time of the one before: where the store or the link is slow, giving
  // up too soon would throw away every read before it is whole.  Tells whether it did;
  // the store does not count as lost by it.
  bool RestartStalledRead();

  // When a call first succeeded after failures; in the past where none failed.
  Time regained_at() const { return this->regained; }

  // The offset after the last record that was told; nothing before all pages were, nor where
  // it was read before the store's return.
  std::optional<uint64_t> position() const;

  uint64_t calls() const { return this->client.calls(); }

 private:
  void ReadOn();
  void ReadOnAfter(Duration pause);
  void OnReturn();
  void ReadPages();
  void ReadPage();
  void ReadTail(Duration wait, size_t most_kb);
  void WaitForChanges();
  bool IsCurrentEpoch(const StoreAnswer& answer) const { return answer.epoch == this->epoch; }
  void OnPage(const StoreAnswer& answer);
  void OnTail(const StoreAnswer& answer);
  void OnShortTail(const platform::KeyedTail& tail);
  void DeliverChanges(const platform::KeyedTail& tail);
  void ReportUnreadable(size_t records);
  void Succeed();
  void Fail(const std::string& reason);

  EventLoop* loop;
  StoreClient client;
  StoreRecovery* recovery;
  Options options;
  Hooks hooks;
  // Those that have come; reading goes on after them when it has failed.
  std::vector<platform::KeyedRecord> pages;
  Duration page_timeout = StoreClient::kAnswerTimeout;
  Time pages_sent{};
  // That of the pages, and of all that has been read since.
  std::optional<uint64_t> epoch;
  bool started = false;
  bool loaded = false;
  // How many keys the topic had when its pages were last read.
  size_t key_count = 0;
  uint64_t next_offset = 0;
  Time call_sent{};
  // Whether the last call failed and none has succeeded since.
  bool is_lost = false;
  // How long a read may bring nothing before ReadAgain gives it up.
  Duration silence_limit = kMaxUpdateDelay;
  Time regained{};
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TOPIC_FOLLOWER_H_

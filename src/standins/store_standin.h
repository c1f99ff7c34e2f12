// A small stand-in for the platform's store, on an event loop of the test's.
//
//   StoreStandin store(&loop);
//   store.Put("keyed.op", "config", json);
//   store.SetTrouble(StoreTrouble::kSilent);
//
// It keeps keyed topics only, with one partition each, and speaks log-newest,
// log-read and log-append as the platform's pages tell them; an answer to log-read is
// bounded in size, so it may end before the log does.

#ifndef GULLWARD_STANDINS_STORE_STANDIN_H_
#define GULLWARD_STANDINS_STORE_STANDIN_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/caller_channel.h"
#include "platform/store_calls.h"
#include "transport/tcp_listener.h"

namespace gullward {

enum class StoreFault {
  kNone,
  // Takes calls and says nothing.
  kSilent,
  // Turns every call away with 503.
  kBusy,
  // Resets every connection that asks something.
  kReset,
  // Answers reads in pieces, a tenth of a second apart, over a second in all.
  kSlowBody,
};

class StoreStandin {
 public:
  explicit StoreStandin(EventLoop* event_loop);

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }

  void Put(const std::string& topic, const std::string& key, const std::string& value);
  void Remove(const std::string& topic, const std::string& key) { this->Put(topic, key, ""); }

  // Appends a record whose bytes need not be a key and a value.
  void PutRaw(const std::string& topic, const std::string& bytes);

  // Drops the records of a topic; the newest of each key stay.
  void Compact(const std::string& topic);

  void SetFault(StoreFault wanted) { this->trouble = wanted; }

  // Turns away, with 503, the calls on one topic only; an empty name ends that.
  void RejectTopic(const std::string& topic) { this->turned_away = topic; }

  // Leaves the reads that wait at a topic unanswered until its next change but one,
  // however long they wanted to wait.
  void SkipNextChange(const std::string& topic) { this->unheard = topic; }

  // What the header of all answers says of the epoch from now on, in any form; by default
  // there is no such header.  A number, or two of them on two lines.
  void SetEpoch(const std::string& text) { this->epoch = text; }

  // Keeps a copy of all topics as they are now.
  void SaveCopy() { this->copy = this->topics; }
  // Comes back from that copy, under the epoch `next`: offsets go back and are given out
  // again.  Reads that wait stay open, as those of a store whose process lives.
  void RestoreCopy(const std::string& next);

  // Breaks off all connections, those of waiting reads too.
  void DropConnections();

  // Holds back the answer to the next call on a topic until LetGo.
  void HoldNextAnswer(const std::string& topic) { this->held_topic = topic; }
  bool IsHolding() const { return this->held_answer != nullptr; }
  void ReleaseAnswer();

  // The newest value of a key; empty where there is none.
  std::string Newest(const std::string& topic, const std::string& key);

  // Records that were ever added to a topic.
  uint64_t appended(const std::string& topic) const;

  // Items on one page of log-newest.
  void SetPageSize(size_t items) { this->page_size = items; }

  // Whether a read waits at the topic for its next change.
  bool IsAwaited(const std::string& topic) const;

  // Waiting reads whose sender closed the connection before their wait was over.
  uint64_t reads_given_up() const { return this->given_up; }

  uint64_t calls() const { return this->call_count; }

  // Bytes of all answers to reads, of the log and of the newest records.
  uint64_t bytes_answered() const { return this->answered_bytes; }

 private:
  struct Topic {
    // Kept records; the first has the offset `first`.
    std::vector<platform::KeyedRecord> records;
    uint64_t first = 0;
    std::map<std::string, std::string> newest;
    // Offsets of the records whose value is the whole record.
    std::set<uint64_t> raw;
  };
  struct Waiting {
    std::weak_ptr<CallerChannel> channel;
    std::string topic;
    uint64_t from = 0;
    // Records beyond the first are left out where they would exceed this.
    size_t most_bytes = 0;
    Time until{};
    // Answered only once the topic's end is beyond this.
    uint64_t wakes_at = 0;
  };

  AnswerHead Head(int status) const;
  void OnRequest(const std::shared_ptr<CallerChannel>& channel, const CallerRequest& request);
  void AnswerNewest(CallerChannel* channel, const Topic& topic, const std::string& after);
  bool AnswerTail(CallerChannel* channel, const Topic& topic, const Waiting& read,
                  bool even_if_none);
  void Answer(CallerChannel* channel, const std::string& body);
  void Hold(const std::shared_ptr<CallerChannel>& channel, const std::string& body);
  void AnswerInPieces(const std::shared_ptr<CallerChannel>& channel, const std::string& body);
  void SleepThrough(const std::string& topic_name);
  void WakeWaiting(Time now);

  EventLoop* loop;
  TcpListener listener;
  std::vector<std::shared_ptr<CallerChannel>> channels;
  std::map<std::string, Topic> topics;
  std::vector<Waiting> waiting;
  StoreFault trouble = StoreFault::kNone;
  std::string turned_away;
  std::string unheard;
  std::string epoch;
  std::map<std::string, Topic> copy;
  std::string held_topic;
  // Whether the answer to the call under way is the one to hold back.
  bool holds_this = false;
  // The answer that is held back, with the head that it had when it was made.
  std::function<void()> held_answer;
  size_t page_size = 500;
  uint64_t given_up = 0;
  uint64_t call_count = 0;
  uint64_t answered_bytes = 0;
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_STORE_STANDIN_H_

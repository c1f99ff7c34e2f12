// A stand-in for the platform's store that runs on the event loop of a test.
//
//   StoreStandin store(&loop);
//   store.Put("keyed.op", "config", json);
//   store.SetFault(StoreFault::kSilent);
//
// It keeps topics in memory.  All topics are keyed and have one partition.  It implements the
// calls log-newest, log-read and log-append as the platform's documents describe them.  The size
// of an answer to log-read is limited, so the answer may end before the log does.

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
  // Accepts calls and does not answer.
  kSilent,
  // Answers every call with 503.
  kBusy,
  // Resets every connection on which a call arrives.
  kReset,
  // Answers reads in pieces, 100 ms apart, for more than a second in total.
  kSlowBody,
};

class StoreStandin {
 public:
  explicit StoreStandin(EventLoop* event_loop);

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }

  // A second address of the same store, for callers to which the store can be silent while it
  // serves the others.
  SocketAddress second_address() const { return {"127.0.0.1", this->second_listener.port()}; }

  // Sets whether calls at the second address, also those that wait, get no answer.
  void SetSilentAtSecondAddress(bool silent) { this->is_second_silent = silent; }

  void Put(const std::string& topic, const std::string& key, const std::string& value);
  void Remove(const std::string& topic, const std::string& key) { this->Put(topic, key, ""); }

  // Appends a record of arbitrary bytes, which need not contain a key and a value.
  void PutRaw(const std::string& topic, const std::string& bytes);

  // Drops the records of a topic from the log.  The newest value of each key can still be read
  // with log-newest.
  void Compact(const std::string& topic);

  void SetFault(StoreFault new_fault) { this->fault = new_fault; }

  // Answers calls on this topic with 503; an empty name ends the fault.
  void RejectTopic(const std::string& topic) { this->rejected_topic = topic; }

  // Does not answer the waiting reads of a topic at its next change, nor at the end of their wait
  // time.  They are answered at the change after that.
  void SkipNextChange(const std::string& topic) { this->skipped_topic = topic; }

  // Sets the epoch that all answers carry in a header from now on.  The text is sent as it is, so
  // it may be malformed; each line becomes one header.  By default there is no such header.
  void SetEpoch(const std::string& text) { this->epoch = text; }

  // Saves a copy of all topics.
  void SaveCopy() { this->saved_topics = this->topics; }
  // Restores the saved copy with the epoch `next`.  Offsets go back, so later records get offsets
  // that were already used.  Waiting reads stay open, as if the store's process had not ended.
  void RestoreCopy(const std::string& next);

  // Resets all connections, also the connections of waiting reads.
  void DropConnections();

  // Holds back the answer to the next call on a topic until ReleaseAnswer is called.
  void HoldNextAnswer(const std::string& topic) { this->held_topic = topic; }
  bool IsHolding() const { return this->held_answer != nullptr; }
  void ReleaseAnswer();

  // The newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key);

  // The number of records that were ever appended to a topic.
  uint64_t appended(const std::string& topic) const;

  // Sets the maximum number of items on one page of log-newest.
  void SetPageSize(size_t items) { this->page_size = items; }

  // Whether a read is waiting for the next change of the topic.
  bool IsAwaited(const std::string& topic) const;

  // The number of waiting reads whose sender closed the connection before the wait time was over.
  uint64_t reads_given_up() const { return this->abandoned_reads; }

  uint64_t calls() const { return this->call_count; }

  // Total size of the answers to log-read and log-newest.
  uint64_t bytes_answered() const { return this->answered_bytes; }

 private:
  struct Topic {
    // Records of the log; the first one has the offset `first`.
    std::vector<platform::KeyedRecord> records;
    uint64_t first = 0;
    std::map<std::string, std::string> newest;
    // Offsets of the records that PutRaw appended: the value is the whole record.
    std::set<uint64_t> raw;
  };
  struct Waiting {
    std::weak_ptr<CallerChannel> channel;
    std::string topic;
    uint64_t from = 0;
    // Limit of the answer's size.  The first record is sent even if it exceeds the limit.
    size_t max_bytes = 0;
    Time until{};
    // The read is answered only when the end of the topic is greater than this.
    uint64_t skip_until = 0;
    // Whether the read came in at the second address.
    bool is_at_second = false;
  };

  AnswerHead Head(int status) const;
  void ListenAt(TcpListener* at);
  void OnRequest(const std::shared_ptr<CallerChannel>& channel, const CallerRequest& request,
                 bool is_at_second);
  void AnswerNewest(CallerChannel* channel, const Topic& topic, const std::string& after);
  bool AnswerTail(CallerChannel* channel, const Topic& topic, const Waiting& read,
                  bool even_if_empty);
  void Answer(CallerChannel* channel, const std::string& body);
  void HoldAnswer(const std::shared_ptr<CallerChannel>& channel, const std::string& body);
  void AnswerInPieces(const std::shared_ptr<CallerChannel>& channel, const std::string& body);
  void SkipWaitingReads(const std::string& topic_name);
  void WakeWaiting(Time now);

  EventLoop* loop;
  TcpListener listener;
  TcpListener second_listener;
  bool is_second_silent = false;
  std::vector<std::shared_ptr<CallerChannel>> channels;
  std::map<std::string, Topic> topics;
  std::vector<Waiting> waiting;
  StoreFault fault = StoreFault::kNone;
  std::string rejected_topic;
  std::string skipped_topic;
  std::string epoch;
  std::map<std::string, Topic> saved_topics;
  std::string held_topic;
  // Whether the answer to the current call must be held back.
  bool must_hold_answer = false;
  // Sends the answer that is held back, with the head from the time of the call.
  std::function<void()> held_answer;
  size_t page_size = 500;
  uint64_t abandoned_reads = 0;
  uint64_t call_count = 0;
  uint64_t answered_bytes = 0;
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_STORE_STANDIN_H_

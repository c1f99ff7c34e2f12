// Topics in memory.  A read that finds no new records waits until a record is appended or its
// wait time is over.

#include "standins/store_standin.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_split.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr Duration kTick = milliseconds(2);
// With kSlowBody an answer is sent in this many pieces, at this interval.
constexpr size_t kPieces = 12;
constexpr Duration kPieceInterval = milliseconds(100);
// Size limit of the answer to a read that does not state one.  A larger single record is still
// sent.
constexpr size_t kDefaultReadKb = 1024;
// Bodies of refusals, as HTTP servers send them.
constexpr char kUnavailableBody[] = "Service Unavailable\n";
constexpr char kNotFoundBody[] = "404 page not found\n";

// The parameters of a query, without percent-decoding: topic names and numbers need none.
std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  for (absl::string_view pair : absl::StrSplit(target.substr(mark + 1), '&')) {
    std::pair<std::string, std::string> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
    query.insert(parts);
  }
  return query;
}

uint64_t ToNumber(const std::string& text) { return ParseCount(text).value_or(0); }

}  // namespace

AnswerHead StoreStandin::Head(int status) const {
  AnswerHead head;
  head.status = status;
  head.reason = "Status";
  if (this->epoch.empty()) return head;
  for (absl::string_view line : absl::StrSplit(this->epoch, '\n')) {
    head.headers.emplace_back(platform::kStoreEpoch, std::string(line));
  }
  return head;
}

void StoreStandin::RestoreCopy(const std::string& next) {
  this->topics = this->saved_topics;
  this->epoch = next;
}

void StoreStandin::DropConnections() {
  this->waiting.clear();
  for (const std::shared_ptr<CallerChannel>& channel : std::exchange(this->channels, {})) {
    if (!channel->is_closed()) channel->BreakOff();
  }
}

// Builds the answer now, to be sent by ReleaseAnswer.
void StoreStandin::HoldAnswer(const std::shared_ptr<CallerChannel>& channel,
                              const std::string& body) {
  this->held_topic.clear();
  this->held_answer = [channel, head = this->Head(200), body] {
    if (!channel->is_closed()) channel->Answer(head, body);
  };
}

void StoreStandin::ReleaseAnswer() {
  if (this->held_answer) std::exchange(this->held_answer, nullptr)();
}

StoreStandin::StoreStandin(EventLoop* event_loop) : loop(event_loop) {
  this->ListenAt(&this->listener);
  this->ListenAt(&this->second_listener);
  this->loop->RunEvery(kTick, [this] { this->WakeWaiting(Now()); });
}

void StoreStandin::ListenAt(TcpListener* at) {
  bool is_second = at == &this->second_listener;
  absl::Status status = at->Listen(this->loop, {"127.0.0.1", 0}, [this, is_second](int fd) {
    auto channel = CallerChannel::Adopt(this->loop, fd, CallerLimits{});
    std::weak_ptr<CallerChannel> weak = channel;
    channel->SetHooks({.request =
                           [this, weak, is_second](const CallerRequest& request) {
                             if (auto self = weak.lock()) this->OnRequest(self, request, is_second);
                           },
                       .malformed = [](ResultCode) {},
                       .gone = {},
                       .drained = {}});
    this->channels.push_back(channel);
  });
  CHECK(status.ok()) << status.message();
}

void StoreStandin::PutRaw(const std::string& topic_name, const std::string& bytes) {
  Topic& topic = this->topics[topic_name];
  topic.raw.insert(topic.first + topic.records.size());
  this->Put(topic_name, /*key=*/"", bytes);
  topic.newest.erase("");
}

uint64_t StoreStandin::appended(const std::string& topic_name) const {
  auto topic = this->topics.find(topic_name);
  return topic == this->topics.end() ? 0 : topic->second.first + topic->second.records.size();
}

void StoreStandin::Put(const std::string& topic_name, const std::string& key,
                       const std::string& value) {
  Topic& topic = this->topics[topic_name];
  topic.records.push_back({key, value});
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = value;
  }
  if (this->skipped_topic == topic_name) {
    this->skipped_topic.clear();
    this->SkipWaitingReads(topic_name);
  }
  this->WakeWaiting(Now());
}

bool StoreStandin::IsAwaited(const std::string& topic_name) const {
  for (const Waiting& entry : this->waiting) {
    if (entry.topic == topic_name && !entry.channel.expired()) return true;
  }
  return false;
}

void StoreStandin::SkipWaitingReads(const std::string& topic_name) {
  const Topic& topic = this->topics[topic_name];
  for (Waiting& entry : this->waiting) {
    if (entry.topic == topic_name) entry.skip_until = topic.first + topic.records.size();
  }
}

std::string StoreStandin::Newest(const std::string& topic_name, const std::string& key) {
  const std::map<std::string, std::string>& newest = this->topics[topic_name].newest;
  auto found = newest.find(key);
  return found == newest.end() ? "" : found->second;
}

void StoreStandin::Compact(const std::string& topic_name) {
  Topic& topic = this->topics[topic_name];
  topic.first += topic.records.size();
  topic.records.clear();
}

void StoreStandin::OnRequest(const std::shared_ptr<CallerChannel>& channel,
                             const CallerRequest& request, bool is_at_second) {
  this->call_count += 1;
  bool is_silent = is_at_second && this->is_second_silent;
  if (is_silent || this->fault == StoreFault::kSilent) return;
  if (this->fault == StoreFault::kReset) return channel->BreakOff();
  if (this->fault == StoreFault::kBusy) return channel->Answer(Head(503), kUnavailableBody);
  std::map<std::string, std::string> query = Query(request.head.target);
  this->must_hold_answer = !this->held_topic.empty() && query["topic"] == this->held_topic;
  if (!this->rejected_topic.empty() && query["topic"] == this->rejected_topic) {
    return channel->Answer(Head(503), kUnavailableBody);
  }
  Topic& topic = this->topics[query["topic"]];
  const std::string path = request.head.target.substr(0, request.head.target.find('?'));
  if (path == "/v1/log-newest") {
    this->AnswerNewest(channel.get(), topic, query["after"]);
  } else if (path == "/v1/log-read") {
    Waiting read{channel, query["topic"]};
    read.is_at_second = is_at_second;
    read.from = ToNumber(query["from"]);
    read.max_bytes = 1024 * ParseCount(query["max_kb"]).value_or(kDefaultReadKb);
    read.until = Now() + milliseconds(ToNumber(query["waitMs"]));
    if (!this->AnswerTail(channel.get(), topic, read, /*even_if_empty=*/false)) {
      this->waiting.push_back(std::move(read));
    }
  } else if (path == "/v1/log-append") {
    size_t key_size = static_cast<unsigned char>(request.body[4]);
    this->Put(query["topic"], request.body.substr(5, key_size), request.body.substr(5 + key_size));
    channel->Answer(Head(200), "{}");
  } else {
    channel->Answer(Head(404), kNotFoundBody);
  }
}

void StoreStandin::AnswerNewest(CallerChannel* channel, const Topic& topic,
                                const std::string& after) {
  nlohmann::json answer;
  answer["items"] = nlohmann::json::array();
  answer["end"] = topic.first + topic.records.size();
  auto next = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
  for (; next != topic.newest.end() && answer["items"].size() < this->page_size; ++next) {
    answer["items"].push_back(
        {{"tlsKey", next->first}, {"value", absl::Base64Escape(next->second)}, {"offset", 0}});
  }
  answer["more"] = next != topic.newest.end();
  this->Answer(channel, answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void StoreStandin::Answer(CallerChannel* channel, const std::string& body) {
  this->answered_bytes += body.size();
  if (std::exchange(this->must_hold_answer, false)) {
    return this->HoldAnswer(channel->shared_from_this(), body);
  }
  if (this->fault != StoreFault::kSlowBody) return channel->Answer(Head(200), body);
  channel->BeginAnswer(Head(200), body.size());
  this->AnswerInPieces(channel->shared_from_this(), body);
}

void StoreStandin::AnswerInPieces(const std::shared_ptr<CallerChannel>& channel,
                                  const std::string& body) {
  size_t piece = std::max<size_t>(body.size() / kPieces, 1);
  for (size_t at = 0, number = 1; at < body.size(); at += piece, ++number) {
    this->loop->RunAfter(number * kPieceInterval, [channel, bytes = body.substr(at, piece),
                                                   is_last = at + piece >= body.size()] {
      if (channel->is_closed()) return;
      channel->WritePart(bytes);
      if (is_last) channel->EndAnswer();
    });
  }
}

bool StoreStandin::AnswerTail(CallerChannel* channel, const Topic& topic, const Waiting& read,
                              bool even_if_empty) {
  uint64_t from = read.from;
  uint64_t end = topic.first + topic.records.size();
  bool is_ahead = !this->epoch.empty() && from > end;
  if (from < topic.first || is_ahead) {
    channel->Answer(Head(410), "{\"first\":" + std::to_string(topic.first) + "}");
    return true;
  }
  if (from >= end && !even_if_empty) return false;
  std::string body;
  platform::AppendNumber(&body, end, 8);
  platform::AppendNumber(&body, topic.first, 8);
  for (uint64_t offset = from; offset < end; ++offset) {
    size_t size_before_record = body.size();
    const platform::KeyedRecord& record = topic.records[offset - topic.first];
    if (topic.raw.count(offset) != 0) {
      platform::AppendNumber(&body, record.value.size(), 4);
      body += record.value;
    } else {
      platform::AppendRecord(&body, record);
    }
    bool is_too_large = offset > from && body.size() > read.max_bytes;
    if (!is_too_large) continue;
    body.resize(size_before_record);
    break;
  }
  this->Answer(channel, body);
  return true;
}

void StoreStandin::WakeWaiting(Time now) {
  if (this->fault == StoreFault::kSilent) return;
  std::vector<Waiting> remaining;
  for (Waiting& entry : std::exchange(this->waiting, {})) {
    std::shared_ptr<CallerChannel> channel = entry.channel.lock();
    bool is_gone = !channel || channel->is_closed();
    if (is_gone && now < entry.until) this->abandoned_reads += 1;
    if (is_gone) continue;
    const Topic& topic = this->topics[entry.topic];
    bool is_over = now >= entry.until;
    bool is_skipped = topic.first + topic.records.size() <= entry.skip_until;
    bool is_silent = entry.is_at_second && this->is_second_silent;
    bool done = !is_skipped && !is_silent && this->AnswerTail(channel.get(), topic, entry, is_over);
    if (!done) remaining.push_back(std::move(entry));
  }
  this->waiting.insert(this->waiting.end(), remaining.begin(), remaining.end());
}

}  // namespace gullward

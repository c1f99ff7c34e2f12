// One call at a time; each call has a number, so that an overdue one is told
// from the one that replaced it.

#include "gateway/topic_follower.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gullward {
namespace {

constexpr int kOk = 200;
// The store answers in milliseconds; slower than this and another try is due.
constexpr Duration kAnswerPatience = milliseconds(1000);
constexpr Duration kFirstPause = milliseconds(100);
// A cut of seconds must be noticed as over within a fraction of a second.
constexpr Duration kLongestPause = milliseconds(400);

Duration PauseAfter(int failures) {
  int doublings = std::min(failures - 1, 3);
  return std::min<Duration>(kFirstPause * (1 << doublings), kLongestPause);
}

}  // namespace

TopicFollower::TopicFollower(EventLoop* event_loop, SocketAddress store_address,
                             Options follower_options, Hooks follower_hooks)
    : loop(event_loop),
      store(std::move(store_address)),
      options(std::move(follower_options)),
      hooks(std::move(follower_hooks)) {}

void TopicFollower::Call(const platform::HttpCallText& call,
                         std::function<void(int, const std::string&)> done, Duration patience) {
  bool usable = this->channel && this->channel->reusable();
  if (!usable) this->channel = RequestChannel::Open(this->loop, this->store);
  this->answer_status = 0;
  this->answer_body.clear();
  this->call_sent = Now();
  uint64_t number = ++this->call_count;
  std::string request = absl::StrCat(call.method, " ", call.target, " HTTP/1.1\r\nHost: ",
                                     this->store.ToString(), "\r\n\r\n");
  RequestChannel::Hooks channel_hooks;
  channel_hooks.head = [this](const ResponseHead& head) { this->answer_status = head.status; };
  channel_hooks.body = [this](std::string_view bytes) { this->answer_body.append(bytes); };
  channel_hooks.done = [this, number, done = std::move(done)](ChannelResult result) {
    if (number != this->call_count) return;
    bool whole = result == ChannelResult::kWholeAnswer;
    if (whole) {
      done(this->answer_status, this->answer_body);
    } else {
      this->Fail("no answer");
    }
  };
  this->channel->Send(request, std::move(channel_hooks), /*is_head=*/false);
  this->loop->RunAfter(patience, [this, number] {
    if (number == this->call_count && this->channel && !this->channel->reusable()) {
      this->Fail("overdue");
    }
  });
}

void TopicFollower::ReadPage() {
  std::string after = this->pages.empty() ? "" : this->pages.back().key;
  this->Call(
      platform::NewestOfEachKey(this->options.topic, after),
      [this](int status, const std::string& body) { this->OnPage(status, body); },
      kAnswerPatience);
  if (after.empty()) this->pages_sent = this->call_sent;
}

void TopicFollower::OnPage(int status, const std::string& body) {
  if (status != kOk) {
    this->Fail(absl::StrCat("status ", status));
    return;
  }
  absl::StatusOr<platform::KeyedPage> page = platform::DecodeNewest(body);
  if (!page.ok()) {
    this->Fail(std::string(page.status().message()));
    return;
  }
  this->Succeed();
  // Pages are no snapshot: what changes between them is read again from the
  // first page's end on.
  if (this->pages.empty()) this->next_offset = page->end;
  for (platform::KeyedRecord& record : page->records) this->pages.push_back(std::move(record));
  if (page->more && !page->records.empty()) {
    this->ReadPage();
    return;
  }
  this->loaded = true;
  this->hooks.replace(std::exchange(this->pages, {}));
  if (this->hooks.up_to_date) this->hooks.up_to_date(this->pages_sent);
  this->ReadTail();
}

void TopicFollower::ReadTail() {
  this->Call(
      platform::ReadFrom(this->options.topic, this->next_offset, this->options.wait),
      [this](int status, const std::string& body) { this->OnTail(status, body); },
      this->options.wait + kAnswerPatience);
}

void TopicFollower::OnTail(int status, const std::string& body) {
  if (status == platform::kRecordsGone) {
    this->Succeed();
    this->loaded = false;
    this->ReadPage();
    return;
  }
  if (status != kOk) {
    this->Fail(absl::StrCat("status ", status));
    return;
  }
  absl::StatusOr<platform::KeyedTail> tail = platform::DecodeTail(body);
  if (!tail.ok()) {
    this->Fail(std::string(tail.status().message()));
    return;
  }
  Time sent = this->call_sent;
  this->Succeed();
  this->next_offset += tail->records.size();
  for (const platform::KeyedRecord& record : tail->records) this->hooks.change(record);
  if (this->hooks.up_to_date) this->hooks.up_to_date(sent);
  this->ReadTail();
}

void TopicFollower::Succeed() {
  if (this->failures_in_row == 0) return;
  this->failures_in_row = 0;
  this->regained = Now();
  if (this->hooks.regained) this->hooks.regained();
}

void TopicFollower::Fail(const std::string& reason) {
  // The number moves on, so that nothing of the failed call is heard any more.
  this->call_count += 1;
  this->channel->Close();
  this->channel.reset();
  this->failures_in_row += 1;
  if (this->failures_in_row == 1 && this->hooks.lost) this->hooks.lost(reason);
  if (!this->loaded) this->pages.clear();
  this->loop->RunAfter(PauseAfter(this->failures_in_row), [this] {
    if (this->loaded) {
      this->ReadTail();
    } else {
      this->ReadPage();
    }
  });
}

}  // namespace gullward

// Two states: reading pages, and following the tail (at first by a glance, after a failure).

#include "gateway/topic_follower.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

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
      recovery(store_recovery),
      options(std::move(follower_options)),
      hooks(std::move(follower_hooks)) {
  this->recovery->returns().OnReturn([this] { this->OnReturn(); });
}

void TopicFollower::Start() {
  this->started = true;
  this->ReadPage();
}

std::optional<uint64_t> TopicFollower::position() const {
  bool holds = this->loaded && this->epoch == this->recovery->returns().epoch().current();
  return holds ? std::optional<uint64_t>(this->next_offset) : std::nullopt;
}

// What waits or comes now belongs to a log that is no more.
void TopicFollower::OnReturn() {
  bool is_read_anew = !this->loaded && this->epoch == this->recovery->returns().epoch().current();
  if (!this->started || is_read_anew) return;
  this->loaded = false;
  this->pages.clear();
  // One that pauses, or waits for the store to answer, goes on with the pages by itself.
  if (!this->client.is_busy()) return;
  this->client.Cancel();
  bool waits = this->hooks.pause_after_return != nullptr;
  this->ReadOnAfter(waits ? this->hooks.pause_after_return() : Duration(0));
}

void TopicFollower::ReadOnAfter(Duration pause) {
  this->loop->RunAfter(pause, [this] {
    if (this->loaded) {
      this->WaitForChanges();
    } else {
      this->ReadPage();
    }
  });
}

bool TopicFollower::RestartStalledRead() {
  if (this->client.TimeSinceProgress(Now()) < this->silence_limit) return false;
  this->silence_limit = std::min(2 * this->silence_limit, kMaxSilenceLimit);
  this->client.Cancel();
  this->ReadOn();
  return true;
}

void TopicFollower::ReadOn() {
  if (this->loaded) {
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
    bool came_late = answer.status == 0;
    if (came_late) {
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
  // Pages are no snapshot: what changes between them is read again from the
  // first page's end on.
  this->page_timeout = StoreClient::kAnswerTimeout;
  if (is_first) this->next_offset = page->end;
  this->ReportUnreadable(page->unreadable);
  for (platform::KeyedRecord& record : page->records) this->pages.push_back(std::move(record));
  if (page->has_more && !page->records.empty()) {
    this->ReadPage();
    return;
  }
  this->loaded = true;
  this->key_count = this->pages.size();
  this->hooks.replace(std::exchange(this->pages, {}));
  if (this->hooks.up_to_date) this->hooks.up_to_date(this->pages_sent);
  this->WaitForChanges();
}

void TopicFollower::WaitForChanges() { this->ReadTail(this->options.wait, kMaxHistoryKb); }

void TopicFollower::ReadTail(Duration wait, size_t most_kb) {
  this->call_sent = Now();
  this->client.Call(
      platform::ReadRecordsRequest(this->options.topic, this->next_offset, wait, most_kb),
      wait + StoreClient::kAnswerTimeout,
      [this](const StoreAnswer& answer) { this->OnTail(answer); });
}

void TopicFollower::OnTail(const StoreAnswer& answer) {
  bool has_place = this->IsCurrentEpoch(answer) && answer.status != platform::kRecordsGone;
  bool came = answer.ok() || answer.status == platform::kRecordsGone;
  if (came && !has_place) {
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
  this->DeliverChanges(*tail);
  if (this->hooks.up_to_date) this->hooks.up_to_date(sent);
  if (tail->records.empty() || this->options.batch_delay.count() == 0) {
    this->WaitForChanges();
  } else {
    this->ReadOnAfter(this->options.batch_delay);
  }
}

// An answer without any record holds nothing to go on from.
void TopicFollower::OnShortTail(const platform::KeyedTail& tail) {
  uint64_t read_to = this->next_offset + tail.records.size();
  if (this->hooks.read_short) this->hooks.read_short(read_to, tail.end);
  bool newest_is_less = tail.records.empty() || tail.end - read_to > this->key_count;
  if (newest_is_less) {
    this->ReadPages();
    return;
  }
  this->DeliverChanges(tail);
  this->WaitForChanges();
}

void TopicFollower::DeliverChanges(const platform::KeyedTail& tail) {
  this->next_offset += tail.records.size();
  this->ReportUnreadable(tail.unreadable);
  for (const platform::KeyedRecord& record : tail.records) {
    // What has no key says nothing of any.
    if (!record.key.empty()) this->hooks.change(record);
  }
}

void TopicFollower::ReportUnreadable(size_t records) {
  if (records > 0 && this->hooks.unreadable) this->hooks.unreadable(records);
}

void TopicFollower::Succeed() {
  this->recovery->OnCallSucceeded();
  this->silence_limit = kMaxUpdateDelay;
  if (!this->is_lost) return;
  this->is_lost = false;
  this->regained = Now();
  if (this->hooks.regained) this->hooks.regained();
}

void TopicFollower::Fail(const std::string& reason) {
  bool first = !std::exchange(this->is_lost, true);
  if (first && this->hooks.lost) this->hooks.lost(reason);
  this->recovery->RetryLater([this] { this->ReadOn(); });
}

}  // namespace gullward

// Calls are numbered, so that a timeout applies only to its own call.

#include "gateway/store_client.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace gullward {
namespace {

const std::shared_ptr<ByteBudget>& AnswerBudget() {
  static const auto* const budget = new std::shared_ptr<ByteBudget>(
      std::make_shared<ByteBudget>(StoreClient::kMaxAnswerBytes, StoreClient::kMaxBytesInAll));
  return *budget;
}

}  // namespace

StoreClient::StoreClient(EventLoop* event_loop, SocketAddress store_address,
                         StoreReturns* store_returns)
    : loop(event_loop),
      address(std::move(store_address)),
      returns(store_returns),
      held(AnswerBudget()) {}

void StoreClient::Call(const platform::StoreRequest& call, Duration timeout, Done done) {
  bool usable = this->channel && this->channel->reusable();
  if (!usable) this->channel = RequestChannel::Open(this->loop, this->address);
  this->incoming = {};
  this->sent_at = this->last_progress = Now();
  this->pending = std::move(done);
  uint64_t number = ++this->call_count;

  std::string request = absl::StrCat(call.method, " ", call.target,
                                     " HTTP/1.1\r\nHost: ", this->address.ToString(), "\r\n");
  if (call.method != "GET")
    AppendHeader(&request, "Content-Length", absl::StrCat(call.body.size()));
  request += "\r\n";
  request += call.body;

  RequestChannel::Hooks hooks;
  hooks.head = [this](const ResponseHead& head) { this->OnHead(head); };
  hooks.body = [this, number](std::string_view bytes) { this->OnBody(number, bytes); };
  hooks.done = [this, number](ChannelResult result) {
    if (result == ChannelResult::kWholeAnswer) {
      this->OnWholeAnswer(number);
    } else {
      this->FinishUnanswered(number, "connection lost");
    }
  };
  this->channel->Send(request, std::move(hooks), /*is_head=*/false);
  this->ScheduleTimeout(number, timeout);
}

void StoreClient::OnHead(const ResponseHead& head) {
  this->last_progress = this->head_at = Now();
  this->incoming.status = head.status;
  this->incoming.epoch = platform::ParseStoreEpoch(head.headers);
}

void StoreClient::OnBody(uint64_t number, std::string_view bytes) {
  this->last_progress = Now();
  this->incoming.body.append(bytes);
  bool is_too_large = !this->held.Set(this->incoming.body.size());
  bool is_too_slow = this->last_progress - this->head_at > kMaxTransferTime;
  if (is_too_large || is_too_slow) {
    this->FinishUnanswered(number, is_too_large ? "answer too large" : "answer too slow");
  }
}

void StoreClient::ScheduleTimeout(uint64_t number, Duration after) {
  this->loop->RunAfter(after, [this, number] {
    if (!this->IsPending(number)) return;
    bool is_progressing =
        this->incoming.status != 0 && this->TimeSinceProgress(Now()) < kProgressTimeout;
    if (is_progressing) {
      this->ScheduleTimeout(number, kProgressTimeout);
      return;
    }
    this->FinishUnanswered(number, "overdue");
  });
}

// A refusal without an epoch may come from a proxy in front of the store, which does not
// state the epoch, so it is passed on without a check.
bool StoreClient::IsUsable(const StoreAnswer& answer) {
  bool is_from_store = answer.epoch || answer.ok() || answer.status == platform::kRecordsGone;
  return this->returns == nullptr || !is_from_store ||
         this->returns->RecordEpoch(answer.epoch, this->sent_at);
}

void StoreClient::SetAddress(SocketAddress next) {
  if (next == this->address) return;
  this->Cancel();
  this->address = std::move(next);
}

void StoreClient::Cancel() {
  this->pending = nullptr;
  this->incoming = {};
  this->held.Set(0);
  if (this->channel) this->channel->Close();
  this->channel.reset();
}

Duration StoreClient::TimeSinceProgress(Time now) const {
  return this->pending ? now - this->last_progress : Duration(0);
}

Duration StoreClient::TimeSinceSent(Time now) const {
  return this->pending ? now - this->sent_at : Duration(0);
}

void StoreClient::OnWholeAnswer(uint64_t number) {
  if (this->returns != nullptr && this->IsPending(number)) this->returns->RecordAnswer();
  if (this->IsUsable(this->incoming)) {
    this->Finish(number, std::exchange(this->incoming, {}));
  } else {
    this->Finish(number, {0, "", "answer from before the store's return", std::nullopt});
  }
}

void StoreClient::FinishUnanswered(uint64_t number, const char* reason) {
  if (this->returns != nullptr && this->IsPending(number)) this->returns->RecordNoAnswer();
  this->Finish(number, {0, "", reason, std::nullopt});
}

void StoreClient::Finish(uint64_t number, const StoreAnswer& answer) {
  if (!this->IsPending(number)) return;
  if (answer.status == 0) {
    this->channel->Close();
    this->channel.reset();
  }
  this->incoming = {};
  this->held.Set(0);
  Done done = std::exchange(this->pending, nullptr);
  done(answer);
}

}  // namespace gullward

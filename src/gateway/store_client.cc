// Each call has a number, so that an overdue one is told from the next.

#include "gateway/store_client.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace gullward {

void StoreClient::Call(const platform::StoreRequest& call, Duration patience, Done done) {
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
  hooks.head = [this](const ResponseHead& head) {
    this->last_progress = Now();
    this->incoming.status = head.status;
    this->incoming.epoch = platform::ParseStoreEpoch(head.headers);
  };
  hooks.body = [this](std::string_view bytes) {
    this->last_progress = Now();
    this->incoming.body.append(bytes);
  };
  hooks.done = [this, number](ChannelResult result) {
    if (result != ChannelResult::kWholeAnswer) {
      this->Finish(number, {0, "", "connection lost", std::nullopt});
    } else if (!this->IsUsable(this->incoming)) {
      this->Finish(number, {0, "", "of before the store's return", std::nullopt});
    } else {
      this->Finish(number, StoreAnswer(this->incoming));
    }
  };
  this->channel->Send(request, std::move(hooks), /*is_head=*/false);
  this->ScheduleTimeout(number, patience);
}

void StoreClient::ScheduleTimeout(uint64_t number, Duration after) {
  this->loop->RunAfter(after, [this, number] {
    bool under_way = number == this->call_count && this->pending;
    if (!under_way) return;
    bool is_coming =
        this->incoming.status != 0 && this->TimeSinceProgress(Now()) < kProgressTimeout;
    if (is_coming) {
      this->ScheduleTimeout(number, kProgressTimeout);
      return;
    }
    this->Finish(number, {0, "", "overdue", std::nullopt});
  });
}

// Whoever stands before the store and turns calls away need not know of epochs.
bool StoreClient::IsUsable(const StoreAnswer& answer) {
  bool tells = answer.epoch || answer.ok() || answer.status == platform::kRecordsGone;
  return this->returns == nullptr || !tells ||
         this->returns->RecordEpoch(answer.epoch, this->sent_at);
}

void StoreClient::SetAddress(SocketAddress next) {
  if (next == this->address) return;
  this->Cancel();
  this->address = std::move(next);
}

void StoreClient::Cancel() {
  this->pending = nullptr;
  if (this->channel) this->channel->Close();
  this->channel.reset();
}

Duration StoreClient::TimeSinceProgress(Time now) const {
  return this->pending ? now - this->last_progress : Duration(0);
}

void StoreClient::Finish(uint64_t number, const StoreAnswer& answer) {
  if (number != this->call_count || !this->pending) return;
  if (answer.status == 0) {
    this->channel->Close();
    this->channel.reset();
  }
  Done done = std::exchange(this->pending, nullptr);
  done(answer);
}

}  // namespace gullward

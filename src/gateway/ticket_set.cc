// ticket_set.h tells the method.

#include "gateway/ticket_set.h"

#include <utility>

#include "gateway/notice_listener.h"
#include "platform/engine_calls.h"

namespace gullward {
namespace {

// One order under way; its answer, its failure and its time-out race.
struct PendingOrder {
  std::shared_ptr<RequestChannel> channel;
  int status = 0;
  // Empty once it has been called.
  std::function<void(bool)> done;

  void Finish(bool carried_out) {
    if (auto hook = std::exchange(this->done, nullptr)) hook(carried_out);
  }
};

}  // namespace

TicketSet::TicketSet(GatewayState* gateway_state, std::vector<TicketWish> ticket_wishes)
    : state(gateway_state), wishes(std::move(ticket_wishes)) {}

void TicketSet::Order(const TicketWish& wish, const std::string& text,
                      std::function<void(bool)> done) {
  auto order = std::make_shared<PendingOrder>();
  order->channel = this->state->pool.Take(wish.engine, Now(), /*fresh=*/false);
  this->state->counters.orders += 1;
  order->done = std::move(done);
  // The time-out alone owns the order: a channel that owned it through its hooks
  // would be owned by itself.
  std::weak_ptr<PendingOrder> weak = order;
  RequestChannel::Hooks hooks;
  hooks.head = [self = this->shared_from_this(), weak, engine = wish.engine,
                sent = Now()](const ResponseHead& head) {
    HearNotice(self->state, engine, head, sent);
    if (auto pending = weak.lock()) pending->status = head.status;
  };
  hooks.done = [self = this->shared_from_this(), weak, engine = wish.engine](ChannelResult result) {
    auto pending = weak.lock();
    if (!pending) return;
    bool whole = result == ChannelResult::kWholeAnswer;
    if (whole) self->state->pool.Give(engine, pending->channel, Now());
    pending->Finish(whole && pending->status == platform::kOrderDone);
  };
  order->channel->Send(text, std::move(hooks), /*is_head=*/false);
  this->state->loop->RunAfter(kOrderPatience, [order] {
    if (!order->done) return;
    order->channel->Close();
    order->Finish(false);
  });
}

void TicketSet::Acquire(Acquired acquired) {
  this->on_acquired = std::move(acquired);
  this->prolonged.assign(this->wishes.size(), Now());
  this->next_order = this->prolonged;
  for (const TicketWish& wish : this->wishes) {
    std::string text = platform::ReserveMemoryText(wish.engine, wish.ticket, wish.tokens, kHold);
    this->Order(wish, text,
                [self = this->shared_from_this(), engine = wish.engine.Incarnation()](bool given) {
                  if (!given) {
                    self->Finish(false, engine);
                  } else if (++self->granted == self->wishes.size()) {
                    self->Finish(true, "");
                  }
                });
  }
}

void TicketSet::Finish(bool all, const std::string& refused_by) {
  if (!this->on_acquired) return;
  Acquired hook = std::exchange(this->on_acquired, nullptr);
  hook(all, refused_by);
}

void TicketSet::Tick(Time now) {
  if (this->released) return;
  for (size_t i = 0; i < this->wishes.size(); ++i) {
    if (this->IsDue(i, now) && !this->HasRestarted(this->wishes[i])) this->Prolong(i, now);
  }
}

bool TicketSet::IsDue(size_t ticket, Time now) const {
  const std::string engine = this->wishes[ticket].engine.Incarnation();
  bool rests = this->state->fleet.notices().RestLeft(engine, now) > Duration::zero();
  Duration age = now - this->prolonged[ticket];
  return now >= this->next_order[ticket] && age >= (rests ? kProlongAtLatest : kProlongEvery);
}

void TicketSet::Prolong(size_t ticket, Time now) {
  const TicketWish& wish = this->wishes[ticket];
  std::string text = platform::ReserveMemoryText(wish.engine, wish.ticket, wish.tokens, kHold);
  this->next_order[ticket] = now + kOrderPause;
  this->Order(wish, text, [self = this->shared_from_this(), ticket, now](bool carried_out) {
    if (carried_out) self->prolonged[ticket] = now;
  });
}

// To prolong a ticket that the engine has forgotten would set memory aside anew, for a
// part of a prompt that is lost.
bool TicketSet::HasRestarted(const TicketWish& wish) const {
  const EngineRecord* known = this->state->fleet.directory().Find(wish.engine.id);
  return known != nullptr && known->started_at_ms > wish.engine.started_at_ms;
}

void TicketSet::Release() {
  if (std::exchange(this->released, true)) return;
  this->on_acquired = nullptr;
  // Also those that were not given: the order may have been carried out unheard.
  for (const TicketWish& wish : this->wishes) this->ReleaseOne(wish, kReleaseTries);
}

void TicketSet::ReleaseOne(const TicketWish& wish, int tries_left) {
  if (tries_left == 0) {
    this->state->log->Write(LogLine("ticket_left_to_lapse")
                                .Text("ticket", wish.ticket)
                                .Text("engine", wish.engine.Incarnation()));
    return;
  }
  this->Order(wish, platform::ReleaseMemoryText(wish.engine, wish.ticket),
              [self = this->shared_from_this(), wish, tries_left](bool carried_out) {
                if (!carried_out) self->ReleaseOne(wish, tries_left - 1);
              });
}

}  // namespace gullward

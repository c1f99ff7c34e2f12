// Orders are HTTP requests to an engine (platform/engine_calls.h) on pooled connections.

#include "gateway/ticket_set.h"

#include <utility>

#include "gateway/notice_receiver.h"
#include "platform/engine_calls.h"

namespace gullward {
namespace {

// An order under way.  Its answer, the failure of its connection, and its timeout may each end
// it; the first of these does.
struct PendingOrder {
  std::shared_ptr<RequestChannel> channel;
  int status = 0;
  // Empty after it has been called.
  std::function<void(bool)> done;

  void Finish(bool carried_out) {
    if (auto hook = std::exchange(this->done, nullptr)) hook(carried_out);
  }
};

}  // namespace

TicketSet::TicketSet(GatewayState* gateway_state, std::vector<TicketRequest> ticket_requests)
    : state(gateway_state), requests(std::move(ticket_requests)) {}

void TicketSet::SendOrder(const TicketRequest& request, const std::string& text,
                          std::function<void(bool)> done) {
  auto order = std::make_shared<PendingOrder>();
  order->channel = this->state->pool.Take(request.engine, Now(), /*fresh=*/false);
  this->state->counters.orders += 1;
  order->done = std::move(done);
  // Only the timeout holds a strong reference to the order.  The order owns the channel, so a
  // strong reference in the channel's hooks would be a cycle.
  std::weak_ptr<PendingOrder> weak = order;
  RequestChannel::Hooks hooks;
  hooks.head = [self = this->shared_from_this(), weak, engine = request.engine,
                sent = Now()](const ResponseHead& head) {
    ReceiveNotice(self->state, engine, head, sent);
    if (auto pending = weak.lock()) pending->status = head.status;
  };
  hooks.done = [self = this->shared_from_this(), weak,
                engine = request.engine](ChannelResult result) {
    auto pending = weak.lock();
    if (!pending) return;
    bool whole = result == ChannelResult::kWholeAnswer;
    if (whole) self->state->pool.Give(engine, pending->channel, Now());
    pending->Finish(whole && pending->status == platform::kOrderDone);
  };
  order->channel->Send(text, std::move(hooks), /*is_head=*/false);
  this->state->loop->RunAfter(kOrderTimeout, [order] {
    if (!order->done) return;
    order->channel->Close();
    order->Finish(false);
  });
}

void TicketSet::Acquire(Acquired acquired) {
  this->on_acquired = std::move(acquired);
  this->renewed_at.assign(this->requests.size(), Now());
  this->next_order = this->renewed_at;
  for (const TicketRequest& request : this->requests) {
    std::string text = platform::FormatReserveRequest(request.engine, request.ticket,
                                                      request.tokens, kTicketLifetime);
    this->SendOrder(
        request, text,
        [self = this->shared_from_this(), engine = request.engine.Incarnation()](bool was_granted) {
          if (!was_granted) {
            self->Finish(false, engine);
          } else if (++self->granted == self->requests.size()) {
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
  for (size_t i = 0; i < this->requests.size(); ++i) {
    if (this->IsDue(i, now) && !this->HasRestarted(this->requests[i])) this->Renew(i, now);
  }
}

bool TicketSet::IsDue(size_t ticket, Time now) const {
  const std::string engine = this->requests[ticket].engine.Incarnation();
  bool is_resting = this->state->fleet.notices().RestLeft(engine, now) > Duration::zero();
  Duration age = now - this->renewed_at[ticket];
  return now >= this->next_order[ticket] &&
         age >= (is_resting ? kMaxRenewInterval : kRenewInterval);
}

void TicketSet::Renew(size_t ticket, Time now) {
  const TicketRequest& request = this->requests[ticket];
  std::string text = platform::FormatReserveRequest(request.engine, request.ticket, request.tokens,
                                                    kTicketLifetime);
  this->next_order[ticket] = now + kRetryInterval;
  this->SendOrder(request, text, [self = this->shared_from_this(), ticket, now](bool carried_out) {
    if (carried_out) self->renewed_at[ticket] = now;
  });
}

// Whether the engine has started again since it granted the ticket.  Renewing the ticket would
// then reserve memory anew for a part of a prompt that is lost.
bool TicketSet::HasRestarted(const TicketRequest& request) const {
  const EngineRecord* known = this->state->fleet.directory().Find(request.engine.id);
  return known != nullptr && known->started_at_ms > request.engine.started_at_ms;
}

void TicketSet::Release() {
  if (std::exchange(this->released, true)) return;
  this->on_acquired = nullptr;
  // This includes tickets that were not granted: an engine may have carried the order out though
  // its answer was lost.
  for (const TicketRequest& request : this->requests) this->ReleaseOne(request, kMaxReleaseTries);
}

void TicketSet::ReleaseOne(const TicketRequest& request, int tries_left) {
  if (tries_left == 0) {
    this->state->log->Write(LogLine("ticket_left_to_lapse")
                                .Text("ticket", request.ticket)
                                .Text("engine", request.engine.Incarnation()));
    return;
  }
  this->SendOrder(request, platform::FormatReleaseRequest(request.engine, request.ticket),
                  [self = this->shared_from_this(), request, tries_left](bool carried_out) {
                    if (!carried_out) self->ReleaseOne(request, tries_left - 1);
                  });
}

}  // namespace gullward

// How an exchange has memory set aside on the engines that are to read its prompt together:
// on all of them or on none, without waiting, and a few sets of engines are tried.

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/exchange.h"

namespace gullward {
namespace {

// Sets of engines that are asked for memory before a request is refused.
constexpr int kMostTicketRounds = 4;

}  // namespace

void Exchange::AcquireTickets(const FleetChoice& choice) {
  this->ticket_rounds += 1;
  std::vector<TicketWish> wishes;
  // An engine may still hold tickets of an earlier life of this process, whose requests
  // had the same numbers.
  std::string round =
      absl::StrCat(this->state->settings.box, "-", absl::Hex(this->state->incarnation), "-",
                   this->id, "-", this->ticket_rounds);
  for (const EngineRecord& reader : choice.readers) {
    std::string ticket = absl::StrCat(round, "-", wishes.size());
    wishes.push_back({reader, ticket, static_cast<uint64_t>(choice.placement.memory_tokens)});
  }
  // Booked from now on, so that peers do not plan with this memory.
  this->BookLoad(choice, Now());
  this->tickets = std::make_shared<TicketSet>(this->state, std::move(wishes));
  std::weak_ptr<Exchange> weak = this->weak_from_this();
  this->tickets->Acquire([weak, choice](bool all, const std::string& refused_by) {
    if (auto self = weak.lock()) self->OnTickets(choice, all, refused_by);
  });
}

void Exchange::OnTickets(const FleetChoice& choice, bool all, const std::string& refused_by) {
  if (this->is_finished) return;
  Time now = Now();
  // An engine may have asked for less while the tickets were on their way.
  if (all && this->state->fleet.StillAdmits(choice, now)) {
    this->SendAttempt(choice, now);
    return;
  }
  this->state->log->Write(this->Line("ticket_refused")
                              .Text("engine", refused_by)
                              .Number("held_back", all ? 1 : 0)
                              .Number("round", this->ticket_rounds)
                              .Number("tokens", choice.placement.memory_tokens));
  this->DropTickets();
  this->state->fleet.loads().End(this->id);
  if (!all) this->tried.insert(refused_by);
  if (this->ticket_rounds < kMostTicketRounds) {
    this->StartAttempt(now);
  } else {
    this->FollowUnsent(now);
  }
}

void Exchange::DropTickets() {
  if (!this->tickets) return;
  this->tickets->Release();
  this->tickets.reset();
}

}  // namespace gullward

// Reservation of memory on the engines that are to read one prompt together (ticket_set.h).
// Either all of them reserve memory or none does, and no engine waits for memory.  If one
// refuses, the exchange chooses another set, and asks at most kMaxTicketRounds sets in all.

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/exchange.h"

namespace gullward {
namespace {

// The number of sets of engines that are asked for memory before a request is refused.
constexpr int kMaxTicketRounds = 4;

}  // namespace

void Exchange::AcquireTickets(const FleetChoice& choice) {
  this->ticket_rounds += 1;
  std::vector<TicketRequest> requests;
  // The incarnation keeps ticket names unique: an engine may still hold tickets of an earlier
  // process of this box, whose requests had the same ids.
  std::string round =
      absl::StrCat(this->state->settings.box, "-", absl::Hex(this->state->incarnation), "-",
                   this->id, "-", this->ticket_rounds);
  for (const EngineRecord& reader : choice.readers) {
    std::string ticket = absl::StrCat(round, "-", requests.size());
    requests.push_back({reader, ticket, static_cast<uint64_t>(choice.placement.memory_tokens)});
  }
  // The load is recorded before the tickets are granted, so that peers do not plan with this
  // memory.
  this->RecordLoad(choice, Now());
  this->tickets = std::make_shared<TicketSet>(this->state, std::move(requests));
  std::weak_ptr<Exchange> weak = this->weak_from_this();
  this->tickets->Acquire([weak, choice](bool all, const std::string& refused_by) {
    if (auto self = weak.lock()) self->OnTickets(choice, all, refused_by);
  });
}

void Exchange::OnTickets(const FleetChoice& choice, bool all, const std::string& refused_by) {
  if (this->is_finished) return;
  if (this->MustRefuseForStop()) {
    this->RefuseForStop();
    return;
  }
  Time now = Now();
  // The engine may have asked for less work while the ticket orders were under way.
  if (all && this->state->fleet.StillAdmits(choice, now)) {
    this->SendAttempt(choice, now);
    return;
  }
  this->state->log->Write(this->Line("ticket_refused")
                              .Text("engine", refused_by)
                              .Number("held_back", all ? 1 : 0)
                              .Number("round", this->ticket_rounds)
                              .Number("tokens", choice.placement.memory_tokens));
  this->ReleaseTickets();
  this->state->fleet.loads().End(this->id);
  if (!all) this->tried.insert(refused_by);
  if (this->ticket_rounds < kMaxTicketRounds) {
    this->StartAttempt(now);
  } else {
    this->ApplyStepUnsent(now);
  }
}

void Exchange::ReleaseTickets() {
  if (!this->tickets) return;
  this->tickets->Release();
  this->tickets.reset();
}

}  // namespace gullward

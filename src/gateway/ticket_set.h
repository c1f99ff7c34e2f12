// Reservation of memory on several engines for one prompt, all or nothing.
//
// A prompt that does not fit into the memory of one engine is spread over several.  Each reader
// reserves memory for its part under a ticket before the request is sent.  No request waits for
// memory: if one engine has none, the reservations on the others are released at once and the
// request tries other engines, so two requests cannot deadlock.  A ticket is valid for a short
// time and is renewed while the request runs; if this process dies, its tickets expire.
//
//   auto tickets = std::make_shared<TicketSet>(state, requests);
//   tickets->Acquire([](bool all, const std::string& refused_by) { ... });
//   tickets->Tick(now);               // renews
//   tickets->Release();               // once, when the request has ended

#ifndef GULLWARD_GATEWAY_TICKET_SET_H_
#define GULLWARD_GATEWAY_TICKET_SET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"

namespace gullward {

struct TicketRequest {
  EngineRecord engine;
  // Must be unique on the engine.
  std::string ticket;
  // Memory to reserve.
  uint64_t tokens = 0;

  bool operator==(const TicketRequest&) const = default;
};

class TicketSet : public std::enable_shared_from_this<TicketSet> {
 public:
  // How long a ticket is valid without being renewed.  Memory must not stay reserved for longer
  // than four seconds after its request has ended.
  static constexpr Duration kTicketLifetime = milliseconds(3400);
  // Two renewals in a row may be lost.
  static constexpr Duration kRenewInterval = milliseconds(1000);
  // The interval for an engine that has asked for a rest, which is sent as few orders as
  // possible.  If one order is lost, there is time for another before the ticket expires.
  static constexpr Duration kMaxRenewInterval = milliseconds(2400);
  // The time between a renewal order that failed and the next one.
  static constexpr Duration kRetryInterval = milliseconds(500);
  // An order that is not answered within this time counts as refused.
  static constexpr Duration kOrderTimeout = milliseconds(250);
  // A release is sent at most this many times.  After that the ticket is left to expire.
  static constexpr int kMaxReleaseTries = 3;

  // Called once, with whether all tickets were granted.  If not, `refused_by` is the incarnation
  // of the first engine that refused; otherwise it is empty.
  using Acquired = std::function<void(bool all, const std::string& refused_by)>;

  TicketSet(GatewayState* gateway_state, std::vector<TicketRequest> ticket_requests);

  // Orders all tickets.
  void Acquire(Acquired acquired);
  // Renews the tickets that are due.
  void Tick(Time now);
  // Releases all tickets, granted or not.  `acquired` is not called after this.
  void Release();

  const std::vector<TicketRequest>& tickets() const { return this->requests; }

 private:
  // Sends an order to the engine and calls `done` once, with whether the engine carried it out.
  void SendOrder(const TicketRequest& request, const std::string& text,
                 std::function<void(bool)> done);
  bool IsDue(size_t ticket, Time now) const;
  void Renew(size_t ticket, Time now);
  bool HasRestarted(const TicketRequest& request) const;
  void ReleaseOne(const TicketRequest& request, int tries_left);
  void Finish(bool all, const std::string& refused_by);

  GatewayState* state;
  std::vector<TicketRequest> requests;
  Acquired on_acquired;
  size_t granted = 0;
  bool released = false;
  // For each ticket: when it was last granted or renewed, and the earliest time of its next
  // renewal order.
  std::vector<Time> renewed_at;
  std::vector<Time> next_order;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TICKET_SET_H_

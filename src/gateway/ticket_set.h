// Memory set aside on several engines for one prompt, all or nothing.
//
// A prompt that one engine's memory cannot hold is spread: each helper sets its
// share aside under a ticket before the request is sent.  Nobody waits for
// memory here: if one engine has none, what the others gave goes back at once
// and the request looks for other engines, so no two requests can wait for each
// other.  Tickets are short and prolonged while the request runs; if this
// process dies, they lapse.
//
//   auto tickets = std::make_shared<TicketSet>(state, wishes);
//   tickets->Acquire([](bool all, const std::string& refused_by) { ... });
//   tickets->Tick(now);               // prolongs
//   tickets->Release();               // once, when the request has ended

#ifndef GULLWARD_GATEWAY_TICKET_SET_H_
#define GULLWARD_GATEWAY_TICKET_SET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"

namespace gullward {

struct TicketWish {
  EngineRecord engine;
  std::string ticket;
  uint64_t tokens = 0;

  bool operator==(const TicketWish&) const = default;
};

class TicketSet : public std::enable_shared_from_this<TicketSet> {
 public:
  // How long a ticket lasts without being prolonged.  Memory must not stay set
  // aside for longer than four seconds after its request has ended.
  static constexpr Duration kHold = milliseconds(3400);
  // Two prolongations may be lost.
  static constexpr Duration kProlongEvery = milliseconds(1000);
  // An engine that has asked for a pause is only asked when the ticket would lapse soon: then
  // there is time for one more order where one is lost.
  static constexpr Duration kProlongAtLatest = milliseconds(2400);
  // Between an order for a ticket and the next one, where that had no success.
  static constexpr Duration kOrderPause = milliseconds(500);
  // An engine that does not answer an order in this time is taken to refuse it.
  static constexpr Duration kOrderPatience = milliseconds(250);
  // A release is sent this often before it is left to lapse.
  static constexpr int kReleaseTries = 3;

  // Called once: whether all tickets were given, else the engine that gave none.
  using Acquired = std::function<void(bool all, const std::string& refused_by)>;

  TicketSet(GatewayState* gateway_state, std::vector<TicketWish> ticket_wishes);

  void Acquire(Acquired acquired);
  void Tick(Time now);
  void Release();

  const std::vector<TicketWish>& tickets() const { return this->wishes; }

 private:
  // Calls `done` once with whether the engine carried the order out.
  void Order(const TicketWish& wish, const std::string& text, std::function<void(bool)> done);
  bool IsDue(size_t ticket, Time now) const;
  void Prolong(size_t ticket, Time now);
  bool HasRestarted(const TicketWish& wish) const;
  void ReleaseOne(const TicketWish& wish, int tries_left);
  void Finish(bool all, const std::string& refused_by);

  GatewayState* state;
  std::vector<TicketWish> wishes;
  Acquired on_acquired;
  size_t granted = 0;
  bool released = false;
  // Of each ticket: when it was last given or prolonged, and when it may be asked for next.
  std::vector<Time> prolonged;
  std::vector<Time> next_order;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TICKET_SET_H_

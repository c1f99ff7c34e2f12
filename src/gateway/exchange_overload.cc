// What depends on the load of a service: the terms on which a request may be refused, refusals, and
// the return of refused callers.  A caller is told when there will be room, if it can wait that
// long, and the room is kept for it (overload/return_book.h).  Without `kept_returns` it is told a
// share of the route's objective, and returns like any other.
//
// A request's content is computed on a refusal and while there are promises, since bodies are long.

#include <algorithm>

#include "gateway/exchange.h"
#include "gateway/failure_answer.h"
#include "serving/refusal.h"

namespace gullward {
namespace {

// Callers respect a Retry-After of up to their remaining time divided by this.
constexpr int kRespectedDivisor = 3;

}  // namespace

void Exchange::SetRank(Demand* demand, Time now) {
  RankLosses* losses = this->Losses();
  if (losses == nullptr) return;
  demand->rank_steps = losses->DecidedSteps(this->rank->steps, now);
  demand->last_rank_steps = this->rank->last_steps;
  demand->refusal.engine_time_factor = losses->EngineTimeFactor(demand->rank_steps, now);
  AccountShares* shares = this->Shares();
  if (shares != nullptr) {
    demand->refusal.value_factor *= shares->ValueFactor(this->admission.account, now);
  }
}

// Null if all requests to the service have the same rank.
RankLosses* Exchange::Losses() {
  return this->rank ? &this->state->rank_losses[this->service->name] : nullptr;
}

// Null if all requests to the service have the same rank, or the route needs no account.
AccountShares* Exchange::Shares() {
  bool is_counted = this->rank && !this->admission.account.empty();
  return is_counted ? &this->state->account_shares[this->service->name] : nullptr;
}

WorkKey Exchange::Work() const { return {this->service->name, this->admission.route->name}; }

bool Exchange::LearnsPrice() const {
  return this->service->runs_models && this->state->fleet.mechanisms().learned_price;
}

// The number of engines of the service that the gateways of the cell share.
size_t Exchange::SharedEngines(Time now) {
  return this->state->fleet.plan(now).ForService(this->service->name).engines.size();
}

// Sets the terms that depend on the work of all callers.
void Exchange::SetPrice(Demand* demand, Time now) {
  if (!this->LearnsPrice()) return;
  this->state->room_price.SetTerms(this->Work(), this->SharedEngines(now), now, demand);
}

// Decides on a request's first placement.  Returns whether it was refused.
bool Exchange::RefuseOrNote(const Placement& placement, const Demand& demand, Time now) {
  bool is_refused =
      this->state->fleet.mechanisms().refusal_by_cost && ShouldRefuse(placement, demand);
  if (this->LearnsPrice()) {
    this->state->room_price.Note(this->Work(), demand, placement, is_refused, now);
  }
  if (is_refused) {
    this->RefuseForOverload(placement, demand, now);
  } else {
    this->KeepReturn(now);
  }
  return is_refused;
}

// Finds the promise to this caller, and fills in the terms that depend on promises and on the
// caller's time.
void Exchange::SetRefusalTerms(Demand* demand, Time now) {
  Fleet& fleet = this->state->fleet;
  if (!fleet.mechanisms().kept_returns || !this->service->runs_models) return;
  ReturnBook& book = this->state->returns;
  RefusalTerms& terms = demand->refusal;
  terms.time_left_ms = ToSeconds(this->admission.caller_deadline - now) * 1000;
  if (book.IsEmpty(now)) return;
  this->return_match = book.Match(this->Content(), now);
  terms.is_promised = this->return_match == ReturnMatch::kOnTime;
  if (terms.is_promised) return;
  terms.reserved_seconds_per_engine =
      book.SecondsKept(this->service->name, demand->rank_steps, now) /
      static_cast<double>(std::max<size_t>(this->SharedEngines(now), 1));
}

// Refuses a request that is not worth its cost to others.
void Exchange::RefuseForOverload(const Placement& placement, const Demand& demand, Time now) {
  Fleet& fleet = this->state->fleet;
  if (!fleet.mechanisms().kept_returns) {
    this->LogOverload(placement, demand);
    this->RefuseOverloaded(std::nullopt, now);
    return;
  }
  ReturnBook& book = this->state->returns;
  Duration left = this->admission.caller_deadline - now;
  double ahead = book.PromisedSeconds(this->service->name, demand.rank_steps, now);
  std::optional<Duration> room_in = fleet.ForecastRoom(*this->service, demand, ahead, left, now);
  this->LogOverload(placement, demand, room_in);
  // The time that the caller is told: the whole time that it would wait if there is no room within
  // it, and what is left of the time that it was promised if it is early.
  Duration retry_after = std::max(room_in.value_or(left), UsualRetryAfter(this->admission.route));
  std::optional<Duration> promised_in = book.TimeUntilDue(this->Content(), now);
  if (promised_in) retry_after = *promised_in;
  bool has_returned = this->return_match == ReturnMatch::kOnTime;
  if (has_returned) {
    this->state->counters.returns_refused_again += 1;
    book.Keep(this->Content(), now);
  } else if (room_in || promised_in) {
    this->PromiseReturn(placement, demand, retry_after, now);
  }
  this->RefuseOverloaded(retry_after, now);
}

void Exchange::RefuseOverloaded(std::optional<Duration> retry_after, Time now) {
  if (RankLosses* losses = this->Losses()) {
    losses->NoteRefused(this->rank->steps, now);
    this->state->counters.refusals_by_rank[this->rank->rank] += 1;
  }
  this->Refuse(ResultCode::kOverloaded, retry_after);
}

// Promises the caller room in `due_in`, or confirms the promise that it has, if it would wait that
// long.
void Exchange::PromiseReturn(const Placement& placement, const Demand& demand, Duration due_in,
                             Time now) {
  if (due_in > (this->admission.caller_deadline - now) / kRespectedDivisor) return;
  LogLine line = this->Line("return_early");
  if (this->return_match != ReturnMatch::kEarly) {
    ReturnPromise promise{this->Content(), this->service->name,      demand.rank_steps,
                          due_in,          placement.engine_seconds, /*is_kept=*/false};
    if (!this->state->returns.Promise(promise, now)) return;
    this->state->counters.returns_promised += 1;
    line = this->Line("return_promised");
  }
  this->state->log->Write(line.Text("content", ContentName(this->Content()))
                              .Number("in_ms", ToSeconds(due_in) * 1000)
                              .Number("engine_seconds", placement.engine_seconds));
}

// Uses up the promise of a request that is now run, so that nothing is kept for it any more.
void Exchange::KeepReturn(Time now) {
  if (this->return_match == ReturnMatch::kUnknown) return;
  this->state->returns.Keep(this->Content(), now);
  bool is_on_time = this->return_match == ReturnMatch::kOnTime;
  if (is_on_time) this->state->counters.returns_kept += 1;
  this->state->log->Write(this->Line(is_on_time ? "return_kept" : "return_early")
                              .Text("content", ContentName(this->Content())));
}

}  // namespace gullward

// One request, from the caller's bytes to the end of its answer.
//
// An exchange admits the request (admission.h), has it run by one
// engine after another until one answers or nothing more may be tried, and
// passes the answer on.  What follows an attempt is decided by
// serving/attempt_result.h; where it runs, by serving/fleet.h; when a silent engine
// is left for another, by serving/engine_patience.h.
//
//   auto exchange = std::make_shared<Exchange>(state, id, caller, request);
//   exchange->Start(now);
//   exchange->Tick(now);           // every few milliseconds, until finished()

#ifndef GULLWARD_GATEWAY_EXCHANGE_H_
#define GULLWARD_GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/admission.h"
#include "gateway/answer_times.h"
#include "gateway/caller_channel.h"
#include "gateway/engine_request.h"
#include "gateway/gateway_state.h"
#include "gateway/ticket_set.h"
#include "serving/attempt_result.h"
#include "serving/event_splitter.h"
#include "serving/request_content.h"

namespace gullward {

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayState* gateway_state, uint64_t exchange_id,
           std::shared_ptr<CallerChannel> caller_channel, CallerRequest caller_request);

  void Start(Time now);

  // Looks at the clock: the request's time, and an engine's silence.
  void Tick(Time now);

  // The caller has left: whatever runs for it is cancelled.
  void CallerGone();

  // The caller has read what was written.
  void CallerDrained();

  bool finished() const { return this->is_finished; }

 private:
  // Of the attempt under way.
  struct Attempt {
    EngineRecord engine;
    // Those that help to read the prompt.
    std::vector<EngineRecord> readers;
    // The id of the reader that the answer names as the cause of a refusal.
    std::optional<std::string> reader_at_fault;
    std::shared_ptr<RequestChannel> channel;
    Time sent;
    Time last_progress;
    ResponseHead head;
    AttemptResult verdict = AttemptResult::kUnknown;
    // How its connection ended; nothing while it is in use.
    std::optional<ChannelResult> ended;
    std::string body;
    EventSplitter events;
    bool any_event = false;
    double expected_first_ms = 0;
  };

  Demand DemandOfRequest();
  void StartAttempt(Time now);
  void AcquireTickets(const FleetChoice& choice);
  void OnTickets(const FleetChoice& choice, bool all, const std::string& refused_by);
  void DropTickets();
  void SendAttempt(const FleetChoice& choice, Time now);
  EngineOrders OrdersFor(const FleetChoice& choice, Time now) const;
  void LogAttempt(const FleetChoice& choice, Time now);
  void LogOverload(const Placement& placement, const Demand& demand);
  RequestChannel::Hooks AttemptHooks();
  void BookLoad(const FleetChoice& choice, Time now);
  void OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  void PassEvents(std::string_view bytes);
  void NoteEvent();
  void NoteFirstEvent();
  void LogAnswered();
  void PassBody(std::string_view bytes);
  void OnDone(ChannelResult result);
  AttemptResult ResultOf(ChannelResult result) const;
  std::optional<std::string> ReaderAtFault(const ResponseHead& head) const;
  void BlameReader(Time now);
  void NoteHealth(AttemptResult result, ChannelResult channel_result);
  ContentId Content();
  void NoteBrokenOff();
  void NoteWhole(AttemptResult result);
  std::optional<Duration> ContentRefusedFor(Time now);
  bool MayEndAnother(Time now);
  void FollowEnginesEnded(NextStep step, AttemptResult result);
  void AfterAttempt(AttemptResult result);
  void FollowUnsent(Time now);
  void Follow(NextStep step, AttemptResult result);
  void BeginAnswer(std::optional<uint64_t> length);
  AnswerHead TakeAnswerHead();
  void DeliverWhole();
  void RefuseUnsent();
  void Refuse(ResultCode code, std::optional<Duration> come_back = std::nullopt);
  void LogFailure(ResultCode code);
  void GiveUp();
  void CancelAttempt();
  void Finish();
  double ExpectedSilenceMs() const;
  Duration Patience() const;
  bool IsTooSilent(Time now) const;
  bool MayTryAnother(Time now) const;
  void LeaveSilentEngine(Time now);
  bool IsInVain(Time now) const;
  void Withdraw(Time now);
  RequestState StateForDecision(Time now) const;
  LogLine Line(std::string_view event) const;

  GatewayState* state;
  uint64_t id;
  std::shared_ptr<CallerChannel> caller;
  CallerRequest request;
  RequestFacts facts;
  std::shared_ptr<const ConfigIndex> config;
  Admission admission;
  const Service* service = nullptr;

  std::optional<Attempt> attempt;
  // Memory on the readers of the attempt, where it is spread.
  std::shared_ptr<TicketSet> tickets;
  int ticket_rounds = 0;
  std::set<std::string> tried;
  int attempts = 0;
  int attempts_run = 0;
  bool may_have_run = false;
  std::optional<std::string> last_event_id;
  // Worked out when it is first asked for; most requests never need it.
  std::optional<ContentId> content;
  // Whether the last attempt broke off.
  bool broke_off = false;
  AnswerTimes times;
  bool answer_begun = false;
  bool is_finished = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_EXCHANGE_H_

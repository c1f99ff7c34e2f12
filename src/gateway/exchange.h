// One request, from its arrival at the gateway to the end of its answer.
//
// An exchange checks the request (admission.h) and sends it to one engine after another
// until an engine answers or no further attempt is allowed.  It forwards the answer to
// the caller while the engine sends it.  serving/fleet.h chooses the engine of each
// attempt, serving/attempt_result.h decides what follows an attempt, and
// serving/silence_timeout.h gives the time after which a silent engine is abandoned.
//
//   auto exchange = std::make_shared<Exchange>(state, id, caller, request);
//   exchange->Start(now);
//   exchange->Tick(now);           // every few milliseconds, until finished()
//
// An attempt that gets bytes that are no answer and do not end is abandoned, and the request goes
// to another engine if it may run again.  What is held for a request is bounded (gateway_state.h).
//
// Every request ends in one of four ways: a whole answer from an engine, a failure answer
// from the gateway (failure_answer.h), an answer that is broken off by a connection reset,
// or a caller that disconnects.

#ifndef GULLWARD_GATEWAY_EXCHANGE_H_
#define GULLWARD_GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/admission.h"
#include "gateway/answer_times.h"
#include "gateway/caller_channel.h"
#include "gateway/engine_request.h"
#include "gateway/gateway_state.h"
#include "gateway/ticket_set.h"
#include "serving/attempt_result.h"
#include "serving/event_splitter.h"
#include "serving/suspect.h"

namespace gullward {

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // `exchange_id` must be unique within the process.  It names the request in the load
  // figures and is a part of the names of its tickets.
  Exchange(GatewayState* gateway_state, uint64_t exchange_id,
           std::shared_ptr<CallerChannel> caller_channel, CallerRequest caller_request);

  // Admits the request and sends the first attempt, or refuses the request.
  void Start(Time now);

  // Ends the request at its deadline, renews its tickets, and abandons an engine that has
  // been silent for too long.
  void Tick(Time now);

  // Ends the request because the process stops.  It is refused if no engine has it.
  void EndForStop();

  // Cancels the attempt under way.  To be called when the caller has disconnected.
  void CallerGone();

  // Resumes reading from the engine.  To be called when the kernel has taken all bytes that were
  // written to the caller.
  void CallerDrained();

  bool finished() const { return this->is_finished; }

 private:
  // The attempt under way.
  struct Attempt {
    // The engine, the engines that read parts of the prompt for it, and what was expected of them.
    FleetChoice choice;
    // Incarnation of the reader that the engine's answer names as the cause of a refusal.
    std::optional<std::string> reader_at_fault;
    std::shared_ptr<RequestChannel> channel;
    Time sent;
    // When the engine last sent anything; the time of sending until then.
    Time last_progress;
    ResponseHead head;
    // The result that the answer's head implies.  ResultOf adds how the connection ended.
    AttemptResult head_result = AttemptResult::kUnknown;
    // When the head came; empty before.
    std::optional<Time> head_at;
    // How the connection ended; empty while it is in use.
    std::optional<ChannelResult> ended;
    // The part of the answer that is held back until the answer is whole.  Either `body` or the
    // unfinished event of `events` is in use; `held` counts its bytes.
    std::string body;
    EventSplitter events;
    ByteReservation held;
    // Bytes of a body that is read only to use the connection again.
    size_t dropped_bytes = 0;
    bool any_event = false;
    // The last events, by which the engine's pace is judged.
    GapSpan gaps;
  };

  Demand MakeDemand(Time now);
  void SetRank(Demand* demand, Time now);
  RankLosses* Losses();
  AccountShares* Shares();
  WorkKey Work() const;
  bool LearnsPrice() const;
  size_t SharedEngines(Time now);
  void SetPrice(Demand* demand, Time now);
  bool RefuseOrNote(const Placement& placement, const Demand& demand, Time now);
  void StartAttempt(Time now);
  void AcquireTickets(const FleetChoice& choice);
  void OnTickets(const FleetChoice& choice, bool all, const std::string& refused_by);
  void ReleaseTickets();
  void SetRefusalTerms(Demand* demand, Time now);
  void RefuseForOverload(const Placement& placement, const Demand& demand, Time now);
  void RefuseOverloaded(std::optional<Duration> retry_after, Time now);
  void PromiseReturn(const Placement& placement, const Demand& demand, Duration due_in, Time now);
  void KeepReturn(Time now);
  void SendAttempt(const FleetChoice& choice, Time now);
  AttemptHeaders HeadersFor(const FleetChoice& choice, Time now) const;
  void LogAttempt(const FleetChoice& choice, Time now);
  void LogOverload(const Placement& placement, const Demand& demand,
                   std::optional<Duration> room_in = std::nullopt);
  RequestChannel::Hooks AttemptHooks();
  void RecordLoad(const FleetChoice& choice, Time now);
  void OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  void ForwardEvents(std::string_view bytes);
  void PassOnEvents(const WholeEvents& whole);
  void NoteEvent(int events);
  void NoteFirstEvent();
  void LogAnswered();
  bool IsDeliverableFailure() const;
  void HoldFailure(std::string_view bytes);
  bool BoundsAnswers() const;
  bool IsFailureOverdue(Time now) const;
  void AbandonAnswer(std::string_view reason);
  void ForwardBody(std::string_view bytes);
  void OnDone(ChannelResult result);
  void ConcludeAttempt(ChannelResult result);
  bool MustConfirmEnd() const;
  void ConfirmEnd();
  bool IsIncompleteStream() const;
  AttemptResult ResultOf(ChannelResult result) const;
  std::optional<std::string> ReaderAtFault(const ResponseHead& head) const;
  void NoteReaderFailure(Time now);
  void NoteHealth(AttemptResult result, ChannelResult channel_result);
  ContentId Content();
  std::vector<Suspect> Suspects();
  void NoteBrokenOff();
  void NoteWholeAnswer(AttemptResult result);
  std::optional<Duration> RefusedFor(Time now);
  void StartUnlessSuspect(Time now);
  bool AwaitDecision(Duration wait, Time now);
  bool MayCrashAnotherEngine(Time now);
  void ApplyStepAfterCrash(NextStep step, AttemptResult result);
  void AfterAttempt(AttemptResult result);
  void ApplyStepUnsent(Time now);
  void ApplyStep(NextStep step, AttemptResult result);
  void BeginAnswer(std::optional<uint64_t> length);
  AnswerHead TakeAnswerHead();
  void DeliverWhole();
  void RefuseUnsent();
  void Refuse(ResultCode code, std::optional<Duration> retry_after = std::nullopt);
  void LogFailure(ResultCode code);
  bool MustRefuseForStop() const;
  void RefuseForStop();
  void GiveUp(ResultCode code, std::optional<Duration> retry_after = std::nullopt);
  void CancelAttempt();
  void Finish();
  double ExpectedSilenceMs() const;
  Duration AttemptSilenceTimeout() const;
  bool IsTooSilent(Time now) const;
  bool MayTryAnotherEngine(Time now) const;
  void LeaveSilentEngine(Time now);
  bool ShouldWithdraw(Time now) const;
  void Withdraw(Time now);
  RequestState StateForDecision(Time now) const;
  LogLine Line(std::string_view event) const;

  GatewayState* state;
  uint64_t id;
  std::shared_ptr<CallerChannel> caller;
  // The request without its body.
  CallerRequest request;
  // Shared with the connection to the engine until the body has been sent.
  SharedBytes body;
  RequestFacts facts;
  // The configuration at the request's arrival; it applies until the request ends.
  std::shared_ptr<const ConfigIndex> config;
  Admission admission;
  const Service* service = nullptr;
  // Empty if all requests to the service have the same rank.
  std::optional<RequestRank> rank;

  std::optional<Attempt> attempt;
  // Memory reserved on the readers of the attempt; null unless the prompt's memory is
  // spread over several engines.
  std::shared_ptr<TicketSet> tickets;
  // Sets of engines that have been asked for tickets.
  int ticket_rounds = 0;
  // Incarnations of the engines that this request has tried.
  std::set<std::string> tried;
  // Number of attempts sent, and number of these that an engine may have run.
  int attempts = 0;
  int attempts_run = 0;
  bool may_have_run = false;
  // Id of the last event forwarded; the next attempt resumes the stream after this event.
  std::optional<std::string> last_event_id;
  // Computed by Content() on first use, since most requests never need it.
  std::optional<ContentId> content;
  // How the request relates to a promise to its caller; set before the first attempt.
  ReturnMatch return_match = ReturnMatch::kUnknown;
  // Until when the request waits for the decision whether it crashes engines; empty if it does not
  // wait.
  std::optional<Time> decision_awaited_until;
  // Whether the connection of the last attempt broke before its answer was complete.
  bool broke_off = false;
  AnswerTimes times;
  // The bytes that the caller has not read yet.
  ByteReservation unread;
  // Whether the caller has been sent a part of the answer.
  bool answer_begun = false;
  bool is_finished = false;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_EXCHANGE_H_

// Sends calls to the platform's store, one at a time.
//
//   StoreClient client(&loop, address, &returns);
//   client.Call(call, seconds(1), [](const StoreAnswer& answer) { ... });
//
// Every call gets exactly one answer: the store's answer, or a failure after a timeout or a lost
// connection.  Anything received for the call after that is ignored.  The size of an answer and the
// time in which it arrives are bounded, so that a server that sends without end holds up one call
// only for a while, and takes little memory.  An answer from before the
// store's return from an older copy counts as a failure (store_returns.h).

#ifndef GULLWARD_GATEWAY_STORE_CLIENT_H_
#define GULLWARD_GATEWAY_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/byte_budget.h"
#include "gateway/store_returns.h"
#include "http/request_channel.h"
#include "platform/store_calls.h"
#include "transport/event_loop.h"

namespace gullward {

struct StoreAnswer {
  // HTTP status, or 0 if there was no usable answer.  `reason` then states why.
  int status = 0;
  std::string body;
  std::string reason;
  // The store's epoch that the answer states.
  std::optional<uint64_t> epoch;

  // Whether the store executed the call.
  bool ok() const { return this->status == 200; }

  bool operator==(const StoreAnswer&) const = default;
};

class StoreClient {
 public:
  // The store answers in milliseconds, or in a few hundred when it is slow.  After this time a
  // call counts as lost and may be retried.  A requested wait at the store is added to it.
  static constexpr Duration kAnswerTimeout = milliseconds(1000);
  // A call whose answer is still arriving does not time out, since a large configuration takes
  // longer than kAnswerTimeout on a thin link.  Bytes then arrive at least this often.
  static constexpr Duration kProgressTimeout = milliseconds(400);
  // The longest time from the head of an answer to its end.
  static constexpr Duration kMaxTransferTime = seconds(5);
  // The largest body of an answer: twice the largest planned configuration, in base64.
  static constexpr size_t kMaxAnswerBytes = 12 << 20;
  // What all clients of the process hold of their answers together.
  static constexpr size_t kMaxBytesInAll = 2 * kMaxAnswerBytes;

  using Done = std::function<void(const StoreAnswer&)>;

  // `store_returns` may be null; the epochs of answers are then ignored.
  // All clients of a process are used on one thread, since they share a bound on memory.
  StoreClient(EventLoop* event_loop, SocketAddress store_address, StoreReturns* store_returns);

  // Sends a call.  No other call may be in progress.
  void Call(const platform::StoreRequest& call, Duration timeout, Done done);

  // The time since bytes last arrived for the call in progress, or zero without a call.
  Duration TimeSinceProgress(Time now) const;

  // The time since the call in progress was sent, or zero without a call.
  Duration TimeSinceSent(Time now) const;

  // Cancels the call in progress: `done` is not called, and the next call uses a new connection.
  void Cancel();

  // Sends later calls to another server.  No call may be in progress.
  void SetAddress(SocketAddress next);

  // Whether a call is in progress.
  bool is_busy() const { return this->pending != nullptr; }

  // Whether the call in progress waits for its connection, so that the server knows nothing of it.
  bool is_connecting() const { return this->is_busy() && this->channel->is_connecting(); }

  uint64_t calls() const { return this->call_count; }

 private:
  void OnHead(const ResponseHead& head);
  void OnBody(uint64_t number, std::string_view bytes);
  void ScheduleTimeout(uint64_t number, Duration after);
  bool IsPending(uint64_t number) const { return number == this->call_count && this->pending; }
  bool IsUsable(const StoreAnswer& answer);
  void OnWholeAnswer(uint64_t number);
  void FinishUnanswered(uint64_t number, const char* reason);
  void Finish(uint64_t number, const StoreAnswer& answer);

  EventLoop* loop;
  SocketAddress address;
  StoreReturns* returns;
  std::shared_ptr<RequestChannel> channel;
  uint64_t call_count = 0;
  StoreAnswer incoming;
  // The bytes of its body.
  ByteReservation held;
  Time sent_at{};
  Time head_at{};
  // When the call was sent, or when bytes last arrived for it.
  Time last_progress{};
  Done pending;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_CLIENT_H_

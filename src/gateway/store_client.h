// One call after another to the platform's store.
//
//   StoreClient client(&loop, address);
//   client.Call(call, seconds(1), [](const StoreAnswer& answer) { ... });
//
// Every call gets exactly one answer, from the store or from the clock; what
// comes for a call after that is not heard any more.  An answer of before the store's
// return from an older copy counts as none (store_returns.h).

#ifndef GULLWARD_GATEWAY_STORE_CLIENT_H_
#define GULLWARD_GATEWAY_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/store_returns.h"
#include "http/request_channel.h"
#include "platform/store_calls.h"
#include "transport/event_loop.h"

namespace gullward {

struct StoreAnswer {
  // HTTP status; 0 where none came, and `reason` then says why.
  int status = 0;
  std::string body;
  std::string reason;
  // The store's epoch as the answer tells it.
  std::optional<uint64_t> epoch;

  // Whether the store did what was asked.
  bool ok() const { return this->status == 200; }

  bool operator==(const StoreAnswer&) const = default;
};

class StoreClient {
 public:
  // The store answers in milliseconds, a slow one in a few hundred; after this long a
  // call counts as lost and another try is due.  Waiting on purpose comes on top.
  static constexpr Duration kAnswerTimeout = milliseconds(1000);
  // A call whose answer is still coming in is not overdue: a large configuration takes
  // longer than that on a thin link.  Bytes come at least so often there.
  static constexpr Duration kProgressTimeout = milliseconds(400);

  using Done = std::function<void(const StoreAnswer&)>;

  // `store_returns` may be null: then epochs are not heeded.
  StoreClient(EventLoop* event_loop, SocketAddress store_address, StoreReturns* store_returns)
      : loop(event_loop), address(std::move(store_address)), returns(store_returns) {}

  // Only one call at a time.
  void Call(const platform::StoreRequest& call, Duration patience, Done done);

  // For how long nothing has come for the call under way; none where there is no call.
  Duration TimeSinceProgress(Time now) const;

  // Drops the call under way: it gets no answer, and the next one a new connection.
  void Cancel();

  // The next calls go to another server.  Only where no call is under way.
  void SetAddress(SocketAddress next);

  // Whether a call is under way.
  bool is_busy() const { return this->pending != nullptr; }

  uint64_t calls() const { return this->call_count; }

 private:
  void ScheduleTimeout(uint64_t number, Duration after);
  bool IsUsable(const StoreAnswer& answer);
  void Finish(uint64_t number, const StoreAnswer& answer);

  EventLoop* loop;
  SocketAddress address;
  StoreReturns* returns;
  std::shared_ptr<RequestChannel> channel;
  uint64_t call_count = 0;
  StoreAnswer incoming;
  Time sent_at{};
  // When the call was sent, then when bytes last came for it.
  Time last_progress{};
  Done pending;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_STORE_CLIENT_H_

// A stand-in for an endpoint of the platform: a model engine that streams events, or a plain
// service, with the faults that the platform's documents describe.
//
//   EngineStandin engine(&loop, {.id = "i-1"});
//   engine.FailNext(EngineFault::kTornEvent);
//
// A request whose path begins with /app/ gets a plain answer.  Any other request gets a stream of
// `events` events with ids from 1, which starts after the id in the Last-Event-Id header.

#ifndef GULLWARD_STANDINS_ENGINE_STANDIN_H_
#define GULLWARD_STANDINS_ENGINE_STANDIN_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/caller_channel.h"
#include "serving/engine_notice.h"
#include "transport/tcp_listener.h"

namespace gullward {

enum class EngineFault {
  kNone,
  // 503 with the header that states that the request has not run.
  kNotRun,
  // 503 without that header.
  kBusyMayHaveRun,
  // 421: the address belongs to another engine.
  kWrongEngine,
  // 500 with a seal: the request ran and failed.
  kFailed,
  // Runs the request, then resets the connection without an answer.
  kResetUnanswered,
  // Runs the request and never answers.
  kSilent,
  // Resets the connection within the second event, or within a plain body.
  kTornEvent,
  // A successful answer without a seal.
  kUnsealed,
  // A successful answer with a Content-Encoding.
  kEncoded,
  // An answer with the id of another request, then the right answer.
  kForeignFirst,
  // The right answer, then a second one.
  kExtraAfter,
  // An answer without a length, which ends when the connection closes.
  kUnframed,
  // The same, but the connection closes within the second event, or within a plain body it is
  // reset.
  kUnframedTorn,
  // The same, but the connection closes after the head.
  kUnframedEmpty,
  // The body ends before its stated length.
  kShortBody,
};

// All faults except kNone, for tests with tables.
const std::vector<EngineFault>& AllEngineFaults();

class EngineStandin {
 public:
  struct Options {
    std::string id;
    // Number of events in a complete stream, and the time between two events.
    int events = 4;
    Duration event_interval = milliseconds(2);
    // Time from a request to the beginning of its answer.
    Duration work_duration = milliseconds(2);
    uint64_t memory_tokens = 450'000;
    // Whether the engine crashes on a request, after `work_duration`.  Optional.
    std::function<bool(const CallerRequest&)> crashes_engine = {};
    // Whether a crash closes the connections in order, after a part of an event, instead of
    // resetting them.  The kernel does so where a process ends that has read everything.
    bool crash_closes = false;
    // The number of whole events before that part.  Without `crash_part` the connection closes
    // after them.
    int events_before_crash = 0;
    bool crash_part = true;
    // The fault of the next request, if FailNext gives none.  Optional.
    std::function<EngineFault()> next_fault = {};
    // Called after a crash.  Optional.
    std::function<void()> on_crash = {};
  };

  EngineStandin(EventLoop* event_loop, Options engine_options);

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }
  const std::string& id() const { return this->options.id; }

  // Behaves like a process that crashes: ends every connection and closes the listening socket.
  void Crash();
  bool is_up() const { return this->is_listening; }
  // Starts a new engine without the earlier state, with this id and at another address.
  void Restart(const std::string& new_id);

  // Injects a fault into one of the next requests.  Faults are used in the order of the calls.
  void FailNext(EngineFault fault) { this->faults.push_back(fault); }
  // Injects a fault into all requests that have none from FailNext.
  void FailAll(EngineFault fault) { this->default_fault = fault; }

  // From now on refuses every request that names this engine as a reader, and reports the reader
  // as the cause of the refusal.
  void RefuseReader(const SocketAddress& reader) { this->refused_reader = reader; }

  // Sets the notice that every answer carries from now on.  If the notice asks for a rest, every
  // request is refused as not run.
  void SetNotice(const EngineNotice& new_notice) { this->notice = new_notice; }

  // A request that the engine received, when, and whether the engine ran it.
  struct ReceivedRequest {
    CallerRequest request;
    Time at{};
    bool ran = false;
    bool cancelled = false;
  };
  const std::vector<ReceivedRequest>& received() const { return this->requests; }

  // When the engine received orders to reserve or release memory.
  const std::vector<Time>& orders() const { return this->order_times; }

  // Tokens of memory that are reserved, by ticket.
  const std::map<std::string, uint64_t>& tickets() const { return this->reserved; }
  // Drops all reservations, as a restart of the engine does.
  void DropTickets() { this->reserved.clear(); }

 private:
  struct Connection {
    std::shared_ptr<CallerChannel> channel;
    // Index in `requests` of the request in progress on this connection.
    std::optional<size_t> request;
  };

  void Listen();
  void EndInsideEvent(CallerChannel* channel, const CallerRequest& request);
  void OnRequest(const std::shared_ptr<Connection>& connection, const CallerRequest& request);
  void OnOrder(CallerChannel* channel, const CallerRequest& request);
  void Run(const std::shared_ptr<Connection>& connection, const CallerRequest& request,
           EngineFault fault);
  void Stream(const std::shared_ptr<Connection>& connection, int next, EngineFault fault);
  void AnswerPlain(const std::shared_ptr<Connection>& connection, const CallerRequest& request,
                   EngineFault fault);
  AnswerHead PlainHead(int status) const;
  AnswerHead SealedHead(const CallerRequest& request, int status) const;
  EngineFault NextFault();
  bool NamesRefusedReader(const CallerRequest& request) const;

  EventLoop* loop;
  Options options;
  TcpListener listener;
  bool is_listening = false;
  std::vector<std::shared_ptr<Connection>> connections;
  std::deque<EngineFault> faults;
  EngineFault default_fault = EngineFault::kNone;
  std::optional<SocketAddress> refused_reader;
  EngineNotice notice;
  std::vector<ReceivedRequest> requests;
  std::vector<Time> order_times;
  std::map<std::string, uint64_t> reserved;
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_ENGINE_STANDIN_H_

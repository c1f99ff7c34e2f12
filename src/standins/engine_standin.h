// A small stand-in for an endpoint of the platform: a model engine that streams
// events, or a plain service, with the faults that the platform's pages name.
//
//   EngineStandin engine(&loop, {.id = "i-1"});
//   engine.FailNext(EngineFault::kTornEvent);
//
// A path that begins with /app/ is a plain call; every other one is a stream of
// `events` events with rising ids, which goes on after Last-Event-Id.

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
  // 503 with the word that it has not run.
  kNotRun,
  // 503 without that word.
  kBusyUnsure,
  // 421: another engine has the address.
  kWrongEngine,
  // 500, sealed: it ran and failed.
  kFailed,
  kResetUnanswered,
  kSilent,
  // Ends the connection within the second event.
  kTornEvent,
  // A success without a seal.
  kUnsealed,
  // A success whose body is encoded.
  kEncoded,
  // An answer to some other request first, then the right one.
  kForeignFirst,
  // A second answer after the right one.
  kExtraAfter,
  // No length: the connection's end ends the answer.
  kUnframed,
  // The body ends before its length.
  kShortBody,
};

// Every fault but kNone, for tables.
const std::vector<EngineFault>& AllEngineFaults();

class EngineStandin {
 public:
  struct Options {
    std::string id;
    // Events of a whole stream, and the time between two.
    int events = 4;
    Duration event_interval = milliseconds(2);
    // From a request to the beginning of its answer.
    Duration work_duration = milliseconds(2);
    uint64_t memory_tokens = 450'000;
    // Whether the engine ends when it has worked on a request for `work`.
    std::function<bool(const CallerRequest&)> crashes_engine = {};
    // The engine has ended.
    std::function<void()> on_crash = {};
  };

  EngineStandin(EventLoop* event_loop, Options engine_options);

  SocketAddress address() const { return {"127.0.0.1", this->listener.port()}; }
  const std::string& id() const { return this->options.id; }

  // Ends at once, as a process that crashes: every connection is reset, and nobody listens
  // any more.
  void Crash();
  bool is_up() const { return this->listens; }
  // Starts again as another engine, which knows nothing of before, at another address.
  void Restart(const std::string& new_id);

  // What happens to the next request, and so on, first in first out.
  void FailNext(EngineFault fault) { this->faults.push_back(fault); }
  // What happens to all others.
  void FailAll(EngineFault fault) { this->every = fault; }

  // Turns away, from now on, every request that names this engine as a helper, and
  // says that it is at fault.
  void RefuseReader(const SocketAddress& helper) { this->refused_helper = helper; }

  // What it says of itself in every answer from now on; a rest is asked for by turning each
  // request away.
  void SetNotice(const EngineNotice& said) { this->notice = said; }

  // A request as it reached the engine, when, and whether it was run.
  struct ReceivedRequest {
    CallerRequest request;
    Time at{};
    bool ran = false;
    bool cancelled = false;
  };
  const std::vector<ReceivedRequest>& received() const { return this->requests; }

  // When orders for memory came.
  const std::vector<Time>& orders() const { return this->order_times; }

  // Memory that is set aside, by ticket.
  const std::map<std::string, uint64_t>& tickets() const { return this->reserved; }
  // As an engine that has started again.
  void DropTickets() { this->reserved.clear(); }

 private:
  struct Connection {
    std::shared_ptr<CallerChannel> channel;
    // The request under way on it.
    std::optional<size_t> request;
  };

  void Listen();
  void OnRequest(const std::shared_ptr<Connection>& connection, const CallerRequest& request);
  void OnOrder(CallerChannel* channel, const CallerRequest& request);
  void Run(const std::shared_ptr<Connection>& connection, const CallerRequest& request,
           EngineFault fault);
  void Stream(const std::shared_ptr<Connection>& connection, int next, EngineFault fault);
  void AnswerPlain(const std::shared_ptr<Connection>& connection, const CallerRequest& request,
                   EngineFault fault);
  AnswerHead Plain(int status) const;
  AnswerHead SealedHead(const CallerRequest& request, int status) const;
  EngineFault TakeFault();
  bool NamesRefusedHelper(const CallerRequest& request) const;

  EventLoop* loop;
  Options options;
  TcpListener listener;
  bool listens = false;
  std::vector<std::shared_ptr<Connection>> connections;
  std::deque<EngineFault> faults;
  EngineFault every = EngineFault::kNone;
  std::optional<SocketAddress> refused_helper;
  EngineNotice notice;
  std::vector<ReceivedRequest> requests;
  std::vector<Time> order_times;
  std::map<std::string, uint64_t> reserved;
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_ENGINE_STANDIN_H_

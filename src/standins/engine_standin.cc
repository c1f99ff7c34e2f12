// Each fault changes one part of an answer; everything else is sent as by an engine without
// faults.

#include "standins/engine_standin.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/headers.h"

namespace gullward {
namespace {

constexpr char kBody[] = "the whole answer";
// Bodies of refusals, as HTTP servers send them.
constexpr char kUnavailableBody[] = "Service Unavailable\n";
constexpr char kReaderGoneBody[] = "a helping engine is gone\n";
constexpr char kMisdirectedBody[] =
    "<html><body><h1>421 Misdirected Request</h1></body></html>\r\n";

std::string Event(int id) { return absl::StrCat("id: ", id, "\ndata: event-", id, "\n\n"); }

// Applies a fault to the head of a sealed answer, or sends a foreign answer ahead of it.
void PlayHeadFault(EngineFault fault, CallerChannel* channel, AnswerHead* head) {
  if (fault == EngineFault::kEncoded) head->headers.emplace_back("Content-Encoding", "gzip");
  if (fault == EngineFault::kForeignFirst) {
    AnswerHead foreign = *head;
    foreign.headers.front().second = "another-request";
    channel->WriteUnsolicitedAnswer(foreign, "not yours");
  }
}

}  // namespace

const std::vector<EngineFault>& AllEngineFaults() {
  static const auto* const all = new std::vector<EngineFault>{
      EngineFault::kNotRun,       EngineFault::kBusyMayHaveRun,  EngineFault::kWrongEngine,
      EngineFault::kFailed,       EngineFault::kResetUnanswered, EngineFault::kSilent,
      EngineFault::kTornEvent,    EngineFault::kUnsealed,        EngineFault::kEncoded,
      EngineFault::kForeignFirst, EngineFault::kExtraAfter,      EngineFault::kUnframed,
      EngineFault::kUnframedTorn, EngineFault::kUnframedEmpty,   EngineFault::kShortBody};
  return *all;
}

EngineStandin::EngineStandin(EventLoop* event_loop, Options engine_options)
    : loop(event_loop), options(std::move(engine_options)) {
  this->Listen();
}

void EngineStandin::Listen() {
  absl::Status status = this->listener.Listen(this->loop, {"127.0.0.1", 0}, [this](int fd) {
    auto connection = std::make_shared<Connection>();
    connection->channel = CallerChannel::Adopt(this->loop, fd, CallerLimits{});
    std::weak_ptr<Connection> weak = connection;
    connection->channel->SetHooks({.request =
                                       [this, weak](const CallerRequest& request) {
                                         if (auto self = weak.lock()) {
                                           this->OnRequest(self, request);
                                         }
                                       },
                                   .malformed = [](ResultCode) {},
                                   .gone =
                                       [this, weak] {
                                         auto self = weak.lock();
                                         if (self && self->request) {
                                           this->requests[*self->request].cancelled = true;
                                         }
                                       },
                                   .drained = {}});
    this->connections.push_back(connection);
  });
  CHECK(status.ok()) << status.message();
  this->is_listening = true;
}

void EngineStandin::Crash() {
  this->is_listening = false;
  this->listener.Close();
  for (const auto& connection : this->connections) {
    bool closes = this->options.crash_closes && connection->request;
    if (closes) {
      this->EndInsideEvent(connection->channel.get(), this->requests[*connection->request].request);
    } else {
      connection->channel->BreakOff();
    }
  }
  this->connections.clear();
  this->reserved.clear();
  if (this->options.on_crash) this->options.on_crash();
}

// Begins an answer without a length if none has begun, and closes the connection within an event.
void EngineStandin::EndInsideEvent(CallerChannel* channel, const CallerRequest& request) {
  channel->BeginAnswer(this->SealedHead(request, 200), std::nullopt, /*unframed=*/true);
  int next = 1;
  while (next <= this->options.events_before_crash) channel->WritePart(Event(next++));
  if (this->options.crash_part) channel->WritePart(absl::StrCat("id: ", next, "\nda"));
  channel->EndAnswer();
}

void EngineStandin::Restart(const std::string& new_id) {
  this->options.id = new_id;
  this->Listen();
}

EngineFault EngineStandin::NextFault() {
  if (this->faults.empty()) {
    return this->options.next_fault ? this->options.next_fault() : this->default_fault;
  }
  EngineFault next = this->faults.front();
  this->faults.pop_front();
  return next;
}

AnswerHead EngineStandin::PlainHead(int status) const {
  AnswerHead head;
  head.status = status;
  head.reason = "Status";
  if (this->notice.limit_per_s) {
    head.headers.emplace_back(platform::kLimit, absl::StrCat(*this->notice.limit_per_s));
  }
  if (this->notice.leaving) head.headers.emplace_back(platform::kLeaving, "1");
  return head;
}

AnswerHead EngineStandin::SealedHead(const CallerRequest& request, int status) const {
  AnswerHead head = this->PlainHead(status);
  std::optional<std::string_view> id = FindHeader(request.head.headers, platform::kAttemptId);
  if (id) head.headers.emplace_back(platform::kAttemptId, *id);
  head.headers.emplace_back(platform::kSeal, absl::StrCat("seal-of-", this->options.id));
  return head;
}

void EngineStandin::OnRequest(const std::shared_ptr<Connection>& connection,
                              const CallerRequest& request) {
  CallerChannel* channel = connection->channel.get();
  std::optional<std::string_view> expected =
      FindHeader(request.head.headers, platform::kExpectedEngine);
  if (expected && *expected != this->options.id) {
    return channel->Answer(this->PlainHead(421), kMisdirectedBody);
  }
  if (request.head.target == "/v1/order") return this->OnOrder(channel, request);

  this->requests.push_back({request, Now(), false, false});
  connection->request = this->requests.size() - 1;
  AnswerHead head = this->PlainHead(503);
  if (this->notice.rest) {
    head.headers.emplace_back(platform::kNotRun, "1");
    head.headers.emplace_back(platform::kRetryAfter, absl::StrCat(ToSeconds(*this->notice.rest)));
    return channel->Answer(head, kUnavailableBody);
  }
  if (this->NamesRefusedReader(request)) {
    head.headers.emplace_back(platform::kNotRun, "1");
    head.headers.emplace_back(platform::kRefusalCause, this->refused_reader->ToString());
    return channel->Answer(head, kReaderGoneBody);
  }
  EngineFault fault = this->NextFault();
  switch (fault) {
    case EngineFault::kNotRun:
      head.headers.emplace_back(platform::kNotRun, "1");
      return channel->Answer(head, kUnavailableBody);
    case EngineFault::kWrongEngine:
      return channel->Answer(this->PlainHead(421), kMisdirectedBody);
    case EngineFault::kSilent:
      this->requests.back().ran = true;
      return;
    default:
      break;
  }
  this->requests.back().ran = true;
  this->loop->RunAfter(this->options.work_duration, [this, connection, request, fault] {
    if (connection->channel->is_closed()) return;
    bool crashes = this->options.crashes_engine && this->options.crashes_engine(request);
    crashes ? this->Crash() : this->Run(connection, request, fault);
  });
}

bool EngineStandin::NamesRefusedReader(const CallerRequest& request) const {
  if (!this->refused_reader) return false;
  std::string_view readers = FindHeader(request.head.headers, platform::kReaders).value_or("");
  return readers.find(this->refused_reader->ToString()) != std::string_view::npos;
}

void EngineStandin::OnOrder(CallerChannel* channel, const CallerRequest& request) {
  this->order_times.push_back(Now());
  nlohmann::json order = nlohmann::json::parse(request.body, nullptr, false);
  std::string ticket = order.value("id", "");
  if (order.value("op", "") == "release") {
    this->reserved.erase(ticket);
    return channel->Answer(this->PlainHead(200), "{}");
  }
  uint64_t others = 0;
  for (const auto& [id, tokens] : this->reserved) others += id == ticket ? 0 : tokens;
  uint64_t wanted = order.value("tokens", uint64_t{0});
  bool fits = others + wanted <= this->options.memory_tokens;
  if (fits) this->reserved[ticket] = wanted;
  channel->Answer(this->PlainHead(fits ? 200 : 409), "{}");
}

void EngineStandin::Run(const std::shared_ptr<Connection>& connection, const CallerRequest& request,
                        EngineFault fault) {
  CallerChannel* channel = connection->channel.get();
  switch (fault) {
    case EngineFault::kBusyMayHaveRun:
      return channel->Answer(this->PlainHead(503), kUnavailableBody);
    case EngineFault::kFailed:
      return channel->Answer(this->SealedHead(request, 500), "it failed");
    case EngineFault::kResetUnanswered:
      return channel->BreakOff();
    case EngineFault::kUnsealed:
      return channel->Answer(this->PlainHead(200), kBody);
    default:
      break;
  }
  if (absl::StartsWith(request.head.target, "/app/")) {
    this->AnswerPlain(connection, request, fault);
    return;
  }
  AnswerHead head = this->SealedHead(request, 200);
  PlayHeadFault(fault, channel, &head);
  bool unframed = fault == EngineFault::kUnframed || fault == EngineFault::kUnframedTorn ||
                  fault == EngineFault::kUnframedEmpty;
  channel->BeginAnswer(head, std::nullopt, unframed);
  if (fault == EngineFault::kUnframedEmpty) return channel->EndAnswer();
  std::optional<std::string_view> after = FindHeader(request.head.headers, platform::kLastEventId);
  int done = static_cast<int>(after ? ParseCount(*after).value_or(0) : 0);
  this->Stream(connection, done + 1, fault);
}

void EngineStandin::Stream(const std::shared_ptr<Connection>& connection, int next,
                           EngineFault fault) {
  CallerChannel* channel = connection->channel.get();
  if (channel->is_closed()) return;
  bool cut = next == 2 && (fault == EngineFault::kTornEvent || fault == EngineFault::kShortBody);
  if (cut) {
    channel->WritePart("id: 2\nda");
    channel->BreakOff();
    return;
  }
  if (next == 2 && fault == EngineFault::kUnframedTorn) {
    channel->WritePart("id: 2\nda");
    channel->EndAnswer();
    return;
  }
  if (next > this->options.events) {
    connection->request.reset();
    channel->EndAnswer();
    if (fault == EngineFault::kExtraAfter)
      channel->WriteUnsolicitedAnswer(this->PlainHead(200), "once more");
    return;
  }
  channel->WritePart(Event(next));
  this->loop->RunAfter(this->options.event_interval, [this, connection, next, fault] {
    this->Stream(connection, next + 1, fault);
  });
}

void EngineStandin::AnswerPlain(const std::shared_ptr<Connection>& connection,
                                const CallerRequest& request, EngineFault fault) {
  CallerChannel* channel = connection->channel.get();
  connection->request.reset();
  AnswerHead head = this->SealedHead(request, 200);
  PlayHeadFault(fault, channel, &head);
  if (fault == EngineFault::kShortBody || fault == EngineFault::kTornEvent) {
    channel->BeginAnswer(head, std::string(kBody).size());
    channel->WritePart(std::string(kBody).substr(0, 5));
    channel->BreakOff();
    return;
  }
  if (fault == EngineFault::kUnframed || fault == EngineFault::kUnframedTorn) {
    bool is_torn = fault == EngineFault::kUnframedTorn;
    channel->BeginAnswer(head, std::nullopt, /*unframed=*/true);
    channel->WritePart(is_torn ? std::string(kBody).substr(0, 5) : kBody);
    is_torn ? channel->BreakOff() : channel->EndAnswer();
    return;
  }
  channel->Answer(head, kBody);
  if (fault == EngineFault::kExtraAfter) channel->WriteUnsolicitedAnswer(head, kBody);
}

}  // namespace gullward

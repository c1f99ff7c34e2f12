// Starts the programs, injects faults, and checks the answers and the engines' output.

#include "soak/soak.h"

#include <signal.h>

#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/headers.h"
#include "platform/testing/document_writer.h"

namespace gullward {
namespace {

constexpr int kEvents = 20;
constexpr int kSlots = 16;
constexpr uint64_t kDeadlineMs = 3000;
// Time allowed for an answer to arrive after the deadline, on a busy machine.
constexpr Duration kAnswerDelayAllowed = milliseconds(1500);
// A longer time between two checks of deadlines means that this process itself did not run.
constexpr Duration kPauseOfSoak = milliseconds(200);
constexpr Duration kTimeToReadAnswers = milliseconds(100);
// For this long after a fault a gateway may miss deadlines.
constexpr Duration kGraceAfterFault = seconds(4);
constexpr uint64_t kKeyTrustMs = 2000;
constexpr uint64_t kStopGraceSeconds = 5;
constexpr size_t kKeysInForce = 3;
constexpr Duration kStartTimeout = seconds(20);
constexpr Duration kSettleTime = seconds(6);
constexpr char kApp[] = "app";
constexpr char kModels[] = "models";
constexpr char kPlainBody[] = "the whole answer";
// Tokens of the prompt and of the answer of a prompt that several engines read.
constexpr char kLongPrompt[] = "200000,80";
// The body of the request that crashes engines, and the shortest pause between two of them.
constexpr char kCrashingBody[] = "deadly";
constexpr Duration kCrashingPause = milliseconds(100);
constexpr char kCrashingPart[] = "deadly-part";
// One in so many answers of an engine has no length.
constexpr int kUnframedEvery = 4;
// Of each period, the second half is the time in which most new connections go to one gateway.
constexpr Duration kHerdPeriod = seconds(8);
constexpr size_t kHerdGateway = 0;

std::string WholeStream() {
  std::string text;
  for (int id = 1; id <= kEvents; ++id) {
    absl::StrAppend(&text, "id: ", id, "\ndata: event-", id, "\n\n");
  }
  return text;
}

Route RouteTo(const std::string& service, const std::string& prefix, Repeat repeat) {
  Route route;
  route.name = prefix;
  route.host = "soak.example";
  route.path_prefix = prefix;
  route.repeat = repeat;
  route.streaming = repeat == Repeat::kResumeStream;
  route.longest_pause = milliseconds(200);
  route.max_attempts = 2;
  route.services = {{service, 1}};
  return route;
}

EngineSpeed SpeedOfModels() {
  EngineSpeed speed;
  speed.slots = kSlots;
  speed.memory_tokens = 450'000;
  speed.step_ms = 0.9;
  speed.steps_per_pass = 46;
  return speed;
}

// For the store's returns: the longest outage, and the time within which the operator and the
// engines write the lost records again.
constexpr Duration kMaxOutage = milliseconds(900);
constexpr Duration kMaxRewriteDelay = milliseconds(1900);

bool StatesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// The beginning and the end of a body, escaped and on one line, for the report.
std::string Excerpt(const std::string& body) {
  constexpr size_t kEnds = 120;
  std::string text = absl::CEscape(body);
  if (text.size() <= 2 * kEnds) return text;
  return absl::StrCat(text.substr(0, kEnds), " ... ", text.substr(text.size() - kEnds));
}

}  // namespace

Soak::Soak(const SoakOptions& soak_options)
    : options(soak_options),
      random(soak_options.seed),
      processes(soak_options.folder),
      return_random(soak_options.seed) {}

void Soak::ReportViolation(const std::string& what) { this->violations.push_back(what); }

void Soak::RunUntil(const std::function<bool()>& condition, Duration timeout) {
  Time until = Now() + timeout;
  while (!condition() && Now() < until) this->loop.RunOnce(milliseconds(10));
}

void Soak::RunAfter(Duration delay, std::function<void()> task) {
  this->loop.RunAfter(delay, std::move(task));
}

std::vector<std::string> Soak::Run() {
  this->StartAll();
  if (!this->violations.empty()) return this->violations;
  this->began = Now();
  for (size_t i = 0; i < this->callers.size(); ++i) this->SendNext(i);
  Time end = Now() + this->options.duration;
  Time next_fault = Now() + milliseconds(500);
  while (Now() < end) {
    this->loop.RunOnce(milliseconds(10));
    this->RestartEnded();
    this->CheckDeadlines();
    if (this->options.store_returns) this->ScheduleStoreReturn();
    if (Now() < next_fault) continue;
    this->InjectFault();
    next_fault = Now() + milliseconds(50 + this->RandomBelow(500));
  }
  this->is_ending = true;
  this->RunUntil([] { return false; }, kSettleTime);
  this->CheckRuns();
  return this->violations;
}

// ------------------------------------------------------------------ programs

void Soak::StartAll() {
  std::vector<std::string> store_arguments;
  if (this->options.store_returns) store_arguments.emplace_back("--epoch=1");
  this->processes.Start("store", "standin-store", store_arguments);
  auto ready = [this](const std::string& name) {
    this->RunUntil([&] { return !this->processes.ReadyAddress(name).empty(); }, kStartTimeout);
    absl::StatusOr<SocketAddress> address =
        SocketAddress::Parse(this->processes.ReadyAddress(name));
    if (!address.ok()) this->ReportViolation(name + " did not start");
    return address.ok() ? *address : SocketAddress{};
  };
  SocketAddress store_address = ready("store");
  this->store =
      std::make_unique<StoreClient>(&this->loop, store_address, /*store_returns=*/nullptr);
  auto models = static_cast<size_t>(this->options.engines);
  this->engines.resize(models + static_cast<size_t>(this->options.apps));
  for (size_t i = 0; i < this->engines.size(); ++i) {
    bool is_app = i >= models;
    this->engines[i].service = is_app ? kApp : kModels;
    this->StartEngine(i);
  }
  this->Publish();
  this->gateways.resize(static_cast<size_t>(this->options.gateways));
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    this->gateways[i].name = absl::StrCat("gateway-", i);
    this->gateways[i].store_proxy = std::make_unique<LoopbackProxy>(&this->loop, store_address);
    this->StartGateway(i);
  }
  for (GatewayProcess& gateway : this->gateways) {
    this->RunUntil([&] { return !this->processes.ReadyAddress(gateway.name).empty(); },
                   kStartTimeout);
  }
  this->callers.resize(static_cast<size_t>(this->options.callers));
}

void Soak::StartEngine(size_t index) {
  EngineProcess& engine = this->engines[index];
  if (!engine.name.empty()) this->PutRecord(platform::kEnginesTopic, engine.name, "");
  engine.incarnations += 1;
  engine.name = absl::StrCat(engine.service, "-", index, "-", engine.incarnations);
  this->engine_outputs.push_back(engine.name);
  std::vector<std::string> flags = {"--id=" + engine.name, absl::StrCat("--events=", kEvents)};
  if (this->options.crashing) flags.push_back(absl::StrCat("--ends_on=", kCrashingBody));
  if (this->options.crashing_part) flags.push_back(absl::StrCat("--ends_on_part=", kCrashingPart));
  if (this->options.unframed) flags.push_back(absl::StrCat("--unframed_every=", kUnframedEvery));
  this->processes.Start(engine.name, "standin-model-engine", flags);
  std::string name = engine.name;
  this->RunUntil([&] { return !this->processes.ReadyAddress(name).empty(); }, kStartTimeout);
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(this->processes.ReadyAddress(name));
  if (!address.ok()) return this->ReportViolation(name + " did not start");
  if (engine.proxy) {
    engine.proxy->SetTarget(*address);
  } else {
    engine.proxy = std::make_unique<LoopbackProxy>(&this->loop, *address);
  }
  SocketAddress listed = this->HasCrashes() ? *address : engine.proxy->address();
  EngineRecord record{name, engine.service, listed, "hall", kSlots, false};
  this->PutRecord(platform::kEnginesTopic, name, platform::EngineDocument(record));
}

void Soak::StartGateway(size_t index) {
  GatewayProcess& gateway = this->gateways[index];
  gateway.last_fault = Now();
  gateway.is_stopping = false;
  std::string file = this->processes.PathOf(gateway.name + ".toml");
  std::ofstream settings(file);
  settings << "box = \"" << gateway.name << "\"\ndata_centre = \"hall\"\n"
           << "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
           << "peers = \"127.0.0.1:0\"\n"
           << "store = \"" << gateway.store_proxy->address().ToString() << "\"\n"
           << "key_trust_ms = " << kKeyTrustMs << "\n"
           << "stop_grace_seconds = " << kStopGraceSeconds << "\n";
  if (this->options.overload) {
    for (const char* name : {"kept_returns", "learned_price", "engine_pace", "start_retry_after"}) {
      settings << "use_" << name << " = true\n";
    }
  }
  settings.close();
  this->processes.Start(gateway.name, "gullward-gateway", {"--settings=" + file});
}

// Restarts gateways and engines whose process has ended.
void Soak::RestartEnded() {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    if (!this->processes.IsRunning(this->gateways[i].name)) this->StartGateway(i);
  }
  for (size_t i = 0; i < this->engines.size(); ++i) {
    if (!this->processes.IsRunning(this->engines[i].name)) this->StartEngine(i);
  }
}

void Soak::PutRecord(std::string_view topic, const std::string& key, const std::string& value) {
  this->store_calls.emplace_back(platform::AppendRecordRequest(topic, {key, value}),
                                 [this, record = std::pair(std::string(topic), key), value] {
                                   this->appended_since_copy[record] = value;
                                 });
  this->SendNextStoreCall();
}

void Soak::SendNextStoreCall() {
  if (this->store_is_busy || this->store_calls.empty()) return;
  this->store_is_busy = true;
  this->store->Call(this->store_calls.front().first, seconds(1), [this](const StoreAnswer& answer) {
    this->store_is_busy = false;
    // A call without an answer is repeated: appending the same record twice is harmless.
    if (answer.ok()) {
      std::function<void()> acknowledged = this->store_calls.front().second;
      this->store_calls.pop_front();
      if (acknowledged) acknowledged();
    }
    this->RunAfter(milliseconds(answer.ok() ? 0 : 100), [this] { this->SendNextStoreCall(); });
  });
}

// Publishes a new configuration version with one additional key.  Revokes the oldest key if more
// than kKeysInForce are valid.
void Soak::Publish() {
  this->config_version += 1 + this->RandomBelow(3);
  this->keys.push_back(absl::StrCat("key-", this->config_version));
  std::string dropped;
  if (this->keys.size() > kKeysInForce) {
    dropped = this->keys.front();
    this->keys.pop_front();
  }
  ServingConfig config;
  config.version = this->config_version;
  config.routes = {RouteTo(kModels, "/chat/", Repeat::kResumeStream),
                   RouteTo(kApp, "/app/look/", Repeat::kAllowed),
                   RouteTo(kApp, "/app/order/", Repeat::kNever)};
  if (this->options.overload) {
    config.routes.push_back(RouteTo(kModels, "/read/", Repeat::kResumeStream));
    config.routes.back().priority = config.routes.front().priority + 1;
  }
  config.services = {{kModels, "", 0, true, SpeedOfModels()}, {kApp, "", 0, false, {}}};
  config.accounts = {{"shop", {this->keys.begin(), this->keys.end()}, -1}};
  std::string text = platform::ConfigDocument(config).dump();
  this->store_calls.emplace_back(
      platform::AppendRecordRequest(platform::kConfigTopic,
                                    {std::string(platform::kConfigKey), text}),
      [this, dropped, text] {
        this->appended_since_copy[{std::string(platform::kConfigTopic),
                                   std::string(platform::kConfigKey)}] = text;
        if (!dropped.empty()) this->revoked[dropped] = Now();
      });
  this->SendNextStoreCall();
}

// -------------------------------------------------------------------- faults

void Soak::InjectFault() {
  switch (this->RandomBelow(4)) {
    case 0:
      return this->InjectGatewayFault();
    case 1:
      return this->InjectStoreFault();
    default:
      return this->InjectEngineFault();
  }
}

void Soak::InjectEngineFault() {
  size_t index = this->RandomBelow(this->engines.size());
  EngineProcess& engine = this->engines[index];
  std::string name = engine.name;
  LoopbackProxy* proxy = engine.proxy.get();
  Duration span = milliseconds(100 + this->RandomBelow(2500));
  switch (this->RandomBelow(6)) {
    case 0:
      return this->processes.Signal(name, SIGKILL);
    case 1:
      this->processes.Signal(name, SIGSTOP);
      return this->RunAfter(span, [this, name] { this->processes.Signal(name, SIGCONT); });
    case 2:
      return proxy->ResetAll();
    case 3:
      proxy->SetDelay(milliseconds(20 + this->RandomBelow(300)));
      return this->RunAfter(span, [proxy] { proxy->SetDelay(Duration(0)); });
    default: {
      auto direction = static_cast<LoopbackProxy::Direction>(this->RandomBelow(2));
      proxy->SetSilent(direction, true);
      return this->RunAfter(span, [proxy, direction] { proxy->SetSilent(direction, false); });
    }
  }
}

void Soak::InjectGatewayFault() {
  size_t index = this->RandomBelow(this->gateways.size());
  GatewayProcess& gateway = this->gateways[index];
  std::string name = gateway.name;
  gateway.last_fault = Now();
  switch (this->RandomBelow(4)) {
    case 0:
      return this->processes.Signal(name, SIGKILL);
    case 1:
      gateway.is_stopping = true;
      return this->processes.Signal(name, SIGTERM);
    case 2:
      return this->processes.Signal(name, SIGHUP);
    default:
      this->processes.Signal(name, SIGSTOP);
      this->RunAfter(milliseconds(50 + this->RandomBelow(2500)), [this, name, index] {
        this->gateways[index].last_fault = Now();
        this->processes.Signal(name, SIGCONT);
      });
  }
}

void Soak::InjectStoreFault() {
  // `recover` holds for gateways that reach the store.
  if (this->options.herd) return this->Publish();
  LoopbackProxy* proxy = this->gateways[this->RandomBelow(this->gateways.size())].store_proxy.get();
  Duration span = milliseconds(100 + this->RandomBelow(4000));
  switch (this->RandomBelow(5)) {
    case 0:
      this->processes.Signal("store", SIGSTOP);
      return this->RunAfter(span, [this] { this->processes.Signal("store", SIGCONT); });
    case 1:
      return proxy->ResetAll();
    case 2: {
      auto direction = static_cast<LoopbackProxy::Direction>(this->RandomBelow(2));
      proxy->SetSilent(direction, true);
      return this->RunAfter(span, [proxy, direction] { proxy->SetSilent(direction, false); });
    }
    default:
      return this->Publish();
  }
}

// Runs one cycle: the store saves a copy, works for a while, stops for a short time and is
// restored from the copy; then the lost records are written again.
void Soak::ScheduleStoreReturn() {
  constexpr uint64_t kMaxWorkMs = 3000;
  constexpr uint64_t kMaxRestMs = 4000;
  if (Now() < this->next_return) return;
  Duration work = milliseconds(200 + this->return_random() % kMaxWorkMs);
  Duration rest = milliseconds(this->return_random() % kMaxRestMs);
  this->next_return = Now() + work + kMaxOutage + kMaxRewriteDelay + rest;
  this->processes.Signal("store", SIGHUP);
  this->appended_since_copy.clear();
  this->RunAfter(work, [this] { this->RestoreStore(); });
}

void Soak::RestoreStore() {
  this->processes.Signal("store", SIGSTOP);
  Duration outage = Duration(this->return_random() % kMaxOutage.count());
  this->RunAfter(outage, [this] {
    this->processes.Signal("store", SIGHUP);
    this->processes.Signal("store", SIGCONT);
    this->RewriteRecords();
  });
}

void Soak::RewriteRecords() {
  for (const auto& [record, value] : this->appended_since_copy) {
    Duration after = Duration(this->return_random() % kMaxRewriteDelay.count());
    this->RunAfter(after, [this, record = record] {
      auto newest = this->appended_since_copy.find(record);
      bool is_in_a_later_copy = newest == this->appended_since_copy.end();
      if (!is_in_a_later_copy) this->PutRecord(record.first, record.second, newest->second);
    });
  }
}

// ------------------------------------------------------------------- callers

void Soak::SendNext(size_t index) {
  if (this->is_ending) return;
  Caller& caller = this->callers[index];
  bool is_herd = this->IsHerdTime(Now());
  bool can_reuse =
      !is_herd && caller.channel && caller.channel->reusable() && this->RandomBelow(4) != 0;
  if (!can_reuse) {
    caller.gateway = this->RandomBelow(this->gateways.size());
    if (is_herd && this->RandomBelow(10) != 0) caller.gateway = kHerdGateway;
    const std::string& name = this->gateways[caller.gateway].name;
    absl::StatusOr<SocketAddress> address =
        SocketAddress::Parse(this->processes.ReadyAddress(name));
    if (!address.ok()) {
      this->RunAfter(milliseconds(50), [this, index] { this->SendNext(index); });
      return;
    }
    if (caller.channel) caller.channel->Close();
    caller.channel = RequestChannel::Open(&this->loop, *address);
  }
  caller.id = absl::StrCat("soak-", this->options.seed, "-", ++this->sent_count);
  caller.kind = static_cast<Kind>(this->RandomBelow(3));
  bool crashing = this->IsCrashingCaller(index);
  if (crashing) caller.kind = Kind::kStream;
  bool use_revoked = !crashing && !this->revoked.empty() && this->RandomBelow(10) == 0;
  caller.key = use_revoked ? std::next(this->revoked.begin(),
                                       static_cast<long>(this->RandomBelow(this->revoked.size())))
                                 ->first
                           : this->keys.back();
  caller.sent = Now();
  caller.head = {};
  caller.body.clear();
  caller.is_waiting = true;
  auto revocation = this->revoked.find(caller.key);
  bool long_revoked = revocation != this->revoked.end() &&
                      caller.sent - revocation->second > milliseconds(kKeyTrustMs);
  if (long_revoked) this->must_not_run[caller.id] = "its key had been revoked";
  if (caller.kind == Kind::kOnce) this->once_ids.push_back(caller.id);

  const char* paths[] = {"POST /chat/x", "GET /app/look/x", "POST /app/order/x"};
  std::string path = paths[static_cast<int>(caller.kind)];
  std::string token_count = "1000,80";
  std::string body = crashing ? kCrashingBody : "";
  if (this->options.crashing_part) body = caller.id;
  bool is_long = this->options.overload && caller.kind == Kind::kStream && !crashing &&
                 this->RandomBelow(2) == 0;
  if (is_long) {
    path = "POST /read/x";
    token_count = kLongPrompt;
    // The content of a caller's long prompts is the same, so the next one is a return.
    body = absl::StrCat("long-", index);
  }
  std::string request = absl::StrCat(path, " HTTP/1.1\r\n");
  AppendHeader(&request, "Host", "soak.example");
  AppendHeader(&request, platform::kAttemptId, caller.id);
  AppendHeader(&request, platform::kDeadlineMs, absl::StrCat(kDeadlineMs));
  AppendHeader(&request, platform::kApiKey, caller.key);
  AppendHeader(&request, platform::kTokenCount, token_count);
  if (this->options.crashing_part) {
    AppendHeader(&request, platform::kPromptParts, this->PromptParts(index));
  }
  AppendHeader(&request, "Content-Length", absl::StrCat(body.size()));
  request += "\r\n" + body;
  if (crashing) this->RecordCrashingRequest(caller);
  bool is_beside = this->options.crashing_part && !crashing && caller.kind == Kind::kStream;
  bool is_healthy = caller.sent - this->gateways[caller.gateway].last_fault > kGraceAfterFault;
  if (is_beside) {
    this->streams_beside.push_back({caller.id, caller.sent, is_healthy && !use_revoked});
  }
  RequestChannel::Hooks hooks;
  hooks.head = [this, index](const ResponseHead& head) { this->callers[index].head = head; };
  hooks.body = [this, index](std::string_view bytes) { this->callers[index].body.append(bytes); };
  hooks.done = [this, index](ChannelResult result) { this->OnDone(index, result); };
  caller.channel->Send(request, std::move(hooks), /*is_head=*/false);
}

void Soak::OnDone(size_t index, ChannelResult result) {
  Caller& caller = this->callers[index];
  if (!caller.is_waiting) return;
  caller.is_waiting = false;
  this->CheckAnswer(caller, result);
  bool refused = absl::StrContains(caller.body, "\"code\":2016");
  if (refused && this->IsCrashingCaller(index)) this->crashing_refused += 1;
  if (refused && !this->IsCrashingCaller(index))
    this->ReportViolation("deadly: " + caller.id + " was refused as crashing");
  Duration pause = this->IsCrashingCaller(index) ? kCrashingPause : Duration(0);
  this->RunAfter(pause + milliseconds(this->RandomBelow(20)),
                 [this, index] { this->SendNext(index); });
}

void Soak::CheckAnswer(const Caller& caller, ChannelResult result) {
  const std::string whole_stream = WholeStream();
  bool is_whole = result == ChannelResult::kWholeAnswer;
  bool is_success = caller.head.status == 200;
  std::string id(FindHeader(caller.head.headers, platform::kAttemptId).value_or(caller.id));
  if (id != caller.id) this->ReportViolation("own: " + caller.id + " got the answer of " + id);
  if (is_success && caller.kind == Kind::kStream) {
    bool is_beginning = whole_stream.compare(0, caller.body.size(), caller.body) == 0;
    if (!is_beginning)
      this->ReportViolation("order: " + caller.id +
                            " got unexpected events: " + Excerpt(caller.body));
    if (is_whole && caller.body != whole_stream)
      this->ReportViolation("own: " + caller.id + " is not complete: " + Excerpt(caller.body));
  } else if (is_success && is_whole && caller.body != kPlainBody) {
    this->ReportViolation("own: " + caller.id + " has an unexpected body");
  }
  if (is_success && is_whole) this->served_count += 1;
  bool counts = this->options.herd && !this->revoked.contains(caller.key) &&
                Now() - this->gateways[caller.gateway].last_fault > kGraceAfterFault;
  if (counts) {
    ServedCount& count = this->IsHerdTime(caller.sent) ? this->in_herd : this->outside_herd;
    count.read += caller.head.status != 0 ? 1 : 0;
    count.served += is_success && is_whole ? 1 : 0;
  }
  if (is_whole && caller.kind == Kind::kOnce && StatesNotRun(caller.head.status)) {
    this->must_not_run[caller.id] = absl::StrCat("it was refused with status ", caller.head.status);
  }
}

// Abandons overdue requests, as a caller would, and reports those whose gateway had no recent
// fault.  After a pause of this process it first reads the answers that have arrived meanwhile.
void Soak::CheckDeadlines() {
  bool was_paused = Now() - this->last_deadline_check > kPauseOfSoak;
  if (was_paused) this->RunUntil([] { return false; }, kTimeToReadAnswers);
  Time now = Now();
  this->last_deadline_check = now;
  for (size_t i = 0; i < this->callers.size(); ++i) {
    Caller& caller = this->callers[i];
    bool overdue =
        caller.is_waiting && now - caller.sent > milliseconds(kDeadlineMs) + kAnswerDelayAllowed;
    if (!overdue) continue;
    bool had_recent_fault =
        now - this->gateways[caller.gateway].last_fault < kGraceAfterFault + kAnswerDelayAllowed;
    if (!had_recent_fault)
      this->ReportViolation("on time: " + caller.id + " has no answer after its deadline");
    caller.is_waiting = false;
    caller.channel->Close();
    this->SendNext(i);
  }
}

void Soak::CheckRuns() {
  std::map<std::string, int> runs;
  for (const std::string& name : this->engine_outputs) {
    std::istringstream lines(this->processes.Output(name));
    for (std::string line; std::getline(lines, line);) {
      if (absl::StartsWith(line, "ran ")) runs[line.substr(4)] += 1;
    }
  }
  for (const std::string& id : this->once_ids) {
    if (runs[id] > 1)
      this->ReportViolation(absl::StrCat("once: ", id, " ran ", runs[id], " times"));
  }
  for (const auto& [id, reason] : this->must_not_run) {
    if (runs[id] > 0)
      this->ReportViolation(absl::StrCat("refused: ", id, " ran although ", reason));
  }
  if (this->HasCrashes()) this->CheckCrashingRequests(runs);
  if (this->options.herd) this->CheckHerd();
}

bool Soak::IsHerdTime(Time at) const {
  return this->options.herd && (at - this->began) % kHerdPeriod >= kHerdPeriod / 2;
}

// The requests that crash engines share their first part with all others.
std::string Soak::PromptParts(size_t index) const {
  const std::string& id = this->callers[index].id;
  std::string second = this->IsCrashingCaller(index) ? kCrashingPart : "other-part";
  return absl::StrCat("first-part:40,", second, ":60,", id, ":900");
}

void Soak::CheckHerd() {
  constexpr uint64_t kMinRequests = 20;
  bool is_enough = this->in_herd.read >= kMinRequests && this->outside_herd.read >= kMinRequests;
  auto share = [](const ServedCount& count) {
    return static_cast<double>(count.served) / static_cast<double>(count.read);
  };
  if (!is_enough || share(this->in_herd) >= 0.75 * share(this->outside_herd)) return;
  this->ReportViolation(absl::StrCat("recover: served ", this->in_herd.served, " of ",
                                     this->in_herd.read, " read, at other times ",
                                     this->outside_herd.served, " of ", this->outside_herd.read));
}

void Soak::CheckStreamsBesideCrashes(std::map<std::string, int>& runs, Time fifth_crash) {
  constexpr uint64_t kMinRequests = 20;
  if (fifth_crash == Time::max()) return;
  uint64_t count = 0;
  uint64_t begun = 0;
  for (const CrashingRequest& stream : this->streams_beside) {
    bool counts = stream.is_gateway_healthy && stream.sent - fifth_crash > 2 * kGraceAfterFault;
    if (!counts) continue;
    count += 1;
    begun += runs[stream.id] > 0 ? 1 : 0;
  }
  if (count < kMinRequests || 2 * begun >= count) return;
  this->ReportViolation(absl::StrCat("lost: ", begun, " of ", count, " other streams begun"));
}

void Soak::RecordCrashingRequest(const Caller& caller) {
  Time last_fault = this->gateways[caller.gateway].last_fault;
  this->crashing_requests.push_back(
      {caller.id, caller.sent, caller.sent - last_fault > kGraceAfterFault});
}

// Each run of such a request crashes an engine.  After the third crash, or the fifth where only a
// part is common, and the time in which gateways receive the crash reports, gateways without a
// recent fault may send such requests to at most three more engines in total.
void Soak::CheckCrashingRequests(std::map<std::string, int>& runs) {
  const int kCrashesToDetect = this->options.crashing_part ? 5 : 3;
  constexpr int kMaxRunsAfter = 3;
  int ran = 0;
  int ran_after = 0;
  Time detectable = Time::max();
  for (const CrashingRequest& request : this->crashing_requests) {
    bool later = detectable != Time::max() && request.sent - detectable > kGraceAfterFault;
    if (later && request.is_gateway_healthy) ran_after += runs[request.id];
    ran += runs[request.id];
    if (ran >= kCrashesToDetect && detectable == Time::max()) detectable = request.sent;
  }
  if (ran_after > kMaxRunsAfter) {
    this->ReportViolation(absl::StrCat(
        "deadly: ran ", ran_after, " times after the crashes were known, ", ran, " times in all"));
  }
  if (this->options.crashing_part) this->CheckStreamsBesideCrashes(runs, detectable);
  if (this->crashing_refused == 0)
    this->ReportViolation("deadly: the crashing request was never refused");
}

}  // namespace gullward

// soak.h tells what is checked.

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
// Time for an answer to come back after the deadline, on a busy machine.
constexpr Duration kAnswerSlack = milliseconds(1500);
// For so long after harm a gateway is excused from being on time.
constexpr Duration kExcusedAfterHarm = seconds(4);
constexpr uint64_t kKeyTrustMs = 2000;
constexpr uint64_t kStopGraceSeconds = 5;
constexpr size_t kKeysInForce = 3;
constexpr Duration kStartPatience = seconds(20);
constexpr Duration kSettle = seconds(6);
constexpr char kApp[] = "app";
constexpr char kModels[] = "models";
constexpr char kPlainBody[] = "the whole answer";
// The body of the request that ends engines, and how often it comes at most.
constexpr char kDeadlyBody[] = "deadly";
constexpr Duration kDeadlyPause = milliseconds(100);

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

// Of the store's returns: how long it is away, and within what time the operator and the
// engines have written again.
constexpr Duration kMostOutage = milliseconds(900);
constexpr Duration kWriteAgainWithin = milliseconds(1900);

bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// The beginning and the end of a body on one line, for the report.
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

void Soak::Broken(const std::string& what) { this->broken.push_back(what); }

void Soak::RunUntil(const std::function<bool()>& condition, Duration patience) {
  Time until = Now() + patience;
  while (!condition() && Now() < until) this->loop.RunOnce(milliseconds(10));
}

void Soak::Later(Duration delay, std::function<void()> task) {
  this->loop.RunAfter(delay, std::move(task));
}

std::vector<std::string> Soak::Run() {
  this->StartAll();
  if (!this->broken.empty()) return this->broken;
  for (size_t i = 0; i < this->callers.size(); ++i) this->SendNext(i);
  Time end = Now() + this->options.duration;
  Time next_harm = Now() + milliseconds(500);
  while (Now() < end) {
    this->loop.RunOnce(milliseconds(10));
    this->KeepRunning();
    this->CheckDeadlines();
    if (this->options.returns) this->PlayReturns();
    if (Now() < next_harm) continue;
    this->HarmSomething();
    next_harm = Now() + milliseconds(50 + this->Draw(500));
  }
  this->ending = true;
  this->RunUntil([] { return false; }, kSettle);
  this->CheckRuns();
  return this->broken;
}

// ------------------------------------------------------------------ programs

void Soak::StartAll() {
  std::vector<std::string> store_arguments;
  if (this->options.returns) store_arguments.emplace_back("--epoch=1");
  this->processes.Start("store", "standin-store", store_arguments);
  auto ready = [this](const std::string& name) {
    this->RunUntil([&] { return !this->processes.ReadyAddress(name).empty(); }, kStartPatience);
    absl::StatusOr<SocketAddress> address =
        SocketAddress::Parse(this->processes.ReadyAddress(name));
    if (!address.ok()) this->Broken(name + " did not start");
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
  for (GatewayPlace& gateway : this->gateways) {
    this->RunUntil([&] { return !this->processes.ReadyAddress(gateway.name).empty(); },
                   kStartPatience);
  }
  this->callers.resize(static_cast<size_t>(this->options.callers));
}

void Soak::StartEngine(size_t place) {
  EnginePlace& engine = this->engines[place];
  if (!engine.name.empty()) this->PutRecord(platform::kEnginesTopic, engine.name, "");
  engine.lives += 1;
  engine.name = absl::StrCat(engine.service, "-", place, "-", engine.lives);
  this->engine_outputs.push_back(engine.name);
  std::vector<std::string> flags = {"--id=" + engine.name, absl::StrCat("--events=", kEvents)};
  if (this->options.deadly) flags.push_back(absl::StrCat("--ends_on=", kDeadlyBody));
  this->processes.Start(engine.name, "standin-model-engine", flags);
  std::string name = engine.name;
  this->RunUntil([&] { return !this->processes.ReadyAddress(name).empty(); }, kStartPatience);
  absl::StatusOr<SocketAddress> address = SocketAddress::Parse(this->processes.ReadyAddress(name));
  if (!address.ok()) return this->Broken(name + " did not start");
  if (engine.proxy) {
    engine.proxy->SetTarget(*address);
  } else {
    engine.proxy = std::make_unique<LoopbackProxy>(&this->loop, *address);
  }
  SocketAddress listed = this->options.deadly ? *address : engine.proxy->address();
  EngineRecord record{name, engine.service, listed, "hall", kSlots, false};
  this->PutRecord(platform::kEnginesTopic, name, platform::EngineDocument(record));
}

void Soak::StartGateway(size_t place) {
  GatewayPlace& gateway = this->gateways[place];
  gateway.harmed = Now();
  gateway.stopping = false;
  std::string file = this->processes.PathOf(gateway.name + ".toml");
  std::ofstream(file) << "box = \"" << gateway.name << "\"\ndata_centre = \"hall\"\n"
                      << "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
                      << "peers = \"127.0.0.1:0\"\n"
                      << "store = \"" << gateway.store_proxy->address().ToString() << "\"\n"
                      << "key_trust_ms = " << kKeyTrustMs << "\n"
                      << "stop_grace_seconds = " << kStopGraceSeconds << "\n";
  this->processes.Start(gateway.name, "gullward-gateway", {"--settings=" + file});
}

// Starts again what has ended.
void Soak::KeepRunning() {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    if (!this->processes.IsRunning(this->gateways[i].name)) this->StartGateway(i);
  }
  for (size_t i = 0; i < this->engines.size(); ++i) {
    if (!this->processes.IsRunning(this->engines[i].name)) this->StartEngine(i);
  }
}

void Soak::PutRecord(std::string_view topic, const std::string& key, const std::string& value) {
  this->store_calls.emplace_back(platform::AppendRecordRequest(topic, {key, value}),
                                 [this, place = std::pair(std::string(topic), key), value] {
                                   this->since_copy[place] = value;
                                 });
  this->NextStoreCall();
}

void Soak::NextStoreCall() {
  if (this->store_busy || this->store_calls.empty()) return;
  this->store_busy = true;
  this->store->Call(this->store_calls.front().first, seconds(1), [this](const StoreAnswer& answer) {
    this->store_busy = false;
    // A record written twice says the same.
    if (answer.ok()) {
      std::function<void()> acknowledged = this->store_calls.front().second;
      this->store_calls.pop_front();
      if (acknowledged) acknowledged();
    }
    this->Later(milliseconds(answer.ok() ? 0 : 100), [this] { this->NextStoreCall(); });
  });
}

// A new version with one key more, and the oldest taken away.
void Soak::Publish() {
  this->config_version += 1 + this->Draw(3);
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
  config.services = {{kModels, "", 0, true, SpeedOfModels()}, {kApp, "", 0, false, {}}};
  config.accounts = {{"shop", {this->keys.begin(), this->keys.end()}, -1}};
  std::string text = platform::ConfigDocument(config).dump();
  this->store_calls.emplace_back(
      platform::AppendRecordRequest(platform::kConfigTopic,
                                    {std::string(platform::kConfigKey), text}),
      [this, dropped, text] {
        this->since_copy[{std::string(platform::kConfigTopic), std::string(platform::kConfigKey)}] =
            text;
        if (!dropped.empty()) this->revoked[dropped] = Now();
      });
  this->NextStoreCall();
}

// -------------------------------------------------------------------- faults

void Soak::HarmSomething() {
  switch (this->Draw(4)) {
    case 0:
      return this->HarmGateway();
    case 1:
      return this->HarmStore();
    default:
      return this->HarmEngine();
  }
}

void Soak::HarmEngine() {
  size_t place = this->Draw(this->engines.size());
  EnginePlace& engine = this->engines[place];
  std::string name = engine.name;
  LoopbackProxy* proxy = engine.proxy.get();
  Duration span = milliseconds(100 + this->Draw(2500));
  switch (this->Draw(6)) {
    case 0:
      return this->processes.Signal(name, SIGKILL);
    case 1:
      this->processes.Signal(name, SIGSTOP);
      return this->Later(span, [this, name] { this->processes.Signal(name, SIGCONT); });
    case 2:
      return proxy->ResetAll();
    case 3:
      proxy->SetDelay(milliseconds(20 + this->Draw(300)));
      return this->Later(span, [proxy] { proxy->SetDelay(Duration(0)); });
    default: {
      auto direction = static_cast<LoopbackProxy::Direction>(this->Draw(2));
      proxy->SetSilent(direction, true);
      return this->Later(span, [proxy, direction] { proxy->SetSilent(direction, false); });
    }
  }
}

void Soak::HarmGateway() {
  size_t place = this->Draw(this->gateways.size());
  GatewayPlace& gateway = this->gateways[place];
  std::string name = gateway.name;
  gateway.harmed = Now();
  switch (this->Draw(4)) {
    case 0:
      return this->processes.Signal(name, SIGKILL);
    case 1:
      gateway.stopping = true;
      return this->processes.Signal(name, SIGTERM);
    case 2:
      return this->processes.Signal(name, SIGHUP);
    default:
      this->processes.Signal(name, SIGSTOP);
      this->Later(milliseconds(50 + this->Draw(2500)), [this, name, place] {
        this->gateways[place].harmed = Now();
        this->processes.Signal(name, SIGCONT);
      });
  }
}

void Soak::HarmStore() {
  LoopbackProxy* proxy = this->gateways[this->Draw(this->gateways.size())].store_proxy.get();
  Duration span = milliseconds(100 + this->Draw(4000));
  switch (this->Draw(5)) {
    case 0:
      this->processes.Signal("store", SIGSTOP);
      return this->Later(span, [this] { this->processes.Signal("store", SIGCONT); });
    case 1:
      return proxy->ResetAll();
    case 2: {
      auto direction = static_cast<LoopbackProxy::Direction>(this->Draw(2));
      proxy->SetSilent(direction, true);
      return this->Later(span, [proxy, direction] { proxy->SetSilent(direction, false); });
    }
    default:
      return this->Publish();
  }
}

// A copy, a while of work, a short outage, the return, and then everybody writes again.
void Soak::PlayReturns() {
  constexpr uint64_t kMostWorkMs = 3000;
  constexpr uint64_t kMostRestMs = 4000;
  if (Now() < this->next_return) return;
  Duration work = milliseconds(200 + this->return_random() % kMostWorkMs);
  Duration rest = milliseconds(this->return_random() % kMostRestMs);
  this->next_return = Now() + work + kMostOutage + kWriteAgainWithin + rest;
  this->processes.Signal("store", SIGHUP);
  this->since_copy.clear();
  this->Later(work, [this] { this->ReturnStore(); });
}

void Soak::ReturnStore() {
  this->processes.Signal("store", SIGSTOP);
  Duration outage = Duration(this->return_random() % kMostOutage.count());
  this->Later(outage, [this] {
    this->processes.Signal("store", SIGHUP);
    this->processes.Signal("store", SIGCONT);
    this->WriteAgain();
  });
}

void Soak::WriteAgain() {
  for (const auto& [place, value] : this->since_copy) {
    Duration after = Duration(this->return_random() % kWriteAgainWithin.count());
    this->Later(after, [this, place = place] {
      auto newest = this->since_copy.find(place);
      bool is_in_a_later_copy = newest == this->since_copy.end();
      if (!is_in_a_later_copy) this->PutRecord(place.first, place.second, newest->second);
    });
  }
}

// ------------------------------------------------------------------- callers

void Soak::SendNext(size_t index) {
  if (this->ending) return;
  Caller& caller = this->callers[index];
  bool reuse = caller.channel && caller.channel->reusable() && this->Draw(4) != 0;
  if (!reuse) {
    caller.gateway = this->Draw(this->gateways.size());
    const std::string& name = this->gateways[caller.gateway].name;
    absl::StatusOr<SocketAddress> address =
        SocketAddress::Parse(this->processes.ReadyAddress(name));
    if (!address.ok()) {
      this->Later(milliseconds(50), [this, index] { this->SendNext(index); });
      return;
    }
    if (caller.channel) caller.channel->Close();
    caller.channel = RequestChannel::Open(&this->loop, *address);
  }
  caller.id = absl::StrCat("soak-", this->options.seed, "-", ++this->sent_count);
  caller.kind = static_cast<Kind>(this->Draw(3));
  bool deadly = this->IsDeadly(index);
  if (deadly) caller.kind = Kind::kStream;
  bool use_revoked = !deadly && !this->revoked.empty() && this->Draw(10) == 0;
  caller.key = use_revoked ? std::next(this->revoked.begin(),
                                       static_cast<long>(this->Draw(this->revoked.size())))
                                 ->first
                           : this->keys.back();
  caller.sent = Now();
  caller.head = {};
  caller.body.clear();
  caller.waiting = true;
  auto gone = this->revoked.find(caller.key);
  bool long_revoked =
      gone != this->revoked.end() && caller.sent - gone->second > milliseconds(kKeyTrustMs);
  if (long_revoked) this->must_not_run[caller.id] = "its key had been taken away";
  if (caller.kind == Kind::kOnce) this->once_ids.push_back(caller.id);

  const char* paths[] = {"POST /chat/x", "GET /app/look/x", "POST /app/order/x"};
  std::string request = absl::StrCat(paths[static_cast<int>(caller.kind)], " HTTP/1.1\r\n");
  AppendHeader(&request, "Host", "soak.example");
  AppendHeader(&request, platform::kAttemptId, caller.id);
  AppendHeader(&request, platform::kDeadlineMs, absl::StrCat(kDeadlineMs));
  AppendHeader(&request, platform::kApiKey, caller.key);
  AppendHeader(&request, platform::kTokenCount, "1000,80");
  std::string body = deadly ? kDeadlyBody : "";
  AppendHeader(&request, "Content-Length", absl::StrCat(body.size()));
  request += "\r\n" + body;
  if (deadly) this->NoteDeadlyTry(caller);
  RequestChannel::Hooks hooks;
  hooks.head = [this, index](const ResponseHead& head) { this->callers[index].head = head; };
  hooks.body = [this, index](std::string_view bytes) { this->callers[index].body.append(bytes); };
  hooks.done = [this, index](ChannelResult result) { this->OnDone(index, result); };
  caller.channel->Send(request, std::move(hooks), /*is_head=*/false);
}

void Soak::OnDone(size_t index, ChannelResult result) {
  Caller& caller = this->callers[index];
  if (!caller.waiting) return;
  caller.waiting = false;
  this->CheckAnswer(caller, result);
  bool refused = absl::StrContains(caller.body, "\"code\":2016");
  if (refused && this->IsDeadly(index)) this->deadly_refused += 1;
  if (refused && !this->IsDeadly(index)) this->Broken("deadly: " + caller.id + " was taken for it");
  Duration pause = this->IsDeadly(index) ? kDeadlyPause : Duration(0);
  this->Later(pause + milliseconds(this->Draw(20)), [this, index] { this->SendNext(index); });
}

void Soak::CheckAnswer(const Caller& caller, ChannelResult result) {
  const std::string whole_stream = WholeStream();
  bool whole = result == ChannelResult::kWholeAnswer;
  bool success = caller.head.status == 200;
  std::string id(FindHeader(caller.head.headers, platform::kAttemptId).value_or(caller.id));
  if (id != caller.id) this->Broken("own: " + caller.id + " got the answer of " + id);
  if (success && caller.kind == Kind::kStream) {
    bool is_beginning = whole_stream.compare(0, caller.body.size(), caller.body) == 0;
    if (!is_beginning)
      this->Broken("order: " + caller.id + " got other events: " + Excerpt(caller.body));
    if (whole && caller.body != whole_stream)
      this->Broken("own: " + caller.id + " is not whole: " + Excerpt(caller.body));
  } else if (success && whole && caller.body != kPlainBody) {
    this->Broken("own: " + caller.id + " has another body");
  }
  if (success && whole) this->served_count += 1;
  if (whole && caller.kind == Kind::kOnce && PromisesNotRun(caller.head.status)) {
    this->must_not_run[caller.id] = absl::StrCat("it was refused with ", caller.head.status);
  }
}

// Gives up what is overdue, as a caller would, and judges whose fault it is.
void Soak::CheckDeadlines() {
  Time now = Now();
  for (size_t i = 0; i < this->callers.size(); ++i) {
    Caller& caller = this->callers[i];
    bool overdue = caller.waiting && now - caller.sent > milliseconds(kDeadlineMs) + kAnswerSlack;
    if (!overdue) continue;
    bool harmed = now - this->gateways[caller.gateway].harmed < kExcusedAfterHarm + kAnswerSlack;
    if (!harmed) this->Broken("on time: " + caller.id + " has no answer after its deadline");
    caller.waiting = false;
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
    if (runs[id] > 1) this->Broken(absl::StrCat("once: ", id, " ran ", runs[id], " times"));
  }
  for (const auto& [id, reason] : this->must_not_run) {
    if (runs[id] > 0) this->Broken(absl::StrCat("refused: ", id, " ran although ", reason));
  }
  if (this->options.deadly) this->CheckDeadly(runs);
}

void Soak::NoteDeadlyTry(const Caller& caller) {
  Time harmed = this->gateways[caller.gateway].harmed;
  this->deadly_tries.push_back({caller.id, caller.sent, caller.sent - harmed > kExcusedAfterHarm});
}

// Each run of it ends an engine.  After the third, and the time in which gateways hear of it,
// those that nobody has harmed may send it on three times more.
void Soak::CheckDeadly(std::map<std::string, int>& runs) {
  constexpr int kShown = 3;
  constexpr int kMostAfter = 3;
  int ran = 0;
  int ran_after = 0;
  Time third = Time::max();
  for (const DeadlyTry& one : this->deadly_tries) {
    bool later = third != Time::max() && one.sent - third > kExcusedAfterHarm;
    if (later && one.in_touch) ran_after += runs[one.id];
    ran += runs[one.id];
    if (ran >= kShown && third == Time::max()) third = one.sent;
  }
  if (ran_after > kMostAfter) {
    this->Broken(absl::StrCat("deadly: ran ", ran_after, " times more, ", ran, " in all"));
  }
  if (this->deadly_refused == 0) this->Broken("deadly: was never refused");
}

}  // namespace gullward

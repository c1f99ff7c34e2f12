// The network side of an entry process; entry_server.h gives an overview.

#include "entry/entry_server.h"

#include <glog/logging.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <charconv>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/metrics.h"
#include "process/process.h"
#include "wire/codec.h"
#include "wire/text.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr Duration kTickPeriod = milliseconds(20);
constexpr Duration kSweepPeriod = milliseconds(200);
constexpr Duration kClaimsPoll = seconds(2);
constexpr Duration kClaimsRetry = milliseconds(500);
constexpr Duration kStopPoll = milliseconds(50);
constexpr size_t kMaxIdempotencyKey = 256;
// Bytes of an answer that may be queued for a caller; a caller that reads too slowly is dropped.
constexpr size_t kMaxUnreadBytes = 4u << 20;
constexpr double kMaxTimeoutSeconds = 86400;
constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kJson[] = "application/json";

std::string Sha256Hex(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

// Returns the hash of KEY in "Bearer KEY", or "" if the header has another form.
std::string KeyHash(const std::string& authorization) {
  static constexpr char kBearer[] = "Bearer ";
  size_t length = sizeof(kBearer) - 1;
  if (authorization.compare(0, length, kBearer) != 0) return "";
  std::string key = authorization.substr(length);
  return key.empty() ? "" : Sha256Hex(key);
}

// The value of Retry-After in seconds, rounded up, because a request that comes back too early is
// refused again.
std::string RetryAfterSeconds(uint64_t millis) { return std::to_string((millis + 999) / 1000); }

bool ParseSeconds(const std::string& text, double* seconds_value) {
  const char* end = text.data() + text.size();
  auto [stopped, error] = std::from_chars(text.data(), end, *seconds_value);
  return error == std::errc() && stopped == end && *seconds_value > 0 &&
         *seconds_value <= kMaxTimeoutSeconds;
}

EntryOptions CoreOptions(const EntrySettings& settings, uint64_t incarnation) {
  EntryOptions options;
  options.box = settings.box;
  options.incarnation = incarnation;
  options.seed = incarnation;
  options.max_in_flight = settings.max_in_flight;
  options.claimer.writer = incarnation;
  return options;
}

ConfigFollowerOptions FollowerOptions(const EntrySettings& settings, uint64_t incarnation) {
  ConfigFollowerOptions options;
  options.snapshot_records = settings.snapshot_records;
  options.seed = incarnation;
  return options;
}

}  // namespace

EntryServer::EntryServer(EventLoop* event_loop, const EntrySettings& entry_settings,
                         uint64_t own_incarnation)
    : loop(event_loop),
      settings(entry_settings),
      incarnation(own_incarnation),
      client(event_loop),
      log(&this->client, entry_settings.platform),
      box_list(&this->client, entry_settings.platform),
      follower(event_loop, &this->log, FollowerOptions(entry_settings, own_incarnation),
               [this] { this->OnConfigChanged(); }),
      core(CoreOptions(entry_settings, own_incarnation), &this->follower.feed(), Now()),
      boxes(event_loop, Hello{entry_settings.box, entry_settings.zone, own_incarnation},
            {[this](const std::string& box, const Message& m) { this->OnBoxMessage(box, m); },
             [this](const std::string& box) {
               this->core.OnBoxLost(box, Now());
               this->PerformActions();
             }}),
      admin(event_loop, {[this] {
                           return !this->stopping && !this->core.draining() &&
                                  this->follower.feed().IsReady(Now(), kMaxConfigLag);
                         },
                         [this] { return this->StateJson(); },
                         [this] { return this->MetricsBody(); }, [this] { this->core.Drain(); }}) {}

EntryServer::~EntryServer() {
  this->http.Stop();
  this->admin.Stop();
}

absl::Status EntryServer::Start() {
  HttpServer::Options options;
  options.address = this->settings.listen;
  options.max_body_bytes = this->settings.max_body_bytes;
  options.threads = this->settings.http_threads;
  options.idle_timeout_seconds = this->settings.caller_idle_seconds;
  options.max_connections = static_cast<unsigned>(this->settings.max_in_flight) + 1000;
  absl::Status status = this->http.Start(
      options,
      [this](const std::shared_ptr<HttpExchange>& exchange) { this->HandleHttp(exchange); });
  if (!status.ok()) return status;
  status = this->admin.Start(this->settings.admin);
  if (!status.ok()) return status;
  this->follower.Start();
  this->ReadClaims();
  this->FetchBoxList();
  this->loop->RunEvery(kTickPeriod, [this] {
    this->core.Tick(Now());
    this->PerformActions();
  });
  this->loop->RunEvery(kSweepPeriod, [this] { this->http.SweepClosed(); });
  this->loop->RunEvery(kHeartbeatPeriod,
                       [this] { this->boxes.Tick(this->follower.state().offset()); });
  json ready = {{"listen", this->settings.listen.host + ":" + std::to_string(this->http.port())},
                {"admin", this->settings.admin.host + ":" + std::to_string(this->admin.port())}};
  WriteReadyFile(ready.dump());
  LOG(INFO) << "entry " << this->settings.box << " serves on " << ready["listen"];
  return absl::OkStatus();
}

// --------------------------------------------------------------- HTTP threads

void EntryServer::HandleHttp(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->path;
  if (exchange->body_result != ResultCode::kOk) {
    this->RespondError(exchange, exchange->body_result, "");
  } else if (path.compare(0, sizeof(kServicePrefix) - 1, kServicePrefix) == 0) {
    this->HandleService(exchange);
  } else if (path == "/v1/models") {
    if (exchange->method != "GET") {
      this->RespondError(exchange, ResultCode::kMethodNotAllowed, "expected GET");
      return;
    }
    this->loop->Post([this, exchange] { this->ListModels(exchange); });
  } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
    if (exchange->method != "POST") {
      this->RespondError(exchange, ResultCode::kMethodNotAllowed, "expected POST");
      return;
    }
    this->HandleApi(exchange, path == "/v1/completions" ? ApiKind::kCompletion : ApiKind::kChat);
  } else {
    this->RespondError(exchange, ResultCode::kUnknownPath, "");
  }
}

void EntryServer::RespondError(const std::shared_ptr<HttpExchange>& exchange, ResultCode code,
                               const std::string& detail) {
  RequestId none{this->incarnation, 0};
  exchange->Respond({Info(code).http_status,
                     kJson,
                     {{"X-Request-Id", ToString(none)}},
                     ErrorBody(code, Ran::kNo, detail)});
}

ApiError EntryServer::ReadHeaders(const HttpExchange& exchange, RequestInput* input) {
  auto invalid = [](const char* message) { return ApiError{ResultCode::kInvalidHeader, message}; };
  input->key_sha256 = KeyHash(exchange.Header("authorization"));
  std::string timeout = exchange.Header("gullward-timeout");
  if (!timeout.empty()) {
    double value = 0;
    if (!ParseSeconds(timeout, &value)) {
      return invalid("Gullward-Timeout: expected seconds, above 0 and up to 86400");
    }
    input->timeout = FromSeconds(value);
  }
  std::string repeatable = exchange.Header("gullward-repeatable");
  if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
    return invalid("Gullward-Repeatable: expected yes or no");
  }
  input->repeatable = repeatable != "no";
  std::string key = exchange.Header("idempotency-key");
  if (key.size() > kMaxIdempotencyKey)
    return invalid("Idempotency-Key: expected at most 256 bytes");
  if (!key.empty()) {
    // The hash includes the API key, so that equal idempotency keys of two accounts differ.
    std::string scoped = input->key_sha256 + "\n" + key;
    input->idempotency_key = std::max<uint64_t>(XXH3_64bits(scoped.data(), scoped.size()), 1);
  }
  return {};
}

void EntryServer::HandleApi(const std::shared_ptr<HttpExchange>& exchange, ApiKind kind) {
  RequestInput input;
  ApiError error = ReadHeaders(*exchange, &input);
  ApiRequest request;
  // A request without an API key is refused in any case, so its body is not parsed.
  bool parse = error.code == ResultCode::kOk && !input.key_sha256.empty();
  if (parse) error = ParseApiRequest(kind, exchange->body, &request);
  exchange->body.clear();
  exchange->body.shrink_to_fit();
  input.model = request.model;
  input.prefixes = PrefixHashes(request.prompt);
  input.prompt = std::make_shared<const std::string>(std::move(request.prompt));
  input.max_tokens = request.max_tokens;
  input.sampling = std::move(request.sampling);
  Caller caller;
  caller.exchange = exchange;
  caller.answer = {kind, "", request.model, static_cast<int64_t>(std::time(nullptr))};
  caller.is_stream = request.stream;
  caller.includes_usage = request.stream_usage;
  this->loop->Post([this, caller = std::move(caller), input = std::move(input), error]() mutable {
    this->Submit(std::move(caller), std::move(input), error);
  });
}

void EntryServer::HandleService(const std::shared_ptr<HttpExchange>& exchange) {
  RequestInput input;
  ApiError error = ReadHeaders(*exchange, &input);
  std::string rest = exchange->path.substr(sizeof(kServicePrefix) - 1);
  size_t slash = rest.find('/');
  input.service = rest.substr(0, slash);
  input.path = slash == std::string::npos ? "/" : rest.substr(slash);
  input.method = exchange->method;
  input.content_type = exchange->Header("content-type");
  input.prompt = std::make_shared<const std::string>(std::move(exchange->body));
  if (input.service.empty()) error = {ResultCode::kUnknownService, ""};
  Caller caller;
  caller.exchange = exchange;
  caller.is_service = true;
  this->loop->Post([this, caller = std::move(caller), input = std::move(input), error]() mutable {
    this->Submit(std::move(caller), std::move(input), error);
  });
}

// ------------------------------------------------------------------- the loop

void EntryServer::Submit(Caller caller, RequestInput input, const ApiError& error) {
  std::shared_ptr<HttpExchange> exchange = caller.exchange;
  // Without a configuration the keys cannot be checked, and EntryCore refuses the request.
  bool ready = this->follower.feed().IsReady(Now(), kMaxConfigLag);
  ResultCode key = ready ? this->core.CheckKey(input.key_sha256) : ResultCode::kOk;
  if (key != ResultCode::kOk || (ready && error.code != ResultCode::kOk)) {
    bool is_key_valid = key == ResultCode::kOk;
    this->RespondError(exchange, is_key_valid ? error.code : key,
                       is_key_valid ? error.message : "");
    return;
  }
  RequestId id = this->core.Submit(std::move(input), Now());
  const char* kind = caller.answer.kind == ApiKind::kChat ? "chatcmpl-" : "cmpl-";
  caller.answer.id = kind + ToString(id);
  this->callers[id] = std::move(caller);
  LOG(INFO) << "request " << ToString(id) << " received";
  this->PerformActions();
  exchange->OnGone([this, id] {
    this->loop->Post([this, id] {
      if (this->callers.erase(id) == 0) return;
      LOG(INFO) << "request " << ToString(id) << " dropped: the caller has disconnected";
      this->core.OnCallerGone(id, Now());
      this->PerformActions();
    });
  });
}

void EntryServer::ListModels(const std::shared_ptr<HttpExchange>& exchange) {
  const ConfigState& state = this->follower.state();
  ResultCode key = this->core.CheckKey(KeyHash(exchange->Header("authorization")));
  if (key != ResultCode::kOk) {
    this->RespondError(exchange, key, "");
    return;
  }
  std::vector<std::string> names;
  for (const ConfigObject* model : state.All("model")) names.push_back(model->id.name);
  for (const ConfigObject* adapter : state.All("adapter")) names.push_back(adapter->id.name);
  RequestId none{this->incarnation, 0};
  exchange->Respond({200, kJson, {{"X-Request-Id", ToString(none)}}, ModelList(names)});
}

void EntryServer::OnBoxMessage(const std::string& box, const Message& message) {
  auto send = [this, &box](const Message& m) { this->boxes.Send(box, m); };
  if (const auto* heartbeat = std::get_if<EndpointHeartbeat>(&message)) {
    this->follower.OnPeerOffset(heartbeat->config_offset, send);
  }
  if (const auto* fetch = std::get_if<ConfigFetch>(&message)) {
    send(this->follower.feed().RecordsAfter(fetch->after));
    return;
  }
  if (const auto* records = std::get_if<ConfigRecords>(&message)) {
    this->follower.OnPeerRecords(*records);
    return;
  }
  this->core.OnMessage(box, message, Now());
  this->PerformActions();
}

void EntryServer::OnConfigChanged() {
  this->core.OnConfigChanged();
  this->core.OnBoxList(this->listed_entries, this->listed_leaving);
  // Sends the new offset to every endpoint now instead of with the next periodic heartbeat.
  this->boxes.Tick(this->follower.state().offset());
}

void EntryServer::ReadClaims() {
  this->log.Read(kClaimsStream, this->next_claim_offset, kClaimsPoll, [this](const LogRead& read) {
    if (!read.ok) {
      this->loop->RunAfter(kClaimsRetry, [this] { this->ReadClaims(); });
      return;
    }
    this->next_claim_offset = std::max(this->next_claim_offset, read.earliest);
    for (const OffsetRecord& record : read.records) {
      if (record.offset < this->next_claim_offset) continue;
      this->next_claim_offset = record.offset + 1;
      LogRecord decoded = DecodeRecord(record.body);
      const auto* batch = std::get_if<ClaimBatch>(&decoded);
      if (batch != nullptr) this->core.OnClaimRecord(*batch, Now());
    }
    this->PerformActions();
    this->loop->Post([this] { this->ReadClaims(); });
  });
}

void EntryServer::FetchBoxList() {
  std::map<std::string, SocketAddress> known;
  for (const KnownEndpoint& endpoint : this->settings.endpoints) {
    known[endpoint.box] = endpoint.address;
  }
  this->box_list.Fetch([this, known](bool ok, const std::vector<ListedBox>& list) mutable {
    this->loop->RunAfter(this->settings.box_list_period, [this] { this->FetchBoxList(); });
    if (!ok) {
      this->boxes.Update(known);
      return;
    }
    size_t entries = 0;
    std::set<std::string> leaving;
    for (const ListedBox& box : list) {
      if (box.leaving) leaving.insert(box.box);
      if (box.role == "entry" && !box.leaving) ++entries;
      if (box.role != "endpoint") continue;
      absl::StatusOr<SocketAddress> address = SocketAddress::Parse(box.address);
      if (address.ok()) known[box.box] = *address;
    }
    this->listed_entries = entries;
    this->listed_leaving = leaving;
    this->boxes.Update(known);
    this->core.OnBoxList(entries, leaving);
  });
}

// -------------------------------------------------------------------- actions

void EntryServer::PerformActions() {
  for (const EntryAction& action : this->core.TakeActions()) {
    std::visit([this](const auto& a) { this->Perform(a); }, action);
  }
}

void EntryServer::Perform(const SendToBox& action) {
  VLOG(1) << "to " << action.box << ": " << Text(action.message);
  this->boxes.Send(action.box, action.message);
}

void EntryServer::Perform(const DeliverText& action) {
  auto found = this->callers.find(action.id);
  if (found == this->callers.end()) return;
  Caller& caller = found->second;
  if (!caller.is_stream) {
    caller.text += action.text;
    return;
  }
  if (!caller.has_started) {
    caller.has_started = true;
    caller.exchange->StartStream(
        200, "text/event-stream",
        {{"X-Request-Id", ToString(action.id)}, {"Cache-Control", "no-cache"}});
    caller.exchange->Write(StreamOpening(caller.answer));
  }
  size_t waiting = caller.exchange->Write(StreamEvent(caller.answer, action.text, ""));
  if (waiting <= kMaxUnreadBytes) return;
  LOG(WARNING) << "request " << ToString(action.id)
               << " dropped: the caller does not read its answer";
  // The OnGone hook of the exchange runs next and cancels the request.
  caller.exchange->Abort();
}

void EntryServer::Perform(const FinishAnswer& action) {
  auto found = this->callers.find(action.id);
  if (found == this->callers.end()) return;
  Caller caller = std::move(found->second);
  this->callers.erase(found);
  LOG(INFO) << "request " << ToString(action.id) << " finished: " << action.prompt_tokens << "+"
            << action.completion_tokens << " tokens";
  HttpHeaders headers = {{"X-Request-Id", ToString(action.id)}};
  ApiUsage usage{action.prompt_tokens, action.cached_tokens, action.completion_tokens};
  if (caller.is_service) {
    caller.exchange->Respond(
        {static_cast<int>(action.status), action.content_type, headers, std::move(caller.text)});
    return;
  }
  if (!caller.is_stream) {
    caller.exchange->Respond(
        {200, kJson, headers,
         WholeAnswer(caller.answer, caller.text, action.finish_reason, usage)});
    return;
  }
  if (!caller.has_started) {
    caller.exchange->StartStream(200, "text/event-stream", headers);
    caller.exchange->Write(StreamOpening(caller.answer));
  }
  std::string last = StreamEvent(caller.answer, "", action.finish_reason);
  if (caller.includes_usage) last += StreamUsage(caller.answer, usage);
  caller.exchange->Write(last + StreamEnd());
  caller.exchange->FinishStream();
}

void EntryServer::Perform(const FailAnswer& action) {
  auto found = this->callers.find(action.id);
  // There is no answer to send if the caller has disconnected.
  if (found == this->callers.end()) return;
  Caller caller = std::move(found->second);
  this->callers.erase(found);
  LOG(WARNING) << "request " << ToString(action.id) << " failed: " << Info(action.code).name
               << ", ran " << ToString(action.ran);
  if (caller.has_started) {
    caller.exchange->Write(StreamError(action.code, action.ran));
    caller.exchange->FinishStream();
    return;
  }
  HttpHeaders headers = {{"X-Request-Id", ToString(action.id)}};
  if (action.retry_after_ms > 0) {
    headers.emplace_back("Retry-After", RetryAfterSeconds(action.retry_after_ms));
  }
  caller.exchange->Respond(
      {Info(action.code).http_status, kJson, headers, ErrorBody(action.code, action.ran, "")});
}

void EntryServer::Perform(const AppendClaims& action) {
  // The result of the append is ignored: ReadClaims finds the record if the log has accepted it.
  this->log.Append(kClaimsStream, EncodeRecord(action.batch), [](const AppendResult&) {});
}

// ------------------------------------------------------------------ operators

std::string EntryServer::StateJson() const {
  json state;
  state["program"] = "gullward-entry";
  state["box"] = this->settings.box;
  state["data_centre"] = this->settings.zone;
  state["incarnation"] = this->incarnation;
  state["config_offset"] = this->follower.state().offset();
  state["config_heard"] = this->follower.feed().highest_known_offset();
  state["config_objects"] = this->follower.state().size();
  state["log_reachable"] = this->follower.log_reachable();
  state["draining"] = this->core.draining();
  state["retry_budget"] = this->core.retry_budget();
  state["claims_waiting"] = this->core.claimer().waiting();
  state["keys_held"] = this->core.claimer().keys();
  state["accounts_active"] = this->core.limits().accounts();
  state["prefixes_known"] = this->core.fleet().prefixes_known();
  state["boxes"] = json::array();
  for (const FleetView::BoxInfo& info : this->core.fleet().Describe(Now())) {
    json box = {{"box", info.box},
                {"incarnation", info.incarnation},
                {"config_offset", info.config_offset},
                {"usable", info.usable},
                {"leaving", info.leaving},
                {"own_dispatches", info.own_dispatches},
                {"engines", json::array()}};
    for (const EngineLoad& load : info.engines) {
      box["engines"].push_back({{"name", load.name},
                                {"model", load.model},
                                {"up", load.up},
                                {"free_tokens", load.free_tokens},
                                {"total_tokens", load.total_tokens},
                                {"running", load.running},
                                {"backlog_ms", load.backlog_ms},
                                {"seconds_per_token", load.seconds_per_token}});
    }
    state["boxes"].push_back(std::move(box));
  }
  state["requests"] = json::array();
  for (const EntryCore::RequestInfo& info : this->core.Describe()) {
    json request = {{"id", ToString(info.id)},
                    {"account", info.account},
                    {"model", info.model},
                    {"phase", info.phase},
                    {"prompt_tokens", info.prompt_tokens},
                    {"delivered_tokens", info.delivered_tokens},
                    {"attempts", info.attempts},
                    {"engines", json::array()}};
    for (const EngineRef& ref : info.engines) {
      request["engines"].push_back(ref.box + "/" + std::to_string(ref.engine));
    }
    state["requests"].push_back(std::move(request));
  }
  return state.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string EntryServer::MetricsBody() const {
  const EntryCounters& c = this->core.counters();
  MetricsText text;
  const std::string requests = "gullward_entry_requests_total";
  const std::string requests_help = "Requests by what became of them";
  text.Counter(requests, requests_help, {{"result", "admitted"}}, static_cast<double>(c.admitted));
  text.Counter(requests, requests_help, {{"result", "refused"}}, static_cast<double>(c.refused));
  text.Counter(requests, requests_help, {{"result", "finished"}}, static_cast<double>(c.finished));
  text.Counter(requests, requests_help, {{"result", "failed"}}, static_cast<double>(c.failed));
  text.Counter(requests, requests_help, {{"result", "gone"}}, static_cast<double>(c.callers_gone));
  text.Counter("gullward_entry_offers_total", "Offers sent to endpoint boxes", {},
               static_cast<double>(c.offers));
  text.Counter("gullward_entry_offers_refused_total", "Offers refused as not run", {},
               static_cast<double>(c.offers_refused));
  text.Counter("gullward_entry_retries_total", "Requests tried again after a broken attempt", {},
               static_cast<double>(c.retries));
  text.Counter("gullward_entry_continued_total", "Answers continued on another engine", {},
               static_cast<double>(c.continued));
  text.Counter("gullward_entry_stale_messages_total", "Messages of attempts that are over", {},
               static_cast<double>(c.stale_messages));
  text.Counter("gullward_entry_bad_frames_total", "Connections closed for a bad frame", {},
               static_cast<double>(this->boxes.bad_frames()));
  text.Gauge("gullward_entry_in_flight", "Requests in flight", {},
             static_cast<double>(this->core.in_flight()));
  text.Gauge("gullward_entry_retry_budget", "Retries left in the budget", {},
             this->core.retry_budget());
  text.Gauge("gullward_config_offset", "Offset of the configuration in force", {},
             static_cast<double>(this->follower.state().offset()));
  text.Gauge("gullward_config_heard", "Highest configuration offset heard of", {},
             static_cast<double>(this->follower.feed().highest_known_offset()));
  text.Gauge("gullward_log_reachable", "Whether the platform's log answered last", {},
             this->follower.log_reachable() ? 1 : 0);
  text.Gauge("gullward_entry_boxes_connected", "Endpoint boxes connected", {},
             static_cast<double>(this->boxes.connected()));
  return text.Serialize();
}

void EntryServer::DrainAndStop() {
  if (this->stopping) {
    this->loop->Stop();
    return;
  }
  LOG(INFO) << "draining: " << this->core.in_flight() << " requests in flight";
  this->stopping = true;
  this->core.Drain();
  this->stop_at = Now() + this->settings.drain_timeout;
  this->StopWhenIdle();
}

void EntryServer::StopWhenIdle() {
  bool idle = this->core.in_flight() == 0 && this->callers.empty();
  if (!idle && Now() < this->stop_at) {
    this->loop->RunAfter(kStopPoll, [this] { this->StopWhenIdle(); });
    return;
  }
  // Waits for one more period, so that the HTTP server can send the last answers.
  this->loop->RunAfter(kStopPoll, [this] { this->loop->Stop(); });
}

}  // namespace gullward

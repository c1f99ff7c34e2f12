// The HTTP calls to engines; docs/ENGINES.md describes the API.

#include "endpoint/engine_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gullward {
namespace {

using nlohmann::json;

constexpr Duration kControlTimeout = seconds(2);
// The largest event of an engine.  Its text is a few tokens.
constexpr size_t kMaxEventBytes = 1 << 20;
constexpr char kDataPrefix[] = "data: ";
constexpr char kDoneMarker[] = "[DONE]";

uint64_t ReadCount(const json& object, const char* name) {
  auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : 0;
}

std::string StartBody(const StartOnEngine& start) {
  const Offer& offer = start.offer;
  json body = json::object();
  if (!offer.sampling.empty()) {
    json sampling = json::parse(offer.sampling, nullptr, false);
    if (sampling.is_object()) body = std::move(sampling);
  }
  body["model"] = offer.model;
  body["prompt"] = offer.prompt;
  body["max_tokens"] = offer.max_tokens;
  body["stream"] = true;
  body["priority"] = offer.priority;
  body["allocation"] = ToString(start.id);
  bool keep = offer.piece + 1 < offer.pieces;
  body["keep"] = keep;
  body["memory_tokens"] = offer.prompt_tokens + (keep ? 0 : offer.max_tokens);
  body["context"] = json::array();
  for (const KvContext& context : offer.context) {
    body["context"].push_back({{"address", context.address}, {"allocation", context.allocation}});
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Interprets the status of an engine's refusal.  An engine refuses an attempt before it starts it.
EngineFailure FailureOfStatus(int status) {
  if (status == 507) return {ResultCode::kNoMemory, Ran::kNo};
  if (status >= 400 && status < 500) return {ResultCode::kStaleOffer, Ran::kNo};
  if (status == 503) return {ResultCode::kEngineFailed, Ran::kNo};
  return {ResultCode::kEngineFailed, Ran::kUnknown};
}

}  // namespace

EngineClient::EngineClient(HttpClient* client, std::vector<std::string> engine_addresses,
                           Hooks engine_hooks)
    : http(client), addresses(std::move(engine_addresses)), hooks(std::move(engine_hooks)) {}

std::string EngineClient::Url(uint32_t engine, const std::string& path) const {
  return "http://" + this->addresses[engine] + path;
}

void EngineClient::Start(const StartOnEngine& start) {
  HttpCall call;
  call.method = "POST";
  call.url = this->Url(start.engine, "/v1/completions");
  call.headers = {{"Content-Type", "application/json"}};
  call.body = StartBody(start);
  // EndpointCore ends the attempt at its deadline; this timeout only bounds calls without an
  // answer.
  call.timeout = start.time_left + seconds(5);
  call.repeatable = false;
  AttemptId id = start.id;
  HttpClient::Hooks call_hooks;
  call_hooks.data = [this, id](const std::string& part) { this->OnData(id, part); };
  call_hooks.done = [this, id](const HttpResult& result) { this->OnDone(id, result); };
  this->streams[id].call = this->http->Start(std::move(call), std::move(call_hooks));
}

void EngineClient::OnData(const AttemptId& id, const std::string& part) {
  auto found = this->streams.find(id);
  if (found == this->streams.end()) return;
  found->second.has_data = true;
  found->second.unparsed += part;
  // Tokens that arrive together are passed on in one call.
  std::string text;
  uint32_t tokens = 0;
  std::string& unparsed = found->second.unparsed;
  size_t start = 0;
  for (size_t end = unparsed.find("\n\n"); end != std::string::npos;
       end = unparsed.find("\n\n", start)) {
    this->OnEvent(id, unparsed.substr(start, end - start), &text, &tokens);
    start = end + 2;
  }
  unparsed.erase(0, start);
  bool is_endless = unparsed.size() > kMaxEventBytes;
  if (tokens > 0) this->hooks.output(id, {std::move(text), tokens});
  if (is_endless) this->AbandonStream(id);
}

// Ends an attempt whose engine sends an event that does not end.
void EngineClient::AbandonStream(const AttemptId& id) {
  auto found = this->streams.find(id);
  if (found == this->streams.end()) return;
  this->http->Cancel(found->second.call);
  this->streams.erase(found);
  this->hooks.failed(id, {ResultCode::kEngineFailed, Ran::kYes});
}

void EngineClient::OnEvent(const AttemptId& id, const std::string& event, std::string* text,
                           uint32_t* tokens) {
  if (event.compare(0, sizeof(kDataPrefix) - 1, kDataPrefix) != 0) return;
  std::string data = event.substr(sizeof(kDataPrefix) - 1);
  if (data == kDoneMarker) return;
  json value = json::parse(data, nullptr, false);
  if (!value.is_object()) return;
  auto choices = value.find("choices");
  if (choices != value.end() && choices->is_array() && !choices->empty()) {
    const json& choice = (*choices)[0];
    auto piece = choice.find("text");
    if (piece != choice.end() && piece->is_string()) {
      *text += piece->get_ref<const std::string&>();
      *tokens += static_cast<uint32_t>(ReadCount(choice, "tokens"));
    }
    auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
      EngineFinished& finished = this->streams[id].finished;
      finished.finish_reason = reason->get<std::string>();
    }
  }
  auto usage = value.find("usage");
  if (usage == value.end() || !usage->is_object()) return;
  Stream& stream = this->streams[id];
  stream.finished.prompt_tokens = ReadCount(*usage, "prompt_tokens");
  stream.finished.cached_tokens = ReadCount(*usage, "cached_tokens");
  stream.finished.completion_tokens = ReadCount(*usage, "completion_tokens");
  auto prefill = value.find("prefill_seconds");
  if (prefill != value.end() && prefill->is_number()) {
    stream.finished.prefill_seconds = prefill->get<double>();
  }
  stream.complete = true;
}

void EngineClient::OnDone(const AttemptId& id, const HttpResult& result) {
  auto found = this->streams.find(id);
  if (found == this->streams.end()) return;
  Stream stream = std::move(found->second);
  this->streams.erase(found);
  if (stream.complete) {
    this->hooks.finished(id, stream.finished);
  } else if (!result.connected) {
    this->hooks.failed(id, {ResultCode::kEngineFailed, Ran::kNo});
  } else if (result.complete && result.status != 200) {
    this->hooks.failed(id, FailureOfStatus(result.status));
  } else {
    this->hooks.failed(id,
                       {ResultCode::kEngineFailed, stream.has_data ? Ran::kYes : Ran::kUnknown});
  }
}

void EngineClient::Free(uint32_t engine, const std::string& allocation) {
  // The streamed call ends with its allocation, and its remaining output is not needed.
  for (auto it = this->streams.begin(); it != this->streams.end(); ++it) {
    if (ToString(it->first) != allocation) continue;
    this->http->Cancel(it->second.call);
    this->streams.erase(it);
    break;
  }
  HttpCall call;
  call.method = "DELETE";
  call.url = this->Url(engine, "/v1/allocations/" + allocation);
  call.timeout = kControlTimeout;
  auto done = [this, engine, allocation](const HttpResult& result) {
    bool freed = result.complete && (result.status == 200 || result.status == 404);
    this->hooks.freed(engine, allocation, freed);
  };
  this->http->Start(std::move(call), {nullptr, std::move(done)});
}

void EngineClient::List(uint32_t engine) {
  HttpCall call;
  call.url = this->Url(engine, "/v1/allocations");
  call.timeout = kControlTimeout;
  auto done = [this, engine](const HttpResult& result) {
    json list = json::parse(result.body, nullptr, false);
    if (!result.complete || result.status != 200 || !list.is_array()) {
      this->hooks.unreachable(engine);
      return;
    }
    std::vector<EngineAllocation> allocations;
    for (const json& item : list) {
      if (!item.is_object() || !item.contains("name") || !item["name"].is_string()) continue;
      allocations.push_back({item["name"].get<std::string>(), ReadCount(item, "tokens")});
    }
    this->hooks.listed(engine, allocations);
  };
  this->http->Start(std::move(call), {nullptr, std::move(done)});
}

}  // namespace gullward

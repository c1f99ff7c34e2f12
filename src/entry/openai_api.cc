// Parsing and building of JSON bodies; openai_api.h describes the functions.

#include "entry/openai_api.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gullward {
namespace {

using nlohmann::json;

// Fields that are passed to the engine unchanged.
constexpr const char* kSamplingFields[] = {
    "temperature",       "top_p",     "top_k", "seed", "stop", "presence_penalty",
    "frequency_penalty", "logit_bias"};

ApiError InvalidField(const std::string& message) { return {ResultCode::kInvalidField, message}; }

// Serializes a JSON value.  Bytes that are not UTF-8, as in a character that an engine has split,
// are replaced, since the library would throw otherwise.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ApiError ReadModel(const json& body, ApiRequest* request) {
  auto found = body.find("model");
  if (found == body.end()) return InvalidField("model: missing; expected a string");
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    return InvalidField("model: expected a string that is not empty");
  }
  request->model = found->get<std::string>();
  return {};
}

ApiError ReadPrompt(json* body, ApiRequest* request) {
  auto found = body->find("prompt");
  if (found == body->end()) return InvalidField("prompt: missing; expected a string");
  json* text = &*found;
  if (text->is_array() && text->size() == 1) text = &(*text)[0];
  if (!text->is_string())
    return InvalidField("prompt: expected a string, or an array of one string");
  request->prompt = std::move(text->get_ref<std::string&>());
  if (request->prompt.empty()) return InvalidField("prompt: expected a text that is not empty");
  return {};
}

// Appends the content of a message to the prompt: a string, or an array of parts of type text.
ApiError AppendContent(const json& content, const std::string& where, std::string* prompt) {
  if (content.is_string()) {
    *prompt += content.get_ref<const std::string&>();
    return {};
  }
  if (!content.is_array())
    return InvalidField(where + ".content: expected a string or an array of parts");
  for (const json& part : content) {
    bool is_text = part.is_object() && part.value("type", json()) == "text" &&
                   part.contains("text") && part["text"].is_string();
    if (!is_text) return InvalidField(where + ".content: expected parts of type text");
    *prompt += part["text"].get_ref<const std::string&>();
  }
  return {};
}

ApiError ReadMessages(const json& body, ApiRequest* request) {
  auto found = body.find("messages");
  if (found == body.end()) return InvalidField("messages: missing; expected an array");
  if (!found->is_array() || found->empty()) {
    return InvalidField("messages: expected an array that is not empty");
  }
  size_t index = 0;
  for (const json& message : *found) {
    std::string where = "messages[" + std::to_string(index++) + "]";
    if (!message.is_object()) return InvalidField(where + ": expected an object");
    auto role = message.find("role");
    if (role == message.end() || !role->is_string()) {
      return InvalidField(where + ".role: expected a string");
    }
    auto content = message.find("content");
    if (content == message.end())
      return InvalidField(where + ".content: missing; expected a string");
    request->prompt += role->get_ref<const std::string&>() + ": ";
    ApiError error = AppendContent(*content, where, &request->prompt);
    if (error.code != ResultCode::kOk) return error;
    request->prompt += "\n";
  }
  request->prompt += "assistant: ";
  return {};
}

ApiError ReadMaxTokens(const json& body, ApiRequest* request) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    auto found = body.find(name);
    if (found == body.end() || found->is_null()) continue;
    bool fits = found->is_number_unsigned() && found->get<uint64_t>() >= 1 &&
                found->get<uint64_t>() <= kMaxTokensLimit;
    if (!fits) {
      return InvalidField(std::string(name) + ": expected a whole number from 1 to " +
                          std::to_string(kMaxTokensLimit));
    }
    request->max_tokens = found->get<uint32_t>();
    return {};
  }
  return {};
}

ApiError ReadStream(const json& body, ApiRequest* request) {
  auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) return InvalidField("stream: expected true or false");
    request->stream = stream->get<bool>();
  }
  auto options = body.find("stream_options");
  if (options == body.end() || options->is_null()) return {};
  if (!options->is_object()) return InvalidField("stream_options: expected an object");
  auto usage = options->find("include_usage");
  if (usage == options->end() || usage->is_null()) return {};
  if (!usage->is_boolean())
    return InvalidField("stream_options.include_usage: expected true or false");
  request->stream_usage = usage->get<bool>();
  return {};
}

ApiError ReadChoices(const json& body) {
  for (const char* name : {"n", "best_of"}) {
    auto found = body.find(name);
    if (found == body.end() || found->is_null()) continue;
    if (*found != 1) return InvalidField(std::string(name) + ": only 1 is served");
  }
  return {};
}

void ReadSampling(const json& body, ApiRequest* request) {
  json sampling = json::object();
  for (const char* name : kSamplingFields) {
    auto found = body.find(name);
    if (found != body.end() && !found->is_null()) sampling[name] = *found;
  }
  if (!sampling.empty()) request->sampling = Dump(sampling);
}

json UsageJson(const ApiUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

json CommonFields(const ApiAnswer& answer, bool streamed) {
  const char* object = "text_completion";
  if (answer.kind == ApiKind::kChat) {
    object = streamed ? "chat.completion.chunk" : "chat.completion";
  }
  return {{"id", answer.id},
          {"object", object},
          {"created", answer.created_seconds},
          {"model", answer.model}};
}

json FinishReason(const std::string& finish_reason) {
  return finish_reason.empty() ? json(nullptr) : json(finish_reason);
}

std::string ServerSentEvent(const json& value) { return "data: " + Dump(value) + "\n\n"; }

const char* ErrorType(ResultCode code) {
  auto number = static_cast<uint32_t>(code);
  if (code == ResultCode::kMissingKey || code == ResultCode::kWrongKey) {
    return "authentication_error";
  }
  if (code == ResultCode::kAccountSuspended) return "permission_error";
  if (code == ResultCode::kRateLimited || code == ResultCode::kTooManyInFlight) {
    return "rate_limit_error";
  }
  return number < 2000 ? "invalid_request_error" : "server_error";
}

json ErrorObject(ResultCode code, Ran ran, const std::string& detail) {
  std::string message = Info(code).description;
  if (!detail.empty()) message += ": " + detail;
  return {{"error",
           {{"message", message},
            {"type", ErrorType(code)},
            {"param", nullptr},
            {"code", static_cast<uint32_t>(code)},
            {"name", Info(code).name},
            {"ran", ToString(ran)}}}};
}

}  // namespace

ApiError ParseApiRequest(ApiKind kind, const std::string& text, ApiRequest* request) {
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) return {ResultCode::kMalformedBody, ""};
  if (!body.is_object()) return {ResultCode::kMalformedBody, "expected a JSON object"};
  ApiError error = ReadModel(body, request);
  if (error.code == ResultCode::kOk) error = ReadMaxTokens(body, request);
  if (error.code == ResultCode::kOk) error = ReadStream(body, request);
  if (error.code == ResultCode::kOk) error = ReadChoices(body);
  if (error.code != ResultCode::kOk) return error;
  ReadSampling(body, request);
  // The prompt is read last, because reading it moves the text out of the body.
  return kind == ApiKind::kChat ? ReadMessages(body, request) : ReadPrompt(&body, request);
}

std::string StreamEvent(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason) {
  json event = CommonFields(answer, true);
  json choice = {{"index", 0}, {"finish_reason", FinishReason(finish_reason)}};
  if (answer.kind == ApiKind::kChat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
    choice["logprobs"] = nullptr;
  }
  event["choices"] = json::array({choice});
  return ServerSentEvent(event);
}

std::string StreamOpening(const ApiAnswer& answer) {
  if (answer.kind != ApiKind::kChat) return "";
  json event = CommonFields(answer, true);
  json choice = {{"index", 0},
                 {"finish_reason", nullptr},
                 {"delta", {{"role", "assistant"}, {"content", ""}}}};
  event["choices"] = json::array({choice});
  return ServerSentEvent(event);
}

std::string StreamUsage(const ApiAnswer& answer, const ApiUsage& usage) {
  json event = CommonFields(answer, true);
  event["choices"] = json::array();
  event["usage"] = UsageJson(usage);
  return ServerSentEvent(event);
}

std::string StreamEnd() { return "data: [DONE]\n\n"; }

std::string StreamError(ResultCode code, Ran ran) {
  return ServerSentEvent(ErrorObject(code, ran, ""));
}

std::string WholeAnswer(const ApiAnswer& answer, const std::string& text,
                        const std::string& finish_reason, const ApiUsage& usage) {
  json body = CommonFields(answer, false);
  json choice = {
      {"index", 0}, {"finish_reason", FinishReason(finish_reason)}, {"logprobs", nullptr}};
  if (answer.kind == ApiKind::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  body["choices"] = json::array({choice});
  body["usage"] = UsageJson(usage);
  return Dump(body);
}

std::string ErrorBody(ResultCode code, Ran ran, const std::string& detail) {
  return Dump(ErrorObject(code, ran, detail));
}

std::string ModelList(const std::vector<std::string>& names) {
  json data = json::array();
  for (const std::string& name : names) {
    data.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "gullward"}});
  }
  return Dump({{"object", "list"}, {"data", data}});
}

}  // namespace gullward

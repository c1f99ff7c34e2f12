// The HTTP calls to the log; docs/PLATFORM.md describes the API.

#include "log/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace gullward {
namespace {

using nlohmann::json;

constexpr Duration kAppendTimeout = seconds(2);
constexpr Duration kReadTimeout = seconds(5);

LogRead ParseRead(const HttpResult& result) {
  LogRead read;
  if (!result.complete || result.status != 200) return read;
  json answer = json::parse(result.body, nullptr, /*allow_exceptions=*/false);
  bool is_valid = answer.is_object() && answer.contains("earliest") &&
                  answer["earliest"].is_number_integer() && answer.contains("records") &&
                  answer["records"].is_array();
  if (!is_valid) return read;
  read.earliest = answer["earliest"].get<int64_t>();
  for (const json& record : answer["records"]) {
    bool is_record_valid = record.is_object() && record.contains("offset") &&
                           record["offset"].is_number_integer() && record.contains("body") &&
                           record["body"].is_string();
    std::string body;
    bool is_decoded = is_record_valid &&
                      absl::Base64Unescape(record["body"].get_ref<const std::string&>(), &body);
    // One invalid record makes the whole answer invalid: a skipped record would never be read
    // again.
    if (!is_decoded) return LogRead{};
    read.records.push_back({record["offset"].get<int64_t>(), std::move(body)});
  }
  read.ok = true;
  return read;
}

}  // namespace

LogClient::LogClient(HttpClient* client, std::string address)
    : http(client), base_url("http://" + std::move(address)) {}

void LogClient::Append(const std::string& stream, const std::string& body,
                       std::function<void(const AppendResult&)> done) {
  HttpCall call;
  call.method = "POST";
  call.url = this->base_url + "/streams/" + stream;
  call.headers = {{"Content-Type", "application/octet-stream"}};
  call.body = body;
  call.timeout = kAppendTimeout;
  auto finish = [done = std::move(done)](const HttpResult& result) {
    AppendResult append;
    if (!result.complete) {
      if (!result.connected) append.kind = AppendResult::Kind::kRefused;
    } else if (result.status == 200) {
      json answer = json::parse(result.body, nullptr, false);
      if (answer.is_object() && answer.contains("offset") && answer["offset"].is_number_integer()) {
        append.kind = AppendResult::Kind::kAppended;
        append.offset = answer["offset"].get<int64_t>();
      }
    } else if (result.status == 429 || result.status == 503) {
      append.kind = AppendResult::Kind::kRefused;
    }
    done(append);
  };
  this->http->Start(std::move(call), {nullptr, std::move(finish)});
}

void LogClient::Read(const std::string& stream, int64_t from, Duration wait,
                     std::function<void(const LogRead&)> done) {
  HttpCall call;
  call.url = this->base_url + "/streams/" + stream + "?from=" + std::to_string(from) +
             "&wait_ms=" + std::to_string(ToMillis(wait));
  call.timeout = wait + kReadTimeout;
  this->http->Start(std::move(call), {nullptr, [done = std::move(done)](const HttpResult& result) {
                                        done(ParseRead(result));
                                      }});
}

}  // namespace gullward

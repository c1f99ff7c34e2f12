#include "store.h"

#include <chrono>
#include <cstdlib>

namespace review {
namespace {

// Items of one page.
constexpr size_t kPage = 500;

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* before : {"?", "&"}) {
    size_t at = target.find(before + name + "=");
    if (at == std::string::npos) continue;
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
  }
  return "";
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      bool is_padding = i + k > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

std::string BigEndian(uint64_t value, size_t size) {
  std::string bytes;
  for (size_t i = size; i-- > 0;) bytes += static_cast<char>(value >> (8 * i) & 255);
  return bytes;
}

}  // namespace

Store::Store() {
  this->listener.Serve([this](Connection* connection) { this->Serve(connection); });
}

void Store::Put(const std::string& topic, const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(this->mutex);
  Topic& log = this->topics[topic];
  log.records.emplace_back(key, value);
  if (value.empty()) {
    log.newest.erase(key);
  } else {
    log.newest[key] = value;
  }
  this->changed.notify_all();
}

std::string Store::Newest(const std::string& topic, const std::string& after) {
  std::lock_guard<std::mutex> lock(this->mutex);
  const Topic& log = this->topics[topic];
  std::string items;
  size_t count = 0;
  auto next = after.empty() ? log.newest.begin() : log.newest.upper_bound(after);
  for (; next != log.newest.end() && count < kPage; ++next, ++count) {
    items += (count > 0 ? "," : "");
    items += "{\"tlsKey\":\"" + next->first + "\",\"value\":\"" + Base64(next->second) +
             "\",\"offset\":0}";
  }
  return "{\"items\":[" + items + "],\"more\":" + (next != log.newest.end() ? "true" : "false") +
         ",\"end\":" + std::to_string(log.records.size()) + "}";
}

std::string Store::Read(const std::string& topic, uint64_t from, uint64_t max_bytes, double wait) {
  std::unique_lock<std::mutex> lock(this->mutex);
  Topic& log = this->topics[topic];
  this->changed.wait_for(lock, std::chrono::duration<double>(wait),
                         [&] { return log.records.size() > from; });
  std::string body = BigEndian(log.records.size(), 8) + BigEndian(0, 8);
  for (uint64_t offset = from; offset < log.records.size(); ++offset) {
    const auto& [key, value] = log.records[offset];
    if (offset > from && body.size() + key.size() + value.size() > max_bytes) break;
    body += BigEndian(1 + key.size() + value.size(), 4) + BigEndian(key.size(), 1) + key + value;
  }
  return body;
}

void Store::Serve(Connection* connection) {
  Message request;
  while (connection->ReadHead(&request, Now() + 600)) {
    connection->ReadBody(&request, /*is_answer=*/false, Now() + 10);
    std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    std::string topic = Parameter(target, "topic");
    std::string body = "{}";
    if (path == "/v1/log-newest") {
      body = this->Newest(topic, Parameter(target, "after"));
    } else if (path == "/v1/log-read") {
      body = this->Read(topic, std::strtoull(Parameter(target, "from").c_str(), nullptr, 10),
                        1024 * std::strtoull(Parameter(target, "max_kb").c_str(), nullptr, 10),
                        std::atof(Parameter(target, "waitMs").c_str()) / 1000);
    } else if (path == "/v1/log-append") {
      size_t key_size = static_cast<unsigned char>(request.body[4]);
      this->Put(topic, request.body.substr(5, key_size), request.body.substr(5 + key_size));
    }
    if (!connection->Write(AnswerText(200, {{"Content-Type", "application/json"}}, body))) return;
  }
}

}  // namespace review

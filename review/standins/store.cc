// store ADDRESS: a stand-in for the platform's metadata store, with keyed topics of one partition.
// Serves log-newest, log-read and log-append as PROTOCOL.md describes them, with no faults.

#include <condition_variable>
#include <mutex>

#include "http.h"

using namespace review;

namespace {

struct Topic {
  std::vector<std::pair<std::string, std::string>> records;
  // Value and offset of the newest record of each key.
  std::map<std::string, std::pair<std::string, size_t>> newest;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, Topic> topics;

std::string Number(uint64_t value, int size) {
  std::string out;
  for (int i = size; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i)));
  return out;
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    }
    for (size_t j = 0; j < 4; ++j) {
      out.push_back(j <= bytes.size() - i ? kDigits[group >> (18 - 6 * j) & 63] : '=');
    }
  }
  return out;
}

std::string Answer(int status, const std::string& type, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Newest(const Topic& topic, const std::string& after) {
  std::string items;
  size_t count = 0;
  bool more = false;
  for (auto it = topic.newest.upper_bound(after); it != topic.newest.end(); ++it) {
    if (count == 500) {
      more = true;
      break;
    }
    items += (count++ ? "," : "") + std::string("{\"tlsKey\":\"") + it->first + "\",\"value\":\"" +
             Base64(it->second.first) + "\",\"offset\":" + std::to_string(it->second.second) + "}";
  }
  return "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
         ",\"end\":" + std::to_string(topic.records.size()) + "}";
}

std::string Tail(const Topic& topic, size_t from, size_t max_bytes) {
  std::string out = Number(topic.records.size(), 8) + Number(0, 8);
  for (size_t i = from; i < topic.records.size(); ++i) {
    const auto& [key, value] = topic.records[i];
    if (i > from && out.size() + key.size() + value.size() > max_bytes) break;
    out += Number(1 + key.size() + value.size(), 4) + Number(key.size(), 1) + key + value;
  }
  return out;
}

void Append(Topic* topic, const std::string& body) {
  size_t at = 0;
  while (at + 5 <= body.size()) {
    size_t size = 0;
    for (size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(body[at + i]);
    size_t key_size = static_cast<unsigned char>(body[at + 4]);
    std::string key = body.substr(at + 5, key_size);
    std::string value = body.substr(at + 5 + key_size, size - 1 - key_size);
    if (value.empty()) {
      topic->newest.erase(key);
    } else {
      topic->newest[key] = {value, topic->records.size()};
    }
    topic->records.emplace_back(key, value);
    at += 4 + size;
  }
}

std::string Handle(const Message& request) {
  std::map<std::string, std::string> query = Query(request.Target());
  SleepMs(1);
  std::unique_lock<std::mutex> lock(mutex);
  Topic& topic = topics[query["topic"]];
  if (request.Path() == "/v1/log-newest") {
    return Answer(200, "application/json", Newest(topic, query["after"]));
  }
  if (request.Path() == "/v1/log-read") {
    size_t from = std::strtoull(query["from"].c_str(), nullptr, 10);
    size_t max_kb =
        query.count("max_kb") ? std::strtoull(query["max_kb"].c_str(), nullptr, 10) : 1024;
    auto wait = std::chrono::milliseconds(std::min(30000, std::atoi(query["waitMs"].c_str())));
    changed.wait_for(lock, wait, [&] { return topic.records.size() > from; });
    return Answer(200, "application/octet-stream", Tail(topic, from, max_kb * 1024));
  }
  if (request.Path() == "/v1/log-append") {
    size_t offset = topic.records.size();
    Append(&topic, request.body);
    changed.notify_all();
    return Answer(200, "application/json",
                  "{\"offset\":" + std::to_string(offset) +
                      ",\"end\":" + std::to_string(topic.records.size()) + "}");
  }
  return Answer(404, "application/json", "{}");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  Serve(ParseAddress(argv[1]), [](Channel& channel) {
    Message request;
    while (channel.ReadHead(&request) && channel.ReadBody(&request, false)) {
      if (!channel.Send(Handle(request))) return;
    }
  });
}

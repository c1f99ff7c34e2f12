// A streamed completion that a test can watch while it runs.

#ifndef GULLWARD_TESTING_STREAMED_CALL_H_
#define GULLWARD_TESTING_STREAMED_CALL_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http/http_client.h"

namespace gullward {

class StreamedCall {
 public:
  StreamedCall(const std::string& url, const HttpHeaders& headers, const std::string& body) {
    this->thread = std::thread([this, url, headers, body] { this->Run(url, headers, body); });
  }
  ~StreamedCall() {
    this->Disconnect();
    this->thread.join();
  }
  StreamedCall(const StreamedCall&) = delete;
  StreamedCall& operator=(const StreamedCall&) = delete;

  // The text passed on so far.
  std::string text() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->got;
  }
  // Whether "[DONE]" came.
  bool received_done() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->ended_whole;
  }
  bool is_finished() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->is_over;
  }
  HttpResult result() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->answer;
  }
  // The error event of a stream that broke.
  nlohmann::json error() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->error_event;
  }
  // Closes the connection.
  void Disconnect() { this->loop.Stop(); }

 private:
  void Run(const std::string& url, const HttpHeaders& headers, const std::string& body) {
    HttpClient client(&this->loop);
    HttpCall call;
    call.method = "POST";
    call.url = url;
    call.headers = headers;
    call.body = body;
    call.timeout = seconds(90);
    HttpClient::Hooks hooks;
    hooks.data = [this](const std::string& part) { this->Take(part); };
    hooks.done = [this](const HttpResult& result) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->answer = result;
      this->is_over = true;
      this->loop.Stop();
    };
    client.Start(std::move(call), std::move(hooks));
    this->loop.Run();
  }

  void Take(const std::string& part) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unread += part;
    for (size_t end = this->unread.find("\n\n"); end != std::string::npos;
         end = this->unread.find("\n\n")) {
      std::string data = this->unread.substr(6, end - 6);
      this->unread.erase(0, end + 2);
      if (data == "[DONE]") this->ended_whole = true;
      nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
      if (!event.is_object()) continue;
      if (event.contains("error")) this->error_event = event["error"];
      if (!event.contains("choices") || event["choices"].empty()) continue;
      this->got += event["choices"][0].value("text", std::string());
    }
  }

  EventLoop loop;
  std::mutex mutex;
  std::string unread;
  std::string got;
  bool ended_whole = false;
  bool is_over = false;
  HttpResult answer;
  nlohmann::json error_event;
  std::thread thread;
};

}  // namespace gullward

#endif  // GULLWARD_TESTING_STREAMED_CALL_H_

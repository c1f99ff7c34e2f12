// A streamed completion whose text a test can read while the stream is running.

#ifndef GULLWARD_TESTING_STREAMED_CALL_H_
#define GULLWARD_TESTING_STREAMED_CALL_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http/http_client.h"

namespace gullward {

// Runs one streamed call on a thread of its own.  All member functions are safe to call from
// the test's thread at any time.
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

  // The text received so far.
  std::string text() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->received_text;
  }
  // Whether the final event "[DONE]" has been received, that is, the answer is complete.
  bool received_done() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->has_received_done;
  }
  // Whether the call has ended, with or without a complete answer.
  bool is_finished() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->has_ended;
  }
  // The result of the HTTP call; empty until is_finished().
  HttpResult result() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->answer;
  }
  // The error event of a stream that failed; null if there was none.
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
    hooks.data = [this](const std::string& part) { this->ReceivePart(part); };
    hooks.done = [this](const HttpResult& result) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->answer = result;
      this->has_ended = true;
      this->loop.Stop();
    };
    client.Start(std::move(call), std::move(hooks));
    this->loop.Run();
  }

  void ReceivePart(const std::string& part) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unread += part;
    for (size_t end = this->unread.find("\n\n"); end != std::string::npos;
         end = this->unread.find("\n\n")) {
      std::string data = this->unread.substr(6, end - 6);
      this->unread.erase(0, end + 2);
      if (data == "[DONE]") this->has_received_done = true;
      nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
      if (!event.is_object()) continue;
      if (event.contains("error")) this->error_event = event["error"];
      if (!event.contains("choices") || event["choices"].empty()) continue;
      this->received_text += event["choices"][0].value("text", std::string());
    }
  }

  EventLoop loop;
  std::mutex mutex;
  std::string unread;
  std::string received_text;
  bool has_received_done = false;
  bool has_ended = false;
  HttpResult answer;
  nlohmann::json error_event;
  std::thread thread;
};

}  // namespace gullward

#endif  // GULLWARD_TESTING_STREAMED_CALL_H_

// The client's thread runs libcurl's multi interface.  Start and Cancel add commands to
// two lists, which the thread takes over after curl_multi_wakeup has woken it.

#include "http/http_client.h"

#include <curl/curl.h>
#include <glog/logging.h>

#include <utility>

#include "http/head_check.h"

namespace gullward {
namespace {

constexpr int kPollMillis = 1000;
constexpr long kMaxIdleConnections = 256;

void InitLibrary() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_ALL);
  CHECK_EQ(result, CURLE_OK);
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

struct HttpClient::Transfer {
  ~Transfer() {
    if (this->easy != nullptr) curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->header_list);
  }

  uint64_t number = 0;
  HttpCall call;
  bool has_data_hook = false;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  HeadCheck head;
  std::string body;
  EventLoop* loop = nullptr;
  std::shared_ptr<std::unordered_map<uint64_t, Hooks>> hooks;
};

HttpClient::HttpClient(EventLoop* event_loop)
    : loop(event_loop), hooks(std::make_shared<std::unordered_map<uint64_t, Hooks>>()) {
  InitLibrary();
  this->multi = curl_multi_init();
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  this->thread = std::thread([this] { this->RunThread(); });
}

HttpClient::~HttpClient() {
  this->stopping.store(true);
  curl_multi_wakeup(this->multi);
  this->thread.join();
  for (auto& [easy, transfer] : this->running) curl_multi_remove_handle(this->multi, easy);
  this->running.clear();
  curl_multi_cleanup(this->multi);
}

uint64_t HttpClient::Start(HttpCall call, Hooks call_hooks) {
  uint64_t number = this->next_call++;
  auto transfer = std::make_unique<Transfer>();
  transfer->number = number;
  transfer->call = std::move(call);
  transfer->has_data_hook = static_cast<bool>(call_hooks.data);
  transfer->loop = this->loop;
  transfer->hooks = this->hooks;
  (*this->hooks)[number] = std::move(call_hooks);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->to_start.push_back(std::move(transfer));
  }
  curl_multi_wakeup(this->multi);
  return number;
}

void HttpClient::Cancel(uint64_t call) {
  if (this->hooks->erase(call) == 0) return;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->to_cancel.push_back(call);
  }
  curl_multi_wakeup(this->multi);
}

// libcurl fails the transfer if fewer bytes are taken than it has passed.
size_t HttpClient::ReceiveHeadLine(char* data, size_t size, size_t count, void* cls) {
  auto* transfer = static_cast<Transfer*>(cls);
  size_t bytes = size * count;
  return transfer->head.AddLine(std::string_view(data, bytes)) ? bytes : 0;
}

size_t HttpClient::ReceiveBody(char* data, size_t size, size_t count, void* cls) {
  auto* transfer = static_cast<Transfer*>(cls);
  size_t bytes = size * count;
  if (!transfer->head.status()) return 0;
  if (transfer->has_data_hook && IsSuccess(*transfer->head.status())) {
    transfer->loop->Post(
        [hooks = transfer->hooks, number = transfer->number, part = std::string(data, bytes)] {
          auto found = hooks->find(number);
          if (found == hooks->end()) return;
          // A copy, since the hook may cancel its own call.
          std::function<void(const std::string&)> hook = found->second.data;
          hook(part);
        });
    return bytes;
  }
  if (transfer->body.size() + bytes > transfer->call.max_body_bytes) return 0;
  transfer->body.append(data, bytes);
  return bytes;
}

void HttpClient::RunThread() {
  while (!this->stopping.load()) {
    this->ProcessCommands();
    int still_running = 0;
    curl_multi_perform(this->multi, &still_running);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        this->FinishTransfer(message->easy_handle, message->data.result);
      }
    }
    curl_multi_poll(this->multi, nullptr, 0, kPollMillis, nullptr);
  }
}

void HttpClient::ProcessCommands() {
  std::vector<std::unique_ptr<Transfer>> begin;
  std::vector<uint64_t> cancel;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    begin.swap(this->to_start);
    cancel.swap(this->to_cancel);
  }
  for (std::unique_ptr<Transfer>& transfer : begin) this->StartTransfer(std::move(transfer));
  for (uint64_t number : cancel) {
    for (auto it = this->running.begin(); it != this->running.end(); ++it) {
      if (it->second->number != number) continue;
      curl_multi_remove_handle(this->multi, it->first);
      this->running.erase(it);
      break;
    }
  }
}

void HttpClient::StartTransfer(std::unique_ptr<Transfer> transfer) {
  CURL* easy = curl_easy_init();
  transfer->easy = easy;
  const HttpCall& call = transfer->call;
  for (const auto& [name, value] : call.headers) {
    std::string line = name + ": " + value;
    transfer->header_list = curl_slist_append(transfer->header_list, line.c_str());
  }
  // Turns off libcurl's "Expect: 100-continue", which would cost a round trip: our peers
  // accept the body at once.
  transfer->header_list = curl_slist_append(transfer->header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_list);
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(ToMillis(call.timeout)));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.repeatable ? 0L : 1L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpClient::ReceiveHeadLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpClient::ReceiveBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_multi_add_handle(this->multi, easy);
  this->running[easy] = std::move(transfer);
}

void HttpClient::FinishTransfer(void* easy, int curl_result) {
  auto found = this->running.find(easy);
  if (found == this->running.end()) return;
  std::unique_ptr<Transfer> transfer = std::move(found->second);
  this->running.erase(found);
  HttpResult result;
  result.complete = curl_result == CURLE_OK && transfer->head.status();
  // With these errors no byte of the call has been sent.
  result.connected = curl_result != CURLE_COULDNT_CONNECT &&
                     curl_result != CURLE_COULDNT_RESOLVE_HOST &&
                     curl_result != CURLE_URL_MALFORMAT;
  if (curl_result != CURLE_OK) {
    result.error = curl_easy_strerror(static_cast<CURLcode>(curl_result));
  }
  // The check fails a transfer through libcurl, whose description then says less.
  std::string_view head_error = transfer->head.error();
  if (!result.complete && !head_error.empty()) result.error = head_error;
  result.status = transfer->head.status().value_or(0);
  char* content_type = nullptr;
  curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &content_type);
  if (content_type != nullptr) result.content_type = content_type;
  result.body = std::move(transfer->body);
  curl_multi_remove_handle(this->multi, easy);
  this->loop->Post(
      [call_hooks = transfer->hooks, number = transfer->number, result = std::move(result)] {
        auto found_hooks = call_hooks->find(number);
        if (found_hooks == call_hooks->end()) return;
        Hooks last = std::move(found_hooks->second);
        call_hooks->erase(found_hooks);
        if (last.done) last.done(result);
      });
}

HttpResult CallAndWait(HttpCall call) {
  EventLoop loop;
  HttpClient client(&loop);
  HttpResult answer;
  client.Start(std::move(call), {nullptr, [&](const HttpResult& result) {
                                   answer = result;
                                   loop.Stop();
                                 }});
  loop.Run();
  return answer;
}

}  // namespace gullward

// The callbacks of libmicrohttpd, which map its requests to HttpExchange.
//
// The library calls the access handler several times for one request: first
// with the headers, then for each part of the body, then with the body
// complete, and once more each time a suspended connection is resumed.  The
// flags of the exchange distinguish these calls.

#include "http/http_server.h"

#include <glog/logging.h>
#include <microhttpd.h>
#include <poll.h>

#include <algorithm>
#include <cctype>

namespace gullward {
namespace {

// A body over the limit is read and discarded up to this many times the limit, so that
// the caller receives its answer.  The connection of a longer body is closed.
constexpr size_t kDiscardFactor = 2;
constexpr size_t kStreamBlockBytes = 32u << 10;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

MHD_Result CollectHeader(void* headers, MHD_ValueKind, const char* key, const char* value) {
  auto* map = static_cast<std::map<std::string, std::string>*>(headers);
  (*map)[LowerCase(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectQuery(void* query, MHD_ValueKind, const char* key, const char* value) {
  auto* map = static_cast<std::map<std::string, std::string>*>(query);
  (*map)[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

void AddHeaders(MHD_Response* answer, const HttpResponse& response) {
  if (!response.content_type.empty()) {
    MHD_add_response_header(answer, MHD_HTTP_HEADER_CONTENT_TYPE, response.content_type.c_str());
  }
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(answer, name.c_str(), value.c_str());
  }
}

void FreeReference(void* reference) {
  delete static_cast<std::shared_ptr<HttpExchange>*>(reference);
}

}  // namespace

// The library's callbacks, as a struct so that both classes can declare it a friend: the
// callbacks use private members of both.
struct HttpServerCallbacks {
  static ssize_t ReadStream(void* cls, uint64_t, char* buffer, size_t max) {
    HttpExchange& exchange = **static_cast<std::shared_ptr<HttpExchange>*>(cls);
    std::lock_guard<std::mutex> lock(exchange.mutex);
    if (exchange.aborted) return MHD_CONTENT_READER_END_WITH_ERROR;
    if (!exchange.stream_buffer.empty()) {
      size_t count = std::min(max, exchange.stream_buffer.size());
      std::copy_n(exchange.stream_buffer.data(), count, buffer);
      exchange.stream_buffer.erase(0, count);
      return static_cast<ssize_t>(count);
    }
    if (exchange.stream_finished) return MHD_CONTENT_READER_END_OF_STREAM;
    MHD_suspend_connection(exchange.connection);
    exchange.suspended = true;
    return 0;
  }

  static MHD_Result QueueResponse(MHD_Connection* connection,
                                  const std::shared_ptr<HttpExchange>& exchange) {
    {
      std::lock_guard<std::mutex> lock(exchange->mutex);
      if (exchange->aborted) return MHD_NO;
    }
    // The exchange's lock must not be held here.  The library locks the response and then
    // calls ReadStream, which takes the exchange's lock; the opposite order here would
    // deadlock.  The fields that are read below no longer change, since the exchange has
    // been answered.
    MHD_Response* answer;
    if (exchange->streaming) {
      answer = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadStream,
                                                 new std::shared_ptr<HttpExchange>(exchange),
                                                 &FreeReference);
    } else {
      std::string& body = exchange->response.body;
      answer = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    }
    AddHeaders(answer, exchange->response);
    auto status = static_cast<unsigned>(exchange->response.status);
    MHD_Result result = MHD_queue_response(connection, status, answer);
    MHD_destroy_response(answer);
    return result;
  }

  static std::shared_ptr<HttpExchange>* NewExchange(HttpServer* server, MHD_Connection* connection,
                                                    const char* url, const char* method) {
    auto exchange = std::make_shared<HttpExchange>();
    exchange->connection = connection;
    exchange->fd =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    exchange->method = method;
    exchange->path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader, &exchange->headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery, &exchange->query);
    std::lock_guard<std::mutex> lock(server->mutex);
    server->open_exchanges.insert(exchange);
    return new std::shared_ptr<HttpExchange>(exchange);
  }

  static MHD_Result ReceiveBody(const HttpServer& server, HttpExchange& exchange, const char* data,
                                size_t* size) {
    size_t limit = server.options.max_body_bytes;
    if (exchange.body.size() + *size > limit) exchange.body_result = ResultCode::kBodyTooLarge;
    if (exchange.body_result == ResultCode::kOk) {
      exchange.body.append(data, *size);
    } else {
      exchange.body.clear();
      exchange.discarded_bytes += *size;
      if (exchange.discarded_bytes > kDiscardFactor * limit) return MHD_NO;
    }
    *size = 0;
    return MHD_YES;
  }

  static MHD_Result CallHandler(HttpServer* server, MHD_Connection* connection,
                                const std::shared_ptr<HttpExchange>& exchange) {
    exchange->handler_called = true;
    {
      std::lock_guard<std::mutex> lock(exchange->mutex);
      // Once Stop has resumed the suspended connections, no further connection may be
      // suspended, since the library must not be stopped while one is.
      if (exchange->aborted || server->stopping.load()) return MHD_NO;
      MHD_suspend_connection(connection);
      exchange->suspended = true;
    }
    server->handler(exchange);
    return MHD_YES;
  }

  static MHD_Result Access(void* cls, MHD_Connection* connection, const char* url,
                           const char* method, const char*, const char* data, size_t* size,
                           void** context) {
    auto* server = static_cast<HttpServer*>(cls);
    if (*context == nullptr) {
      *context = NewExchange(server, connection, url, method);
      return MHD_YES;
    }
    std::shared_ptr<HttpExchange> exchange = *static_cast<std::shared_ptr<HttpExchange>*>(*context);
    if (*size > 0) return ReceiveBody(*server, *exchange, data, size);
    if (!exchange->handler_called) return CallHandler(server, connection, exchange);
    bool ready;
    {
      std::lock_guard<std::mutex> lock(exchange->mutex);
      ready = exchange->responded || exchange->aborted;
      if (!ready) {
        MHD_suspend_connection(connection);
        exchange->suspended = true;
      }
    }
    return ready ? QueueResponse(connection, exchange) : MHD_YES;
  }

  static void Completed(void* cls, MHD_Connection*, void** context,
                        MHD_RequestTerminationCode code) {
    auto* server = static_cast<HttpServer*>(cls);
    auto* reference = static_cast<std::shared_ptr<HttpExchange>*>(*context);
    if (reference == nullptr) return;
    std::shared_ptr<HttpExchange> exchange = *reference;
    delete reference;
    *context = nullptr;
    {
      std::lock_guard<std::mutex> lock(server->mutex);
      server->open_exchanges.erase(exchange);
    }
    std::function<void()> gone;
    {
      std::lock_guard<std::mutex> lock(exchange->mutex);
      exchange->completed = true;
      exchange->suspended = false;
      if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK) exchange->answered_whole = true;
      if (!exchange->answered_whole) gone = std::move(exchange->gone);
      exchange->gone = nullptr;
    }
    if (gone) gone();
  }
};

std::string HttpExchange::Header(const std::string& lower_case_name) const {
  auto found = this->headers.find(lower_case_name);
  return found == this->headers.end() ? "" : found->second;
}

void HttpExchange::OnGone(std::function<void()> hook) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->completed && !this->aborted) {
      this->gone = std::move(hook);
      return;
    }
  }
  hook();
}

void HttpExchange::Respond(HttpResponse answer) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->responded) return;
  this->responded = true;
  this->response = std::move(answer);
  this->ResumeLocked();
}

void HttpExchange::StartStream(int status, const std::string& content_type,
                               const HttpHeaders& stream_headers) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->responded) return;
  this->responded = true;
  this->streaming = true;
  this->response = {status, content_type, stream_headers, ""};
  this->ResumeLocked();
}

size_t HttpExchange::Write(const std::string& part) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->completed || this->aborted) return 0;
  this->stream_buffer += part;
  this->ResumeLocked();
  return this->stream_buffer.size();
}

void HttpExchange::FinishStream() {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stream_finished = true;
  this->ResumeLocked();
}

void HttpExchange::Abort() {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->aborted = true;
  this->ResumeLocked();
}

void HttpExchange::ResumeLocked() {
  if (!this->suspended) return;
  this->suspended = false;
  MHD_resume_connection(this->connection);
}

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() { this->Stop(); }

absl::Status HttpServer::Start(const Options& server_options, Handler server_handler) {
  this->options = server_options;
  this->handler = std::move(server_handler);
  absl::StatusOr<int> listening = ListenTcp(this->options.address);
  if (!listening.ok()) return listening.status();
  this->bound_port = LocalPort(*listening);
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  this->daemon =
      MHD_start_daemon(flags, 0, nullptr, nullptr, &HttpServerCallbacks::Access, this,  //
                       MHD_OPTION_LISTEN_SOCKET, *listening,                            //
                       MHD_OPTION_THREAD_POOL_SIZE, this->options.threads,              //
                       MHD_OPTION_CONNECTION_TIMEOUT, this->options.idle_timeout_seconds,
                       MHD_OPTION_CONNECTION_LIMIT, this->options.max_connections,
                       MHD_OPTION_NOTIFY_COMPLETED, &HttpServerCallbacks::Completed, this,  //
                       MHD_OPTION_END);
  if (this->daemon == nullptr) return absl::InternalError("cannot start the HTTP server");
  return absl::OkStatus();
}

void HttpServer::Stop() {
  if (this->daemon == nullptr) return;
  std::vector<std::shared_ptr<HttpExchange>> open;
  this->stopping.store(true);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    open.assign(this->open_exchanges.begin(), this->open_exchanges.end());
  }
  // The library must not be stopped while a connection is suspended; Abort resumes it.
  for (const std::shared_ptr<HttpExchange>& exchange : open) exchange->Abort();
  MHD_stop_daemon(this->daemon);
  this->daemon = nullptr;
}

void HttpServer::SweepClosed() {
  // The lock is held throughout, because only an exchange that is still in the set owns
  // its socket.
  std::vector<std::function<void()>> hooks;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<pollfd> polls;
    std::vector<std::shared_ptr<HttpExchange>> polled;
    for (const std::shared_ptr<HttpExchange>& exchange : this->open_exchanges) {
      std::lock_guard<std::mutex> exchange_lock(exchange->mutex);
      if (!exchange->suspended) continue;
      polls.push_back({exchange->fd, POLLRDHUP, 0});
      polled.push_back(exchange);
    }
    if (polls.empty() || poll(polls.data(), polls.size(), 0) <= 0) return;
    for (size_t i = 0; i < polls.size(); ++i) {
      if ((polls[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) continue;
      std::lock_guard<std::mutex> exchange_lock(polled[i]->mutex);
      if (polled[i]->gone) hooks.push_back(std::move(polled[i]->gone));
      polled[i]->gone = nullptr;
      polled[i]->aborted = true;
      polled[i]->ResumeLocked();
    }
  }
  for (std::function<void()>& hook : hooks) hook();
}

}  // namespace gullward

#include "model-engine.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace review {
namespace {

std::mutex registry_mutex;
std::map<std::string, ModelEngine*> registry;

ModelEngine* EngineAt(const std::string& address) {
  std::lock_guard<std::mutex> lock(registry_mutex);
  auto found = registry.find(address);
  return found == registry.end() ? nullptr : found->second;
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: event-" + std::to_string(id) + "\n\n";
}

}  // namespace

ModelEngine::ModelEngine(const Options& engine_options, Record* case_record)
    : options(engine_options), record(case_record), random(engine_options.seed) {
  this->listener.Serve([this](Connection* connection) { this->Serve(connection); });
}

void ModelEngine::Register(ModelEngine* engine) {
  std::lock_guard<std::mutex> lock(registry_mutex);
  registry[engine->address()] = engine;
}

bool ModelEngine::DrawFault(double share) {
  double period = this->options.spell + this->options.between_spells;
  bool is_in_spell =
      std::fmod(MonotonicSeconds() - this->options.spells_begin, period) < this->options.spell;
  if (!is_in_spell) return false;
  std::lock_guard<std::mutex> lock(this->mutex);
  return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

bool ModelEngine::HasTicket(const std::string& ticket) {
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->tickets.find(ticket);
  return found != this->tickets.end() && found->second.until > Now();
}

void ModelEngine::AwaitPass() {
  if (this->in_progress > 0) SleepFor(this->options.pass_left_s);
}

bool ModelEngine::HelpersAreReady(const Message& request, std::string* at_fault) {
  std::string list = request.Header("Helpers");
  while (!list.empty()) {
    std::string entry = list.substr(0, list.find(','));
    list = entry.size() < list.size() ? list.substr(entry.size() + 1) : "";
    std::string address = entry.substr(0, entry.find('/'));
    std::string ticket = entry.size() > address.size() ? entry.substr(address.size() + 1) : "";
    ModelEngine* helper = EngineAt(address);
    bool is_ready = helper != nullptr && (ticket.empty() || helper->HasTicket(ticket));
    if (is_ready) continue;
    *at_fault = address;
    return false;
  }
  return true;
}

bool ModelEngine::AnswerOrder(Connection* connection, const std::string& order) {
  std::string op = JsonField(order, "op");
  std::string ticket = JsonField(order, "id");
  this->AwaitPass();
  int status = 200;
  uint64_t free = 0;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::erase_if(this->tickets, [](const auto& entry) { return entry.second.until <= Now(); });
    uint64_t used = this->options.used_by_others;
    for (const auto& [name, held] : this->tickets) used += name == ticket ? 0 : held.tokens;
    free = this->options.memory_tokens - std::min(used, this->options.memory_tokens);
    if (op == "release") {
      this->tickets.erase(ticket);
    } else {
      uint64_t tokens = std::strtoull(JsonField(order, "tokens").c_str(), nullptr, 10);
      double hold = std::atof(JsonField(order, "holdMs").c_str()) / 1000;
      status = tokens <= free ? 200 : 409;
      if (status == 200) this->tickets[ticket] = {tokens, Now() + hold};
    }
  }
  this->record->Line(this->options.id + " answers the order " + op + " " + ticket + " with " +
                     std::to_string(status));
  return connection->Write(AnswerText(status, {{"Content-Type", "application/json"}},
                                      "{\"free\":" + std::to_string(free) + "}"));
}

bool ModelEngine::Stream(Connection* connection, const Message& request) {
  std::string attempt = request.Header("Attempt-Id");
  bool is_unframed = this->DrawFault(this->options.unframed_share);
  this->record->Line(this->options.id + " runs " + attempt + (is_unframed ? ", unframed" : ""));
  int helpers = request.HasHeader("Helpers") ? 2 : 1;
  SleepFor(std::atof(request.Header("Token-Count").c_str()) / this->options.read_per_s / helpers);
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt +
      "\r\nResponse-Seal: seal-" + attempt + "\r\nVersions: 1\r\n";
  head += is_unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection->Write(head)) return false;
  int first = 1 + std::atoi(request.Header("Last-Event-Id").c_str());
  for (int id = first; id <= this->options.events; ++id) {
    SleepFor(this->options.event_interval);
    std::string event = Event(id);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (connection->IsClosed()) return false;
    if (!connection->Write(is_unframed ? event : size + event + "\r\n")) return false;
  }
  this->record->Line(this->options.id + " has answered " + attempt + " with 200");
  return !is_unframed && connection->Write("0\r\n\r\n");
}

void ModelEngine::Serve(Connection* connection) {
  Message request;
  std::string late_answer;
  while (connection->ReadHead(&request, Now() + 60)) {
    connection->ReadBody(&request, /*is_answer=*/false, Now() + 10);
    if (!late_answer.empty()) {
      this->record->Line(this->options.id + " sends its last answer on this channel once more");
      if (!connection->Write(std::exchange(late_answer, ""))) return;
    }
    std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != this->options.id) {
      if (!connection->Write(AnswerText(421, {{"Instance-Id", this->options.id}}, ""))) return;
      continue;
    }
    if (request.Target() == "/v1/order") {
      if (!this->AnswerOrder(connection, request.body)) return;
      continue;
    }
    std::string at_fault;
    bool is_full = this->in_progress >= this->options.slots + this->options.queue;
    if (is_full || !this->HelpersAreReady(request, &at_fault)) {
      std::vector<std::pair<std::string, std::string>> headers = {{"Not-Run", "1"}};
      if (!at_fault.empty()) headers.emplace_back("At-Server", at_fault);
      if (!at_fault.empty()) this->AwaitPass();
      if (!connection->Write(AnswerText(503, headers, ""))) return;
      continue;
    }
    this->in_progress += 1;
    bool is_kept = this->Stream(connection, request);
    this->in_progress -= 1;
    if (!is_kept) return;
    if (this->DrawFault(this->options.extra_share)) {
      std::string attempt = request.Header("Attempt-Id");
      late_answer = AnswerText(200, {{"Attempt-Id", attempt}, {"Response-Seal", "seal-" + attempt}},
                               Event(1));
    }
  }
}

}  // namespace review

// gullward-load: sends prompts to entries and checks every answer.
//
// Prompts are cut from real text files to given lengths in tokens.  The load is open loop:
// requests are sent at fixed times, whether or not earlier ones have been answered.  The answer
// of the stand-in engine is a pure function of the prompt (standins/answer.h), so each answer is
// compared completely with the expected one.  The program prints a table of the time to first
// token by length and exits with 1 if any answer was wrong or missing.
//
//   gullward-load --entries=127.0.0.1:8080,127.0.0.1:8081 --key=KEY
//       --corpus=README.md,docs/DESIGN.md --lengths=1000,100000 --requests=20

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "http/http_client.h"
#include "process/process.h"
#include "standins/answer.h"

DEFINE_string(entries, "", "IP:PORT of each entry, separated by commas");
DEFINE_string(key, "", "API key");
DEFINE_string(model, "base", "name of the model");
DEFINE_string(corpus, "", "text files that prompts are cut from, separated by commas");
DEFINE_string(lengths, "1000", "prompt lengths in tokens, separated by commas");
DEFINE_int32(requests, 4, "number of requests of each length");
DEFINE_double(per_second, 20, "requests sent per second");
DEFINE_int32(max_tokens, 64, "maximum number of tokens in an answer");
DEFINE_double(timeout_seconds, 120, "timeout of each request, in seconds");

namespace gullward {
namespace {

using nlohmann::json;

struct SentRequest {
  uint64_t length = 0;
  std::string expected;
  std::string answer;
  std::string unparsed;
  Time sent_at;
  Time first_at;
  Time last_at;
  bool has_first = false;
  bool ended = false;
  int status = 0;
  std::string error;
};

std::vector<std::string> SplitFlag(const std::string& text) {
  return absl::StrSplit(text, ',', absl::SkipEmpty());
}

std::string ReadCorpus() {
  std::string corpus;
  for (const std::string& path : SplitFlag(FLAGS_corpus)) {
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    corpus += text.str();
  }
  return corpus;
}

// Returns a prompt of `tokens` tokens, cut from the corpus at a position that depends on `index`.
std::string CutPrompt(const std::string& corpus, uint64_t tokens, size_t index) {
  size_t bytes = tokens * kBytesPerToken;
  std::string prompt = "request " + std::to_string(index) + "\n";
  size_t at = (index * 7919) % corpus.size();
  while (prompt.size() < bytes) {
    size_t count = std::min(bytes - prompt.size(), corpus.size() - at);
    prompt += corpus.substr(at, count);
    at = 0;
  }
  return prompt;
}

void ParseEvents(SentRequest* sent, const std::string& chunk) {
  sent->unparsed += chunk;
  for (size_t end = sent->unparsed.find("\n\n"); end != std::string::npos;
       end = sent->unparsed.find("\n\n")) {
    std::string event = sent->unparsed.substr(0, end);
    sent->unparsed.erase(0, end + 2);
    if (event.compare(0, 6, "data: ") != 0) continue;
    std::string data = event.substr(6);
    if (data == "[DONE]") {
      sent->ended = true;
      continue;
    }
    json value = json::parse(data, nullptr, false);
    if (!value.is_object()) continue;
    if (value.contains("error")) sent->error = value["error"].dump();
    if (!value.contains("choices") || value["choices"].empty()) continue;
    std::string text = value["choices"][0].value("text", std::string());
    if (text.empty()) continue;
    if (!sent->has_first) sent->first_at = Now();
    sent->has_first = true;
    sent->last_at = Now();
    sent->answer += text;
  }
}

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  auto index = static_cast<size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
  return values[index];
}

class LoadRun {
 public:
  LoadRun() : client(&this->loop), corpus(ReadCorpus()), entries(SplitFlag(FLAGS_entries)) {}

  int Run() {
    if (this->corpus.empty() || this->entries.empty()) {
      std::fprintf(stderr, "--entries and --corpus must not be empty\n");
      return kExitUsage;
    }
    std::vector<std::string> lengths = SplitFlag(FLAGS_lengths);
    // Lengths alternate, so that long and short requests run at the same time.
    for (int i = 0; i < FLAGS_requests; ++i) {
      for (const std::string& length : lengths) {
        size_t index = this->requests.size();
        this->requests.emplace_back();
        this->requests.back().length = std::stoull(length);
        this->loop.RunAfter(FromSeconds(static_cast<double>(index) / FLAGS_per_second),
                            [this, index] { this->Send(index); });
      }
    }
    this->remaining = this->requests.size();
    this->loop.Run();
    return this->Report();
  }

 private:
  void Send(size_t index) {
    SentRequest& sent = this->requests[index];
    std::string prompt = CutPrompt(this->corpus, sent.length, index);
    auto max_tokens = static_cast<uint32_t>(FLAGS_max_tokens);
    sent.expected = ExpectedAnswer(prompt, max_tokens);
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->entries[index % this->entries.size()] + "/v1/completions";
    call.headers = {{"Authorization", "Bearer " + FLAGS_key},
                    {"Content-Type", "application/json"},
                    {"Gullward-Timeout", std::to_string(FLAGS_timeout_seconds)}};
    call.body = json{
        {"model", FLAGS_model},
        {"prompt", prompt},
        {"max_tokens", max_tokens},
        {"stream",
         true}}.dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeout = FromSeconds(FLAGS_timeout_seconds + 10);
    sent.sent_at = Now();
    HttpClient::Hooks hooks;
    hooks.data = [this, index](const std::string& chunk) {
      ParseEvents(&this->requests[index], chunk);
    };
    hooks.done = [this, index](const HttpResult& result) {
      this->requests[index].status = result.status;
      if (result.status != 200) this->requests[index].error = result.body + result.error;
      if (--this->remaining == 0) this->loop.Stop();
    };
    this->client.Start(std::move(call), std::move(hooks));
  }

  int Report() const {
    std::map<uint64_t, std::vector<double>> first_seconds;
    std::map<uint64_t, int> correct;
    std::map<uint64_t, int> wrong;
    for (const SentRequest& sent : this->requests) {
      bool is_whole = sent.ended && sent.answer == sent.expected;
      ++(is_whole ? correct : wrong)[sent.length];
      if (sent.has_first)
        first_seconds[sent.length].push_back(ToSeconds(sent.first_at - sent.sent_at));
      if (!is_whole) {
        std::printf("not whole: length %llu status %d %s\n",
                    static_cast<unsigned long long>(sent.length), sent.status, sent.error.c_str());
      }
    }
    std::printf("%10s %8s %8s %12s %12s\n", "tokens", "whole", "wrong", "first p50 s",
                "first p95 s");
    int failures = 0;
    for (const auto& [length, values] : first_seconds) correct.try_emplace(length, 0);
    for (const auto& [length, count] : wrong) correct.try_emplace(length, 0);
    for (const auto& [length, count] : correct) {
      auto bad = wrong.find(length);
      int wrong_count = bad == wrong.end() ? 0 : bad->second;
      failures += wrong_count;
      auto values = first_seconds.find(length);
      std::vector<double> times =
          values == first_seconds.end() ? std::vector<double>() : values->second;
      std::printf("%10llu %8d %8d %12.3f %12.3f\n", static_cast<unsigned long long>(length), count,
                  wrong_count, Percentile(times, 0.5), Percentile(times, 0.95));
    }
    return failures == 0 ? 0 : 1;
  }

  EventLoop loop;
  HttpClient client;
  std::string corpus;
  std::vector<std::string> entries;
  std::vector<SentRequest> requests;
  size_t remaining = 0;
};

}  // namespace
}  // namespace gullward

int main(int argc, char** argv) {
  gullward::InitProcess("gullward-load: sends prompts to entries and checks every answer", &argc,
                        &argv);
  return gullward::LoadRun().Run();
}

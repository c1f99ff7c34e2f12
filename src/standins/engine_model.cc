// Steps, memory and prefix cache of the simulated engine.

#include "standins/engine_model.h"

#include <algorithm>

#include "standins/answer.h"

namespace gullward {

EngineModel::EngineModel(const EngineModelOptions& model_options) : options(model_options) {}

EngineModel::SubmitResult EngineModel::Submit(const EngineJob& job, Time now) {
  if (this->held.count(job.allocation) > 0) return SubmitResult::kDuplicate;
  uint64_t needed = job.prompt_tokens + (job.keep ? 0 : job.max_tokens);
  uint64_t tokens = std::max(job.memory_tokens, needed);
  if (tokens > this->free_tokens()) return SubmitResult::kNoMemory;
  this->held[job.allocation] = {tokens, job.prompt_tokens, job.hash, false};
  this->held_tokens += tokens;
  Running running_job;
  running_job.job = job;
  // The last prompt token is never taken from the cache: computing it gives the first token of
  // the answer.
  uint64_t max_cached = job.prompt_tokens > 0 ? job.prompt_tokens - 1 : 0;
  running_job.cached = std::min(this->CachedTokens(job), max_cached);
  running_job.prefilled = running_job.cached;
  auto place = std::upper_bound(
      this->running.begin(), this->running.end(), running_job,
      [](const Running& a, const Running& b) { return a.job.priority < b.job.priority; });
  this->running.insert(place, std::move(running_job));
  if (!this->is_stepping) this->BeginStep(now);
  return SubmitResult::kOk;
}

bool EngineModel::Free(const std::string& allocation) {
  if (this->held.count(allocation) == 0) return false;
  std::erase_if(this->running,
                [&](const Running& item) { return item.job.allocation == allocation; });
  this->ReleaseMemory(allocation);
  return true;
}

void EngineModel::ReleaseMemory(const std::string& allocation) {
  auto found = this->held.find(allocation);
  if (found == this->held.end()) return;
  this->held_tokens -= found->second.tokens;
  this->held.erase(found);
}

std::vector<EngineEvent> EngineModel::AdvanceTo(Time now) {
  std::vector<EngineEvent> events;
  while (this->is_stepping && this->step_end <= now) this->EndStep(&events);
  return events;
}

std::optional<Time> EngineModel::NextEvent() const {
  if (!this->is_stepping) return std::nullopt;
  return this->step_end;
}

void EngineModel::BeginStep(Time now) {
  if (this->running.empty()) {
    this->is_stepping = false;
    return;
  }
  double step = this->options.step_seconds;
  uint64_t budget = this->options.chunk_tokens;
  for (Running& item : this->running) {
    item.step_tokens = 0;
    item.is_answering = item.prefilled == item.job.prompt_tokens;
    if (item.is_answering) {
      step += this->options.answer_seconds;
      continue;
    }
    item.step_tokens = std::min(budget, item.job.prompt_tokens - item.prefilled);
    budget -= item.step_tokens;
    uint64_t from = item.job.before_tokens + item.prefilled;
    double work = Seconds(this->options.speed, from, from + item.step_tokens);
    item.prefill_seconds += work * this->slowdown;
    step += work;
  }
  this->is_stepping = true;
  this->step_end = now + std::max(FromSeconds(step * this->slowdown), Duration(1));
}

void EngineModel::EndStep(std::vector<EngineEvent>* events) {
  Time end = this->step_end;
  std::vector<std::string> finished;
  for (Running& item : this->running) {
    bool is_finished = false;
    if (item.is_answering) {
      is_finished = this->AddToken(&item, events);
    } else if (item.step_tokens > 0) {
      item.prefilled += item.step_tokens;
      if (item.prefilled < item.job.prompt_tokens) continue;
      this->CachePrefixes(item.job);
      if (item.job.keep) {
        this->FinishPrefill(&item, events);
        is_finished = true;
      } else {
        is_finished = this->AddToken(&item, events);
      }
    }
    if (is_finished) finished.push_back(item.job.allocation);
  }
  for (const std::string& allocation : finished) {
    std::erase_if(this->running,
                  [&](const Running& item) { return item.job.allocation == allocation; });
    if (!this->held[allocation].kept) this->ReleaseMemory(allocation);
  }
  this->BeginStep(end);
}

void EngineModel::FinishPrefill(Running* item, std::vector<EngineEvent>* events) {
  this->held[item->job.allocation].kept = true;
  EngineEvent event;
  event.allocation = item->job.allocation;
  event.at = this->step_end;
  event.finished = true;
  event.finish_reason = "kept";
  event.prompt_tokens = item->job.prompt_tokens;
  event.cached_tokens = item->cached;
  event.prefill_seconds = item->prefill_seconds;
  events->push_back(std::move(event));
}

bool EngineModel::AddToken(Running* item, std::vector<EngineEvent>* events) {
  std::string token;
  if (item->answered < item->job.max_tokens) token = NextToken(item->job.hash);
  bool has_token = !token.empty();
  if (has_token) {
    EngineEvent event;
    event.allocation = item->job.allocation;
    event.at = this->step_end;
    event.text = token;
    events->push_back(std::move(event));
    item->job.hash = ContinueHash(item->job.hash, token);
    ++item->answered;
    if (item->answered < item->job.max_tokens) return false;
  }
  EngineEvent last;
  last.allocation = item->job.allocation;
  last.at = this->step_end;
  last.finished = true;
  last.finish_reason = has_token ? "length" : "stop";
  last.prompt_tokens = item->job.prompt_tokens;
  last.cached_tokens = item->cached;
  last.answer_tokens = item->answered;
  last.prefill_seconds = item->prefill_seconds;
  events->push_back(std::move(last));
  return true;
}

uint64_t EngineModel::CachedTokens(const EngineJob& job) const {
  uint64_t tokens = 0;
  for (const PrefixHash& prefix : job.prefixes) {
    if (this->cache.count(prefix.hash) > 0) tokens = prefix.bytes / kBytesPerToken;
  }
  return tokens;
}

void EngineModel::CachePrefixes(const EngineJob& job) {
  uint64_t before = 0;
  for (const PrefixHash& prefix : job.prefixes) {
    uint64_t tokens = prefix.bytes / kBytesPerToken - before;
    before = prefix.bytes / kBytesPerToken;
    if (!this->cache.try_emplace(prefix.hash, tokens).second) continue;
    this->cache_order.push_back(prefix.hash);
    this->cached_total += tokens;
  }
  while (this->cached_total > this->options.cache_tokens && !this->cache_order.empty()) {
    uint64_t oldest = this->cache_order.front();
    this->cache_order.pop_front();
    this->cached_total -= this->cache[oldest];
    this->cache.erase(oldest);
  }
}

}  // namespace gullward

// See claimer.h for how claims are appended and read back.

#include "claims/claimer.h"

#include <utility>

namespace gullward {

Claimer::Claimer(const ClaimerOptions& claimer_options)
    : options(claimer_options), table(claimer_options.table) {}

void Claimer::Claim(uint64_t key_hash, const RequestId& request, Time now) {
  std::optional<RequestId> holder = this->table.Holder(key_hash, now);
  if (holder) {
    this->outcomes.push_back({request, ClaimOutcome::Kind::kLost, *holder});
    return;
  }
  bool is_full = this->pending.size() >= this->options.max_waiting || this->table.IsFull();
  if (is_full) {
    this->outcomes.push_back({request, ClaimOutcome::Kind::kUnavailable, {}});
    return;
  }
  this->pending[request] = {key_hash, now};
  this->queue.push_back({ClaimKind::kClaim, key_hash, request});
}

void Claimer::Release(uint64_t key_hash, const RequestId& request) {
  this->queue.push_back({ClaimKind::kRelease, key_hash, request});
}

void Claimer::Abandon(const RequestId& request) { this->pending.erase(request); }

void Claimer::OnRecord(const ClaimBatch& batch, Time now) {
  this->table.Apply(batch, now);
  if (batch.id.writer != this->options.writer) return;
  bool is_awaited = this->pending_batch && this->pending_batch->id == batch.id;
  if (!is_awaited) return;
  ClaimBatch own = *std::exchange(this->pending_batch, std::nullopt);
  this->ResolveClaims(own, now);
}

void Claimer::ResolveClaims(const ClaimBatch& own, Time now) {
  for (const ClaimRecord& record : own.records) {
    if (record.kind != ClaimKind::kClaim) continue;
    std::optional<RequestId> holder = this->table.Holder(record.key_hash, now);
    bool has_won = holder == record.request;
    auto found = this->pending.find(record.request);
    if (found == this->pending.end()) {
      // The claim has expired or was abandoned.  Its request is never run, so the key is released.
      if (has_won) this->Release(record.key_hash, record.request);
      continue;
    }
    this->pending.erase(found);
    auto kind = has_won ? ClaimOutcome::Kind::kWon : ClaimOutcome::Kind::kLost;
    this->outcomes.push_back(
        {record.request, kind, has_won ? RequestId{} : holder.value_or(RequestId{})});
  }
}

void Claimer::ExpireClaims(Time now) {
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    if (now - it->second.since < this->options.timeout) {
      ++it;
      continue;
    }
    this->outcomes.push_back({it->first, ClaimOutcome::Kind::kUnavailable, {}});
    it = this->pending.erase(it);
  }
}

std::optional<ClaimBatch> Claimer::Tick(Time now) {
  this->ExpireClaims(now);
  if (this->pending_batch) {
    if (now - this->appended_at < this->options.retry_period) return std::nullopt;
    this->appended_at = now;
    return this->pending_batch;
  }
  bool is_too_soon = now - this->appended_at < this->options.append_period;
  if (this->queue.empty() || is_too_soon) return std::nullopt;
  ClaimBatch batch;
  batch.id = {this->options.writer, this->next_sequence++};
  while (!this->queue.empty() && batch.records.size() < this->options.max_batch) {
    ClaimRecord record = this->queue.front();
    this->queue.pop_front();
    // A claim that has expired or was abandoned before its append is not appended.
    bool is_dropped = record.kind == ClaimKind::kClaim && this->pending.count(record.request) == 0;
    if (!is_dropped) batch.records.push_back(record);
  }
  if (batch.records.empty()) return std::nullopt;
  this->pending_batch = batch;
  this->appended_at = now;
  return batch;
}

std::vector<ClaimOutcome> Claimer::TakeOutcomes() { return std::exchange(this->outcomes, {}); }

}  // namespace gullward

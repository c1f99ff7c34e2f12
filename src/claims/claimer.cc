// claimer.h tells the method.

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
  bool full = this->pending.size() >= this->options.max_waiting || this->table.IsFull();
  if (full) {
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
  bool awaited = this->under_way && this->under_way->id == batch.id;
  if (!awaited) return;
  ClaimBatch own = *std::exchange(this->under_way, std::nullopt);
  this->Settle(own, now);
}

void Claimer::Settle(const ClaimBatch& own, Time now) {
  for (const ClaimRecord& record : own.records) {
    if (record.kind != ClaimKind::kClaim) continue;
    std::optional<RequestId> holder = this->table.Holder(record.key_hash, now);
    bool won = holder == record.request;
    auto found = this->pending.find(record.request);
    if (found == this->pending.end()) {
      // Given up meanwhile: nobody will run it, so the key is free again.
      if (won) this->Release(record.key_hash, record.request);
      continue;
    }
    this->pending.erase(found);
    auto kind = won ? ClaimOutcome::Kind::kWon : ClaimOutcome::Kind::kLost;
    this->outcomes.push_back(
        {record.request, kind, won ? RequestId{} : holder.value_or(RequestId{})});
  }
}

void Claimer::GiveUpLate(Time now) {
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    if (now - it->second.since < this->options.patience) {
      ++it;
      continue;
    }
    this->outcomes.push_back({it->first, ClaimOutcome::Kind::kUnavailable, {}});
    it = this->pending.erase(it);
  }
}

std::optional<ClaimBatch> Claimer::Tick(Time now) {
  this->GiveUpLate(now);
  if (this->under_way) {
    if (now - this->appended_at < this->options.retry) return std::nullopt;
    this->appended_at = now;
    return this->under_way;
  }
  bool too_soon = now - this->appended_at < this->options.append_period;
  if (this->queue.empty() || too_soon) return std::nullopt;
  ClaimBatch batch;
  batch.id = {this->options.writer, this->next_sequence++};
  while (!this->queue.empty() && batch.records.size() < this->options.max_batch) {
    ClaimRecord record = this->queue.front();
    this->queue.pop_front();
    // A claim given up before it was appended need not be made at all.
    bool dropped = record.kind == ClaimKind::kClaim && this->pending.count(record.request) == 0;
    if (!dropped) batch.records.push_back(record);
  }
  if (batch.records.empty()) return std::nullopt;
  this->under_way = batch;
  this->appended_at = now;
  return batch;
}

std::vector<ClaimOutcome> Claimer::TakeOutcomes() { return std::exchange(this->outcomes, {}); }

}  // namespace gullward
